package audit

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func record(team string, at time.Time, to int64) operatorapi.AuditRecord {
	return operatorapi.AuditRecord{At: at, Customer: team, Action: ActionPut, To: to, Outcome: OutcomeRecorded}
}

func countRecords(t *testing.T, table *tabletest.Table, team string) int {
	t.Helper()
	page, err := Page(t.Context(), table, team, time.Time{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Records)
}

// Guards against one transaction per record, against loss of records in an outage
// or after a lost call or response, and against duplicate records after a retry.
func TestTrailBatchesAndRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := tabletest.New()
		faults := []tabletest.Fault{tabletest.FaultUnavailable, tabletest.FaultLostResponse, tabletest.FaultLostCall}
		table.SetFaults(func(op string) tabletest.Fault {
			if op != "txn" || len(faults) == 0 {
				return tabletest.FaultNone
			}
			fault := faults[0]
			faults = faults[1:]
			return fault
		})
		trail := NewTrail(table, discardLogger(), tally.NoopScope)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { trail.Run(ctx); close(done) }()
		for i := range 50 {
			trail.Record(record("a", time.Now(), int64(i)))
		}
		time.Sleep(10 * time.Second)
		if writes, _ := table.Calls(); writes != 4 {
			t.Errorf("%d transactions, want 4", writes)
		}
		if n := countRecords(t, table, "a"); n != 50 {
			t.Errorf("%d records in the table, want 50", n)
		}
		trail.Record(record("a", time.Now(), 50))
		cancel()
		<-done
		if n := countRecords(t, table, "a"); n != 51 {
			t.Errorf("%d records after the stop, want 51", n)
		}
	})
}

// While the table is unavailable, Record must neither block the caller nor let the
// queue grow without bound.
func TestTrailOverflow(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	trail := NewTrail(tabletest.New(), discardLogger(), scope)
	for range queueCapacity {
		if !trail.Record(operatorapi.AuditRecord{}) {
			t.Fatal("record dropped before the queue was full")
		}
	}
	if trail.Record(operatorapi.AuditRecord{}) {
		t.Error("record accepted by a full queue")
	}
	if n := scope.Snapshot().Counters()["audit_records_dropped+"].Value(); n != 1 {
		t.Errorf("%d records counted as dropped", n)
	}
}

// Guards against records that are on no page, in particular records with the same
// time as the last record of a page.
func TestPages(t *testing.T) {
	table := tabletest.New()
	trail := NewTrail(table, discardLogger(), tally.NoopScope)
	start := time.Unix(1790000000, 0).UTC()
	var batch []operatorapi.AuditRecord
	for i := range 20 {
		for _, team := range []string{"a", "a", "b", "not/valid"} {
			batch = append(batch, record(team, start.Add(time.Duration(i/3)), int64(i)))
		}
	}
	trail.writeBatch(t.Context(), batch)
	for team, want := range map[string]int{"a": 40, "b": 20, "c": 0, "": 80} {
		var after time.Time
		got := 0
		for {
			page, err := Page(t.Context(), table, team, after, 7)
			if err != nil {
				t.Fatal(err)
			}
			if len(page.Records) == 0 {
				break
			}
			got += len(page.Records)
			last := page.Records[len(page.Records)-1].At
			if !last.After(after) {
				t.Fatalf("page ends at %s, not after %s", last, after)
			}
			after = last
		}
		if got != want {
			t.Errorf("customer %q: %d records in all pages, want %d", team, got, want)
		}
	}
	table.SetFaults(func(string) tabletest.Fault { return tabletest.FaultUnavailable })
	if _, err := Page(t.Context(), table, "", time.Time{}, 0); CodeOf(err) != CodeUnavailable {
		t.Errorf("error = %v", err)
	}
}
