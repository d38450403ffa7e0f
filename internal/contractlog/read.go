package contractlog

import (
	"context"

	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// scanPage is the number of rows of one read.
	scanPage = 256
	// fullLoadGap is the number of missing entries above which the contracts
	// themselves are read instead: there are a few hundred of them at the target.
	fullLoadGap = 1024
)

// Load reads the newest version of every contract and the position up to which
// the result is complete. The head is read first: rows read after it include
// every change up to it.
func (l *Log) Load(ctx context.Context) (entries []contractset.Entry, head ident.LogSequence, err error) {
	head, err = l.Head(ctx)
	if err != nil {
		return nil, 0, err
	}
	after := ""
	for {
		rows, more, err := l.table.Scan(ctx, contractPrefix, after, scanPage)
		if err != nil {
			return nil, 0, unavailable(err, "read all contracts")
		}
		for _, row := range rows {
			var entry entryRow
			if err := decode(row, &entry); err != nil {
				return nil, 0, err
			}
			entries = append(entries, entry.entry())
			after = row.Key
		}
		if !more {
			return entries, head, nil
		}
	}
}

// Head reads the newest position of the change log, 0 if it is empty.
func (l *Log) Head(ctx context.Context) (ident.LogSequence, error) {
	rows, err := l.table.Read(ctx, headKey)
	if err != nil {
		return 0, unavailable(err, "read the head of the change log")
	}
	var head headRow
	err = decode(rows[0], &head)
	return ident.LogSequence(head.Sequence), err
}

// After reads the entries after a position up to the head. It returns
// CodeCorrupt if one is missing.
func (l *Log) After(ctx context.Context, after ident.LogSequence) (entries []contractset.Entry, head ident.LogSequence, err error) {
	head, err = l.Head(ctx)
	if err != nil {
		return nil, 0, err
	}
	for next := after; next < head; {
		rows, _, err := l.table.Scan(ctx, logPrefix, entryKey(next), scanPage)
		if err != nil {
			return nil, 0, unavailable(err, "read the change log")
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
			entries = append(entries, entry.entry())
		}
		if len(rows) == 0 {
			return nil, 0, newError(CodeCorrupt).Errorf("change log ends at %d, its head is %d", next, head)
		}
	}
	return entries, head, nil
}

// History returns the newest versions of a team's contract, newest first.
func (l *Log) History(ctx context.Context, team ident.Team, limit int) ([]contractset.Entry, error) {
	rows, err := l.table.Read(ctx, contractKey(team))
	if err != nil {
		return nil, unavailable(err, "read the contract")
	}
	var row entryRow
	if err := decode(rows[0], &row); err != nil {
		return nil, err
	}
	var history []contractset.Entry
	for row.Sequence > 0 && len(history) < limit {
		history = append(history, row.entry())
		if row.Previous == 0 {
			break
		}
		if row, err = l.readEntry(ctx, row.Previous); err != nil {
			return nil, err
		}
	}
	return history, nil
}

// Follower brings a set up to date with the log. It holds no state of its own.
type Follower struct {
	log *Log
	set *contractset.Set
}

// NewFollower returns a follower whose worker calls Poll.
func NewFollower(log *Log, set *contractset.Set) *Follower {
	return &Follower{log: log, set: set}
}

// Poll makes one step: it reads what the set lacks and applies it. It returns
// the entries that became the newest version of their contract, and the head,
// which proves freshness from the instant before the call. If nothing changed,
// the step costs one read.
func (f *Follower) Poll(ctx context.Context) (applied []contractset.Entry, head ident.LogSequence, err error) {
	after := f.set.Sequence()
	if after > 0 {
		head, err = f.log.Head(ctx)
		if err != nil || head <= after {
			return nil, head, err
		}
	}
	if after == 0 || head-after > fullLoadGap {
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
