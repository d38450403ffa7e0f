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

// frontFiles are the files that a node on the platform reads.
type frontFiles struct {
	platform string // of the platform, YAML
	tuning   string // the product's own, TOML; empty if there is none
}

func (f frontFiles) load() (front.Settings, front.Tuning, error) {
	s, err := platform.LoadSettings(f.platform)
	if err != nil {
		return s, front.Tuning{}, err
	}
	t, err := front.LoadTuning(f.tuning)
	return s, t, err
}

// content returns the bytes of both files. A file that is being replaced has
// none, and is read at the next poll.
func (f frontFiles) content() []byte {
	first, _ := os.ReadFile(f.platform)
	second, _ := os.ReadFile(f.tuning)
	return bytes.Join([][]byte{first, second}, []byte{0})
}

// reloadOnChange reads the files again on SIGHUP and when one of them changes.
func reloadOnChange(ctx context.Context, files frontFiles, n *front.Node) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	seen := files.content()
	for {
		why := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			seen = files.content() // the poll need not find this change again
		case <-poll.C:
			now := files.content()
			if bytes.Equal(now, seen) {
				continue
			}
			seen, why = now, "file changed"
		}
		s, t, err := files.load()
		n.Reload(s, t, err, why)
	}
}

// frontCommand runs a node on the Arejo platform.
func frontCommand() *cobra.Command {
	var tuning string
	cmd := &cobra.Command{
		Use:   "front",
		Short: "Run the node on a platform with a store, by the platform's settings file",
		Long: `Run the node on a platform that keeps the configuration and the list of backend
servers in its store. The environment variable ` + platform.SettingsVariable + ` names the
platform's settings file; the product's own settings are in the TOML file that
--config names, or the defaults. docs/platform-settings.md lists both.`,
		Example: "  " + platform.SettingsVariable + "=/etc/yuccahatch/local.yaml yuccahatchd front",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			files := frontFiles{os.Getenv(platform.SettingsVariable), tuning}
			s, t, err := files.load()
			if err != nil {
				return err
			}
			n, err := front.New(s, platform.NewStore(s.StoreAddress), &platform.Codec{}, os.Stdout)
			if err != nil {
				return err
			}
			n.Tune(t)
			ctx, leave, stop := signals(cmd.Context())
			defer stop()
			go reloadOnChange(ctx, files, n)
			return n.Run(ctx, leave, front.Handlers{
				Readiness: platform.ReadinessHandler(n),
				Directory: platform.DirectoryHandler(n),
			})
		},
	}
	cmd.Flags().StringVar(&tuning, "config", "", "the product's own settings, TOML")
	return cmd
}
