package gateway

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// streamFresh is the longest silence of a connection that carries a stream. A
// stream may be sent again, so a dead connection only costs time.
const streamFresh = 10 * time.Second

// streamWatch decides how long a stream waits for its engine.
type streamWatch struct {
	g        *Gateway
	st       *streamState
	server   *fleet.Server
	mark     uint32
	expected time.Duration // until the first event
	flowing  bool
	// checked is the silence at which the engine last proved to be alive.
	checked time.Duration
	probes  int
}

const (
	// firstSlack is what the first event may be later than expected before the
	// engine is asked for its state.
	firstSlack = 900 * time.Millisecond
	// quietGap is the silence after which a stream's engine is asked, if its
	// route does not say how long a pause may be.
	quietGap = 300 * time.Millisecond
	// quietPart is the same as a part of the route's longest pause.
	quietPart = 0.42
	// stallParts is the number of longest pauses after which a stream goes on
	// elsewhere though its engine answers.
	stallParts = 2.0
	// suspectGap is the silence after which an engine in a data centre that was
	// just lost is asked.
	suspectGap = 120 * time.Millisecond
	// maxFirstProbes bounds the questions to an engine that does not begin.
	maxFirstProbes = 5
)

// check implements backendconn.Watch.
func (w *streamWatch) check(now time.Time, idle time.Duration) error {
	if !now.Before(w.st.end) {
		return errGivenUp
	}
	if idle <= w.checked {
		w.checked = 0 // bytes have arrived since
	}
	if w.server.Gone(w.mark) {
		return w.silent(idle, "found lost by another request")
	}
	limit := w.limit()
	if w.g.Fleet.ZoneLost(w.server, now) {
		limit = min(limit, suspectGap)
	}
	if w.flowing && idle > time.Duration(stallParts*float64(w.route().MaxGap)) && w.route().MaxGap > 0 {
		return backendconn.StalledError(idle, "the run makes no progress")
	}
	if idle-w.checked < limit {
		return nil
	}
	w.probes++
	if w.probes > maxFirstProbes && !w.flowing {
		return backendconn.StalledError(idle, "the run does not begin")
	}
	if !w.g.probe(w.server) {
		return w.silent(idle, "does not answer")
	}
	w.checked = idle
	w.g.Fleet.Heard(w.server, time.Now())
	return nil
}

func (w *streamWatch) route() *routing.Route { return w.st.route }

func (w *streamWatch) limit() time.Duration {
	if !w.flowing {
		return w.expected + w.expected/2 + firstSlack
	}
	if gap := w.route().MaxGap; gap > 0 {
		return time.Duration(quietPart * float64(gap))
	}
	return quietGap
}

func (w *streamWatch) silent(idle time.Duration, why string) error {
	return backendconn.SilentError(idle, why)
}
