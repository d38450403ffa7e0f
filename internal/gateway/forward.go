package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// forward passes the events of a run on to the client as they arrive, until the
// answer is complete or its connection fails.
func (st *streamState) forward(s *fleet.Server, c *backendconn.Conn, response *http.Response, watch *streamWatch, p *copyManager) result {
	defer func() { watch.pace.request.Ignore(time.Now()) }()
	copyUsed := false // whether the stream resumes from the copy
	defer func() { p.end(copyUsed) }()
	begin := func() { st.recordFirstEvent(s, p.placed, watch) }
	var events eventReader
	buf := make([]byte, 4<<10)
	for {
		n, err := response.Body.Read(buf)
		if n > 0 && st.isAnother(s, watch.identity) {
			st.sentCount++
			st.g.Pool.Close(c)
			return resultFailed
		}
		if n > 0 {
			watch.identity = nil
			events.add(buf[:n])
			if r, ok := st.deliver(&events, response.Header, s.ID, begin, watch); !ok {
				st.sentCount++
				g := st.g
				g.Pool.Close(c)
				if r == resultFailed {
					g.Fleet.RecordResult(s, false)
					st.exclude = append(st.exclude, s.ID)
				}
				return r
			}
		}
		switch {
		case err == nil:
			if watch.eventDelivered {
				p.maintain(time.Now())
			}
			continue
		case errors.Is(err, io.EOF) && !events.partial() && (framed(response) || !errors.Is(st.g.probe(s), errGone)):
			st.sentCount++
			st.g.Pool.Put(addressOf(s), c, response)
			r := st.endOfAnswer(s.ID, response.Header, watch, false)
			if r != resultEnded {
				st.recordUnconfirmed(s, r)
				return r
			}
			st.g.Fleet.RecordResult(s, true)
			return r
		default:
			st.g.Pool.Close(c)
			result := st.attemptLost(s, p, c.BodyError(err), watch.eventDelivered || watch.repeated)
			copyUsed = st.lostCopy != nil
			return result
		}
	}
}

// framed reports whether an answer has a length or chunked encoding. Any other
// answer ends when its connection closes, and therefore looks complete also when
// its server crashes.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// writeHead sends the head of the answer to the client, once per stream. The answer keeps
// that of the first engine that answered, also if it had no event.
func (st *streamState) writeHead(h http.Header) {
	if st.headSent {
		return
	}
	if st.check.emptyHead != nil {
		h = st.check.emptyHead
	}
	st.headSent = true
	passHead(st.w, h)
	if st.relayed != nil {
		accepted := relayAccepted
		if st.check.confirmed {
			accepted = relayConfirmed
		}
		st.w.Header().Set(headerRelayed, accepted)
		st.w.Header().Set(headerRelayVersion, st.version)
	}
	st.w.WriteHeader(http.StatusOK)
}

// deliver writes the complete events that have arrived to the client. Event ids
// increase by one, so any other id is a fault of the engine. from is the engine or the host
// that sent them, and begin is called before the first one is passed on. If deliver returns
// false, the attempt ends with the returned result.
func (st *streamState) deliver(events *eventReader, head http.Header, from ident.BackendID, begin func(), watch *streamWatch) (result, bool) {
	wrote := false
	for {
		ev, ok := events.next()
		if !ok {
			break
		}
		if st.check.asking && !watch.repeated && ev.id == st.lastEventID {
			watch.repeated = true
			continue
		}
		if ev.id != st.lastEventID+1 || st.check.asking && !watch.repeated {
			st.addStep("event out of order: %d after %d from %s", ev.id, st.lastEventID, from)
			return resultFailed, false
		}
		// Recorded before the client can know of it: its next request would otherwise
		// find the engine still reading this prompt.
		if !watch.eventDelivered {
			begin()
		}
		st.writeHead(head)
		if _, err := st.w.Write(ev.raw); err != nil {
			return resultAborted, false
		}
		st.lastEventID = ev.id
		st.check = endCheck{}
		wrote = true
	}
	if events.tooLarge() {
		st.addStep("no event within %d bytes from %s", maxEventBytes, from)
		return resultFailed, false
	}
	if !wrote {
		return 0, true
	}
	if err := st.responseControl.Flush(); err != nil {
		return resultAborted, false
	}
	watch.lastEventAt = time.Now()
	watch.pace.delivered(watch.lastEventAt, st.lastEventID)
	if !st.sound && watch.lastEventAt.Sub(watch.firstEventAt) >= soundAfter {
		st.sound = true
		st.endTrial()
		st.recordAnswered(watch.lastEventAt)
	}
	return 0, true
}

// recordFirstEvent records the first event of a run on an engine.
func (st *streamState) recordFirstEvent(s *fleet.Server, placed fleet.Placement, watch *streamWatch) {
	now := time.Now()
	watch.count.Answered(now)
	watch.pace.begin(now, st, s)
	st.g.Fleet.RecordPromptRead(now, st.g.Self, placed)
	placed.Began = st.recordVersion(now, s)
	st.g.Announce.FirstEvent(placed)
	st.recordFirstDelivery(now, s.ID, watch)
}

// recordFirstDelivery records the first event of an attempt, and the resume time if the
// attempt resumes a stream after a loss. from is the engine or the host that sent it.
func (st *streamState) recordFirstDelivery(now time.Time, from ident.BackendID, watch *streamWatch) {
	watch.eventDelivered, watch.firstEventAt = true, now
	st.leftSilent = false
	if st.lostAt.IsZero() {
		st.g.Metrics.firstEventTime.RecordDuration(now.Sub(st.started))
		st.addStep("first event")
		return
	}
	resume := now.Sub(st.lostAt)
	st.g.Metrics.resumes[st.resumeMode].Inc(1)
	st.g.Metrics.resumeTime.RecordDuration(resume)
	st.addStep("resumed by %s in %dms", st.resumeMode, resume.Milliseconds())
	st.g.Log.Log(logrus.InfoLevel, telemetry.EventAttemptResumed, logrus.Fields{
		telemetry.FieldRequest: st.call.ID, telemetry.FieldBackend: from, "way": st.resumeMode, "resume_ms": resume.Milliseconds(), "after": st.lastEventID,
	}, "stream resumed")
	st.lostAt = time.Time{}
}
