package lab

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/sirupsen/logrus"
	_ "github.com/spf13/cobra"
	_ "github.com/zeebo/xxh3"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
