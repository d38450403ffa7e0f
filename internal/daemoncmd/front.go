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

// settingsPollInterval is the time between checks of the settings files for
// changes. The platform may change its file without sending a signal.
const settingsPollInterval = 2 * time.Second

// settingsFiles holds the paths of the settings files of a node on the platform.
type settingsFiles struct {
	platform string // the platform's settings, YAML
	tuning   string // yuccahatch's own settings, TOML; empty if there is no file
}

func (f settingsFiles) load() (front.Settings, front.Tuning, error) {
	s, err := platform.LoadSettings(f.platform)
	if err != nil {
		return s, front.Tuning{}, err
	}
	t, err := front.LoadTuning(f.tuning)
	return s, t, err
}

// content returns the bytes of both files, for comparison. A file that cannot be
// read, such as one that is being replaced, counts as empty; the next poll reads
// it again.
func (f settingsFiles) content() []byte {
	first, _ := os.ReadFile(f.platform)
	second, _ := os.ReadFile(f.tuning)
	return bytes.Join([][]byte{first, second}, []byte{0})
}

// notifyHangup returns a channel that receives SIGHUP from now on. Without it the signal ends
// the process.
func notifyHangup() chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

// reloadOnChange reloads the settings of n on SIGHUP and when the content of a
// file changes, until ctx ends.
func reloadOnChange(ctx context.Context, files settingsFiles, n *front.Node, hangup chan os.Signal) {
	defer signal.Stop(hangup)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	seen := files.content()
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			seen = files.content() // so that the next poll does not reload the same change
		case <-poll.C:
			now := files.content()
			if bytes.Equal(now, seen) {
				continue
			}
			seen, reason = now, "file changed"
		}
		s, t, err := files.load()
		n.Reload(s, t, err, reason)
	}
}

// frontCommand returns the command that runs a node on the Arejo platform.
func frontCommand() *cobra.Command {
	var tuning string
	cmd := &cobra.Command{
		Use:   "front",
		Short: "Run the node on a platform that has a store, with the platform's settings file",
		Long: `Run the node on a platform that keeps the configuration and the list of backend
servers in its store. The environment variable ` + platform.SettingsEnvVar + ` names the
platform's settings file. yuccahatch's own settings come from the TOML file that
--config names; without it the defaults apply. docs/platform-settings.md lists
both.`,
		Example: "  " + platform.SettingsEnvVar + "=/etc/yuccahatch/local.yaml yuccahatchd front",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			hangup := notifyHangup() // before the settings are read, which may take some time
			files := settingsFiles{os.Getenv(platform.SettingsEnvVar), tuning}
			s, t, err := files.load()
			if err != nil {
				return err
			}
			n, err := front.New(s, platform.NewStore(s.StoreAddress), &platform.Codec{}, os.Stdout)
			if err != nil {
				return err
			}
			n.Tune(t)
			ctx, leave, stop := handleSignals(cmd.Context())
			defer stop()
			go reloadOnChange(ctx, files, n, hangup)
			return n.Run(ctx, leave, front.Handlers{
				Readiness: platform.ReadinessHandler(n),
				Directory: platform.DirectoryHandler(n),
			})
		},
	}
	cmd.Flags().StringVar(&tuning, "config", "", "yuccahatch's own settings file, TOML")
	return cmd
}
