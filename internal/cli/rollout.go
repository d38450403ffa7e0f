package cli

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/explain"
)

func (a *app) rolloutCommand() *cobra.Command {
	var logs []string
	cmd := &cobra.Command{
		Use: "rollout [SERVICE]", Short: "Show the roll-outs of versions",
		Long: `Show the roll-outs of versions: phase, share, evidence by route, and what would
change the phase. A node that does not coordinate them names the one that does,
which alone has the evidence. Nodes on the platform need no key.

With --log, the command reads the log files of hosts and calls no node. It
prints the steps of the roll-outs in order of time.`,
		Example: `  yuccahatch --node 10.1.0.40:7341 rollout
  yuccahatch rollout --log host-1.log --log host-2.log letter-writer`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			service := ""
			if len(args) > 0 {
				service = args[0]
			}
			if len(logs) > 0 {
				return a.rolloutFromLogs(cmd, logs, service)
			}
			return a.rolloutFromNode(cmd, service)
		},
	}
	cmd.Flags().StringArrayVar(&logs, "log", nil, "log file of a host, or - for the standard input (repeatable)")
	return cmd
}

func (a *app) rolloutFromNode(cmd *cobra.Command, service string) error {
	c, err := a.openClient()
	if err != nil {
		return err
	}
	var all operatorapi.Rollouts
	if err := c.get(cmd.Context(), operatorapi.RouteRollouts, &all); err != nil {
		return err
	}
	list := all
	list.Rollouts = nil
	for _, r := range all.Rollouts {
		if service == "" || r.Service == service {
			list.Rollouts = append(list.Rollouts, r)
		}
	}
	return a.print(cmd.OutOrStdout(), list, func(w io.Writer) { printRollouts(w, list) })
}

func printRollouts(w io.Writer, list operatorapi.Rollouts) {
	fmt.Fprintf(w, "answered by %s, coordinated by %s\n", list.HostID, list.Coordinator)
	for _, r := range list.Rollouts {
		ms := func(n int64) time.Duration {
			return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond)
		}
		fmt.Fprintf(w, "\n%s to %s (order %s): %s after %v of %v\n", r.Service, r.To, r.Order, r.Phase, ms(r.ElapsedMs), ms(r.DurationMs))
		if r.Reason != "" {
			fmt.Fprintf(w, "  reason: %s\n", r.Reason)
		}
		if r.Next != "" {
			fmt.Fprintf(w, "  next: %s\n", r.Next)
		}
		if r.Sent > 0 {
			fmt.Fprintf(w, "  requests: %d of %d to the new version; share now %.3f of new ones, to %d servers (0: all)\n", r.SentNew, r.Sent, r.Share, r.Servers)
		}
		var rows [][]string
		for _, e := range r.Evidence {
			rows = append(rows, []string{
				e.Route, fmt.Sprintf("%d of %d", e.OldBad, e.OldAnswers), fmt.Sprintf("%d of %d", e.NewBad, e.NewAnswers),
				strconv.FormatUint(uint64(e.NewFailed), 10), strconv.FormatFloat(e.Ratio, 'f', 1, 64),
			})
		}
		if len(rows) > 0 {
			printTable(w, []string{"ROUTE", "BAD AT OLD", "BAD AT NEW", "FAILURES", "RATIO"}, rows)
		}
	}
}

// rolloutFromLogs prints the steps of roll-outs, read from the log files of hosts.
func (a *app) rolloutFromLogs(cmd *cobra.Command, files []string, service string) error {
	lines, err := readLogFiles(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	steps := explain.Rollouts(lines, service)
	if len(steps) == 0 {
		return NewError(CodeFailed, "the logs contain no lines of roll-outs")
	}
	return a.print(cmd.OutOrStdout(), steps, func(w io.Writer) { printHistory(w, steps) })
}
