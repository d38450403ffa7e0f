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

// pidDirEnv is the environment variable with the directory of pid files, which
// scripts/lab-cluster.sh sets.
const pidDirEnv = "LAB_PIDS"

// progressLogInterval is the minimum time between progress lines if the output is
// not a terminal.
const progressLogInterval = 10 * time.Second

func loadCommand() *cobra.Command {
	var file, dir, pids, operatorKey string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Run an experiment and write a report",
		Long: `Run the experiment of a file: send verified answers and bookings, inject faults
and measure. report.json, report.md and plots are written to the directory of
the report. The exit status is 0 only if no answer that began was incomplete or
wrong, no booking ran twice and all faults could be injected. Rejected requests
do not count as failures.`,
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
			progress, end := newProgressPrinter(cmd.ErrOrStderr())
			report, err := load.Run(cmd.Context(), experiment, load.Options{
				Name: name, PIDDir: pids, OperatorKey: operatorKey, Client: client, Progress: progress,
			})
			end()
			if err := errors.Join(err, report.Write(dir)); err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), report.Markdown())
			if len(report.Problems) > 0 {
				return fmt.Errorf("%d problems found, see the report in %s", len(report.Problems), dir)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&file, "file", "", "experiment file")
	f.StringVar(&dir, "report", "", "directory of the report")
	f.StringVar(&pids, "pids", os.Getenv(pidDirEnv), "directory of the pid files that the experiment names; default from "+pidDirEnv)
	f.StringVar(&operatorKey, "operator-key", os.Getenv(operatorKeyEnv), "operator's bearer key for the metrics; default from "+operatorKeyEnv)
	cmd.MarkFlagRequired("file")   //nolint:errcheck // the flag exists
	cmd.MarkFlagRequired("report") //nolint:errcheck // the flag exists
	return cmd
}

// newProgressPrinter returns a function that prints the progress and one that ends
// the output. On a terminal one line is rewritten; other outputs get a new line at
// most every progressLogInterval.
func newProgressPrinter(w io.Writer) (progress func(load.Progress), end func()) {
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
		case p.At-last >= progressLogInterval:
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
