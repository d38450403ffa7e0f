package claimwriter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/claim"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// tableLatency is the duration of one call to the table in these tests.
const tableLatency = 5 * time.Millisecond

type slowTable struct{ *tabletest.Table }

func (s slowTable) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	time.Sleep(tableLatency)
	return s.Table.Txn(ctx, txn)
}

func (s slowTable) Read(ctx context.Context, keys ...string) ([]platformapi.Row, error) {
	time.Sleep(tableLatency)
	return s.Table.Read(ctx, keys...)
}

// withWriter runs the test with virtual time in a synctest bubble.
func withWriter(t *testing.T, test func(t *testing.T, w *Writer, rows *tabletest.Table)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		rows := tabletest.New()
		var _ table.Table = slowTable{rows}
		w := New(slowTable{rows}, log, tally.NoopScope)
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		defer func() { stop(); <-w.stopped }()
		test(t, w, rows)
	})
}

func claimed(attempt string) claim.Row {
	return claim.Row{Attempt: ident.AttemptID(attempt), State: claim.StateClaimed}
}

// concurrently calls f with 0 to n-1 concurrently and waits for all calls.
func concurrently(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// Guards against two claims of one key that both commit because they pass their
// condition in the same transaction.
func TestOneKeyTwiceInAGroup(t *testing.T) {
	withWriter(t, func(t *testing.T, w *Writer, _ *tabletest.Table) {
		var events [8]claim.Event
		concurrently(len(events), func(i int) { events[i] = w.Write("claim/c/k", claimed(fmt.Sprint(i)), 0) })
		committed := 0
		for _, e := range events {
			if e.Kind == claim.EventCommitted {
				committed++
			}
		}
		if committed != 1 {
			t.Fatalf("%d of %d claims of one key committed", committed, len(events))
		}
	})
}

// Guards against a conflict on one claim that fails the other claims of its
// group.
func TestConflictSplitsTheGroup(t *testing.T) {
	withWriter(t, func(t *testing.T, w *Writer, rows *tabletest.Table) {
		w.Write("k3", claimed("other"), 0)
		w.Write("k5", claimed("other"), 0)
		var events [10]claim.Event
		concurrently(len(events), func(i int) { events[i] = w.Write(fmt.Sprintf("k%d", i), claimed("own"), 0) })
		for i, e := range events {
			if i == 3 || i == 5 {
				if e.Kind != claim.EventConflict || e.Row.Attempt != "other" || e.Version != 1 {
					t.Errorf("k%d: %+v", i, e)
				}
			} else if e.Kind != claim.EventCommitted || e.Version != 1 {
				t.Errorf("k%d: %+v", i, e)
			}
		}
		if writes, _ := rows.Calls(); writes != 4 {
			t.Errorf("%d transactions, want 2 before, 1 that conflicts and 1 without the conflicts", writes)
		}
	})
}

// Guards against a wrong outcome being reported when a transaction or its answer is
// lost.
func TestLostAnswers(t *testing.T) {
	for _, tc := range []struct {
		name      string
		txn, read tabletest.Fault
		want      claim.EventKind
	}{
		{"answer lost", tabletest.FaultLostResponse, tabletest.FaultNone, claim.EventCommitted},
		{"call lost", tabletest.FaultLostCall, tabletest.FaultNone, claim.EventUnknown},
		{"answer lost, unreadable", tabletest.FaultLostResponse, tabletest.FaultUnavailable, claim.EventUnknown},
		{"outage", tabletest.FaultUnavailable, tabletest.FaultUnavailable, claim.EventUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withWriter(t, func(t *testing.T, w *Writer, rows *tabletest.Table) {
				rows.SetFaults(func(op string) tabletest.Fault {
					if op == "txn" {
						return tc.txn
					}
					return tc.read
				})
				if e := w.Write("k", claimed("a"), 0); e.Kind != tc.want {
					t.Errorf("event = %+v, want kind %d", e, tc.want)
				}
			})
		})
	}
}

// Guards against an attempt that mistakes its own claim for another attempt's. This
// can happen if the answer to its first write is lost and the repeated write
// conflicts.
func TestRepeatedWriteFindsOwnClaim(t *testing.T) {
	withWriter(t, func(t *testing.T, w *Writer, rows *tabletest.Table) {
		rows.SetFaults(func(op string) tabletest.Fault {
			if op == "txn" {
				return tabletest.FaultLostResponse
			}
			return tabletest.FaultUnavailable
		})
		w.Write("k", claimed("a"), 0)
		rows.SetFaults(func(string) tabletest.Fault { return tabletest.FaultNone })
		if e := w.Write("k", claimed("a"), 0); e.Kind != claim.EventCommitted || e.Version != 1 {
			t.Errorf("event = %+v", e)
		}
	})
}

// Guards against callers that wait in an unbounded queue while the table does not
// answer: operations beyond QueueLength must fail at once.
func TestOverflowFailsAtOnce(t *testing.T) {
	withWriter(t, func(t *testing.T, w *Writer, _ *tabletest.Table) {
		start := time.Now()
		var mu sync.Mutex
		refused := 0
		concurrently(QueueLength+200, func(i int) {
			e := w.Write(fmt.Sprint(i), claimed("a"), 0)
			mu.Lock()
			defer mu.Unlock()
			if e.Kind == claim.EventUnavailable {
				refused++
				if time.Since(start) != 0 {
					t.Errorf("refused after %s", time.Since(start))
				}
			}
		})
		// The loop may already have taken one operation from the queue.
		if refused < 199 || refused > 200 {
			t.Errorf("%d refused, want 199 or 200", refused)
		}
	})
}

// Guards against a call that blocks forever after the writer has stopped.
func TestStoppedWriterAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(tabletest.New(), logrus.New(), tally.NoopScope)
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		var e claim.Event
		done := make(chan struct{})
		go func() { e = w.Write("k", claimed("a"), 0); close(done) }()
		synctest.Wait()
		stop()
		<-done
		if e.Kind != claim.EventUnknown || w.Read("k").Kind != claim.EventReadFailed {
			t.Errorf("event = %+v", e)
		}
	})
}

// Guards against a number of transactions that grows with the number of
// concurrent claims, and prints the figures for docs/CAPACITY.md. Each claim takes
// two writes: the claim and its result.
func TestTransactionsPerClaim(t *testing.T) {
	const rounds = 20
	for _, concurrent := range []int{1, 10, 100, 1000} {
		t.Run(fmt.Sprint(concurrent), func(t *testing.T) {
			withWriter(t, func(t *testing.T, w *Writer, rows *tabletest.Table) {
				start := time.Now()
				concurrently(concurrent, func(i int) {
					for round := range rounds {
						key := fmt.Sprintf("%d/%d", i, round)
						e := w.Write(key, claimed(key), 0)
						w.Write(key, claim.Row{Attempt: ident.AttemptID(key), State: claim.StateDone, Result: &claim.Result{}}, e.Version)
					}
				})
				claims, seconds := concurrent*rounds, time.Since(start).Seconds()
				writes, _ := rows.Calls()
				t.Logf("%4d concurrent: %6.0f claims/s, %5.1f transactions/s, %.4f transactions per claim",
					concurrent, float64(claims)/seconds, float64(writes)/seconds, float64(writes)/float64(claims))
				if writes > 2*rounds {
					t.Errorf("%d transactions for %d rounds", writes, rounds)
				}
			})
		})
	}
}
