package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/internal/configcheck"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// configReport is the outcome of a check.
type configReport struct {
	Version  int64                 `json:"version"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []string              `json:"changes,omitempty"`
}

// ConfigCommand returns the command that checks a version of the platform's configuration.
// decode reads one.
func ConfigCommand(decode func(raw []byte) (routing.Config, error)) *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "Check a version of the platform's configuration"}
	var against string
	var strict bool
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration before it is sent",
		Long: `Check a configuration before it is sent: errors, entries that can never match,
limits that contradict each other and, with --against, what differs from another
version, such as the one in force.

The exit status is 0 if there are no errors, 1 if there are, and 2 if a file
cannot be read.`,
		Example: `  yuccahatch config check next.json --against in-force.json
  yuccahatch config check next.json --strict --output json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := checkConfig(decode, args[0], against)
			if err != nil {
				return err
			}
			a := &app{output: cmd.Flag("output").Value.String()}
			if err := a.checkOutput(); err != nil {
				return err
			}
			if err := a.print(cmd.OutOrStdout(), report, func(w io.Writer) { printConfigReport(w, report) }); err != nil {
				return err
			}
			return report.err(strict)
		},
	}
	check.Flags().StringVar(&against, "against", "", "file with another version, whose differences are shown")
	check.Flags().BoolVar(&strict, "strict", false, "warnings are errors")
	config.AddCommand(check)
	return config
}

func checkConfig(decode func([]byte) (routing.Config, error), file, against string) (configReport, error) {
	c, err := readConfig(decode, file)
	if err != nil {
		return configReport{}, err
	}
	r := configReport{Version: c.Version, Findings: configcheck.Check(c)}
	if against == "" {
		return r, nil
	}
	before, err := readConfig(decode, against)
	if err != nil {
		return configReport{}, err
	}
	r.Changes = configcheck.Diff(before, c)
	return r, nil
}

func readConfig(decode func([]byte) (routing.Config, error), file string) (routing.Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return routing.Config{}, NewError(CodeUsage, "configuration: %v", err)
	}
	c, err := decode(raw)
	if err != nil {
		return routing.Config{}, NewError(CodeUsage, "%s: %v", file, err)
	}
	return c, nil
}

func printConfigReport(w io.Writer, r configReport) {
	fmt.Fprintf(w, "version %d: %d findings\n", r.Version, len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, f.Path, f.Message)
	}
	for _, text := range r.Changes {
		fmt.Fprintf(w, "changed: %s\n", text)
	}
}

// err returns an error if the configuration has errors, or warnings and strict is set.
func (r configReport) err(strict bool) error {
	for _, f := range r.Findings {
		if strict || f.Severity == configcheck.Error {
			return NewError(CodeFailed, "the configuration has findings")
		}
	}
	return nil
}
