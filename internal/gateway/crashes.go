package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// crashLimit is the number of crashed servers from which on a request is
	// refused.
	crashLimit = 3
	// crashPauseThreshold is the number of crashed servers from which on a
	// request is delayed until the cause of the crashes is known.
	crashPauseThreshold = 2
	// crashCauseDelay is the time after a crash from which on it is known whether
	// the server was lost together with its whole data centre.
	crashCauseDelay = time.Second
	// crashRetention is how long a crash counts against a request.
	crashRetention = 10 * time.Minute
	// maxCrashingRequests is the maximum number of requests for which crashes are
	// recorded.
	maxCrashingRequests = 4096
)

// Crash reports that a server crashed while it ran a request that it had not begun
// to answer.
type Crash struct {
	Request    quarantine.Fingerprint `json:"f"`
	Server     ident.BackendID        `json:"s"`
	Service    string                 `json:"v"`
	DataCentre ident.DataCentre       `json:"d"`
}

// crashRecord is a Crash with the time at which this node recorded it.
type crashRecord struct {
	Crash
	at          time.Time
	independent bool // the server was not lost together with its data centre
}

// crashTracker records the crashes of servers by the requests that ran on them.
//
// Load pattern: occasionally a request crashes every server that runs it, and its
// client sends it again to any host. Servers also crash for other reasons, whole
// data centres at a time, while they run requests that are not the cause. A crash
// together with others in the same data centre is therefore not counted against
// the request.
type crashTracker struct {
	mu        sync.Mutex
	byRequest map[quarantine.Fingerprint][]crashRecord // guarded by mu
}

// add records a crash and reports whether it did. It does not if the crash is
// already recorded or maxCrashingRequests is reached.
func (c *crashTracker) add(now time.Time, x Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, old := range c.byRequest[x.Request] {
		if old.Server == x.Server {
			return false
		}
	}
	if c.byRequest == nil {
		c.byRequest = map[quarantine.Fingerprint][]crashRecord{}
	}
	if len(c.byRequest) >= maxCrashingRequests {
		return false
	}
	c.byRequest[x.Request] = append(c.byRequest[x.Request], crashRecord{Crash: x, at: now})
	return true
}

// hasRecords reports whether any crash is recorded. If none is, the fingerprints
// of requests need not be computed.
func (c *crashTracker) hasRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byRequest) > 0
}

// confirmed reports whether a request has crashed crashLimit servers or more,
// counting only crashes that are known not to be part of the loss of a data
// centre. It drops the crashes of the request that no longer count.
func (c *crashTracker) confirmed(now time.Time, f quarantine.Fingerprint, dataCentreLost func(service string, dataCentre ident.DataCentre, at time.Time) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []crashRecord
	count := 0
	for _, x := range c.byRequest[f] {
		if now.Sub(x.at) > crashRetention {
			continue
		}
		if !x.independent && now.Sub(x.at) >= crashCauseDelay {
			if dataCentreLost(x.Service, x.DataCentre, x.at) {
				continue
			}
			x.independent = true
		}
		if x.independent {
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

// pause returns how long a request should wait before it runs again. If the
// crashes that are not part of a known loss of a data centre number
// crashPauseThreshold or more, the request waits until crashCauseDelay after the
// latest of them, when it is known whether they are part of one. Without the
// pause, a request that crashes servers would crash the maximum number of servers
// within milliseconds.
func (c *crashTracker) pause(now time.Time, f quarantine.Fingerprint, dataCentreLost func(service string, dataCentre ident.DataCentre, at time.Time) bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	unexplained := 0
	var causeKnownAt time.Time
	for _, x := range c.byRequest[f] {
		if now.Sub(x.at) > crashRetention || !x.independent && dataCentreLost(x.Service, x.DataCentre, x.at) {
			continue
		}
		unexplained++
		if at := x.at.Add(crashCauseDelay); at.After(causeKnownAt) {
			causeKnownAt = at
		}
	}
	if unexplained < crashPauseThreshold {
		return 0
	}
	return max(0, causeKnownAt.Sub(now))
}

// clear removes the crashes of a request that was answered.
func (c *crashTracker) clear(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byRequest, f)
}

// RecordCrash records a crash that a peer reported.
func (g *Gateway) RecordCrash(now time.Time, x Crash) { g.crashes.add(now, x) }

// fingerprint identifies the content of the request, independent of the id that
// the client gave it.
func (e *exchange) fingerprint() quarantine.Fingerprint {
	if e.cachedFingerprint == "" {
		e.cachedFingerprint = quarantine.FingerprintOf(ident.Team(e.team+" "+e.call.Method+" "+e.call.Target), e.call.Body)
	}
	return e.cachedFingerprint
}

// crashesServers reports whether the request must not run again because it has
// crashed crashLimit servers or more.
func (e *exchange) crashesServers(now time.Time) bool {
	return e.g.crashes.hasRecords() && e.g.crashes.confirmed(now, e.fingerprint(), e.g.Fleet.DataCentreLostNear)
}

// waitForCrashCause waits until it is known whether this request is the cause
// of earlier crashes, but at most until the request's deadline.
func (e *exchange) waitForCrashCause(now time.Time) {
	if !e.g.crashes.hasRecords() {
		return
	}
	pause := min(e.g.crashes.pause(now, e.fingerprint(), e.g.Fleet.DataCentreLostNear), e.timeLeft(now))
	if pause <= 0 {
		return
	}
	e.addStep("wait %dms until the cause of earlier crashes is known", pause.Milliseconds())
	select {
	case <-time.After(pause):
	case <-e.ctx.Done():
	}
}

// recordCrash records that a server crashed before it answered this request, and
// notifies peers if the crash is new.
func (e *exchange) recordCrash(s *fleet.Server) {
	x := Crash{Request: e.fingerprint(), Server: s.ID, Service: s.Service, DataCentre: s.DataCentre}
	e.g.Log.Log(logrus.WarnLevel, telemetry.EventCrashEvidence, logrus.Fields{
		telemetry.FieldRequest: e.call.ID, telemetry.FieldBackend: s.ID, "content": x.Request, "shared_parts": formatParts(e.call.SharedParts),
	}, "backend server crashed while it ran a request that it had not begun to answer")
	if e.g.crashes.add(time.Now(), x) {
		e.g.Announce.Crashed(x)
	}
}

// formatParts returns hashes of prompt parts as they are logged.
func formatParts(parts []uint64) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, strconv.FormatUint(p, 16))
	}
	return out
}
