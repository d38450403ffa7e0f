// Package urgency orders requests that compete for room by what their callers lose if they are
// delayed or turned away: by priority, deadline and the work that they need.
//
// Load pattern: for some seconds more requests arrive than the servers can run. Whatever is
// served then delays something else, so the room goes where it is worth most for the time that
// it takes. All requests are ordered by one rule, calls and streams.
package urgency

import (
	"math"
	"time"
)

const (
	// stepWorth is the worth of a request against one of the next more urgent priority.
	stepWorth = 0.5
	// lateWorth is the worth of an answer that misses its objective against one that does
	// not.
	lateWorth = 0.4
	// minWork bounds the work from below, so that tiny requests do not go before everything.
	minWork = 5 * time.Millisecond
)

// Request is what the order depends on.
type Request struct {
	Priority int // 0 is the most urgent
	// UntilObjective and UntilDeadline are the times left until the objective, which may have
	// passed, and until the caller gives up. An objective that is not set is noObjective.
	UntilObjective, UntilDeadline time.Duration
	// Work is the time for which the request uses a server.
	Work time.Duration
	// Excess is the factor by which the team of the caller exceeds its share; 1 or less if
	// it does not.
	Excess float64
}

// NoObjective is the time until the objective of a request that has none.
const NoObjective = time.Duration(math.MaxInt64)

// Worth returns the worth of a priority, 1 for the most urgent.
func Worth(priority int) float64 { return math.Pow(stepWorth, float64(max(priority, 0))) }

// Density returns what is lost if the request is not served now, for each second of work.
func (r Request) Density() float64 {
	worth := Worth(r.Priority)
	switch {
	case r.UntilDeadline < r.Work:
		return 0 // its caller will have given up
	case r.UntilObjective < r.Work:
		worth *= lateWorth
	}
	return worth / max(r.Work, minWork).Seconds() / max(r.Excess, 1)
}

// Before reports whether a goes before b: the one whose loss for each second of work is greater
// by more than a tenth, or else the one whose objective comes first.
func Before(a, b Request) bool {
	x, y := a.Density(), b.Density()
	if math.Abs(x-y) > 0.1*max(x, y) {
		return x > y
	}
	if a.UntilObjective != b.UntilObjective && a.UntilObjective >= a.Work && b.UntilObjective >= b.Work {
		return a.UntilObjective < b.UntilObjective
	}
	return a.UntilDeadline < b.UntilDeadline
}
