package placement

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// breaker is the circuit breaker of one backend server.
type breaker struct {
	failures   int
	openedAt   time.Time       // zero while closed
	openFor    time.Duration   // current duration of the open state
	probe      ident.AttemptID // in flight through the half-open breaker
	probeAt    time.Time
	probeLimit time.Duration // Config.ProbeLimit
}

// allows reports whether a request may be sent: the breaker is closed, or it is
// half-open and no probe is in flight.
func (b *breaker) allows(now time.Time) bool {
	if b.openedAt.IsZero() {
		return true
	}
	if now.Sub(b.openedAt) < b.openFor {
		return false
	}
	return b.probe == "" || now.Sub(b.probeAt) >= b.probeLimit
}

// recordSent makes a request sent through a half-open breaker its probe.
func (b *breaker) recordSent(now time.Time, attempt ident.AttemptID) {
	if !b.openedAt.IsZero() && now.Sub(b.openedAt) >= b.openFor {
		b.probe, b.probeAt = attempt, now
	}
}

// recordAnswered closes an open breaker when its probe is answered, and resets
// the failure count of a closed one. Answers to requests that were sent before
// the breaker opened do not close it: a server that crashes on some requests
// still answers others.
func (b *breaker) recordAnswered(attempt ident.AttemptID) {
	if b.openedAt.IsZero() || b.probe == attempt {
		b.close()
	}
}

func (b *breaker) close() { *b = breaker{probeLimit: b.probeLimit} }

func (b *breaker) recordFailure(now time.Time, c Config) {
	b.failures++
	if b.openedAt.IsZero() && b.failures < c.FailuresToOpen {
		return
	}
	b.open(now, c)
}

// open opens the breaker. A half-open breaker opens again for twice as long,
// up to Config.OpenForLimit. Failures while the breaker is open change nothing,
// because they belong to requests that were sent before it opened.
func (b *breaker) open(now time.Time, c Config) {
	switch {
	case b.openedAt.IsZero():
		b.openFor = c.OpenFor
	case now.Sub(b.openedAt) < b.openFor:
		return
	default:
		b.openFor = min(2*b.openFor, c.OpenForLimit)
	}
	b.openedAt, b.probe = now, ""
}
