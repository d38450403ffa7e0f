// Package tabletest provides an in-memory table.Table with fault injection for
// tests. A Table is safe for concurrent use.
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

// Fault is a fault that is injected into a call.
type Fault int

// Faults.
const (
	// FaultNone lets the call succeed.
	FaultNone Fault = iota
	// FaultUnavailable rejects the call; it does not take effect.
	FaultUnavailable
	// FaultLostResponse applies the call and drops its response.
	FaultLostResponse
	// FaultLostCall drops the call before it takes effect. The client cannot
	// distinguish it from FaultLostAnswer.
	FaultLostCall
)

// Table is an in-memory table.
type Table struct {
	mu sync.Mutex
	// rows and versions are guarded by mu. A deleted row keeps its version so
	// that the versions of a key only increase.
	rows     map[string]json.RawMessage
	versions map[string]int64
	// faultFor returns the fault of a call; guarded by mu.
	faultFor func(op string) Fault
	// writes and reads count calls; guarded by mu.
	writes, reads int
}

var _ table.Table = (*Table)(nil)

// New returns an empty table without faults.
func New() *Table {
	return &Table{
		rows:     map[string]json.RawMessage{},
		versions: map[string]int64{},
		faultFor: func(string) Fault { return FaultNone },
	}
}

// SetFaults sets the function that returns the fault of each call. Its argument
// is "txn", "read" or "scan".
func (t *Table) SetFaults(faultFor func(op string) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultFor = faultFor
}

// Calls returns the number of transactions received, and the number of reads and
// scans together.
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
	fault := t.faultFor("txn")
	if err := faultError(ctx, fault); err != nil {
		return platformapi.TxnResponse{}, err
	}
	response := t.apply(txn)
	if fault == FaultLostResponse {
		return platformapi.TxnResponse{}, unknownOutcome()
	}
	if !response.Committed {
		return response, oops.Code(table.CodeConflict).Errorf("%d conditions failed", len(response.Conflicts))
	}
	return response, nil
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

// row returns the current state of a row. The caller must hold mu.
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
	fault := t.faultFor("read")
	if err := faultError(ctx, fault); err != nil {
		return nil, err
	}
	if fault == FaultLostResponse {
		return nil, unknownOutcome()
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
	fault := t.faultFor("scan")
	if err := faultError(ctx, fault); err != nil {
		return nil, false, err
	}
	if fault == FaultLostResponse {
		return nil, false, unknownOutcome()
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

// faultError returns the error of a call that does not take effect because of
// fault or ctx, or nil.
func faultError(ctx context.Context, fault Fault) error {
	switch {
	case ctx.Err() != nil:
		return oops.Code(table.CodeUnknown).Wrap(ctx.Err())
	case fault == FaultUnavailable:
		return oops.Code(table.CodeUnavailable).Errorf("table is unavailable")
	case fault == FaultLostCall:
		return unknownOutcome()
	}
	return nil
}

// unknownOutcome returns the error of a call that received no response.
func unknownOutcome() error {
	return oops.Code(table.CodeUnknown).Errorf("no answer from the table")
}
