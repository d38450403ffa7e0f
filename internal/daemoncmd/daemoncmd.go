// Package daemoncmd is the command line of yuccahatchd.
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

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "yuccahatchd",
		Short: "The node of yuccahatch that runs on each entry host",
		// Errors of settings name file, line and key; usage text would bury them.
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
		Short: "Check a settings file and do nothing else",
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
				return reportValid(cmd, platformFile, string(s.Host), string(s.DataCentre))
			}
			s, err := settings.Load(config)
			if err != nil {
				return err
			}
			return reportValid(cmd, config, s.Host.ID, s.Host.DataCentre)
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "settings file, TOML; docs/settings.md lists the keys")
	cmd.Flags().StringVar(&platformFile, "platform", "", "settings file of the Arejo platform, YAML; keys that are not known are ignored")
	cmd.Flags().StringVar(&frontFile, "front", "", "the product's own settings for yuccahatchd front, TOML")
	cmd.MarkFlagsMutuallyExclusive("config", "platform", "front")
	cmd.MarkFlagsOneRequired("config", "platform", "front")
	return cmd
}

func reportValid(cmd *cobra.Command, file, host, dataCentre string) error {
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings of host %s in data centre %s\n", file, host, dataCentre)
	return err
}

func runCommand() *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the node until it is told to leave",
		Long: `Run the node. On the first SIGTERM or SIGINT it announces that it leaves, takes
no new work after the grace period, finishes what is in flight and exits. A
second signal ends it at once.`,
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
			ctx, leave, stop := signals(cmd.Context())
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

// signals returns a channel that is closed at the first signal and a context
// that ends at the second.
func signals(parent context.Context) (context.Context, <-chan struct{}, context.CancelFunc) {
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
