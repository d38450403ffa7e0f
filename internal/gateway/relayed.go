package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/connlimit"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// maxRelayed is the maximum number of requests of other hosts that are served at the same
// time. Each holds a connection and the body of its request.
const maxRelayed = 256

// relayedCount is the number of requests of other hosts that are served now.
type relayedCount struct{ n atomic.Int64 }

// begin counts a request and reports whether it may be served. end must be called if so.
func (c *relayedCount) begin() bool {
	if c.n.Add(1) > maxRelayed {
		c.n.Add(-1)
		return false
	}
	return true
}

func (c *relayedCount) end() { c.n.Add(-1) }

// ServeRelayed serves a request that another host sends through this one. It is never sent
// through a third host.
func (g *Gateway) ServeRelayed(writer http.ResponseWriter, r *http.Request) {
	w := &answerWriter{ResponseWriter: writer}
	defer g.answerPanic(w)
	now := time.Now()
	table := g.Routes.Current()
	if table == nil || g.Leaving() || !g.relayedInFlight.begin() {
		refuseRelayed(w, time.Second, "the host accepts no requests of other hosts now")
		return
	}
	defer g.relayedInFlight.end()
	body := heldBody{budget: &g.Bodies}
	defer body.release()
	control := http.NewResponseController(w)
	setWriteDeadline(control, now.Add(defaultTimeout))
	h, status := decodeRelayed(r, &body, maxRelayedBody(table))
	switch status {
	case 0:
	case http.StatusServiceUnavailable:
		// A host that still writes when the connection ends may not see the refusal.
		_, _ = io.CopyN(io.Discard, r.Body, maxRelayHead+maxRelayedBody(table)) // ends with the body
		refuseRelayed(w, retryAfter(bodyRetryAfter), "the bodies of other requests fill the memory")
		return
	default:
		refuseRelayed(w, time.Second, "the relayed request could not be read")
		return
	}
	connlimit.RequestRead(r.Context())
	if g.Paths.Lost(h.Service.Name) {
		refuseRelayed(w, minRetryAfter, "the host has no path to the servers")
		return
	}
	setWriteDeadline(control, now.Add(h.TimeLeft+writeSlack))
	w.Header().Set(headerRelayed, relayAccepted)
	e := h.exchange(g, w, r, now)
	e.waitForCrashCause(now)
	if h.Sent == 0 && e.crashesServers(time.Now()) {
		e.addCrashCause(time.Now())
		e.fail(reasonCrashes, crashRetryAfter)
		return
	}
	e.serve()
}

// maxRelayedBody is the maximum size of the body of a relayed request. The sender may have a
// newer configuration with a higher limit, so it is at least that of requests without one.
func maxRelayedBody(t *routing.Table) int64 { return max(t.Limits.BodyBytes, defaultBodyBytes) }

// refuseRelayed answers that this node does not accept a relayed request.
func refuseRelayed(w http.ResponseWriter, retryAfter time.Duration, reason string) {
	w.Header().Set(headerRelayed, relayAccepted)
	w.Header().Set(headerRelayOutcome, relayUnavailable)
	writeRefusal(w, http.StatusServiceUnavailable, retryAfter, reason)
}

// exchange returns the state of a relayed request. What the sender has already counted, its
// attempts and the retry for the next one, is not counted again.
func (h *relayHead) exchange(g *Gateway, w http.ResponseWriter, r *http.Request, now time.Time) *exchange {
	h.Call.Timeout, h.Call.Received = h.ClientTimeLeft, now
	return &exchange{
		g: g, w: w, ctx: r.Context(), call: &h.Call, route: &h.Route, service: &h.Service, team: h.Team,
		started: now, deadline: now.Add(h.TimeLeft), relayed: h, point: rand.Float64(),
		sentCount: h.Sent, retryReserved: h.RetryTaken, exclude: h.Excluded,
	}
}

// takeOver sets what another host knows of the stream that it sends through this one.
func (st *streamState) takeOver(h *relayHead) {
	st.version, st.losses = h.Version, h.Losses
	if c := h.Copy; c != nil {
		if holder := st.g.Fleet.Server(c.Holder); holder != nil {
			st.lostCopy = &runCopy{holder: holder, source: c.Source, name: c.Name}
		}
	}
}
