// Package dispatch decides which server of a plain service runs a call, and when, for all
// hosts together.
//
// Load pattern: dozens of hosts share a few servers with a few slots each, and together send
// more calls at a time than there are slots. Each host knows a server from its own last answer
// only, which is a hundred calls old; hosts that choose by such news fill one server and leave
// another one idle, and calls that were turned away come again. The servers differ in speed,
// which changes many times a second. One host, the dispatcher of the service, therefore
// assigns each call to a server. Its hosts tell it of each end, with the load that the server reported,
// and keeps as many calls at a server as it can run, with a few more for the time that the
// news takes. Other calls wait with the dispatcher, the most urgent first, or are turned away
// at once if they cannot be served in time.
//
// A Service has no clock and does no input or output; its methods may be called from any
// goroutine.
package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/urgency"
)

const (
	// defaultWork is the time of a call before any was measured.
	defaultWork = 30 * time.Millisecond
	// fullPause is how long a server gets no call after it has turned one away.
	fullPause = 20 * time.Millisecond
	// lostPause is the same for a server that accepted no connection.
	lostPause = 300 * time.Millisecond
	// leaseSlack is the time after the deadline of a call after which its end was lost.
	leaseSlack = 100 * time.Millisecond
	// askTTL is how long a call waits that does not ask again: its host has ended.
	askTTL = 400 * time.Millisecond
	// maxWaiting bounds the calls that wait.
	maxWaiting = 4096
	// overloadFactor is the number of calls that come, as a multiple of those that the servers
	// can run, from which on a call that has missed its objective is turned away: others that
	// are in time go before it until its caller gives up. A shorter or smaller excess is served
	// late.
	overloadFactor = 1.4
	// serveable is the part of its remaining time that a call may be expected to wait.
	serveable = 0.85
	// minRoom is the shortest time given to a caller that was turned away.
	minRoom = 50 * time.Millisecond
)

// ID identifies a call of a host.
type ID struct {
	Host   ident.HostID
	Number uint64 // unique within an incarnation of the host
}

// Call asks for a server.
type Call struct {
	ID       ID
	Route    string
	Team     string
	Priority int // 0 is the most urgent
	// UntilObjective and UntilDeadline are the times left for the caller.
	UntilObjective, UntilDeadline time.Duration
	// Except lists the servers that the call must not be sent to. A call that asks again names
	// them anew.
	Except []ident.BackendID
	// Optional is set for a second attempt beside the first one: it gets a server only if
	// one is free at once.
	Optional bool
}

// Answer is the decision on a call.
type Answer struct {
	// Server runs the call; empty if none does yet.
	Server ident.BackendID
	// NoServer is set if the call must not be sent to any of the servers.
	NoServer bool
	// Refused is set if the call cannot be served in time. Room is then the time after which
	// there is room.
	Refused bool
	Room    time.Duration
	// Reason is the reason for a refusal.
	Reason string
}

// Grant is a server for a call that has waited.
type Grant struct {
	ID     ID
	Answer Answer
}

// Server is a server that calls may be sent to.
type Server struct {
	ID    ident.BackendID
	Slots int
}

// End tells how a call has ended at its server.
type End struct {
	// Took is the time from the send to the whole answer; 0 if there was none.
	Took time.Duration
	// Full is set if the server turned the call away, and Lost if no connection to it could be
	// opened. An answer that was spoiled or given up says nothing of the next call.
	Full, Lost bool
	// Load is the load that the server reported with its answer; nil if it reported none.
	Load *Load
}

// Load is the load of a server as it reports it.
type Load struct {
	Running, Waiting, Slots int
	// Pace is the time that work takes, as a multiple of the usual; 0 if it is not reported.
	Pace float64
}

// lease is a call that runs on a server.
type lease struct {
	server ident.BackendID
	until  time.Time
}

// waiter is a call that waits.
type waiter struct {
	call      Call
	objective time.Time
	deadline  time.Time
	askedAt   time.Time // of the latest question
}

// Service assigns the calls to one service. The zero value is ready to use.
type Service struct {
	mu      sync.Mutex
	servers map[ident.BackendID]*server // guarded by mu
	ordered []*server                   // guarded by mu; the same, by id
	leases  map[ID]lease                // guarded by mu
	waiting []*waiter                   // guarded by mu; in the order of their coming
	work    time.Duration               // guarded by mu; usual time of a call at a server of usual speed
	shares  urgency.Shares              // guarded by mu
	teams   teamWork                    // guarded by mu
	coming  arrivals                    // guarded by mu
}

// SetServers sets the servers that calls may be sent to.
func (s *Service) SetServers(list []Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers == nil {
		s.servers, s.leases = map[ident.BackendID]*server{}, map[ID]lease{}
	}
	for _, x := range s.servers {
		x.usable = false
	}
	for _, x := range list {
		known := s.servers[x.ID]
		if known == nil {
			known = &server{id: x.ID, speed: 1}
			s.servers[x.ID] = known
			s.ordered = append(s.ordered, known)
			slices.SortFunc(s.ordered, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
		}
		known.usable, known.slots = true, max(1, x.Slots)
	}
}

// Ask decides on a call. A call that asks again gets the same answer.
func (s *Service) Ask(now time.Time, c Call) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if l, ok := s.leases[c.ID]; ok {
		return Answer{Server: l.server}
	}
	if w := s.waiterOf(c.ID); w != nil {
		w.askedAt, w.call.Except = now, c.Except
		return Answer{}
	}
	if !s.allows(c.Except) {
		return Answer{NoServer: true}
	}
	w := &waiter{call: c, askedAt: now, objective: now.Add(c.UntilObjective), deadline: now.Add(c.UntilDeadline)}
	if c.UntilObjective == urgency.NoObjective {
		w.objective = w.deadline
	}
	s.shares.Asked(now, c.Route)
	s.coming.add(now)
	if c.Optional || !s.anyServeable(now) {
		if x := s.choose(now, w); x != nil {
			return s.grant(now, w, x)
		}
	}
	if c.Optional {
		return Answer{Refused: true, Reason: "no server is free"}
	}
	if wait := s.expectedWait(now, w); wait > time.Duration(serveable*float64(c.UntilDeadline)) || len(s.waiting) >= maxWaiting {
		return Answer{Refused: true, Room: max(minRoom, wait-s.usualTime()), Reason: "the calls before it take longer than its caller waits"}
	}
	s.waiting = append(s.waiting, w)
	return Answer{}
}

func (s *Service) waiterOf(id ID) *waiter {
	for _, w := range s.waiting {
		if w.call.ID == id {
			return w
		}
	}
	return nil
}

// Cancel removes a call that waits, or frees the server of one that was not sent.
func (s *Service) Cancel(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.call.ID == id })
	s.free(id)
}

// End records that a call has ended at its server.
func (s *Service) End(now time.Time, id ID, e End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	s.free(id)
	x := s.servers[l.server]
	if x == nil {
		return
	}
	switch {
	case e.Full:
		x.pausedUntil = now.Add(fullPause)
	case e.Lost:
		x.pausedUntil = now.Add(lostPause)
	case e.Took > 0:
		s.work = x.measured(s.usualTime(), e.Took, now)
	}
	if e.Load != nil {
		x.reported(now, *e.Load, len(s.waiting) > 0)
	}
}

func (s *Service) free(id ID) {
	if l, ok := s.leases[id]; ok {
		if x := s.servers[l.server]; x != nil {
			x.leased--
		}
		delete(s.leases, id)
	}
}

// Next assigns servers to calls that wait, the most urgent first, and turns away those that can
// no longer be served.
func (s *Service) Next(now time.Time) []Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return now.Sub(w.askedAt) > askTTL })
	var list []Grant
	overloaded := s.coming.perSecond(now) > overloadFactor*s.rate(now)
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if !s.allows(w.call.Except) {
			list = append(list, Grant{w.call.ID, Answer{NoServer: true}})
			return true
		}
		reason := ""
		switch work := s.fastest(now); {
		case w.deadline.Sub(now) < work:
			reason = "its caller's time is over before a server is free"
		case overloaded && w.objective.Sub(now) < work:
			reason = "more calls come than the servers can run, and it would be late"
		default:
			return false
		}
		list = append(list, Grant{w.call.ID, Answer{Refused: true, Room: max(minRoom, s.drainTime(now)), Reason: reason}})
		return true
	})
	for len(s.waiting) > 0 {
		w, x := s.nextWaiter(now)
		if w == nil {
			break
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
		list = append(list, Grant{w.call.ID, s.grant(now, w, x)})
	}
	return list
}

// nextWaiter returns the most urgent call for which a server is free, and that server. Calls of
// a route that is starved go first.
func (s *Service) nextWaiter(now time.Time) (next *waiter, x *server) {
	if !s.anyFree(now) {
		return nil, nil
	}
	starved := s.shares.Starved(now)
	order := s.newOrder(now)
	var best urgency.Request
	for _, w := range s.waiting {
		r := order.request(w)
		switch {
		case next == nil:
		case starved[w.call.Route] != starved[next.call.Route]:
			if !starved[w.call.Route] {
				continue
			}
		case !urgency.Before(r, best):
			continue
		}
		if free := s.choose(now, w); free != nil {
			next, x, best = w, free, r
		}
	}
	return next, x
}

// order computes the urgency of calls at one moment.
type order struct {
	s      *Service
	now    time.Time
	work   time.Duration
	excess map[string]float64 // by team
}

func (s *Service) newOrder(now time.Time) *order {
	return &order{s: s, now: now, work: s.fastest(now), excess: map[string]float64{}}
}

func (o *order) request(w *waiter) urgency.Request {
	excess, ok := o.excess[w.call.Team]
	if !ok {
		excess = o.s.teams.excess(o.now, w.call.Team)
		o.excess[w.call.Team] = excess
	}
	return urgency.Request{
		Priority: w.call.Priority, UntilObjective: w.objective.Sub(o.now), UntilDeadline: w.deadline.Sub(o.now),
		Work: o.work, Excess: excess,
	}
}

func (s *Service) grant(now time.Time, w *waiter, x *server) Answer {
	x.leased++
	s.leases[w.call.ID] = lease{server: x.id, until: w.deadline.Add(leaseSlack)}
	s.shares.Served(now, w.call.Route)
	s.teams.add(now, w.call.Team, x.expected(now, s.usualTime()))
	return Answer{Server: x.id}
}

// expire frees the servers of calls whose end was lost.
func (s *Service) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.until) {
			s.free(id)
		}
	}
}

func (s *Service) usualTime() time.Duration {
	if s.work <= 0 {
		return defaultWork
	}
	return s.work
}

// Counts returns the number of calls that wait and that run.
func (s *Service) Counts() (waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting), len(s.leases)
}
