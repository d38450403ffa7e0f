package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Pool selects the servers of a service that a request may be sent to by their version. The
// zero value selects all.
type Pool struct {
	// Only selects the servers of this version; empty for any. Except leaves out those of some
	// versions.
	Only   string
	Except []string
	// First limits the pool to as many usable servers, the same ones on every host for the
	// same Seed; 0 for no limit.
	First int
	Seed  uint64
	// Strict keeps Except in force if the service has no servers of other versions. Without
	// it such a service is used as it is.
	Strict bool
}

// poolOf returns a function that reports whether a server of the service is in the pool. The
// lock of the Fleet must be held.
func (f *Fleet) poolOf(service string, p Pool, now time.Time) func(*Server) bool {
	switch {
	case len(p.Except) > 0 && !p.Strict && !f.hasOther(service, p.Except):
		return func(*Server) bool { return true }
	case len(p.Except) > 0:
		return func(s *Server) bool { return !slices.Contains(p.Except, s.Version) }
	case p.Only == "":
		return func(*Server) bool { return true }
	}
	last := uint64(math.MaxUint64)
	if p.First > 0 {
		last = f.lastRank(service, p, now)
	}
	return func(s *Server) bool { return s.Version == p.Only && p.rank(s) <= last }
}

func (p Pool) rank(s *Server) uint64 { return xxh3.HashStringSeed(string(s.ID), p.Seed) }

// lastRank returns the highest rank of a server in a pool that is limited to some servers.
func (f *Fleet) lastRank(service string, p Pool, now time.Time) uint64 {
	var ranks []uint64
	for _, s := range f.servers {
		if s.Version == p.Only && f.usable(s, service, now) {
			ranks = append(ranks, p.rank(s))
		}
	}
	if len(ranks) <= p.First {
		return math.MaxUint64
	}
	slices.SortFunc(ranks, cmp.Compare[uint64])
	return ranks[p.First-1]
}

// hasOther reports whether a service has a server of a version that is not among some, and is
// not leaving.
func (f *Fleet) hasOther(service string, versions []string) bool {
	for _, s := range f.servers {
		if s.Service == service && !slices.Contains(versions, s.Version) && !s.Draining {
			return true
		}
	}
	return false
}

// CountSlots returns the number of slots of the usable servers of a service.
func (f *Fleet) CountSlots(now time.Time, service string) (slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if f.usable(s, service, now) {
			slots += s.Slots
		}
	}
	return slots
}

// CountVersions returns the number of usable servers of a service that have a version, and
// that of those that have another one.
func (f *Fleet) CountVersions(now time.Time, service, version string) (with, without int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		switch {
		case !f.usable(s, service, now):
		case s.Version == version:
			with++
		default:
			without++
		}
	}
	return with, without
}
