package fleet

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// The limits of requests per second that servers name in their answers. A server names
// its limit for all hosts together.

// minRequestLimit is the smallest limit in requests per second that is kept to. At a
// server that is sent nothing, no host would notice that its limit has ended.
const minRequestLimit = 0.2

// requestLimit is the latest statement of a server about its limits.
type requestLimit struct {
	perSecond float64 // 0 if there is no limit
	// brittle is set if the server falls over when it has to reject more than maxRejected
	// requests in a second.
	brittle     bool
	maxRejected int
	statedAt    time.Time
}

// sameTerms reports whether two statements differ at most in their time.
func (l requestLimit) sameTerms(other requestLimit) bool {
	l.statedAt = other.statedAt
	return l == other
}

// RecordLimit records the limit that a server named in an answer, in requests per second.
// It reports whether the limit has changed.
func (f *Fleet) RecordLimit(now time.Time, s *Server, perSecond float64) (changed bool) {
	return f.changeLimit(s, func(l *requestLimit) { l.perSecond, l.statedAt = max(perSecond, minRequestLimit), now })
}

// RecordNoLimit records an answer of a server that names no limit. It reports whether the
// server named one before.
func (f *Fleet) RecordNoLimit(now time.Time, s *Server) (changed bool) {
	return f.changeLimit(s, func(l *requestLimit) { l.perSecond, l.statedAt = 0, now })
}

// RecordBrittle records that a server has said in an answer that it falls over when it has
// to reject more than maxRejected requests in a second. It reports whether that is new.
func (f *Fleet) RecordBrittle(now time.Time, s *Server, maxRejected int) (changed bool) {
	return f.changeLimit(s, func(l *requestLimit) { l.brittle, l.maxRejected, l.statedAt = true, maxRejected, now })
}

// RecordNotBrittle records an answer of a server that does not say that it is brittle. It
// reports whether the server said so before.
func (f *Fleet) RecordNotBrittle(now time.Time, s *Server) (changed bool) {
	return f.changeLimit(s, func(l *requestLimit) { l.brittle, l.maxRejected, l.statedAt = false, 0, now })
}

func (f *Fleet) changeLimit(s *Server, change func(*requestLimit)) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := s.limit
	change(&l)
	return s.setLimit(l)
}

// setLimit stores a statement, and reports whether it differs from the one before. The lock
// of the Fleet must be held.
func (s *Server) setLimit(l requestLimit) (changed bool) {
	changed = !s.limit.sameTerms(l)
	s.limit = l
	if changed {
		s.deniedUntil = time.Time{}
	}
	return changed
}

// LimitNotice is what a host knows of the limit of a server, as sent to peers.
type LimitNotice struct {
	Server      ident.BackendID `json:"s"`
	Incarnation int64           `json:"i,omitempty"`
	PerSecond   float64         `json:"r,omitempty"` // 0 if there is no limit
	// Brittle is set if the server falls over when it has to reject more than MaxRejected
	// requests in a second.
	Brittle     bool `json:"f,omitempty"`
	MaxRejected int  `json:"x,omitempty"`
	// AgeMs is the time in milliseconds since the server last stated it in an answer.
	AgeMs int64 `json:"a,omitempty"`
}

// Limited reports whether requests of clients may be sent to a server only by permission:
// it limits the requests per second, or is brittle.
func (f *Fleet) Limited(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.limited()
}

func (s *Server) limited() bool { return s.limit.perSecond > 0 || s.limit.brittle }

// Brittle reports whether a server is brittle.
func (f *Fleet) Brittle(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.limit.brittle
}

// LimitsRate reports whether a server limits the requests per second.
func (f *Fleet) LimitsRate(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.limit.perSecond > 0
}

// RecordRejection records that a brittle server has rejected a request of any host for want
// of room. It returns false if the server is not known or not brittle.
func (f *Fleet) RecordRejection(now time.Time, id ident.BackendID) (incarnation int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || !s.limit.brittle {
		return 0, false
	}
	s.rejectedAt = now
	return s.Incarnation, true
}

// fallMemory is how long after a rejection the end of a brittle server is taken for a fall.
const fallMemory = 3 * time.Second

// MayHaveFallen reports whether a server that has ended may have fallen over because it had
// to reject requests. What it ran is then not the cause.
func (f *Fleet) MayHaveFallen(now time.Time, s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.limit.brittle && now.Sub(s.rejectedAt) < fallMemory
}

// Occupancy is what a host knows of the use of a server.
type Occupancy struct {
	Slots int
	// Own is the number of requests of this host that run on the server, and Runs the
	// number of runs of all hosts, which is known for engines only.
	Own, Runs int
}

// OccupancyOf returns what is known of the use of a server.
func (f *Fleet) OccupancyOf(s *Server) Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := Occupancy{Slots: s.Slots, Own: s.outstanding, Runs: len(s.runs)}
	for key := range s.runs {
		if key.host == f.self {
			o.Own++
		}
	}
	if s.reportedLoad.Slots > 0 {
		o.Slots = s.reportedLoad.Slots
	}
	return o
}

// LimitOf returns what is known of the limit of a server.
func (f *Fleet) LimitOf(now time.Time, s *Server) LimitNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.limitNotice(now)
}

func (s *Server) limitNotice(now time.Time) LimitNotice {
	return LimitNotice{Server: s.ID, Incarnation: s.Incarnation, PerSecond: s.limit.perSecond, Brittle: s.limit.brittle, MaxRejected: s.limit.maxRejected, AgeMs: now.Sub(s.limit.statedAt).Milliseconds()}
}

// Limits returns what is known of the servers that limit the requests per second or are
// brittle.
func (f *Fleet) Limits(now time.Time) []LimitNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []LimitNotice
	for _, s := range f.servers {
		if s.limited() {
			list = append(list, s.limitNotice(now))
		}
	}
	return list
}

// MergeLimit records the limit of a server that a peer knows, if it was stated later than
// the one that is known here, and reports whether that has changed it. It returns what is
// known then; that is n itself if the server is not in the fleet.
func (f *Fleet) MergeLimit(now time.Time, n LimitNotice) (known LimitNotice, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[n.Server]
	if s == nil || s.Incarnation != n.Incarnation || !(n.PerSecond >= 0) || n.MaxRejected < 0 {
		return n, false
	}
	if statedAt := now.Add(-time.Duration(max(0, n.AgeMs)) * time.Millisecond); statedAt.After(s.limit.statedAt) {
		changed = s.setLimit(requestLimit{n.PerSecond, n.Brittle, n.MaxRejected, statedAt})
	}
	return s.limitNotice(now), changed
}

// RecordDenied records that no request may be sent to a server for the given time.
func (f *Fleet) RecordDenied(now time.Time, s *Server, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.deniedUntil = now.Add(wait)
}
