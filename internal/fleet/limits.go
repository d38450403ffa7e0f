package fleet

import "time"

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
	changed = s.limit.perSecond != perSecond
	s.limit = requestLimit{perSecond: perSecond, statedAt: now}
	return changed
}
