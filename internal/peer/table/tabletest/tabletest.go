// Package tabletest provides an in-memory Table with injectable faults for
// tests.
package tabletest

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

// Fault is what happens to one call.
type Fault int

// Faults.
const (
	// FaultNone lets the call succeed.
	FaultNone Fault = iota
	// FaultUnavailable refuses the call; it does not take effect.
	FaultUnavailable
	// FaultLostAnswer applies the call and loses its answer.
	FaultLostAnswer
	// FaultLostCall loses the call before it takes effect; the client cannot
	// tell it from FaultLostAnswer.
	FaultLostCall
)

// Table is an in-memory table.
type Table struct {
	mu sync.Mutex
	// rows and versions are guarded by mu. A deleted row keeps its version so
	// that versions of a key only rise.
	rows     map[string]json.RawMessage
	versions map[string]int64
	// next decides the fault of a call; guarded by mu.
	next func(op string) Fault
	// writes and reads count calls; guarded by mu.
	writes, reads int
}

var _ table.Table = (*Table)(nil)

// New returns an empty table without faults.
func New() *Table {
	return &Table{
		rows:     map[string]json.RawMessage{},
		versions: map[string]int64{},
		next:     func(string) Fault { return FaultNone },
	}
}

// SetFaults installs a function that decides the fault of each call. Its
// argument is "txn", "read" or "scan".
func (t *Table) SetFaults(next func(op string) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = next
}

// Calls returns how many transactions and how many reads arrived.
func (t *Table) Calls() (writes, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}

// Txn implements table.Table.
func (t *Table) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	fault := t.next("txn")
	if err := refuse(ctx, fault); err != nil {
		return platformapi.TxnResponse{}, err
	}
	answer := t.apply(txn)
	if fault == FaultLostAnswer {
		return platformapi.TxnResponse{}, lost()
	}
	if !answer.Committed {
		return answer, oops.Code(table.CodeConflict).Errorf("%d conditions failed", len(answer.Conflicts))
	}
	return answer, nil
}

func (t *Table) apply(txn platformapi.TxnRequest) platformapi.TxnResponse {
	var conflicts []platformapi.Row
	for _, c := range txn.Conditions {
		if row := t.row(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return platformapi.TxnResponse{Conflicts: conflicts}
	}
	versions := map[string]int64{}
	for _, w := range txn.Writes {
		t.versions[w.Key]++
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = append(json.RawMessage(nil), w.Value...)
		versions[w.Key] = t.versions[w.Key]
	}
	return platformapi.TxnResponse{Committed: true, Versions: versions}
}

// row requires mu.
func (t *Table) row(key string) platformapi.Row {
	value, ok := t.rows[key]
	if !ok {
		return platformapi.Row{Key: key}
	}
	return platformapi.Row{Key: key, Version: t.versions[key], Value: value}
}

// Read implements table.Table.
func (t *Table) Read(ctx context.Context, keys ...string) ([]platformapi.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	fault := t.next("read")
	if err := refuse(ctx, fault); err != nil {
		return nil, err
	}
	if fault == FaultLostAnswer {
		return nil, lost()
	}
	rows := make([]platformapi.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows, nil
}

// Scan implements table.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	fault := t.next("scan")
	if err := refuse(ctx, fault); err != nil {
		return nil, false, err
	}
	if fault == FaultLostAnswer {
		return nil, false, lost()
	}
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > limit
	if more {
		keys = keys[:limit]
	}
	var rows []platformapi.Row
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows, more, nil
}

// refuse returns the error of a call that does not take effect.
func refuse(ctx context.Context, fault Fault) error {
	switch {
	case ctx.Err() != nil:
		return oops.Code(table.CodeUnknown).Wrap(ctx.Err())
	case fault == FaultUnavailable:
		return oops.Code(table.CodeUnavailable).Errorf("table is unavailable")
	case fault == FaultLostCall:
		return lost()
	}
	return nil
}

func lost() error {
	return oops.Code(table.CodeUnknown).Errorf("no answer from the table")
}
