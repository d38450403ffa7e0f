// Package cli is the command line for operators.
package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// Environment variables that replace flags.
const (
	envKey   = "YUCCAHATCH_OPERATOR_KEY"
	envNodes = "YUCCAHATCH_NODE"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const timeLayout = time.RFC3339

const longHelp = `yuccahatch edits contracts and shows the state of a deployment.

Commands that talk to a deployment need the address of at least one node and an
operator's key:

  --node ADDR       IP:port of a node's listener for operators; repeat it to
                    name nodes that are tried when one does not answer, or set
                    YUCCAHATCH_NODE to a list separated by commas
  --key-file FILE   file with the key, or set YUCCAHATCH_OPERATOR_KEY

Exit status:
  0  done
  1  failed
  2  wrong usage
  3  the contract document was refused
  4  conflict: the contract was changed meanwhile
  5  no node could be reached`

const rootExample = `  yuccahatch contract validate arejo.toml
  yuccahatch --node 127.0.0.1:7400 --key-file key contract put arejo.toml --wait
  yuccahatch --node 127.0.0.1:7400 --key-file key status --output json`

// app holds the global flags and what commands need of their surroundings.
type app struct {
	nodes   []string
	keyFile string
	output  string
	timeout time.Duration

	transport http.RoundTripper
	getenv    func(string) string
	newID     func() string
}

// New returns the root command with the commands for operators and the extra
// ones.
func New(extra ...*cobra.Command) *cobra.Command {
	return newRoot(&app{transport: http.DefaultTransport, getenv: os.Getenv, newID: newChangeID}, extra...)
}

func newRoot(a *app, extra ...*cobra.Command) *cobra.Command {
	root := &cobra.Command{
		Use: "yuccahatch", Short: "Edit contracts and inspect a deployment", Long: longHelp, Example: rootExample,
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	flags := root.PersistentFlags()
	flags.StringArrayVar(&a.nodes, "node", nil, "address of a node (repeatable)")
	flags.StringVar(&a.keyFile, "key-file", "", "file with the operator's key")
	flags.StringVar(&a.output, "output", outputTable, "output format: table or json")
	flags.DurationVar(&a.timeout, "timeout", 10*time.Second, "limit of each call of a node")
	root.AddCommand(a.contractCommand(), a.statusCommand(), a.explainCommand(), a.traceCommand(), a.auditCommand())
	root.AddCommand(extra...)
	markFailures(root)
	return root
}

// markFailures gives errors of commands without a code CodeFailed, so that what
// remains without one comes from cobra and is about usage.
func markFailures(cmd *cobra.Command) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			err := run(cmd, args)
			if err != nil && !hasCode(err) {
				return NewError(CodeFailed, "%v", err)
			}
			return err
		}
	}
	for _, child := range cmd.Commands() {
		markFailures(child)
	}
}

// Run executes the command, prints its error and returns the exit status.
func Run(ctx context.Context, root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	cmd, err := root.ExecuteContextC(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "yuccahatch: %v\n", err)
	code := codeOf(err)
	if code == CodeUsage {
		fmt.Fprintf(stderr, "See '%s --help'.\n", cmd.CommandPath())
	}
	return exitStatuses[code]
}

// group returns a command that only holds others.
func group(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(children...)
	return cmd
}

// checkOutput refuses an unknown output format.
func (a *app) checkOutput() error {
	if a.output != outputTable && a.output != outputJSON {
		return NewError(CodeUsage, "--output is %q; allowed: table, json", a.output)
	}
	return nil
}

// client returns a client for the nodes of the flags or the environment.
func (a *app) client() (*client, error) {
	if err := a.checkOutput(); err != nil {
		return nil, err
	}
	nodes := a.nodes
	if len(nodes) == 0 {
		nodes = strings.FieldsFunc(a.getenv(envNodes), func(r rune) bool { return r == ',' || r == ' ' })
	}
	if len(nodes) == 0 {
		return nil, NewError(CodeUsage, "no node named; use --node ADDR or %s", envNodes)
	}
	key := a.getenv(envKey)
	if a.keyFile != "" {
		text, err := os.ReadFile(a.keyFile)
		if err != nil {
			return nil, NewError(CodeUsage, "read the operator's key: %v", err)
		}
		key = string(text)
	}
	if key = strings.TrimSpace(key); key == "" {
		return nil, NewError(CodeUsage, "no operator's key; use --key-file FILE or %s", envKey)
	}
	return &client{nodes: nodes, key: key, http: &http.Client{Transport: a.transport, Timeout: a.timeout}}, nil
}
