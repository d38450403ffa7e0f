package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// A stream that has begun continues after the last event that the client has. A server that
// has nothing left to send ends its answer without an event, and so does one that fails to
// continue. The server is then asked to continue after the event before: one that knows the
// stream repeats the last event, which is not passed on again.

// endCheck is the state of a stream for which an answer without an event has come, from
// attempt to attempt.
type endCheck struct {
	// asking makes the next attempt ask for the last event that the client has, which is not
	// passed on again.
	asking bool
	engine *fleet.Server // which is to be asked; nil for any
	// emptyHead is the head of the answer without an event. It begins the answer to the client
	// if none has begun it.
	emptyHead http.Header
	// failed lists the engines that have not repeated the event. They are not asked again.
	failed fleet.Exclude
	// until is the time until which the stream waits for an engine that can be asked, and pause
	// is the time until the next try.
	until time.Time
	pause time.Duration
	// confirmed reports that the stream has ended after an event that a server has sent.
	confirmed bool
}

// maxNotRepeated is the number of servers that are asked to repeat an event that only the
// client has named. The event may not exist, which says nothing about the servers.
const maxNotRepeated = 3

const (
	// endCheckWait is how long a stream waits for an engine that has room, or for a part of the
	// retry budget, to ask for its last event. The client may have all events already, so that
	// only the end of its answer is late.
	endCheckWait = 4 * time.Second
	// endCheckPause is the time before the second try. It doubles with each further one: a try
	// takes a retry and a connection.
	endCheckPause = 200 * time.Millisecond
)

// answerEnd describes an answer to an attempt of a stream that ended without an error.
type answerEnd struct {
	resumable bool // the stream may run again
	begun     bool // the client had events before the attempt
	delivered bool // the answer had an event that the client did not have
	asked     bool // the server was asked to repeat the last event that the client has
	confirmed bool // the server repeated it, or another host found that a server does
}

// result returns resultEnded if the stream is complete, resultUnconfirmed if the server is to
// be asked to repeat the last event, and resultFailed if it has not done so.
func (a answerEnd) result() result {
	switch {
	case a.delivered || a.confirmed || !a.begun || !a.resumable:
		return resultEnded
	case a.asked:
		return resultFailed
	}
	return resultUnconfirmed
}

// endOfAnswer returns the result of an attempt whose answer has ended without an error, and
// sends the head of the answer to the client if the stream is complete. from is the engine or
// the host that sent it, and confirmed reports whether that host has found the stream to be
// complete.
func (st *streamState) endOfAnswer(from ident.BackendID, head http.Header, watch *streamWatch, confirmed bool) result {
	end := answerEnd{
		resumable: st.route.Resumable, begun: st.lastEventID > 0, delivered: watch.eventDelivered,
		asked: st.check.asking, confirmed: watch.repeated || confirmed && !st.check.asking,
	}
	r := end.result()
	switch {
	case r == resultUnconfirmed:
		st.addStep("%s ended after=%d without an event: asked to repeat event %d", from, st.lastEventID, st.lastEventID)
		st.check = endCheck{asking: true, emptyHead: head, until: time.Now().Add(endCheckWait), pause: endCheckPause}
	case r == resultFailed:
		st.addStep("%s ended after=%d without repeating event %d: not the end of the stream", from, st.lastEventID-1, st.lastEventID)
	case watch.repeated && !watch.eventDelivered:
		st.addStep("%s repeated event %d and ended: the stream is complete", from, st.lastEventID)
	}
	st.check.confirmed = r == resultEnded && end.resumable && end.begun
	if r == resultEnded {
		st.writeHead(head)
	}
	return r
}

// continueAfter returns the id of the event after which the next attempt is to continue.
func (st *streamState) continueAfter() int64 {
	if st.check.asking {
		return st.lastEventID - 1
	}
	return st.lastEventID
}

// recordUnconfirmed records the result of an answer of an engine that had no event.
func (st *streamState) recordUnconfirmed(s *fleet.Server, r result) {
	if r == resultUnconfirmed {
		st.check.engine = s
		return
	}
	st.exclude = append(st.exclude, s.ID)
	st.check.failed = append(st.check.failed, s.ID)
	if st.knowsLastEvent() {
		st.g.Fleet.RecordResult(s, false)
		return
	}
	if len(st.check.failed) >= maxNotRepeated {
		st.losses = maxLosses
	}
}

// endUnknown reports whether no server is left that could repeat the last event.
func (st *streamState) endUnknown() bool {
	if !st.check.asking {
		return false
	}
	isLeft := func(s *fleet.Server) bool { return !slices.Contains(st.check.failed, s.ID) }
	return st.attemptsLeft() <= 0 || !slices.ContainsFunc(st.g.Fleet.OfService(st.service.Name), isLeft)
}

// awaitEndCheck pauses if the stream is to ask for its last event once more although that was
// refused, and reports whether it is.
func (st *streamState) awaitEndCheck(now time.Time) bool {
	if !st.check.asking || !now.Before(st.check.until) || st.endUnknown() {
		return false
	}
	pause := min(st.check.pause, st.check.until.Sub(now))
	st.check.pause *= 2
	select {
	case <-time.After(pause):
		return true
	case <-st.ctx.Done():
		return false
	}
}

// knowsLastEvent reports whether a server has sent the last event to this host or the one
// that sends the stream through it. Otherwise only the client has named it.
func (st *streamState) knowsLastEvent() bool {
	return st.lastEventID > st.call.After || st.relayed != nil && st.relayed.Begun
}

// takeUnconfirmed returns the engine that is to repeat the last event, once; nil if there is
// none. One that is no longer usable has failed to continue the stream. While one accepts no
// request and no other may be asked, busy is true.
func (st *streamState) takeUnconfirmed(now time.Time) (s *fleet.Server, busy bool) {
	s = st.check.engine
	switch {
	case s == nil:
		return nil, false
	case !st.g.Fleet.IsUsable(s, now):
		st.check.engine = nil
		st.losses++
		st.exclude = append(st.exclude, s.ID)
		return nil, false
	case !st.g.Fleet.Accepts(s, now) || !st.permitted(s, PurposeFits):
		st.exclude = append(st.exclude, s.ID)
		st.keepUnconfirmed(s)
		return nil, st.check.engine != nil
	}
	st.check.engine = nil
	return s, false
}

// keepUnconfirmed is called for an engine that was to repeat the last event and has not run
// the request. If the route allows a further engine and one has not been asked yet, that one is
// next; otherwise the same engine is asked again.
func (st *streamState) keepUnconfirmed(s *fleet.Server) {
	if !st.check.asking {
		return
	}
	isOther := func(other *fleet.Server) bool { return !slices.Contains(st.exclude, other.ID) }
	if st.attemptsLeft() > 1 && slices.ContainsFunc(st.g.Fleet.Accepting(time.Now(), st.service.Name, st.version), isOther) {
		st.check.engine = nil
		st.losses++
		return
	}
	st.check.engine = s
}
