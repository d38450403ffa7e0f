package contractlog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/audit"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// fakeRecorder keeps the audit records of rejected changes.
type fakeRecorder struct{ all []operatorapi.AuditRecord }

func (r *fakeRecorder) Record(record operatorapi.AuditRecord) bool {
	r.all = append(r.all, record)
	return true
}

func document(team string, share int) []byte {
	return fmt.Appendf(nil, "customer = %q\nshare_percent = %d\n", team, share)
}

// faultSequence returns a function that injects one fault per transaction, in
// order, and then none.
func faultSequence(faults ...tabletest.Fault) func(string) tabletest.Fault {
	return func(op string) tabletest.Fault {
		if op != "txn" || len(faults) == 0 {
			return tabletest.FaultNone
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
}

func put(t *testing.T, l *Log, team string, share int, base ident.ContractVersion) contractset.Entry {
	t.Helper()
	entry, err := l.Put(t.Context(), document(team, share), base, "", "ana")
	if err != nil {
		t.Fatal(err)
	}
	return entry
}

func TestPutAndRead(t *testing.T) {
	table, refused := tabletest.New(), &fakeRecorder{}
	l := New(table, refused, "h1", time.Now)
	first := put(t, l, "a", 1, 0)
	second := put(t, l, "a", 2, BaseNewest)
	put(t, l, "b", 3, 0)
	if first.Version != 1 || second.Version != 2 || second.Sequence != 2 || second.ChangedBy != "ana" {
		t.Errorf("entries = %+v, %+v", first, second)
	}
	_, err := l.Put(t.Context(), document("a", 4), 1, "", "rui")
	if current, ok := CurrentOf(err); CodeOf(err) != CodeConflict || !ok || current.Version != 2 || current.Document != second.Document {
		t.Errorf("stale base: %v, current %+v", err, current)
	}
	_, err = l.Put(t.Context(), []byte("customer = \"a\"\nshare_percent = 101\n"), 2, "", "rui")
	var de *contract.DocumentError
	if CodeOf(err) != CodeRefused || !errors.As(err, &de) || de.Line != 2 {
		t.Errorf("bad document: %v", err)
	}
	if _, err = l.Put(t.Context(), document("a", 1), 2, "a/b", "rui"); CodeOf(err) != CodeBadChangeID {
		t.Errorf("bad change id: %v", err)
	}
	if len(refused.all) != 2 || refused.all[0].Customer != "a" || refused.all[1].Customer != "a" || refused.all[1].Outcome != audit.OutcomeRefused {
		t.Errorf("audit records of refused changes = %+v", refused.all)
	}
	history, err := l.History(t.Context(), "a", 10)
	if err != nil || len(history) != 2 || history[0].Version != 2 || history[1].Version != 1 {
		t.Errorf("history = %+v, %v", history, err)
	}
	page, err := audit.Page(t.Context(), table, "a", time.Time{}, 0)
	if err != nil || len(page.Records) != 2 || page.Records[1].To != 2 || page.Records[1].Outcome != audit.OutcomeRecorded {
		t.Errorf("audit = %+v, %v", page, err)
	}
}

// Guards against retries after a lost request or response that commit a change twice
// or report the wrong outcome.
func TestPutWithFaults(t *testing.T) {
	const down, lostAnswer, lostCall = tabletest.FaultUnavailable, tabletest.FaultLostResponse, tabletest.FaultLostCall
	for _, tc := range []struct {
		name   string
		faults []tabletest.Fault
		code   Code
		head   ident.LogSequence
	}{
		{"lost answer", []tabletest.Fault{lostAnswer}, "", 1},
		{"lost call", []tabletest.Fault{lostCall}, "", 1},
		{"lost calls, then a short outage", []tabletest.Fault{lostCall, lostCall, down, down}, "", 1},
		{"outage", []tabletest.Fault{down}, CodeStoreUnavailable, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := tabletest.New()
				table.SetFaults(faultSequence(tc.faults...))
				l := New(table, &fakeRecorder{}, "h1", time.Now)
				_, err := l.Put(t.Context(), document("a", 1), 0, "c1", "ana")
				if CodeOf(err) != tc.code || (err == nil) != (tc.code == "") {
					t.Errorf("error = %v, want code %q", err, tc.code)
				}
				if head, _ := l.Head(t.Context()); head != tc.head {
					t.Errorf("head = %d, want %d", head, tc.head)
				}
			})
		})
	}
}

// Guards against a wrong outcome if the response to a transaction is lost and the
// reads that would resolve it fail: Put must report an unknown outcome. Repeating the
// change with the same id must return its outcome, even after other changes.
func TestPutOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := tabletest.New()
		l := New(table, &fakeRecorder{}, "h1", time.Now)
		lost := false
		table.SetFaults(func(op string) tabletest.Fault {
			switch {
			case lost:
				return tabletest.FaultUnavailable
			case op == "txn":
				lost = true
				return tabletest.FaultLostResponse
			}
			return tabletest.FaultNone
		})
		_, err := l.Put(t.Context(), document("a", 1), 0, "c1", "ana")
		if CodeOf(err) != CodeOutcomeUnknown || ChangeIDOf(err) != "c1" || !strings.Contains(err.Error(), "c1") {
			t.Fatalf("error = %v, change id %q", err, ChangeIDOf(err))
		}
		table.SetFaults(faultSequence())
		put(t, l, "a", 2, 1)
		entry, err := l.Put(t.Context(), document("a", 1), 0, "c1", "ana")
		if err != nil || entry.Version != 1 {
			t.Errorf("repetition = %+v, %v", entry, err)
		}
		if _, err := l.Put(t.Context(), document("a", 9), 2, "c1", "ana"); CodeOf(err) != CodeChangeIDReused {
			t.Errorf("other change with the same id: %v", err)
		}
		// Retries also end when the caller cancels the context.
		lost = false
		table.SetFaults(func(string) tabletest.Fault {
			return map[bool]tabletest.Fault{true: tabletest.FaultLostCall}[lost]
		})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := l.Put(ctx, document("a", 3), 2, "c2", "ana"); err == nil {
			t.Error("Put succeeds with a cancelled context")
		}
	})
}

// Guards against a follower that skips entries, in particular if more than
// fullLoadThreshold entries are missing and it reads the newest version of every
// contract instead, and against unnecessary reads while nothing changes.
func TestFollower(t *testing.T) {
	table := tabletest.New()
	l := New(table, &fakeRecorder{}, "h1", time.Now)
	set := contractset.New()
	f := NewFollower(l, set)
	poll := func(want int) {
		t.Helper()
		applied, head, err := f.Poll(t.Context())
		if err != nil || len(applied) != want || set.Sequence() != head {
			t.Errorf("poll = %d entries, head %d, sequence %d, %v; want %d entries", len(applied), head, set.Sequence(), err, want)
		}
	}
	poll(0)
	put(t, l, "a", 1, 0)
	put(t, l, "b", 1, 0)
	poll(2)
	_, before := table.Calls()
	poll(0)
	if _, after := table.Calls(); after != before+1 {
		t.Errorf("idle poll made %d reads", after-before)
	}
	for i := range scanPageSize + 1 {
		put(t, l, "a", i%100+1, BaseNewest)
	}
	poll(scanPageSize + 1)
	for i := range fullLoadThreshold + 1 {
		put(t, l, "b", i%100+1, BaseNewest)
	}
	poll(1)
	if current, _ := set.Contract("b"); current.Entry.Version != fullLoadThreshold+2 {
		t.Errorf("b has version %d", current.Entry.Version)
	}
	table.SetFaults(func(string) tabletest.Fault { return tabletest.FaultUnavailable })
	if _, _, err := f.Poll(t.Context()); CodeOf(err) != CodeStoreUnavailable {
		t.Errorf("poll during an outage: %v", err)
	}
}
