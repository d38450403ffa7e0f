package node

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
)

// contractEntry returns a version of a contract with one key.
func contractEntry(version int, key string) contractset.Entry {
	hash := contract.HashKey(key)
	return contractset.Entry{
		Team: "c", Version: ident.ContractVersion(version), Sequence: ident.LogSequence(version),
		Document: fmt.Sprintf("customer = \"c\"\nkeys = [%q]\npriority = \"normal\"\nshare_percent = 100\nmodels = []\n", hash.String()),
	}
}

// TestKeyRemovedDuringCheck guards against work that is admitted with a removed
// key. The key was looked up before a contract change came into force and
// before the proof of freshness that came with the change. A node that resumes
// after a pause receives both within milliseconds of the requests in its
// sockets.
func TestKeyRemovedDuringCheck(t *testing.T) {
	n := newTestNode(t)
	n.listed = hostIDs([]platformapi.Host{{HostID: "a"}, {HostID: "b"}})
	n.contracts.Apply(contractEntry(1, "old"))
	access, err := n.Authenticate("old")
	if err != nil {
		t.Fatal(err)
	}
	n.contracts.Apply(contractEntry(2, "new"))
	n.freshness.RecordHeadRead(time.Now(), 2, n.contracts.Sequence())

	checks := map[string]func() error{
		"generation": func() error {
			_, err := n.checkGeneration(access, &caller.GenerationRequest{Model: "m"})
			return err
		},
		"call": func() error {
			_, err := n.Call(t.Context(), access, &caller.ServiceCall{Service: "s", Method: "POST", Path: "/"})
			return err
		},
	}
	for name, check := range checks {
		var failure *caller.Failure
		if err := check(); !errors.As(err, &failure) || failure.Code != callerapi.CodeInvalidAPIKey {
			t.Errorf("%s with the removed key: %v", name, err)
		}
	}
}

// TestNoContract guards against work for a team whose contract this node cannot
// apply: the node must not use the previous version, nor admit the team without
// a contract.
func TestNoContract(t *testing.T) {
	n := newTestNode(t)
	unreadable := contractEntry(2, "key")
	unreadable.Document = "customer = 7"
	n.contracts.Apply(contractEntry(1, "key"), unreadable)
	for _, team := range []ident.Team{"c", "nobody"} {
		var failure *caller.Failure
		if _, err := n.contractOf(team); !errors.As(err, &failure) || failure.Code != callerapi.CodeNoContract {
			t.Errorf("customer %q: %v, want %s", team, err, callerapi.CodeNoContract)
		}
	}
	if _, err := n.Authenticate("key"); err == nil {
		t.Error("a key of the previous version is accepted although the current version cannot be read")
	}
}
