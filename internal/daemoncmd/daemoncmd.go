// Package daemoncmd holds the commands of yuccahatchd.
package daemoncmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/internal/settings"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "yuccahatchd",
		Short:         "Node of yuccahatch that runs on each entry host",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newCheck())
	return root
}

func newCheck() *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Check a settings file without starting the node",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(config)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings of host %s in data centre %s\n", config, s.Host.ID, s.Host.DataCentre)
			return err
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "settings file (TOML)")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}
