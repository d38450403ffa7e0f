package gateway

import (
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

const (
	// crashLimit is the number of servers that a request may crash before it is
	// refused.
	crashLimit = 3
	// crashPauseFrom is the number of crashes after which a request waits until
	// their cause is known.
	crashPauseFrom = 2
	// crashSettled is the time after which it is known whether a whole data
	// centre was lost together with a server.
	crashSettled = time.Second
	// crashesFor is how long a crash counts.
	crashesFor = 10 * time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

// Crash is the end of a server under a request that had not been answered yet.
type Crash struct {
	Request    quarantine.Fingerprint `json:"f"`
	Server     ident.BackendID        `json:"s"`
	Service    string                 `json:"v"`
	DataCentre ident.DataCentre       `json:"d"`
}

type crash struct {
	Crash
	at      time.Time
	settled bool // it was not part of the loss of a data centre
}

// crashes remembers which requests were on servers that crashed.
//
// Load pattern: now and then one request crashes each server that runs it, and
// its client sends it again to any host. Servers also crash for other reasons,
// whole data centres at a time, under requests that are innocent; a crash that
// came with others of its data centre says nothing of the request.
type crashes struct {
	mu        sync.Mutex
	byRequest map[quarantine.Fingerprint][]crash // guarded by mu
}

// add records a crash and reports whether it is news.
func (c *crashes) add(now time.Time, x Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, old := range c.byRequest[x.Request] {
		if old.Server == x.Server {
			return false
		}
	}
	if c.byRequest == nil {
		c.byRequest = map[quarantine.Fingerprint][]crash{}
	}
	if len(c.byRequest) >= maxSuspects {
		return false
	}
	c.byRequest[x.Request] = append(c.byRequest[x.Request], crash{Crash: x, at: now})
	return true
}

// any reports whether a crash is remembered at all, so that requests need no
// fingerprint otherwise.
func (c *crashes) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byRequest) > 0
}

// confirmed reports whether a request has crashed too many servers.
func (c *crashes) confirmed(now time.Time, f quarantine.Fingerprint, zoneLost func(service string, zone ident.DataCentre, at time.Time) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []crash
	count := 0
	for _, x := range c.byRequest[f] {
		if now.Sub(x.at) > crashesFor {
			continue
		}
		if !x.settled && now.Sub(x.at) >= crashSettled {
			if zoneLost(x.Service, x.DataCentre, x.at) {
				continue
			}
			x.settled = true
		}
		if x.settled {
			count++
		}
		kept = append(kept, x)
	}
	if len(kept) == 0 {
		delete(c.byRequest, f)
	} else {
		c.byRequest[f] = kept
	}
	return count >= crashLimit
}

// pause is how long a request should wait before it runs again: after
// crashPauseFrom crashes that no loss of a data centre explains, until it is known
// whether one does. A request that crashes servers would otherwise crash as many
// as it may run on within milliseconds.
func (c *crashes) pause(now time.Time, f quarantine.Fingerprint, zoneLost func(service string, zone ident.DataCentre, at time.Time) bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	unexplained := 0
	var settles time.Time
	for _, x := range c.byRequest[f] {
		if now.Sub(x.at) > crashesFor || !x.settled && zoneLost(x.Service, x.DataCentre, x.at) {
			continue
		}
		unexplained++
		if at := x.at.Add(crashSettled); at.After(settles) {
			settles = at
		}
	}
	if unexplained < crashPauseFrom {
		return 0
	}
	return max(0, settles.Sub(now))
}

// clear forgets the crashes of a request that was answered.
func (c *crashes) clear(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byRequest, f)
}

// Crashed takes over the news of a peer.
func (g *Gateway) Crashed(now time.Time, x Crash) { g.crashes.add(now, x) }

// fingerprint identifies what the client asks for, whichever id it gives it.
func (e *exchange) fingerprint() quarantine.Fingerprint {
	if e.printed == "" {
		e.printed = quarantine.FingerprintOf(ident.Team(e.team+" "+e.call.Method+" "+e.call.Target), e.call.Body)
	}
	return e.printed
}

// crashesServers reports whether the request must not run any more.
func (e *exchange) crashesServers(now time.Time) bool {
	return e.g.crashes.any() && e.g.crashes.confirmed(now, e.fingerprint(), e.g.Fleet.ZoneLostAt)
}

// waitForCause waits while it is not known whether this request crashes servers.
func (e *exchange) waitForCause(now time.Time) {
	if !e.g.crashes.any() {
		return
	}
	pause := min(e.g.crashes.pause(now, e.fingerprint(), e.g.Fleet.ZoneLostAt), e.left(now))
	if pause <= 0 {
		return
	}
	e.note("waits %dms for the cause of crashes", pause.Milliseconds())
	select {
	case <-time.After(pause):
	case <-e.ctx.Done():
	}
}

// crashed records that a server ended before it answered this request.
func (e *exchange) crashed(s *fleet.Server) {
	x := Crash{Request: e.fingerprint(), Server: s.ID, Service: s.Service, DataCentre: s.DataCentre}
	if e.g.crashes.add(time.Now(), x) {
		e.g.Announce.Crashed(x)
	}
}
