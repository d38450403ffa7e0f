package front

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// Table names a table of the store.
type Table string

// Tables that a node reads.
const (
	// TableConfig holds the newest configuration in one row.
	TableConfig Table = "config"
	// TableServers holds a row for each backend server.
	TableServers Table = "servers"
	// TableNodes holds a row for each node, written by the node itself.
	TableNodes Table = "nodes"
)

// configKey is the key of the configuration's row.
const configKey = "config"

// ErrHistoryGone means that the store no longer has the changes asked for, so
// that the table must be listed again.
var ErrHistoryGone = errors.New("the store has dropped its history")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Removed bool
	// Version rises with every change of any row; 0 if unknown.
	Version int64
}

// Rows is an answer of the store. Revision is where to read on.
type Rows struct {
	Rows     []Row
	Revision int64
}

// Store is the platform's store.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table Table) (Rows, error)
	// Follow returns the rows that changed after a revision, as soon as there
	// is one or when the wait is over.
	Follow(ctx context.Context, table Table, after int64, wait time.Duration) (Rows, error)
	// Put writes a row.
	Put(ctx context.Context, table Table, key string, value []byte) error
	// Remove deletes a row that still has a version.
	Remove(ctx context.Context, table Table, key string, version int64) error
}

// Decoder reads the values of rows.
type Decoder interface {
	DecodeConfig(raw []byte) (routing.Config, error)
	DecodeEntry(key string, raw []byte) (fleet.Entry, error)
}
