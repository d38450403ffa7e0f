package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/contract"
)

// statusPollInterval is the interval at which contract put --wait polls the status.
// Nodes exchange their change log sequence numbers at the same interval.
const statusPollInterval = 500 * time.Millisecond

// putFlags holds the flags of contract put.
type putFlags struct {
	base      int64
	changeID  string
	wait      bool
	waitLimit time.Duration
}

func (a *app) putCommand() *cobra.Command {
	var flags putFlags
	cmd := &cobra.Command{
		Use: "put FILE", Short: "Make a document the next version of its customer's contract",
		Long: `Make a document the next version of its customer's contract. '-' reads the
standard input.

Without --base the change applies to the newest version; with it, the change is
refused (exit status 4) if the contract has another version by now. 0 means that
the contract must not exist yet.

If the outcome is unknown, repeat the command with the --change-id that it
printed: a change with one id takes effect at most once.`,
		Example: `  yuccahatch contract put arejo.toml --wait
  yuccahatch contract put arejo.toml --base 3`,
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().Int64Var(&flags.base, "base", -1, "version that the change is based on; 0: no contract yet")
	cmd.Flags().StringVar(&flags.changeID, "change-id", "", "id of the change (default random)")
	cmd.Flags().BoolVar(&flags.wait, "wait", false, "wait until the change is in force on every live node")
	cmd.Flags().DurationVar(&flags.waitLimit, "wait-limit", 2*time.Minute, "give up waiting after this time")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if cmd.Flags().Changed("base") && flags.base < 0 {
			return NewError(CodeUsage, "--base is %d; allowed: a version number from 0", flags.base)
		}
		return a.put(cmd, args[0], flags)
	}
	return cmd
}

func (a *app) put(cmd *cobra.Command, file string, flags putFlags) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	document, err := readDocument(cmd, file)
	if err != nil {
		return err
	}
	team := contract.TeamOf(document)
	if team == "" {
		// The URL path of the request names the team.
		return NewError(CodeRefused, "%s: %s", file, validateDocument(file, document).Message)
	}
	if flags.changeID == "" {
		flags.changeID = a.newID()
	}
	header := map[string]string{operatorapi.HeaderChangeID: flags.changeID, "Content-Type": "application/toml"}
	if flags.base >= 0 {
		header[operatorapi.HeaderBaseVersion] = strconv.FormatInt(flags.base, 10)
	}
	var result operatorapi.PutResult
	status, err := c.call(cmd.Context(), http.MethodPut, contractPath(string(team)), header, document, &result)
	if err != nil {
		// The node may have recorded the change although no successful response
		// arrived. 503 means that it did not.
		if status == 0 || status == http.StatusInternalServerError || status == http.StatusGatewayTimeout {
			fmt.Fprintf(cmd.ErrOrStderr(), "To retry this change safely, add: --change-id %s\n", flags.changeID)
		}
		return err
	}
	if flags.wait {
		if result, err = a.waitForChange(cmd, c, result, flags.waitLimit); err != nil {
			return err
		}
	}
	return a.print(cmd.OutOrStdout(), result, func(w io.Writer) { printPutResult(w, result) })
}

func printPutResult(w io.Writer, r operatorapi.PutResult) {
	state := "accepted"
	if !r.Accepted {
		state = "recorded, not yet in force on a majority of the hosts"
	}
	fmt.Fprintf(w, "%s: version %d %s; in force on %d of %d nodes\n",
		r.Contract.Customer, r.Contract.Version, state, len(r.InForce), len(r.InForce)+len(r.Pending))
	if len(r.Pending) > 0 {
		fmt.Fprintf(w, "waiting for: %s\n", strings.Join(r.Pending, ", "))
	}
}

// waitForChange polls the status until the change is in force on every live
// node, the limit has passed or the context of cmd ends. It returns result with
// InForce, Pending and Accepted updated.
func (a *app) waitForChange(cmd *cobra.Command, c *client, result operatorapi.PutResult, limit time.Duration) (operatorapi.PutResult, error) {
	deadline := time.Now().Add(limit)
	lastProgress := ""
	for {
		var status operatorapi.Status
		err := c.get(cmd.Context(), operatorapi.RouteStatus, &status)
		if err == nil {
			result.InForce, result.Pending = rolloutStatus(status, result.Contract.Sequence)
			total := len(result.InForce) + len(result.Pending)
			// A node without a host list reports no other nodes.
			if total > 0 && len(result.Pending) == 0 {
				result.Accepted = true
			}
			progress := fmt.Sprintf("version %d in force on %d of %d nodes", result.Contract.Version, len(result.InForce), total)
			if progress != lastProgress {
				fmt.Fprintln(cmd.ErrOrStderr(), progress)
				lastProgress = progress
			}
			if total > 0 && len(result.Pending) == 0 {
				return result, nil
			}
		} else if codeOf(err) != CodeUnreachable {
			return result, err
		}
		if time.Now().After(deadline) {
			return result, NewError(CodeFailed, "version %d is recorded but not in force everywhere after %s; waiting for: %s",
				result.Contract.Version, limit, strings.Join(result.Pending, ", "))
		}
		if !sleep(cmd.Context(), statusPollInterval) {
			return result, NewError(CodeFailed, "interrupted; version %d is recorded", result.Contract.Version)
		}
	}
}

// rolloutStatus returns the host ids of the live nodes on which the change log
// is in force up to the sequence, and of those on which it is not yet. The node
// that sent the status is counted even if its list of nodes does not contain it.
func rolloutStatus(status operatorapi.Status, sequence int64) (inForce, pending []string) {
	nodes := status.Nodes
	listed := false
	for _, node := range nodes {
		listed = listed || node.HostID == status.HostID
	}
	if !listed {
		nodes = append(nodes, operatorapi.NodeStatus{HostID: status.HostID, Sequence: status.Sequence})
	}
	for _, node := range nodes {
		switch {
		case node.State == "dead" || node.State == "left":
		case node.Sequence >= sequence:
			inForce = append(inForce, node.HostID)
		default:
			pending = append(pending, node.HostID)
		}
	}
	return inForce, pending
}

func (a *app) printChange(w io.Writer, c operatorapi.Contract) error {
	if a.output == outputJSON {
		return json.NewEncoder(w).Encode(c)
	}
	_, err := fmt.Fprintf(w, "%s  %s version %d by %s (position %d)\n", c.ChangedAt.Format(timeLayout), c.Customer, c.Version, c.ChangedBy, c.Sequence)
	return err
}
