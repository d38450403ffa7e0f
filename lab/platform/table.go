// Package platform simulates the platform that docs/platform-protocol.md
// describes: transactional table, object store, host list and weight store. All
// data is in memory, and faults can be injected. A Platform is safe for
// concurrent use.
package platform

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

// maxScanRows is the maximum number of rows that one scan returns.
const maxScanRows = 1000

// table is the transactional table. It is not safe for concurrent use; the caller
// must serialise calls.
type table struct {
	rows map[string]platformapi.Row
	keys []string // the keys of rows, sorted
	// versions holds the last version of each key. It is kept when a row is
	// deleted, so that the versions of a key only increase.
	versions map[string]int64
}

func newTable() *table {
	return &table{rows: map[string]platformapi.Row{}, versions: map[string]int64{}}
}

func checkTxn(txn platformapi.TxnRequest) error {
	written := map[string]bool{}
	for _, c := range txn.Conditions {
		if c.Key == "" || c.Version < 0 {
			return errors.New("condition needs a key and a version of at least 0")
		}
	}
	for _, w := range txn.Writes {
		switch {
		case w.Key == "":
			return errors.New("write needs a key")
		case written[w.Key]:
			return errors.New("key " + w.Key + " is written twice")
		case w.Delete != (len(w.Value) == 0):
			return errors.New("write of " + w.Key + " needs either a value or delete")
		}
		written[w.Key] = true
	}
	return nil
}

// apply executes a transaction that has passed checkTxn. It changes nothing if a
// condition fails.
func (t *table) apply(txn platformapi.TxnRequest) platformapi.TxnResponse {
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
		if w.Delete {
			t.delete(w.Key)
			continue
		}
		versions[w.Key] = t.set(w.Key, w.Value)
	}
	return platformapi.TxnResponse{Committed: true, Versions: versions}
}

func (t *table) set(key string, value json.RawMessage) int64 {
	if _, ok := t.rows[key]; !ok {
		at, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, at, key)
	}
	t.versions[key]++
	t.rows[key] = platformapi.Row{Key: key, Version: t.versions[key], Value: slices.Clone(value)}
	return t.versions[key]
}

func (t *table) delete(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	at, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, at, at+1)
	delete(t.rows, key)
}

func (t *table) row(key string) platformapi.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return platformapi.Row{Key: key}
}

func (t *table) read(keys []string) platformapi.ReadResponse {
	rows := make([]platformapi.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return platformapi.ReadResponse{Rows: rows}
}

// scan returns, in key order, at most limit rows whose key has the prefix and is
// greater than after.
func (t *table) scan(prefix, after string, limit int) platformapi.ScanResponse {
	out := platformapi.ScanResponse{Rows: []platformapi.Row{}}
	at, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for ; at < len(t.keys) && strings.HasPrefix(t.keys[at], prefix); at++ {
		if t.keys[at] == after {
			continue
		}
		if len(out.Rows) == limit {
			out.More = true
			break
		}
		out.Rows = append(out.Rows, t.rows[t.keys[at]])
	}
	return out
}
