package daemoncmd

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/internal/front"
	"github.com/yuccahatch/yuccahatch/platform"
)

// settingsPoll is how often the settings file is compared with what was read;
// the platform may change it without a signal.
const settingsPoll = 2 * time.Second

// reloadOnChange reads the settings again on SIGHUP and when the file changes.
func reloadOnChange(ctx context.Context, path string, n *front.Node) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	seen, _ := os.ReadFile(path) // LoadSettings has reported a file that cannot be read
	for {
		why := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			if raw, err := os.ReadFile(path); err == nil {
				seen = raw // the poll need not find this change again
			}
		case <-poll.C:
			raw, err := os.ReadFile(path)
			if err != nil || bytes.Equal(raw, seen) {
				continue // a file that is being replaced is read at the next poll
			}
			seen, why = raw, "file changed"
		}
		s, err := platform.LoadSettings(path)
		n.Reload(s, err, why)
	}
}

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
			go reloadOnChange(ctx, os.Getenv(platform.SettingsVariable), n)
			return n.Run(ctx, leave, front.Handlers{
				Readiness: platform.ReadinessHandler(n),
				Directory: platform.DirectoryHandler(n),
			})
		},
	}
}
