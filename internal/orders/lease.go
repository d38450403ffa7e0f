// Package orders decides which models the engines load and lets one node at a
// time order it. Lease and Planner do no I/O and read no clock; Executor carries
// them out.
package orders

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// LeaseKey is the key of the lease row.
	LeaseKey = "lease/planner"
	// LeaseDuration is how long a lease lasts from the start of the write that
	// took or renewed it.
	LeaseDuration = 10 * time.Second
	// RenewInterval leaves two more tries before MinRemaining.
	RenewInterval = 2 * time.Second
	// MinRemaining is what must remain of the lease when an order begins. It
	// exceeds MaxOrderTime, so that an order ends before the lease does.
	MinRemaining = 3 * time.Second
	// MaxOrderTime is the longest time that an order can be under way.
	MaxOrderTime = 2 * time.Second
)

// Now is one reading of both clocks. Some hosts stop the monotonic clock while
// they are suspended, and the wall clock can be set, so that the lease counts as
// used up by the clock that shows more.
type Now struct {
	Wall      time.Time
	Monotonic time.Duration
}

// LeaseRow is the value of the lease row. It holds no time: each node measures
// the duration by its own clock.
type LeaseRow struct {
	Holder      ident.HostID       `json:"holder"`
	Incarnation ident.Incarnation  `json:"incarnation"`
	Token       ident.FencingToken `json:"fencing_token"`
	DurationMS  int64              `json:"duration_ms"`
	// Write counts the holder's writes, so that it recognises which of them is
	// in the table when answers were lost.
	Write int64 `json:"write"`
}

// Lease is one node's view of the lease.
type Lease struct {
	self        ident.HostID
	incarnation ident.Incarnation
	row         LeaseRow
	version     int64
	// seen tells that the row was read; seenAt is when this version was first.
	seen   bool
	seenAt Now
	// held: this node holds the lease since the write that began at start.
	held  bool
	start Now
	// tried is when the last write began, and writes its number; its outcome may
	// be unknown.
	tried  Now
	writes int64
	// ordersFrom is when the previous holder's last order has ended.
	ordersFrom time.Duration
}

// NewLease returns the view of a node that has not read the row yet.
func NewLease(self ident.HostID, incarnation ident.Incarnation) Lease {
	return Lease{self: self, incarnation: incarnation}
}

// Observe takes the row as read by a call that ended at now. An absent row has
// version 0.
func (l *Lease) Observe(now Now, row LeaseRow, version int64) {
	if l.seen && version == l.version {
		return
	}
	own := row.Holder == l.self && row.Incarnation == l.incarnation
	switch {
	case own && row.Write == l.writes && l.tried != (Now{}):
		// The answer of the last write was lost.
		l.take(now, row)
	case own && l.held && row.Token == l.row.Token:
		// An earlier renewal arrived late. The lease counts from the one known.
	default:
		l.held = false
	}
	l.seen, l.seenAt, l.row, l.version = true, now, row, version
}

// take notes that the write that began at tried is in the table.
func (l *Lease) take(now Now, row LeaseRow) {
	if !l.held || row.Token != l.row.Token {
		l.ordersFrom = now.Monotonic + MaxOrderTime
	}
	l.held, l.start = true, l.tried
}

// Write returns the row to write now on condition of the version, if any: a
// renewal, or a takeover after the row did not change for its duration.
func (l *Lease) Write(now Now) (row LeaseRow, version int64, ok bool) {
	if !l.seen {
		return LeaseRow{}, 0, false
	}
	l.drop(now)
	row = LeaseRow{
		Holder: l.self, Incarnation: l.incarnation, Token: l.row.Token,
		DurationMS: LeaseDuration.Milliseconds(), Write: l.writes + 1,
	}
	switch {
	case l.held:
		ok = used(l.start, now) >= RenewInterval
	case l.version == 0:
		row.Token, ok = 1, true
	default:
		row.Token++
		ok = waited(l.seenAt, now) >= time.Duration(l.row.DurationMS)*time.Millisecond
	}
	if ok {
		l.tried, l.writes = now, row.Write
	}
	return row, l.version, ok
}

// Committed takes the success of the write of row.
func (l *Lease) Committed(now Now, row LeaseRow, version int64) {
	l.take(now, row)
	l.seenAt, l.row, l.version = now, row, version
}

// MayOrder tells whether an order may begin now, and its fencing token.
func (l *Lease) MayOrder(now Now) (ident.FencingToken, bool) {
	l.drop(now)
	ok := l.held && now.Monotonic >= l.ordersFrom && used(l.start, now) <= LeaseDuration-MinRemaining
	return l.row.Token, ok
}

// drop ends a lease that lapsed. The row is waited for like another holder's.
func (l *Lease) drop(now Now) {
	if l.held && used(l.start, now) >= LeaseDuration {
		l.held, l.tried = false, Now{}
		l.seenAt = now
	}
}

// used returns the longer of both clocks' times since start. A wall clock that
// was set back proves nothing, so that the lease counts as used up.
func used(start, now Now) time.Duration {
	wall := now.Wall.Sub(start.Wall)
	if wall < 0 {
		return LeaseDuration
	}
	return max(wall, now.Monotonic-start.Monotonic)
}

// waited returns the shorter of both clocks' times since start.
func waited(start, now Now) time.Duration {
	return min(now.Wall.Sub(start.Wall), now.Monotonic-start.Monotonic)
}
