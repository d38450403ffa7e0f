// Package daemoncmd implements the command line of yuccahatchd, the node daemon.
// It has no state of its own.
package daemoncmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/internal/front"
	"github.com/yuccahatch/yuccahatch/internal/node"
	"github.com/yuccahatch/yuccahatch/internal/settings"
	"github.com/yuccahatch/yuccahatch/platform"
)

// New returns the root command of yuccahatchd.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "yuccahatchd",
		Short: "The yuccahatch node daemon, which runs on each entry host",
		// Settings errors name the file, line and key; usage text printed with them
		// would hide them.
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), frontCommand(), checkCommand())
	return root
}

func checkCommand() *cobra.Command {
	var config, platformFile, frontFile string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file and exit",
		Example: `  yuccahatchd check --config node.toml
  yuccahatchd check --platform /etc/yuccahatch/local.yaml
  yuccahatchd check --front front.toml`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if frontFile != "" {
				if _, err := front.LoadTuning(frontFile); err != nil {
					return err
				}
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings for yuccahatchd front\n", frontFile)
				return err
			}
			if platformFile != "" {
				s, err := platform.LoadSettings(platformFile)
				if err != nil {
					return err
				}
				return printValid(cmd, platformFile, string(s.Host), string(s.DataCentre))
			}
			s, err := settings.Load(config)
			if err != nil {
				return err
			}
			return printValid(cmd, config, s.Host.ID, s.Host.DataCentre)
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "settings file, TOML; docs/settings.md lists the keys")
	cmd.Flags().StringVar(&platformFile, "platform", "", "settings file of the Arejo platform, YAML; unknown keys are ignored")
	cmd.Flags().StringVar(&frontFile, "front", "", "yuccahatch's own settings file for yuccahatchd front, TOML")
	cmd.MarkFlagsMutuallyExclusive("config", "platform", "front")
	cmd.MarkFlagsOneRequired("config", "platform", "front")
	return cmd
}

func printValid(cmd *cobra.Command, file, host, dataCentre string) error {
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings of host %s in data centre %s\n", file, host, dataCentre)
	return err
}

func runCommand() *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the node until it receives SIGTERM or SIGINT",
		Long: `Run the node. On the first SIGTERM or SIGINT it announces that it is leaving,
accepts no new work after the grace period, finishes the work in flight and
exits. A second signal ends it at once.`,
		Example: "  yuccahatchd run --config node.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(config)
			if err != nil {
				return err
			}
			n, err := node.New(s)
			if err != nil {
				return err
			}
			ctx, leave, stop := handleSignals(cmd.Context())
			defer stop()
			return n.Run(ctx, leave)
		},
	}
	addConfigFlag(cmd, &config)
	return cmd
}

func addConfigFlag(cmd *cobra.Command, config *string) {
	cmd.Flags().StringVar(config, "config", "", "settings file, TOML; docs/settings.md lists the keys")
	// The flag exists, so marking it cannot fail.
	_ = cmd.MarkFlagRequired("config")
}

// handleSignals returns a context that is cancelled at the second SIGTERM or
// SIGINT and a channel that is closed at the first. The returned function cancels
// the context and stops the signal handling.
func handleSignals(parent context.Context) (context.Context, <-chan struct{}, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	leave := make(chan struct{})
	go func() {
		defer signal.Stop(received)
		select {
		case <-received:
			close(leave)
		case <-ctx.Done():
			return
		}
		select {
		case <-received:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, leave, cancel
}
