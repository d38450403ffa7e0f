package fleet

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// What servers say about themselves in their answers outlives their entries: an entry that
// lapses in an outage of the platform's store comes back, while the server has run all the time
// and what it said is still in force. That it is brittle also applies to the servers that start
// in its service, until they have answered themselves.

// statementTTL is how long the statements of a server that was removed are kept. No
// statement is in force for longer without being repeated.
const statementTTL = maxServerBackoff

// statements are what one incarnation of a server has said about itself in its answers.
type statements struct {
	// leaving is set if the server said that it is leaving. Draining is then set too,
	// whatever the list says.
	leaving bool
	// backoffUntil is the end of the time for which the server accepts no request from this
	// node.
	backoffUntil time.Time
	// limit is the number of requests per second that the server accepts from all hosts
	// together.
	limit requestLimit
	// rejectedAt is the time at which the server, while brittle, last rejected a request of
	// any host.
	rejectedAt time.Time
}

// incarnationKey identifies one incarnation of a server.
type incarnationKey struct {
	id          ident.BackendID
	incarnation int64
}

// removedStatements are the statements of an incarnation that was removed at a time.
type removedStatements struct {
	statements
	service string
	at      time.Time
}

// rememberStatements keeps the statements of a server that is removed. The lock is held.
func (f *Fleet) rememberStatements(now time.Time, s *Server) {
	if s.statements != (statements{}) {
		f.remembered[incarnationKey{s.ID, s.Incarnation}] = removedStatements{s.statements, s.Service, now}
	}
}

// initialStatements returns what is known of a server that is added: what it has said before
// it was removed, and otherwise what servers of its service say of all of them. The lock is
// held.
func (f *Fleet) initialStatements(now time.Time, e Entry) statements {
	var said statements
	key := incarnationKey{e.ID, e.Incarnation}
	if r, ok := f.remembered[key]; ok && e.Incarnation != 0 && r.service == e.Service {
		delete(f.remembered, key)
		said = r.statements
	}
	if said.limit.statedAt.IsZero() {
		said.limit = f.serviceLimit(now, e.Service)
	}
	return said
}

// serviceLimit returns what the server of a service that was brittle last says of rejected
// requests. Servers of one service are brittle at the same time, so one that starts is taken
// to be so before its first answer. A limit of requests per second is that of one server.
// The lock is held.
func (f *Fleet) serviceLimit(now time.Time, service string) requestLimit {
	var latest requestLimit
	consider := func(l requestLimit) {
		if l.brittle && now.Sub(l.statedAt) < statementTTL && l.statedAt.After(latest.statedAt) {
			latest = requestLimit{brittle: true, maxRejected: l.maxRejected, statedAt: l.statedAt}
		}
	}
	for _, s := range f.servers {
		if s.Service == service {
			consider(s.limit)
		}
	}
	for _, r := range f.remembered {
		if r.service == service {
			consider(r.limit)
		}
	}
	return latest
}

// expireStatements drops statements that were kept for statementTTL. The lock is held.
func (f *Fleet) expireStatements(now time.Time) {
	for key, r := range f.remembered {
		if now.Sub(r.at) > statementTTL {
			delete(f.remembered, key)
		}
	}
}
