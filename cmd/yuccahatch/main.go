// Command yuccahatch is the command-line tool for operators and for running the
// simulators and experiments of the lab.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/yuccahatch/yuccahatch/internal/cli"
	"github.com/yuccahatch/yuccahatch/lab/labcmd"
	"github.com/yuccahatch/yuccahatch/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, cli.New(labcmd.Command(), cli.ConfigCommand((&platform.Codec{}).DecodeConfig)), os.Args[1:], os.Stdout, os.Stderr))
}
