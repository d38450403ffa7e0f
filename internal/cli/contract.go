package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/contract"
)

func (a *app) contractCommand() *cobra.Command {
	return newCommandGroup("contract", "Check, change and read contracts",
		a.validateCommand(), a.putCommand(), a.getCommand(), a.listCommand(), a.historyCommand(), a.watchCommand())
}

// readDocument returns the content of the named file, or of the standard input
// if the name is "-".
func readDocument(cmd *cobra.Command, name string) ([]byte, error) {
	var text []byte
	var err error
	if name == "-" {
		text, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), contract.MaxDocumentBytes+1))
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, NewError(CodeUsage, "read the document: %v", err)
	}
	return text, nil
}

// validationResult is the entry of one file in the JSON output of contract
// validate.
type validationResult struct {
	File    string  `json:"file"`
	Valid   bool    `json:"valid"`
	Team    string  `json:"customer,omitempty"`
	Share   float64 `json:"share_percent,omitempty"`
	Line    int     `json:"line,omitempty"`
	Column  int     `json:"column,omitempty"`
	Key     string  `json:"key,omitempty"`
	Message string  `json:"message,omitempty"`
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE...", Short: "Check contract documents without a node",
		Long:    "Check contract documents against the rules that nodes apply. '-' reads the standard input.",
		Example: "  yuccahatch contract validate arejo.toml zasterna.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			if err := a.checkOutput(); err != nil {
				return err
			}
			return a.validate(cmd, files)
		},
	}
}

func (a *app) validate(cmd *cobra.Command, files []string) error {
	var results []validationResult
	refused := 0
	for _, file := range files {
		text, err := readDocument(cmd, file)
		if err != nil {
			return err
		}
		result := validateDocument(file, text)
		if !result.Valid {
			refused++
		}
		results = append(results, result)
	}
	err := a.print(cmd.OutOrStdout(), results, func(w io.Writer) {
		for _, r := range results {
			if r.Valid {
				fmt.Fprintf(w, "%s: valid contract of %s\n", r.File, r.Team)
			} else {
				fmt.Fprintf(w, "%s: %s\n", r.File, r.Message)
			}
		}
	})
	if err == nil && refused > 0 {
		err = NewError(CodeRefused, "%d of %d documents refused", refused, len(files))
	}
	return err
}

func validateDocument(file string, text []byte) validationResult {
	c, err := contract.Parse(text)
	var de *contract.DocumentError
	if errors.As(err, &de) {
		return validationResult{File: file, Line: de.Line, Column: de.Column, Key: de.Key, Message: de.Error()}
	}
	return validationResult{File: file, Valid: true, Team: string(c.Team), Share: c.SharePercent}
}

func contractPath(team string) string {
	return operatorapi.RouteContracts + "/" + url.PathEscape(team)
}

func (a *app) getCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get CUSTOMER", Short: "Print the newest document of a contract",
		Long:    "Print the newest document of a contract. The version is printed to the standard error, so that the standard output is a document that can be edited and passed to contract put.",
		Example: "  yuccahatch contract get arejo-lisboa > arejo.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			var found operatorapi.Contract
			if err := c.get(cmd.Context(), contractPath(args[0]), &found); err != nil {
				return err
			}
			return a.print(cmd.OutOrStdout(), found, func(w io.Writer) {
				fmt.Fprintf(cmd.ErrOrStderr(), "version %d, changed by %s at %s\n", found.Version, found.ChangedBy, found.ChangedAt.Format(timeLayout))
				fmt.Fprint(w, found.Document)
			})
		},
	}
}

func (a *app) listCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the contracts in force", Example: "  yuccahatch contract list",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.showContracts(cmd, operatorapi.RouteContracts)
		},
	}
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "history CUSTOMER", Short: "List the versions of a contract, newest first",
		Long:    "List the versions of a contract, newest first. The JSON output includes the documents.",
		Example: "  yuccahatch contract history arejo-lisboa --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.showContracts(cmd, contractPath(args[0])+"/history")
		},
	}
}

func (a *app) showContracts(cmd *cobra.Command, path string) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	var list operatorapi.ContractList
	if err := c.get(cmd.Context(), path, &list); err != nil {
		return err
	}
	return a.print(cmd.OutOrStdout(), list, func(w io.Writer) {
		var rows [][]string
		for _, item := range list.Contracts {
			rows = append(rows, contractRow(item))
		}
		printTable(w, contractHeader, rows)
	})
}

var contractHeader = []string{"CUSTOMER", "VERSION", "SEQUENCE", "CHANGED AT", "CHANGED BY", "CHANGE ID"}

func contractRow(c operatorapi.Contract) []string {
	return []string{
		c.Customer, strconv.FormatInt(c.Version, 10), strconv.FormatInt(c.Sequence, 10),
		c.ChangedAt.Format(timeLayout), c.ChangedBy, c.ChangeID,
	}
}

func (a *app) watchCommand() *cobra.Command {
	var interval time.Duration
	cmd := &cobra.Command{
		Use: "watch", Short: "Print contract changes as they come into force on a node",
		Long:    "Print contract changes as they come into force on the node that answers, until interrupted. The JSON output has one object per line.",
		Example: "  yuccahatch contract watch --interval 500ms",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().DurationVar(&interval, "interval", time.Second, "polling interval")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if interval <= 0 {
			return NewError(CodeUsage, "--interval is %s; allowed: a time above 0", interval)
		}
		c, err := a.client()
		if err != nil {
			return err
		}
		return a.watch(cmd, c, interval)
	}
	return cmd
}

func (a *app) watch(cmd *cobra.Command, c *client, interval time.Duration) error {
	var seen int64
	for first := true; ; first = false {
		var list operatorapi.ContractList
		if err := c.get(cmd.Context(), operatorapi.RouteContracts, &list); err != nil {
			if cmd.Context().Err() != nil {
				return nil
			}
			return err
		}
		newest := seen
		for _, item := range list.Contracts {
			if item.Sequence > seen && !first {
				if err := a.printChange(cmd.OutOrStdout(), item); err != nil {
					return err
				}
			}
			newest = max(newest, item.Sequence)
		}
		seen = newest
		if !sleep(cmd.Context(), interval) {
			return nil
		}
	}
}

// sleep waits for d and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
