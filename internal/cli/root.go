// Package cli implements yuccahatch, the command-line tool for operators. A root
// command holds the flag values of one invocation; it is not safe for concurrent
// use.
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

// Environment variables that apply if the corresponding flag is not set.
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

// app holds the global flags and the external dependencies of the commands,
// which tests replace.
type app struct {
	nodes   []string
	keyFile string
	output  string
	timeout time.Duration

	transport http.RoundTripper
	getenv    func(string) string
	newID     func() string
}

// New returns the root command with the operator commands and the extra commands
// as subcommands.
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
	root.AddCommand(a.contractCommand(), a.statusCommand(), a.explainCommand(), a.traceCommand(), a.auditCommand(), a.rolloutCommand())
	root.AddCommand(extra...)
	assignDefaultCode(root)
	return root
}

// assignDefaultCode wraps RunE of cmd and of all its subcommands so that errors
// without a code get CodeFailed. Any error that still has no code then comes from
// cobra and is about usage.
func assignDefaultCode(cmd *cobra.Command) {
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
		assignDefaultCode(child)
	}
}

// Run executes the root command with args, prints the error, if any, to stderr
// and returns the exit status.
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

// newCommandGroup returns a command that only groups its children and prints its
// help when it is run.
func newCommandGroup(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(children...)
	return cmd
}

// checkOutput returns an error if the output format is unknown.
func (a *app) checkOutput() error {
	if a.output != outputTable && a.output != outputJSON {
		return NewError(CodeUsage, "--output is %q; allowed: table, json", a.output)
	}
	return nil
}

// client returns a client for the nodes and the key that the flags or, if these
// are not set, the environment variables specify.
func (a *app) client() (*client, error) {
	if err := a.checkOutput(); err != nil {
		return nil, err
	}
	key, err := a.key()
	if err != nil {
		return nil, err
	}
	c, err := a.openClient()
	if err != nil {
		return nil, err
	}
	if key == "" {
		return nil, NewError(CodeUsage, "no operator's key given; use --key-file FILE or %s", envKey)
	}
	c.key = key
	return c, nil
}

// openClient returns a client without a key, for nodes that ask for none.
func (a *app) openClient() (*client, error) {
	if err := a.checkOutput(); err != nil {
		return nil, err
	}
	nodes := a.nodes
	if len(nodes) == 0 {
		nodes = strings.FieldsFunc(a.getenv(envNodes), func(r rune) bool { return r == ',' || r == ' ' })
	}
	if len(nodes) == 0 {
		return nil, NewError(CodeUsage, "no node address given; use --node ADDR or %s", envNodes)
	}
	return &client{nodes: nodes, http: &http.Client{Transport: a.transport, Timeout: a.timeout}}, nil
}

// key returns the operator's key, or nothing if none is given.
func (a *app) key() (string, error) {
	key := a.getenv(envKey)
	if a.keyFile != "" {
		text, err := os.ReadFile(a.keyFile)
		if err != nil {
			return "", NewError(CodeUsage, "read the operator's key: %v", err)
		}
		key = string(text)
	}
	return strings.TrimSpace(key), nil
}
