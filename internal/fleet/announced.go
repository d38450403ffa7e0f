package fleet

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// What servers say about themselves in the headers of their answers.

// maxServerBackoff bounds the time for which a server may ask for a pause. A server that
// asks for more still gets a request now and then.
const maxServerBackoff = 2 * time.Minute

// RecordLeaving records that an incarnation of a server has said in an answer that it
// is leaving. It reports whether this was not known, in which case the caller should
// notify the peers. A later report of the list that still calls the server ready does
// not change it: that report may be older, and a server that leaves does not return
// under the same incarnation.
func (f *Fleet) RecordLeaving(id ident.BackendID, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.Incarnation != incarnation || s.leaving {
		return false
	}
	known := s.Draining
	s.leaving, s.Draining = true, true
	return !known
}

// RecordRetryAfter records that a server refused a request and accepts no other from this
// node for the given time.
func (f *Fleet) RecordRetryAfter(now time.Time, s *Server, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := now.Add(min(d, maxServerBackoff)); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// InBackoff reports whether a server accepts no request from this node now.
func (f *Fleet) InBackoff(s *Server, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(s.backoffUntil)
}

// Refuses reports whether a server that was chosen for a request must not be sent it any more:
// it was removed, is leaving, or has asked this node for a pause.
func (f *Fleet) Refuses(s *Server, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[s.ID] != s || s.Draining || now.Before(s.backoffUntil)
}

// BackoffLeft returns the time until the first server of a service accepts requests, if
// all usable ones have asked for a pause or their limits allow no request. It returns 0 otherwise.
func (f *Fleet) BackoffLeft(now time.Time, service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var shortest time.Duration
	for _, s := range f.servers {
		if !f.usable(s, service, now) {
			continue
		}
		left := max(s.backoffUntil.Sub(now), s.deniedUntil.Sub(now))
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// accepts reports whether s is usable, has not asked for a pause, and its limit, as far as
// known, allows a request now.
func (f *Fleet) accepts(s *Server, service string, now time.Time) bool {
	return f.usable(s, service, now) && !now.Before(s.backoffUntil) && !now.Before(s.deniedUntil)
}
