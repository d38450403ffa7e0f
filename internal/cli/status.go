package cli

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
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
	return &cobra.Command{
		Use: "explain REQUEST", Short: "Show the decisions on one request",
		Long:    "Show the decisions on one request. REQUEST is the value of the X-Request-Id header.",
		Example: "  yuccahatch explain req-7f8f",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
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
}

func (a *app) auditCommand() *cobra.Command {
	var customer, after string
	cmd := &cobra.Command{
		Use: "audit", Short: "Show the audit trail of contract changes",
		Long: "Show one page of the audit trail of contract changes. The time of the last record, given to --after, leads to the next page.",
		Example: `  yuccahatch audit --customer arejo-lisboa
  yuccahatch audit --after 2026-01-02T15:04:05Z --output json`,
		Args: cobra.NoArgs,
	}
	cmd.Flags().StringVar(&customer, "customer", "", "only records of this customer")
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
		query := url.Values{"customer": {customer}, "after": {after}}
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
