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

// requestLimit is the latest statement of a server about its limit.
type requestLimit struct {
	perSecond float64 // 0 if there is no limit
	statedAt  time.Time
}

// RecordLimit records the limit that a server named in an answer, in requests per second.
// It reports whether the limit has changed.
func (f *Fleet) RecordLimit(now time.Time, s *Server, perSecond float64) (changed bool) {
	return f.setLimit(now, s, max(perSecond, minRequestLimit))
}

// RecordNoLimit records an answer of a server that names no limit. It reports whether the
// server named one before.
func (f *Fleet) RecordNoLimit(now time.Time, s *Server) (changed bool) {
	return f.setLimit(now, s, 0)
}

func (f *Fleet) setLimit(now time.Time, s *Server, perSecond float64) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.setLimit(perSecond, now)
}

// setLimit stores the limit that was stated at a time, and reports whether it differs from
// the one before. The lock of the Fleet must be held.
func (s *Server) setLimit(perSecond float64, statedAt time.Time) (changed bool) {
	changed = s.limit.perSecond != perSecond
	s.limit = requestLimit{perSecond: perSecond, statedAt: statedAt}
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
	// AgeMs is the time in milliseconds since the server last stated it in an answer.
	AgeMs int64 `json:"a,omitempty"`
}

// Limited reports whether a server limits the requests per second.
func (f *Fleet) Limited(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.limit.perSecond > 0
}

// LimitOf returns what is known of the limit of a server.
func (f *Fleet) LimitOf(now time.Time, s *Server) LimitNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.limitNotice(now)
}

func (s *Server) limitNotice(now time.Time) LimitNotice {
	return LimitNotice{Server: s.ID, Incarnation: s.Incarnation, PerSecond: s.limit.perSecond, AgeMs: now.Sub(s.limit.statedAt).Milliseconds()}
}

// Limits returns what is known of the servers that limit the requests per second.
func (f *Fleet) Limits(now time.Time) []LimitNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []LimitNotice
	for _, s := range f.servers {
		if s.limit.perSecond > 0 {
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
	if s == nil || s.Incarnation != n.Incarnation || !(n.PerSecond >= 0) {
		return n, false
	}
	if statedAt := now.Add(-time.Duration(max(0, n.AgeMs)) * time.Millisecond); statedAt.After(s.limit.statedAt) {
		changed = s.setLimit(n.PerSecond, statedAt)
	}
	return s.limitNotice(now), changed
}

// RecordDenied records that no request may be sent to a server for the given time.
func (f *Fleet) RecordDenied(now time.Time, s *Server, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.deniedUntil = now.Add(wait)
}
