package placement

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// breaker keeps requests away from a server that fails.
type breaker struct {
	failures int
	openedAt time.Time     // zero while closed
	openFor  time.Duration // present length of the open state
	probe    ident.AttemptID
	probeAt  time.Time
	limit    time.Duration // Config.ProbeLimit
}

// allows tells whether a request may be sent: the breaker is closed, or it is
// half-open and no probe is under way.
func (b *breaker) allows(now time.Time) bool {
	if b.openedAt.IsZero() {
		return true
	}
	if now.Sub(b.openedAt) < b.openFor {
		return false
	}
	return b.probe == "" || now.Sub(b.probeAt) >= b.limit
}

// sent makes the first request of a half-open breaker its probe.
func (b *breaker) sent(now time.Time, attempt ident.AttemptID) {
	if !b.openedAt.IsZero() && now.Sub(b.openedAt) >= b.openFor {
		b.probe, b.probeAt = attempt, now
	}
}

// answered closes the breaker when its probe is answered. While it is open,
// answers of requests that were sent before do not close it: a server that
// crashes on some requests still answers others.
func (b *breaker) answered(attempt ident.AttemptID) {
	if b.openedAt.IsZero() || b.probe == attempt {
		b.close()
	}
}

func (b *breaker) close() { *b = breaker{limit: b.limit} }

func (b *breaker) failed(now time.Time, c Config) {
	b.failures++
	if b.openedAt.IsZero() && b.failures < c.FailuresToOpen {
		return
	}
	b.open(now, c)
}

// open opens the breaker, or opens it for longer if its probe failed. Further
// failures while it is open change nothing, because they belong to requests
// that were sent before.
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
