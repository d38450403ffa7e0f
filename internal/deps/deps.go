// Package deps keeps libraries in go.mod until the packages that use them are written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/samber/oops"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/sirupsen/logrus"
	_ "github.com/spf13/cobra"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/zeebo/xxh3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/grpc"
	_ "google.golang.org/grpc/credentials"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
