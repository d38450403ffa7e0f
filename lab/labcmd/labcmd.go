// Package labcmd provides the command tree of the simulators, of the callers and of
// the load generator. It keeps no state.
package labcmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/lab/caller"
)

// shutdownTimeout is the time that the remaining connections have to close once a
// server is drained.
const shutdownTimeout = 2 * time.Second

// Command returns the command "lab" with its subcommands.
func Command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "lab",
		Short: "Run simulated engines, services, platforms and callers",
		Long: `Run simulators of the systems that yuccahatch talks to. Each server runs until
SIGTERM, then rejects new work, finishes running work and exits; a second signal
ends it at once. Logs are JSON lines on standard error.`,
		Example: `  yuccahatch lab platform --listen 127.0.0.1:7000 --hosts hosts.toml
  yuccahatch lab engine --listen 127.0.0.1:8101 --model airing-plan-1
  yuccahatch lab service --listen 127.0.0.1:8201
  yuccahatch lab call --node 127.0.0.1:9001 --key demo --model airing-plan-1 --prompt "plan length=200"`,
	}
	cmd.AddCommand(engineCommand(), platformCommand(), serviceCommand(), callCommand(caller.DefaultConfig()),
		getCommand(), demoCommand(), loadCommand(), compareCommand())
	return cmd
}

// serverConfig describes a simulator that serve runs.
type serverConfig struct {
	name    string
	listen  string
	handler http.Handler
	// run does background work until its context is done; nil if there is none.
	run func(context.Context)
	// leave starts a graceful shutdown, and drained is closed when it is complete;
	// both are nil if the server may stop at once.
	leave   func()
	drained <-chan struct{}
}

// serve runs a simulator until a signal ends it. It does not use the context of
// the command, which is cancelled at the first signal and would stop the engine's
// work in the middle of a graceful shutdown.
func serve(s serverConfig) error {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(os.Stderr)
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return fmt.Errorf("lab %s: %w", s.name, err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.run != nil {
		go s.run(ctx)
	}
	server := &http.Server{Handler: s.handler}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	entry := log.WithFields(logrus.Fields{"server": s.name, "address": listener.Addr().String()})
	entry.Info("listening")

	select {
	case err := <-failed:
		return fmt.Errorf("lab %s: %w", s.name, err)
	case <-signals:
	}
	if s.leave != nil {
		entry.Info("leaving")
		s.leave()
		select {
		case <-s.drained:
		case <-signals:
			entry.Warn("second signal received; stopping before the drain is complete")
			return server.Close()
		}
	}
	return shutdown(server)
}

func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return server.Close()
}
