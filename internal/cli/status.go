package cli

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/explain"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show nodes and backend servers as one node sees them",
		Example: "  yuccahatch --node 127.0.0.1:7400 status",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			var status operatorapi.Status
			if err := c.get(cmd.Context(), operatorapi.RouteStatus, &status); err != nil {
				return err
			}
			return a.print(cmd.OutOrStdout(), status, func(w io.Writer) { printStatus(w, status) })
		},
	}
}

func printStatus(w io.Writer, s operatorapi.Status) {
	admits := "admits work"
	if !s.Admitting {
		admits = "admits no work: " + s.Reason
	}
	fmt.Fprintf(w, "answered by %s in %s, change log position %d, %s\n\n", s.HostID, s.DataCentre, s.Sequence, admits)
	var nodes, backends [][]string
	for _, n := range s.Nodes {
		nodes = append(nodes, []string{n.HostID, n.Address, n.DataCentre, n.State, strconv.FormatInt(n.Sequence, 10), strconv.Itoa(n.InFlight)})
	}
	printTable(w, []string{"NODE", "ADDRESS", "DATA CENTRE", "STATE", "SEQUENCE", "IN FLIGHT"}, nodes)
	fmt.Fprintln(w)
	for _, b := range s.Backends {
		backends = append(backends, []string{b.BackendID, b.Kind, b.DataCentre, b.State, strconv.Itoa(b.Running), strconv.Itoa(b.Waiting), strings.Join(b.Models, ",")})
	}
	printTable(w, []string{"BACKEND SERVER", "KIND", "DATA CENTRE", "STATE", "RUNNING", "WAITING", "MODELS"}, backends)
}

func (a *app) explainCommand() *cobra.Command {
	var logs []string
	cmd := &cobra.Command{
		Use: "explain REQUEST", Short: "Show the decisions on one request",
		Long: `Show the decisions on one request. REQUEST is the value of the X-Request-Id header.

With --log, the command reads the log files of one or more hosts and calls no
node. It prints, in order of time, the lines of the request and those that its
hosts logged in the same period about the backend servers of the request, the
store, the configuration, and their own start and stop.`,
		Example: `  yuccahatch explain req-7f8f
  yuccahatch explain --log host-1.log --log host-2.log 9c41d07be2a35f68`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return a.explainFromLogs(cmd, logs, args[0])
			}
			c, err := a.client()
			if err != nil {
				return err
			}
			var e operatorapi.Explanation
			if err := c.get(cmd.Context(), operatorapi.RouteExplain+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			return a.print(cmd.OutOrStdout(), e, func(w io.Writer) {
				var rows [][]string
				for _, d := range e.Decisions {
					rows = append(rows, []string{d.At.Format(time.RFC3339Nano), d.HostID, d.Event, d.Detail})
				}
				printTable(w, []string{"AT", "HOST", "EVENT", "DETAIL"}, rows)
			})
		},
	}
	cmd.Flags().StringArrayVar(&logs, "log", nil, "log file of a host, or - for the standard input (repeatable)")
	return cmd
}

// explainFromLogs prints the history of a request, read from the log files of
// hosts.
func (a *app) explainFromLogs(cmd *cobra.Command, files []string, request string) error {
	lines, err := readLogFiles(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	history := explain.History(lines, request)
	if len(history) == 0 {
		return NewError(CodeFailed, "the logs contain no lines for request %s", request)
	}
	return a.print(cmd.OutOrStdout(), history, func(w io.Writer) { printHistory(w, history) })
}

func printHistory(w io.Writer, history []explain.LogLine) {
	for _, l := range history {
		fmt.Fprintf(w, "%s %s %s %s %s\n", l.At.Format(time.RFC3339Nano), l.Host, l.Event, l.Backend, l.Detail())
	}
}

func readLogFiles(stdin io.Reader, files []string) (lines []explain.LogLine, err error) {
	for _, name := range files {
		part, err := readLogFile(stdin, name)
		if err != nil {
			return nil, NewError(CodeUsage, "log %s: %v", name, err)
		}
		lines = append(lines, part...)
	}
	return lines, nil
}

func readLogFile(stdin io.Reader, name string) ([]explain.LogLine, error) {
	if name == "-" {
		return explain.ReadLog(stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return explain.ReadLog(f)
}

func (a *app) auditCommand() *cobra.Command {
	var team, after string
	cmd := &cobra.Command{
		Use: "audit", Short: "Show the audit trail of contract changes",
		Long: "Show one page of the audit trail of contract changes. To get the next page, pass the time of the last record to --after.",
		Example: `  yuccahatch audit --customer arejo-lisboa
  yuccahatch audit --after 2026-01-02T15:04:05Z --output json`,
		Args: cobra.NoArgs,
	}
	cmd.Flags().StringVar(&team, "customer", "", "only records of this customer")
	cmd.Flags().StringVar(&after, "after", "", "only records later than this time (RFC 3339)")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if after != "" {
			if _, err := time.Parse(time.RFC3339Nano, after); err != nil {
				return NewError(CodeUsage, "--after is %q; allowed: a time such as 2026-01-02T15:04:05Z", after)
			}
		}
		c, err := a.client()
		if err != nil {
			return err
		}
		query := url.Values{"customer": {team}, "after": {after}}
		var page operatorapi.AuditPage
		if err := c.get(cmd.Context(), operatorapi.RouteAudit+"?"+query.Encode(), &page); err != nil {
			return err
		}
		return a.print(cmd.OutOrStdout(), page, func(w io.Writer) { printAudit(w, page) })
	}
	return cmd
}

func printAudit(w io.Writer, page operatorapi.AuditPage) {
	var rows [][]string
	for _, r := range page.Records {
		versions := fmt.Sprintf("%d to %d", r.From, r.To)
		rows = append(rows, []string{r.At.Format(time.RFC3339Nano), r.Actor, r.HostID, r.Action, r.Customer, versions, r.Outcome, r.Reason})
	}
	printTable(w, []string{"AT", "ACTOR", "HOST", "ACTION", "CUSTOMER", "VERSION", "OUTCOME", "REASON"}, rows)
}
