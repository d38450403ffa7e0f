// Package orders plans which model each engine loads and ensures, by a lease, that
// only one node at a time sends the orders. Lease and Planner hold the state of
// one node, do no I/O and read no clock; Executor does the I/O for both. None of
// them is safe for concurrent use.
package orders

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// LeaseKey is the key of the lease row.
	LeaseKey = "lease/planner"
	// LeaseDuration is the duration of a lease, counted from the start of the
	// write that acquired or renewed it.
	LeaseDuration = 10 * time.Second
	// RenewInterval is the age at which a lease is renewed. It leaves time for
	// two more attempts before less than MinRemaining is left.
	RenewInterval = 2 * time.Second
	// MinRemaining is the minimum remaining time of the lease when an order
	// begins. It exceeds MaxOrderTime, so that an order ends before the lease
	// does.
	MinRemaining = 3 * time.Second
	// MaxOrderTime is the maximum time that an order can be in progress.
	MaxOrderTime = 2 * time.Second
)

// ClockReading is one reading of the wall clock and the monotonic clock. Some
// hosts stop the monotonic clock while they are suspended, and the wall clock can
// be set. Therefore a lease expires by the clock on which more time has passed.
type ClockReading struct {
	Wall      time.Time
	Monotonic time.Duration
}

// LeaseRow is the value of the lease row. It holds no timestamp: each node
// measures the duration by its own clocks.
type LeaseRow struct {
	Holder      ident.HostID       `json:"holder"`
	Incarnation ident.Incarnation  `json:"incarnation"`
	Token       ident.FencingToken `json:"fencing_token"`
	DurationMS  int64              `json:"duration_ms"`
	// Write numbers the writes of the holder, so that the holder can recognize
	// which of its writes is in the table after answers were lost.
	Write int64 `json:"write"`
}

// Lease is the state of the lease as known to one node.
type Lease struct {
	self        ident.HostID
	incarnation ident.Incarnation
	row         LeaseRow
	version     int64
	// seen is set once the row has been read. seenAt is when this node first saw
	// the current version, or when its own lease expired.
	seen   bool
	seenAt ClockReading
	// held is set while this node holds the lease. start is when the write that
	// acquired or last renewed it began.
	held  bool
	start ClockReading
	// lastWriteStart is when the last write began, and writeCount is its number.
	// Its outcome may be unknown.
	lastWriteStart ClockReading
	writeCount     int64
	// ordersAllowedFrom is the monotonic time from which this node may send
	// orders. By then the last order of the previous holder has ended.
	ordersAllowedFrom time.Duration
}

// NewLease returns the Lease of a node that has not read the row yet.
func NewLease(self ident.HostID, incarnation ident.Incarnation) Lease {
	return Lease{self: self, incarnation: incarnation}
}

// Observe records the row that was read by a call that ended at now. An absent
// row has version 0.
func (l *Lease) Observe(now ClockReading, row LeaseRow, version int64) {
	if l.seen && version == l.version {
		return
	}
	own := row.Holder == l.self && row.Incarnation == l.incarnation
	switch {
	case own && row.Write == l.writeCount && l.lastWriteStart != (ClockReading{}):
		// The last write took effect but its answer was lost.
		l.recordWrite(now, row)
	case own && l.held && row.Token == l.row.Token:
		// An earlier renewal arrived late. The lease still counts from the last
		// write that is known to have taken effect.
	default:
		l.held = false
	}
	l.seen, l.seenAt, l.row, l.version = true, now, row, version
}

// recordWrite records that the write that began at lastWriteStart took effect.
func (l *Lease) recordWrite(now ClockReading, row LeaseRow) {
	if !l.held || row.Token != l.row.Token {
		l.ordersAllowedFrom = now.Monotonic + MaxOrderTime
	}
	l.held, l.start = true, l.lastWriteStart
}

// Write returns the row to write now and the version that the write is
// conditional on; ok reports whether a write is due. A write renews the lease, or
// acquires it if the row is absent or has not changed for its duration.
func (l *Lease) Write(now ClockReading) (row LeaseRow, version int64, ok bool) {
	if !l.seen {
		return LeaseRow{}, 0, false
	}
	l.expire(now)
	row = LeaseRow{
		Holder: l.self, Incarnation: l.incarnation, Token: l.row.Token,
		DurationMS: LeaseDuration.Milliseconds(), Write: l.writeCount + 1,
	}
	switch {
	case l.held:
		ok = elapsedMax(l.start, now) >= RenewInterval
	case l.version == 0:
		row.Token, ok = 1, true
	default:
		row.Token++
		ok = elapsedMin(l.seenAt, now) >= time.Duration(l.row.DurationMS)*time.Millisecond
	}
	if ok {
		l.lastWriteStart, l.writeCount = now, row.Write
	}
	return row, l.version, ok
}

// Committed records that the write of row succeeded and produced the version.
func (l *Lease) Committed(now ClockReading, row LeaseRow, version int64) {
	l.recordWrite(now, row)
	l.seenAt, l.row, l.version = now, row, version
}

// MayOrder returns the fencing token of the lease and reports whether an order may
// begin now.
func (l *Lease) MayOrder(now ClockReading) (ident.FencingToken, bool) {
	l.expire(now)
	ok := l.held && now.Monotonic >= l.ordersAllowedFrom && elapsedMax(l.start, now) <= LeaseDuration-MinRemaining
	return l.row.Token, ok
}

// expire releases the lease locally after LeaseDuration. From then on this node
// waits for its own row to expire as it does for the row of another holder.
func (l *Lease) expire(now ClockReading) {
	if l.held && elapsedMax(l.start, now) >= LeaseDuration {
		l.held, l.lastWriteStart = false, ClockReading{}
		l.seenAt = now
	}
}

// elapsedMax returns the time since start by the clock on which more has passed.
// If the wall clock was set back, the elapsed time is unknown, and elapsedMax
// returns LeaseDuration so that the lease counts as expired.
func elapsedMax(start, now ClockReading) time.Duration {
	wall := now.Wall.Sub(start.Wall)
	if wall < 0 {
		return LeaseDuration
	}
	return max(wall, now.Monotonic-start.Monotonic)
}

// elapsedMin returns the time since start by the clock on which less has passed.
func elapsedMin(start, now ClockReading) time.Duration {
	return min(now.Wall.Sub(start.Wall), now.Monotonic-start.Monotonic)
}
