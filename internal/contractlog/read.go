package contractlog

import (
	"context"

	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// scanPageSize is the maximum number of rows of one scan.
	scanPageSize = 256
	// fullLoadThreshold is the number of missing log entries above which Poll reads
	// the newest version of every contract instead of the entries. There are only a
	// few hundred contracts at the target load.
	fullLoadThreshold = 1024
)

// Load returns the newest version of every contract and the log position up to
// which the result is complete. It reads the head first, so that the rows read
// afterwards include every change up to that position.
func (l *Log) Load(ctx context.Context) (entries []contractset.Entry, head ident.LogSequence, err error) {
	head, err = l.Head(ctx)
	if err != nil {
		return nil, 0, err
	}
	after := ""
	for {
		rows, more, err := l.table.Scan(ctx, contractPrefix, after, scanPageSize)
		if err != nil {
			return nil, 0, unavailableError(err, "read all contracts")
		}
		for _, row := range rows {
			var entry entryRow
			if err := decode(row, &entry); err != nil {
				return nil, 0, err
			}
			entries = append(entries, entry.toEntry())
			after = row.Key
		}
		if !more {
			return entries, head, nil
		}
	}
}

// Head returns the newest position of the change log, or 0 if the log is empty.
func (l *Log) Head(ctx context.Context) (ident.LogSequence, error) {
	rows, err := l.table.Read(ctx, headKey)
	if err != nil {
		return 0, unavailableError(err, "read the head of the change log")
	}
	var head headRow
	err = decode(rows[0], &head)
	return ident.LogSequence(head.Sequence), err
}

// After returns the log entries after a position up to the head, and the head.
// The error is CodeCorrupt if an entry is missing.
func (l *Log) After(ctx context.Context, after ident.LogSequence) (entries []contractset.Entry, head ident.LogSequence, err error) {
	head, err = l.Head(ctx)
	if err != nil {
		return nil, 0, err
	}
	for next := after; next < head; {
		rows, _, err := l.table.Scan(ctx, entryPrefix, entryKey(next), scanPageSize)
		if err != nil {
			return nil, 0, unavailableError(err, "read the change log")
		}
		for _, row := range rows {
			var entry entryRow
			if err := decode(row, &entry); err != nil {
				return nil, 0, err
			}
			next++
			if entry.Sequence != int64(next) {
				return nil, 0, newError(CodeCorrupt).Errorf("change log has entry %d in place of %d", entry.Sequence, next)
			}
			entries = append(entries, entry.toEntry())
		}
		if len(rows) == 0 {
			return nil, 0, newError(CodeCorrupt).Errorf("change log ends at %d, its head is %d", next, head)
		}
	}
	return entries, head, nil
}

// History returns up to limit versions of a team's contract, newest first.
func (l *Log) History(ctx context.Context, team ident.Team, limit int) ([]contractset.Entry, error) {
	rows, err := l.table.Read(ctx, contractKey(team))
	if err != nil {
		return nil, unavailableError(err, "read the contract")
	}
	var row entryRow
	if err := decode(rows[0], &row); err != nil {
		return nil, err
	}
	var history []contractset.Entry
	for row.Sequence > 0 && len(history) < limit {
		history = append(history, row.toEntry())
		if row.Previous == 0 {
			break
		}
		if row, err = l.readEntry(ctx, row.Previous); err != nil {
			return nil, err
		}
	}
	return history, nil
}

// Follower keeps a set up to date with the log. It has no state besides the set.
type Follower struct {
	log *Log
	set *contractset.Set
}

// NewFollower returns a follower that updates the set when Poll is called.
func NewFollower(log *Log, set *contractset.Set) *Follower {
	return &Follower{log: log, set: set}
}

// Poll reads the entries that the set lacks and applies them. It returns the
// entries that became the newest version of their contract, and the head. Every
// change that was committed before the call has a position up to the head. If the
// set's position is not 0 and the log has no later entries, Poll makes one read.
func (f *Follower) Poll(ctx context.Context) (applied []contractset.Entry, head ident.LogSequence, err error) {
	after := f.set.Sequence()
	if after > 0 {
		head, err = f.log.Head(ctx)
		if err != nil || head <= after {
			return nil, head, err
		}
	}
	if after == 0 || head-after > fullLoadThreshold {
		entries, head, err := f.log.Load(ctx)
		if err != nil {
			return nil, 0, err
		}
		return f.set.ApplyRange(0, head, entries), head, nil
	}
	entries, head, err := f.log.After(ctx, after)
	if err != nil {
		return nil, 0, err
	}
	return f.set.ApplyRange(after, head, entries), head, nil
}
