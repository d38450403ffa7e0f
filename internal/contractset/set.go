// Package contractset holds the newest contract versions that a node has received.
// It never replaces a version with an older one. It also decides, from how recently
// these contracts were proved to be current, whether the node may admit work. A Set
// may be used by any number of goroutines, a Freshness only by one at a time.
package contractset

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Entry is one version of a contract as stored in the change log.
type Entry struct {
	Sequence  ident.LogSequence
	Team      ident.Team
	Version   ident.ContractVersion
	Document  string
	ChangedBy string
	ChangedAt time.Time
	ChangeID  string
}

// CurrentContract is the newest known version of one team's contract.
type CurrentContract struct {
	Entry Entry
	// Contract is nil if this node cannot parse the document, for example
	// because it lacks a time zone that the node that committed the change
	// has. The team's work is then rejected: neither this version nor the
	// previous one may be applied.
	Contract *contract.Contract
	// Err is the reason why Contract is nil.
	Err error
}

// Set holds the newest known version of every contract. It may be used by any
// number of goroutines.
type Set struct {
	mu sync.RWMutex
	// byTeam holds the newest known version; guarded by mu.
	byTeam map[ident.Team]*CurrentContract
	// byKey holds, for each key hash, the teams whose contracts list it;
	// guarded by mu.
	byKey map[contract.KeyHash][]ident.Team
	// sequence is the position up to which every entry is applied; guarded by mu.
	sequence ident.LogSequence
	// outOfOrder holds applied positions above sequence+1; guarded by mu.
	outOfOrder map[ident.LogSequence]struct{}
	// changed is closed and replaced at each change; guarded by mu.
	changed chan struct{}
}

// New returns an empty set.
func New() *Set {
	return &Set{
		byTeam:     map[ident.Team]*CurrentContract{},
		byKey:      map[contract.KeyHash][]ident.Team{},
		outOfOrder: map[ident.LogSequence]struct{}{},
		changed:    make(chan struct{}),
	}
}

// Apply applies entries in any order and returns those that became the newest
// version of their contract. Entries that are already known or superseded change
// no contract.
func (s *Set) Apply(entries ...Entry) []Entry {
	return s.ApplyRange(0, 0, entries)
}

// ApplyRange is like Apply for entries that contain, for each team whose contract
// changed after position after, the newest version up to position through. For the
// result of a scan of all contracts, after is 0. If the set has every entry up to
// after, its sequence moves to through; otherwise the entries only count
// individually towards the sequence, as in Apply.
func (s *Set) ApplyRange(after, through ident.LogSequence, entries []Entry) []Entry {
	// Parsing is slow, so it is done without holding the lock.
	parsed := make([]*CurrentContract, 0, len(entries))
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
			s.outOfOrder[next.Entry.Sequence] = struct{}{}
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

func parse(e Entry) *CurrentContract {
	current := &CurrentContract{Entry: e}
	current.Contract, current.Err = contract.Parse([]byte(e.Document))
	if current.Err == nil && current.Contract.Team != e.Team {
		current.Err = newError(CodeWrongTeam).Errorf("entry %d of customer %q holds a document of customer %q", e.Sequence, e.Team, current.Contract.Team)
		current.Contract = nil
	}
	return current
}

// install stores a version if it is newer than the known one, and reports whether
// it is. The caller must hold mu.
func (s *Set) install(next *CurrentContract) bool {
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

// advance moves sequence past the applied positions that follow it. The caller
// must hold mu.
func (s *Set) advance() {
	for {
		if _, ok := s.outOfOrder[s.sequence+1]; !ok {
			break
		}
		s.sequence++
	}
	for position := range s.outOfOrder {
		if position <= s.sequence {
			delete(s.outOfOrder, position)
		}
	}
}

// CanAcknowledge reports whether the node may acknowledge a pushed entry. It must
// not while an earlier entry is missing: a peer that receives a response from this
// node fetches the entries up to Sequence and no others.
func (s *Set) CanAcknowledge(pushed Entry) bool { return s.Sequence() >= pushed.Sequence }

// Sequence returns the highest position up to which every entry is applied.
func (s *Set) Sequence() ident.LogSequence {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sequence
}

// Contract returns the newest known version of a team's contract. The caller must
// not modify the result.
func (s *Set) Contract(team ident.Team) (*CurrentContract, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	current, ok := s.byTeam[team]
	return current, ok
}

// ByKeyHash returns the contract that lists the hash of a bearer key. If several
// contracts list the hash, it returns none of them, since the key does not
// identify the team.
func (s *Set) ByKeyHash(hash contract.KeyHash) (*CurrentContract, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	teams := s.byKey[hash]
	if len(teams) != 1 {
		return nil, false
	}
	current, ok := s.byTeam[teams[0]]
	return current, ok
}

// All returns the newest known version of every contract, ordered by team.
func (s *Set) All() []*CurrentContract {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*CurrentContract, 0, len(s.byTeam))
	for _, current := range s.byTeam {
		all = append(all, current)
	}
	slices.SortFunc(all, func(a, b *CurrentContract) int { return cmp.Compare(a.Entry.Team, b.Entry.Team) })
	return all
}

// Entries returns the newest version of each contract changed after a
// position, ordered by position, and the position up to which the result is
// complete. Superseded versions are omitted. The result is the input of ApplyRange
// on a peer.
func (s *Set) Entries(after ident.LogSequence) (entries []Entry, through ident.LogSequence) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, current := range s.byTeam {
		if current.Entry.Sequence > after {
			entries = append(entries, current.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return entries, s.sequence
}

// Changed returns a channel that is closed at the next change of the set. A
// subscriber must get the channel before it reads the set; otherwise it can miss a
// change.
func (s *Set) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}
