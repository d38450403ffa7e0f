package fleet

import (
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// emptyListDigest is the digest of an empty list. It is not 0, which stands for a digest that
// is not known.
const emptyListDigest = 1

// listed reports whether a server is in the list, as far as this host knows. It is not if it
// was discovered without the list, or if its entry has lapsed.
func (s *Server) listed() bool { return !s.unlisted && s.removedAt.IsZero() }

// ListDigest returns a hash of the servers in the list, of what all hosts must know of them:
// id, incarnation, version and whether they are draining. It does not depend on the order in
// which they were listed, and is not 0.
func (f *Fleet) ListDigest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.digest == 0 {
		f.digest = f.computeDigest()
	}
	return f.digest
}

// computeDigest computes the digest. The lock is held.
func (f *Fleet) computeDigest() uint64 {
	digest := uint64(emptyListDigest)
	var key []byte
	for _, s := range f.servers {
		if !s.listed() {
			continue
		}
		key = append(key[:0], s.ID...)
		key = append(key, 0)
		key = append(key, s.Version...)
		key = append(key, 0)
		key = strconv.AppendInt(key, s.Incarnation, 10)
		key = strconv.AppendBool(key, s.listedDraining)
		digest ^= xxh3.Hash(key)
	}
	return max(digest, 1)
}

// invalidateDigest records that the list has changed. The lock is held.
func (f *Fleet) invalidateDigest(changed bool) {
	if changed {
		f.digest = 0
	}
}

// List is the list of servers of a host, as told to another.
type List struct {
	// Listed are the servers in the list. Their Draining is that of the list.
	Listed []Entry
	// Leaving are those of them that said in an answer that they are leaving.
	Leaving []ident.BackendID
	// Discovered are servers that were found without the list.
	Discovered []Entry
	// Lapsed maps the servers whose entries have lapsed, and which are kept for
	// lapsedEntryGrace, to the time in ms since this host found them missing.
	Lapsed map[ident.BackendID]int64
}

// List returns the list of servers.
func (f *Fleet) List(now time.Time) List {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := List{Listed: make([]Entry, 0, len(f.servers))}
	for _, s := range f.servers {
		switch {
		case s.unlisted:
			l.Discovered = append(l.Discovered, s.Entry)
		case !s.removedAt.IsZero():
			if l.Lapsed == nil {
				l.Lapsed = map[ident.BackendID]int64{}
			}
			l.Lapsed[s.ID] = now.Sub(s.removedAt).Milliseconds()
		default:
			e := s.Entry
			e.Draining = s.listedDraining
			l.Listed = append(l.Listed, e)
			if s.leaving {
				l.Leaving = append(l.Leaving, s.ID)
			}
		}
	}
	return l
}
