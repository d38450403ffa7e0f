package capacity

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

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/audit"
	"github.com/yuccahatch/yuccahatch/internal/claim"
	"github.com/yuccahatch/yuccahatch/internal/claimwriter"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// slowTable is a table on which each transaction takes 5 ms of virtual time.
type slowTable struct{ *tabletest.Table }

func (s slowTable) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	time.Sleep(5 * time.Millisecond)
	return s.Table.Txn(ctx, txn)
}

// transactionsPerSecond starts the worker that run returns, calls send n times,
// spread evenly over 2 s of virtual time, and returns the number of transactions
// per second of these 2 s.
func transactionsPerSecond(t *testing.T, n int, run func(slowTable, logrus.FieldLogger) (worker func(context.Context), send func(int))) float64 {
	var rate float64
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		rows := tabletest.New()
		worker, send := run(slowTable{rows}, log)
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { worker(ctx) })
		var sends sync.WaitGroup
		for i := range n {
			sends.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Second / time.Duration(n))
				send(i)
			})
		}
		sends.Wait()
		time.Sleep(time.Second)
		stop()
		wg.Wait()
		writes, _ := rows.Calls()
		rate = float64(writes) / 2
	})
	return rate
}

// TestClaimTransactions guards against a claim writer that does not group claims.
// The writer runs one transaction at a time, and each takes 5 ms here, so that it
// can make at most 200 per second.
func TestClaimTransactions(t *testing.T) {
	for _, claims := range []int{10, 100, 1_000, 4_000} {
		rate := transactionsPerSecond(t, 2*claims, func(table slowTable, log logrus.FieldLogger) (func(context.Context), func(int)) {
			w := claimwriter.New(table, log, tally.NoopScope)
			return w.Run, func(i int) { w.Write(fmt.Sprint("claim/", i), claim.Row{State: claim.StateClaimed}, 0) }
		})
		t.Logf("%d claims/s: %.0f transactions/s, %.1f claims each", claims, rate, float64(claims)/rate)
		if rate > 200 {
			t.Errorf("%d claims/s make %.0f transactions/s, want at most 200", claims, rate)
		}
	}
}

// TestAuditTransactions guards against an audit trail that does not group records:
// a node writes at most one group every 200 ms.
func TestAuditTransactions(t *testing.T) {
	for _, records := range []int{1, 10, 100} {
		rate := transactionsPerSecond(t, 2*records, func(table slowTable, log logrus.FieldLogger) (func(context.Context), func(int)) {
			trail := audit.NewTrail(table, log, tally.NoopScope)
			return trail.Run, func(i int) {
				trail.Record(operatorapi.AuditRecord{At: time.Now(), HostID: "host-0001", Customer: fmt.Sprint(i), Outcome: "applied"})
			}
		})
		t.Logf("%d records/s: %.1f transactions/s", records, rate)
		if rate > 5.5 {
			t.Errorf("%d records/s make %.1f transactions/s, want about 5 at most", records, rate)
		}
	}
}
