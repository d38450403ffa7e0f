package labcmd

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/lab/load"
)

// pidsVariable names the directory of pid files; scripts/lab-cluster.sh sets it.
const pidsVariable = "LAB_PIDS"

// plainProgress is the time between progress lines that go to a file.
const plainProgress = 10 * time.Second

func loadCommand() *cobra.Command {
	var file, dir, pids, operatorKey string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Run an experiment and write a report",
		Long: `Run the experiment of a file: send verified answers and bookings, inject faults
and measure. The directory of the report gets report.json, report.md and plots.
The exit status is 0 only if no answer that began was incomplete or wrong, no
booking ran twice and all faults could be injected. Refusals are no failure.`,
		Example: `  yuccahatch lab load --file lab/experiments/overhead.toml --report /tmp/overhead
  yuccahatch lab load --file lab/experiments/engine-kill.toml --report /tmp/kill --pids /tmp/cluster`,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			experiment, err := load.Parse(text)
			if err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			client := load.NewClient()
			defer client.CloseIdleConnections()
			name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
			progress, end := progressTo(cmd.ErrOrStderr())
			report, err := load.Run(cmd.Context(), experiment, load.Options{
				Name: name, PIDDir: pids, OperatorKey: operatorKey, Client: client, Progress: progress,
			})
			end()
			if err := errors.Join(err, report.Write(dir)); err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), report.Markdown())
			if len(report.Problems) > 0 {
				return fmt.Errorf("%d problems, see %s", len(report.Problems), dir)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&file, "file", "", "experiment file")
	f.StringVar(&dir, "report", "", "directory of the report")
	f.StringVar(&pids, "pids", os.Getenv(pidsVariable), "directory of the pid files that the experiment names; default from "+pidsVariable)
	f.StringVar(&operatorKey, "operator-key", os.Getenv(operatorKeyVariable), "operator's bearer key for the metrics; default from "+operatorKeyVariable)
	cmd.MarkFlagRequired("file")   //nolint:errcheck // the flag exists
	cmd.MarkFlagRequired("report") //nolint:errcheck // the flag exists
	return cmd
}

// progressTo returns a function that rewrites one line on a terminal, or writes
// a line now and then elsewhere, and one that ends the output.
func progressTo(w io.Writer) (progress func(load.Progress), end func()) {
	terminal := false
	if f, ok := w.(*os.File); ok {
		info, err := f.Stat()
		terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	var last time.Duration
	progress = func(p load.Progress) {
		line := fmt.Sprintf("%4.0f s  sent %d  running %d  verified %d  refused %d  wrong %d  tokens %d  gap p99 %.1f ms",
			p.At.Seconds(), p.Sent, p.Running, p.Verified, p.Refused, p.Wrong, p.Tokens, p.GapP99)
		switch {
		case terminal:
			fmt.Fprintf(w, "\r\x1b[K%s", line)
		case p.At-last >= plainProgress:
			last = p.At
			fmt.Fprintln(w, line)
		}
	}
	return progress, func() {
		if terminal {
			fmt.Fprintln(w)
		}
	}
}

func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:          "compare A B",
		Short:        "Print the figures of two reports side by side",
		Long:         `Print the figures of two files report.json of lab load side by side, with differences.`,
		Example:      `  yuccahatch lab compare /tmp/before/report.json /tmp/after/report.json`,
		Args:         cobra.ExactArgs(2),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return load.Compare(cmd.OutOrStdout(), args[0], args[1])
		},
	}
}
