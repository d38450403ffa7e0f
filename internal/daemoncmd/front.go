package daemoncmd

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/internal/front"
	"github.com/yuccahatch/yuccahatch/platform"
)

// frontCommand runs a node on the Arejo platform.
func frontCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "front",
		Short: "Run the node on a platform with a store, by the platform's settings file",
		Long: `Run the node on a platform that keeps the configuration and the list of backend
servers in its store. The environment variable ` + platform.SettingsVariable + ` names the
platform's settings file.`,
		Example: "  " + platform.SettingsVariable + "=/etc/yuccahatch/local.yaml yuccahatchd front",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			n, err := front.New(s, platform.NewStore(s.StoreAddress), &platform.Codec{}, os.Stdout)
			if err != nil {
				return err
			}
			ctx, leave, stop := signals(cmd.Context())
			defer stop()
			return n.Run(ctx, leave, front.Handlers{
				Readiness: platform.ReadinessHandler(n),
				Directory: platform.DirectoryHandler(n),
			})
		},
	}
}
