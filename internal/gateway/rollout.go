package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
)

const (
	// callExpected is the time to which those of calls are compared in a roll-out, and
	// paceExpected that of paceEvents events of a stream.
	callExpected = 30 * time.Millisecond
	paceExpected = 300 * time.Millisecond
	// paceEvents is the number of events after the first one whose time is measured.
	paceEvents = 8
	// paceSuffix distinguishes the evidence on the pace of a route's streams from that on
	// their first events.
	paceSuffix = " (pace)"
)

// choosePool determines the versions among which the next attempt is placed, if no version
// has begun the answer. An attempt after a failure goes to the versions in use.
func (e *exchange) choosePool(now time.Time) {
	e.pool = e.g.Rollouts.Pool(now, e.service.Name, e.sentCount+e.refusedCount > 0, e.point)
}

// outsidePool returns the pool that is used if the chosen version has no server for the
// request, and false if there is no other.
func (e *exchange) outsidePool() (fleet.Pool, bool) {
	if e.pool.Only == "" {
		return fleet.Pool{}, false
	}
	return fleet.Pool{Except: []string{e.pool.Only}}, true
}

// countAttempt counts an attempt on a server for the roll-out of its service, if there is
// one. The first attempt of the request counts as running at the server's version until the
// request ends.
func (e *exchange) countAttempt(now time.Time, s *fleet.Server, expected time.Duration) *rollout.Request {
	version := e.g.Fleet.VersionOf(s)
	e.holdMu.Lock()
	if e.releaseHold == nil {
		e.releaseHold = e.g.Rollouts.Hold(now, e.service.Name, version)
	}
	e.holdMu.Unlock()
	return e.g.Rollouts.Count(now, rollout.Sample{
		Service: e.service.Name, Route: e.route.Name, Server: s.ID, Version: version, Expected: expected,
	})
}

// endHold records that the request has ended.
func (e *exchange) endHold() {
	e.holdMu.Lock()
	defer e.holdMu.Unlock()
	if e.releaseHold != nil {
		e.releaseHold(time.Now(), e.interrupted)
		e.releaseHold = nil
	}
}

// recordCall records the outcome of an attempt of a call.
func recordCall(c *rollout.Request, r *reply) {
	now := time.Now()
	switch {
	case r.notRun:
		c.Ignore(now)
	case errors.Is(r.err, errDeadline):
		c.Answered(now) // the time that it has waited counts
	case backendconn.CodeOf(r.err) == backendconn.CodeProtocol:
		c.Failed(now)
	case r.err != nil:
		c.Ignore(now)
	case r.status >= http.StatusInternalServerError:
		c.Failed(now)
	default:
		c.Answered(now)
	}
}

// recordLostStream records an attempt of a stream that has ended before its first event.
func recordLostStream(c *rollout.Request, err error) {
	now := time.Now()
	switch {
	case errors.Is(err, errDeadline), backendconn.CodeOf(err) == backendconn.CodeStalled:
		c.Answered(now)
	case backendconn.CodeOf(err) == backendconn.CodeProtocol:
		c.Failed(now)
	default:
		c.Ignore(now)
	}
}

// paceWatch measures the time of the first events of a run after its first one.
type paceWatch struct {
	request *rollout.Request
	first   int64 // number of the first event
}

// begin is called with the first event of a run.
func (p *paceWatch) begin(now time.Time, st *streamState, s *fleet.Server) {
	p.first = st.lastEventID + 1
	p.request = st.g.Rollouts.Count(now, rollout.Sample{
		Service: st.service.Name, Route: st.route.Name + paceSuffix, Server: s.ID, Version: st.g.Fleet.VersionOf(s),
		Expected: paceExpected, Part: true,
	})
}

// delivered is called after events were delivered.
func (p *paceWatch) delivered(now time.Time, last int64) {
	if p.request != nil && last >= p.first+paceEvents {
		p.request.Answered(now)
		p.request = nil
	}
}

// rolledBack reports whether the version that began the stream may no longer be sent
// requests.
func (st *streamState) rolledBack(now time.Time) bool {
	return st.version != "" && !st.g.Rollouts.MayResume(now, st.service.Name, st.version)
}

// replaced reports whether the servers of the version that began the stream are being
// stopped, so that there is no use in waiting for one.
func (st *streamState) replaced() bool {
	return st.version != "" && st.g.Rollouts.Ended(st.service.Name, st.version)
}
