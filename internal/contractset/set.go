// Package contractset holds the contract versions that a node knows, applies
// new ones monotonically and decides from the age of the node's knowledge
// whether the node may admit work.
package contractset

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Entry is one accepted version of a contract as the change log holds it.
type Entry struct {
	Sequence  ident.LogSequence
	Team      ident.Team
	Version   ident.ContractVersion
	Document  string
	ChangedBy string
	ChangedAt time.Time
	ChangeID  string
}

// InForce is the newest known version of one team's contract.
type InForce struct {
	Entry Entry
	// Contract is nil if this node cannot read the document, for example
	// because it lacks a time zone that the node that took the change knows.
	// The team's work is then refused: neither this version nor the one
	// before may be applied.
	Contract *contract.Contract
	// Err tells why Contract is nil.
	Err error
}

// Set holds the newest known version of every contract. It may be used by any
// number of goroutines.
type Set struct {
	mu sync.RWMutex
	// byTeam holds the newest known version; guarded by mu.
	byTeam map[ident.Team]*InForce
	// byKey holds every team whose contract lists the hash; guarded by mu.
	byKey map[contract.KeyHash][]ident.Team
	// sequence is the position up to which every entry is applied; guarded by mu.
	sequence ident.LogSequence
	// ahead holds applied positions above sequence+1; guarded by mu.
	ahead map[ident.LogSequence]struct{}
	// changed is closed and replaced at each change; guarded by mu.
	changed chan struct{}
}

// New returns an empty set.
func New() *Set {
	return &Set{
		byTeam:  map[ident.Team]*InForce{},
		byKey:   map[contract.KeyHash][]ident.Team{},
		ahead:   map[ident.LogSequence]struct{}{},
		changed: make(chan struct{}),
	}
}

// Apply applies entries in any order and returns those that became the newest
// version of their contract. Entries that are known or superseded have no
// effect.
func (s *Set) Apply(entries ...Entry) []Entry {
	return s.ApplyRange(0, 0, entries)
}

// ApplyRange is like Apply and additionally states that the entries contain,
// for each team changed after position `after`, the newest version up to
// position `through`. A scan of all contracts has after 0. The statement is
// used only if the set has everything up to `after`.
func (s *Set) ApplyRange(after, through ident.LogSequence, entries []Entry) []Entry {
	// Documents are parsed before the lock is taken, as this is the slow part.
	parsed := make([]*InForce, 0, len(entries))
	for _, e := range entries {
		parsed = append(parsed, parse(e))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var applied []Entry
	for _, next := range parsed {
		if s.install(next) {
			applied = append(applied, next.Entry)
		}
		if next.Entry.Sequence > s.sequence {
			s.ahead[next.Entry.Sequence] = struct{}{}
		}
	}
	before := s.sequence
	if after <= s.sequence && through > s.sequence {
		s.sequence = through
	}
	s.advance()
	if len(applied) > 0 || s.sequence != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return applied
}

func parse(e Entry) *InForce {
	in := &InForce{Entry: e}
	in.Contract, in.Err = contract.Parse([]byte(e.Document))
	if in.Err == nil && in.Contract.Team != e.Team {
		in.Err = newError(CodeWrongTeam).Errorf("entry %d of customer %q holds a document of customer %q", e.Sequence, e.Team, in.Contract.Team)
		in.Contract = nil
	}
	return in
}

// install requires mu. It reports whether the version is newer than the known
// one.
func (s *Set) install(next *InForce) bool {
	team := next.Entry.Team
	known := s.byTeam[team]
	if known != nil && known.Entry.Version >= next.Entry.Version {
		return false
	}
	if known != nil && known.Contract != nil {
		for _, hash := range known.Contract.KeyHashes() {
			s.byKey[hash] = slices.DeleteFunc(s.byKey[hash], func(c ident.Team) bool { return c == team })
			if len(s.byKey[hash]) == 0 {
				delete(s.byKey, hash)
			}
		}
	}
	if next.Contract != nil {
		for _, hash := range next.Contract.KeyHashes() {
			s.byKey[hash] = append(s.byKey[hash], team)
		}
	}
	s.byTeam[team] = next
	return true
}

// advance requires mu. It moves sequence over applied positions.
func (s *Set) advance() {
	for {
		if _, ok := s.ahead[s.sequence+1]; !ok {
			break
		}
		s.sequence++
	}
	for position := range s.ahead {
		if position <= s.sequence {
			delete(s.ahead, position)
		}
	}
}

// Acknowledges reports whether the node may acknowledge a pushed entry. It may
// not while an earlier entry is missing: a peer that hears this node fetches the
// entries up to Sequence and no others.
func (s *Set) Acknowledges(pushed Entry) bool { return s.Sequence() >= pushed.Sequence }

// Sequence returns the highest position up to which every entry is applied.
func (s *Set) Sequence() ident.LogSequence {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sequence
}

// Contract returns the newest known version of a team's contract. The
// result must not be changed.
func (s *Set) Contract(team ident.Team) (*InForce, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	in, ok := s.byTeam[team]
	return in, ok
}

// ByKeyHash returns the contract that lists the hash of a bearer key. A hash
// that several contracts list finds none of them, since the key does not tell
// whose request it is.
func (s *Set) ByKeyHash(hash contract.KeyHash) (*InForce, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	teams := s.byKey[hash]
	if len(teams) != 1 {
		return nil, false
	}
	in, ok := s.byTeam[teams[0]]
	return in, ok
}

// All returns the newest known versions in order of teams.
func (s *Set) All() []*InForce {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*InForce, 0, len(s.byTeam))
	for _, in := range s.byTeam {
		all = append(all, in)
	}
	slices.SortFunc(all, func(a, b *InForce) int { return cmp.Compare(a.Entry.Team, b.Entry.Team) })
	return all
}

// Entries returns the newest version of each contract changed after a
// position, in order of positions, and the position up to which the answer is
// complete. Superseded versions are left out. The result is meant for
// ApplyRange of a peer.
func (s *Set) Entries(after ident.LogSequence) (entries []Entry, through ident.LogSequence) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, in := range s.byTeam {
		if in.Entry.Sequence > after {
			entries = append(entries, in.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return entries, s.sequence
}

// Changed returns a channel that is closed at the next change of the set. To
// miss no change, a subscriber takes the channel before it reads the set.
func (s *Set) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}
