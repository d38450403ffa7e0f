package cli

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/trace"
)

func (a *app) traceCommand() *cobra.Command {
	return newCommandGroup("trace", "Get and replay the recorded sessions of a request", a.traceGetCommand(), a.traceReplayCommand())
}

func (a *app) traceGetCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get REQUEST", Short: "Print the recorded sessions of one request",
		Long: `Print the recorded sessions of one request as JSON lines. REQUEST is the value
of the X-Request-Id header. Nodes keep the sessions of the newest requests that
had a loss, a resume, a takeover, a discarded token, or a failure after a stream
was opened.`,
		Example: "  yuccahatch trace get req-7f8f > trace.jsonl",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			var lines []byte
			if err := c.get(cmd.Context(), operatorapi.RouteTrace+url.PathEscape(args[0]), &lines); err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(lines)
			return err
		},
	}
}

func (a *app) traceReplayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "replay FILE", Short: "Replay recorded sessions and compare the decisions",
		Long: `Replay the events of recorded sessions through the decision logic of this
program and compare its decisions with the recorded ones. The recorded sessions
are also checked against the rules for responses: which tokens may be accepted,
and that none is missing or repeated. The exit status is 1 if a decision differs
or a rule was broken. No node is called.`,
		Example: "  yuccahatch trace replay trace.jsonl --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := a.checkOutput(); err != nil {
				return err
			}
			file, err := os.Open(args[0])
			if err != nil {
				return NewError(CodeUsage, "read the trace: %v", err)
			}
			defer file.Close()
			report, err := trace.Replay(file)
			if err != nil {
				return NewError(CodeFailed, "%s: %v", args[0], err)
			}
			if err := a.print(cmd.OutOrStdout(), report, func(w io.Writer) { printReplayReport(w, report) }); err != nil {
				return err
			}
			if !report.OK() {
				return NewError(CodeFailed, "%s: the sessions differ from the decisions or the rules of this program", args[0])
			}
			return nil
		},
	}
}

func printReplayReport(w io.Writer, report trace.Report) {
	var rows [][]string
	for _, s := range report.Sessions {
		end := s.End
		if s.Reason != "" {
			end += ": " + s.Reason
		}
		if s.Truncated {
			end += " (truncated)"
		}
		var resumes []string
		for _, r := range s.Resumes {
			resumes = append(resumes, fmt.Sprintf("%.1f", r.LatencyMS))
		}
		rows = append(rows, []string{
			strconv.Itoa(s.Line), string(s.Host), string(s.Request), end,
			fmt.Sprintf("%d to %d", s.StartReleased, s.Released),
			strconv.Itoa(s.Missing), strconv.Itoa(s.Repeated), strconv.Itoa(s.Discarded),
			strconv.Itoa(s.Attempts), strings.Join(resumes, ","),
		})
	}
	printTable(w, []string{"LINE", "HOST", "REQUEST", "END", "RELEASED", "MISSING", "REPEATED", "DISCARDED", "ATTEMPTS", "RESUMES (MS)"}, rows)
	for _, s := range report.Sessions {
		if d := s.Difference; d != nil {
			fmt.Fprintf(w, "line %d: the decisions differ\n  recorded %s\n  replayed %s\n", d.Line, d.Recorded, d.Replayed)
		}
		for _, v := range s.Violations {
			fmt.Fprintf(w, "line %d: rule %q is broken: %s\n", v.Line, v.Rule, v.Detail)
		}
	}
}
