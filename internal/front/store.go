package front

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// Table is the name of a table of the store.
type Table string

// Tables that a node uses.
const (
	// TableConfig holds the newest configuration in a single row.
	TableConfig Table = "config"
	// TableServers holds one row per backend server.
	TableServers Table = "servers"
	// TableNodes holds one row per node, written by the node itself.
	TableNodes Table = "nodes"
	// TableCrashes holds, in a single row, the crashes of servers that may have been caused
	// by requests, for nodes that start when no other runs.
	TableCrashes Table = "crashes"
	// TableStreams holds the software versions that began streams lately, for the same
	// nodes.
	TableStreams Table = "streams"
	// TableRollouts holds, for each service with a roll-out, the record of its coordinator.
	TableRollouts Table = "rollouts"
	// TableStatus is read by the operator. It holds one row for each roll-out.
	TableStatus Table = "status"
)

// configKey is the key of the row that holds the configuration.
const configKey = "config"

// ErrHistoryGone is returned by Store.Follow if the store does not have the changes
// after the requested position, because it has dropped its history or a new era has
// begun. The table must then be listed again.
var ErrHistoryGone = errors.New("the store does not have the requested history")

// ErrConflict is returned by Store.Transact if a row has another version than expected.
var ErrConflict = errors.New("a row has changed meanwhile")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Removed bool
	// Version increases with every change of any row; 0 if unknown.
	Version int64
}

// RowVersion is the version that a row is expected to have.
type RowVersion struct {
	Table   Table
	Key     string
	Version int64
}

// RowValue is a row to be written.
type RowValue struct {
	Table Table
	Key   string
	Value []byte
}

// Rows is the result of Store.List or Store.Follow. Position is the position to pass
// to the next Follow.
type Rows struct {
	Rows     []Row
	Position ident.StorePosition
	// InvalidEra is the era that the store stated, if that is not a number. Position
	// then has the newest era known.
	InvalidEra string
}

// Store is the interface to the platform's store.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table Table) (Rows, error)
	// ListPage returns up to limit rows of a table, in the order of their keys from a key on,
	// and the key from which the next page begins; empty after the last page.
	ListPage(ctx context.Context, table Table, from string, limit int) (page Rows, next string, err error)
	// Follow returns the rows that changed after a position. If there are
	// none, it blocks until a row changes, and returns no rows if none has changed
	// within wait.
	Follow(ctx context.Context, table Table, after ident.StorePosition, wait time.Duration) (Rows, error)
	// Put creates or overwrites a row.
	Put(ctx context.Context, table Table, key string, value []byte) error
	// Transact writes rows in one transaction if the row for which a version is expected still
	// has it; version 0 means that it does not exist. After any other error than ErrConflict
	// the rows may have been written.
	Transact(ctx context.Context, expected RowVersion, puts []RowValue) error
	// Remove deletes a row if it still has the given version.
	Remove(ctx context.Context, table Table, key string, version int64) error
}

// Decoder decodes the values of the configuration and server rows.
type Decoder interface {
	DecodeConfig(raw []byte) (routing.Config, error)
	DecodeEntry(key string, raw []byte) (fleet.Entry, error)
	// RolloutService returns the service of the row of the operator's table with a key, if
	// that is a row with an order for a roll-out.
	RolloutService(key string) (service string, ok bool)
	// DecodeRollout decodes an order for a roll-out. Its ID is left to the caller.
	DecodeRollout(service string, raw []byte) (rollout.Order, error)
	// EncodeRolloutStatus returns the key and the value of the row that tells the operator
	// the phase of a roll-out.
	EncodeRolloutStatus(o rollout.Order, p rollout.Phase) (key string, value []byte)
}
