package gateway

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
)

// maxLoggedSends is the maximum number of sends of one request that its log line lists.
const maxLoggedSends = 24

// sendOutcome is what is known of a request that was sent to a server or another host.
type sendOutcome string

const (
	sendPending  sendOutcome = "pending"  // no answer yet
	sendNotSent  sendOutcome = "not_sent" // no connection could be opened
	sendRefused  sendOutcome = "refused"  // the receiver stated that the request did not run
	sendAnswered sendOutcome = "answered" // the request ran, or may have
	sendUnknown  sendOutcome = "unknown"  // no answer that can be used: the request may have run
)

// sendRecord describes one send of a request, for the request's log line. The line of a
// request whose client was told that it did not run shows with it why that is so.
type sendRecord struct {
	to        string // backend server, or host through which the request went
	outcome   sendOutcome
	status    int // of the answer; 0 if there was none
	port      int // local port of the connection; 0 if there was none
	onConn    int // number of the request on its connection, 1 for the first
	skipped   int // answers to other requests that came first
	at, ended time.Duration
}

func (r *sendRecord) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s at=%dms", r.to, r.outcome, r.at.Milliseconds())
	if r.outcome != sendPending {
		fmt.Fprintf(&b, " ended=%dms", r.ended.Milliseconds())
	}
	if r.status != 0 {
		fmt.Fprintf(&b, " status=%d", r.status)
	}
	if r.port != 0 {
		fmt.Fprintf(&b, " conn=%d request=%d skipped=%d", r.port, r.onConn, r.skipped)
	}
	return b.String()
}

// sendLog lists the sends of one request. It is safe for concurrent use, since a call may
// have several attempts at the same time, some of which end after the request.
type sendLog struct {
	mu      sync.Mutex
	records []*sendRecord // guarded by mu, as are the records
}

// begin adds a send that begins now. It returns nil if the list is full.
func (l *sendLog) begin(to string, at time.Duration) *sendRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) >= maxLoggedSends {
		return nil
	}
	r := &sendRecord{to: to, outcome: sendPending, at: at}
	l.records = append(l.records, r)
	return r
}

// end records the outcome of a send that begin returned. c is nil if there was no connection.
func (l *sendLog) end(r *sendRecord, outcome sendOutcome, status int, c *backendconn.Conn, at time.Duration) {
	if r == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.outcome, r.status, r.ended = outcome, status, at
	if c != nil {
		r.port, r.onConn, r.skipped = c.LocalPort(), c.Requests(), c.Skipped()
	}
}

// list returns the sends as text, oldest first. It is empty and not nil if there are none,
// so that the log line says so.
func (l *sendLog) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]string, 0, len(l.records))
	for _, r := range l.records {
		list = append(list, r.String())
	}
	return list
}

// beginSend records that the request is about to be sent to a server or host.
func (e *exchange) beginSend(to string) *sendRecord {
	return e.sendLog.begin(to, time.Since(e.started))
}

// endSend records the outcome of a send. c is nil if there was no connection.
func (e *exchange) endSend(r *sendRecord, outcome sendOutcome, status int, c *backendconn.Conn) {
	e.sendLog.end(r, outcome, status, c, time.Since(e.started))
	if c != nil {
		e.g.Metrics.skipped.Inc(int64(c.Skipped()))
	}
}
