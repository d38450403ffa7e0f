package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// forward passes events on as they arrive until the answer ends or breaks off.
func (st *streamState) forward(s *fleet.Server, c *backendconn.Conn, response *http.Response, watch *streamWatch, p *protection) result {
	needed := false // whether the copy is what the stream goes on from
	defer func() { p.end(needed) }()
	var events eventReader
	buf := make([]byte, 4<<10)
	for {
		n, err := response.Body.Read(buf)
		if n > 0 {
			events.add(buf[:n])
			if r, ok := st.deliver(&events, response.Header, p.placed, watch); !ok {
				st.sent++
				g := st.g
				g.Pool.Close(c)
				if r == resultFailed {
					g.Fleet.Result(s, false)
					st.exclude = append(st.exclude, s.ID)
				}
				return r
			}
		}
		switch {
		case err == nil:
			if watch.flowing {
				p.keep(time.Now())
			}
			continue
		case errors.Is(err, io.EOF) && !events.partial() && (framed(response) || st.g.probe(s)):
			st.sent++
			st.open(response.Header)
			st.g.Pool.Put(addressOf(s), c, response)
			st.g.Fleet.Result(s, true)
			return resultEnded
		default:
			st.g.Pool.Close(c)
			result := st.broke(s, p, c.BodyError(err), watch.flowing)
			needed = st.copy != nil
			return result
		}
	}
}

// framed reports whether an answer tells its own end. One that does not ends with
// its connection, and looks complete as well when its server crashes.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// open passes the head of the first run on.
func (st *streamState) open(h http.Header) {
	if st.opened {
		return
	}
	st.opened = true
	passHead(st.w, h)
	st.w.WriteHeader(http.StatusOK)
}

// deliver writes the whole events that have arrived. The numbers of events rise
// by one, so a number that does not follow is a fault of the engine.
func (st *streamState) deliver(events *eventReader, head http.Header, placed fleet.Placed, watch *streamWatch) (result, bool) {
	wrote := false
	for {
		ev, ok := events.next()
		if !ok {
			break
		}
		if ev.id != st.last+1 {
			st.note("event %d after %d from %s", ev.id, st.last, placed.Server)
			return resultFailed, false
		}
		st.open(head)
		if _, err := st.w.Write(ev.raw); err != nil {
			return resultGone, false
		}
		st.last = ev.id
		wrote = true
	}
	if !wrote {
		return 0, true
	}
	if err := st.write.Flush(); err != nil {
		return resultGone, false
	}
	st.progress(placed, watch)
	return 0, true
}

// progress notes the first event of a run.
func (st *streamState) progress(placed fleet.Placed, watch *streamWatch) {
	if watch.flowing {
		return
	}
	watch.flowing = true
	now := time.Now()
	st.g.Fleet.First(now, st.g.Self, placed)
	st.g.Announce.First(placed)
	if st.lostAt.IsZero() {
		st.g.Metrics.first.RecordDuration(now.Sub(st.started))
		st.note("first event")
		return
	}
	resume := now.Sub(st.lostAt)
	st.g.Metrics.resumes[st.way].Inc(1)
	st.g.Metrics.resume.RecordDuration(resume)
	st.note("resumed by %s in %dms", st.way, resume.Milliseconds())
	st.g.Log.Log(logrus.InfoLevel, telemetry.EventAttemptResumed, logrus.Fields{
		telemetry.FieldRequest: st.call.ID, telemetry.FieldBackend: placed.Server, "way": st.way, "resume_ms": resume.Milliseconds(), "after": st.last,
	}, "stream goes on")
	st.lostAt = time.Time{}
}
