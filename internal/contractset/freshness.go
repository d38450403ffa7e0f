package contractset

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Reasons why a node is isolated or not ready.
const (
	ReasonNoHosts  = "no_host_list"
	ReasonIsolated = "node_isolated"
)

// Admission decides whether a node may admit work. It may if its knowledge was
// current less than limit ago: either because of the store (fresh is the
// instant of the newest proof that every committed change up to then is
// applied) or because it heard a strict majority of the listed hosts (heard
// holds the instant of the newest answer of each host whose entries are all
// applied; the node itself is among them unless it lost its knowledge in a
// restart).
func Admission(now time.Time, limit time.Duration, fresh time.Time,
	heard map[ident.HostID]time.Time, listed []ident.HostID) (ok bool, reason string) {
	switch {
	case len(listed) == 0:
		return false, ReasonNoHosts
	case recent(now, limit, fresh), hearsMajority(now, limit, heard, listed):
		return true, ""
	}
	return false, ReasonIsolated
}

func hearsMajority(now time.Time, limit time.Duration, heard map[ident.HostID]time.Time, listed []ident.HostID) bool {
	hosts := distinct(listed)
	count := 0
	for _, host := range hosts {
		if recent(now, limit, heard[host]) {
			count++
		}
	}
	return 2*count > len(hosts)
}

// recent refuses instants of the future: they come from a clock that was set
// back and prove nothing.
func recent(now time.Time, limit time.Duration, at time.Time) bool {
	return !at.IsZero() && !at.After(now) && now.Sub(at) < limit
}

// Accepted reports whether a strict majority of the listed hosts acknowledged a
// change.
func Accepted(acknowledged, listed []ident.HostID) bool {
	hosts := distinct(listed)
	isListed := make(map[ident.HostID]bool, len(hosts))
	for _, host := range hosts {
		isListed[host] = true
	}
	count := 0
	for _, host := range distinct(acknowledged) {
		if isListed[host] {
			count++
		}
	}
	return 2*count > len(hosts)
}

func distinct(hosts []ident.HostID) []ident.HostID {
	seen := make(map[ident.HostID]bool, len(hosts))
	var out []ident.HostID
	for _, host := range hosts {
		if !seen[host] {
			seen[host] = true
			out = append(out, host)
		}
	}
	return out
}

// oldestAge is reported for a node that knows the contracts but has no proof of
// freshness left. A negative age would tell peers that it knows nothing.
const oldestAge = 365 * 24 * time.Hour

// Freshness collects the proofs of freshness of one node. A proof counts from
// the instant at which the node sent the request that returned it, and only
// once every entry up to the position that came with it is applied. Freshness
// is not safe for concurrent use.
//
// A node that restarts has lost the changes that it acknowledged before. Until
// it is restored, by a proof of freshness from after its start or by a strict
// majority of other hosts, it counts as heard neither by itself nor by its
// peers: otherwise, with the store down, a restarted node and a node that never
// had an accepted change could form a majority and admit work without it. An
// older proof, passed on by a peer, may leave out what it acknowledged last.
type Freshness struct {
	self     ident.HostID
	limit    time.Duration
	started  time.Time
	restored bool
	fresh    time.Time
	heard    map[ident.HostID]time.Time
	// pending holds proofs whose entries are not all applied yet.
	pending []proof
}

// proof says that everything committed before fresh has a position up to
// sequence, and that host had applied everything up to sequence at heard.
type proof struct {
	host     ident.HostID // empty for a read of the table
	heard    time.Time
	fresh    time.Time
	sequence ident.LogSequence
}

// NewFreshness returns the state of a node whose process started at an instant,
// without any proof. Proofs older than the limit do not count.
func NewFreshness(self ident.HostID, limit time.Duration, started time.Time) *Freshness {
	return &Freshness{self: self, limit: limit, started: started, heard: map[ident.HostID]time.Time{}}
}

// HeadRead records that a read of the table sent at sentAt returned the head of
// the change log.
func (f *Freshness) HeadRead(sentAt time.Time, head, applied ident.LogSequence) {
	f.add(proof{fresh: sentAt, sequence: head}, applied)
}

// PeerHeard records the answer of a peer to a request sent at sentAt: the
// peer's sequence and the age that its Report gave. Requests of a peer must not be recorded, since the delay of their delivery is
// unknown. A peer without an age is not restored yet and does not count.
func (f *Freshness) PeerHeard(peer ident.HostID, sentAt time.Time, sequence ident.LogSequence, freshAge time.Duration, applied ident.LogSequence) {
	if freshAge < 0 {
		return
	}
	f.add(proof{host: peer, heard: sentAt, fresh: sentAt.Add(-freshAge), sequence: sequence}, applied)
}

func (f *Freshness) add(p proof, applied ident.LogSequence) {
	f.pending = append(f.pending, p)
	f.Advance(applied)
}

// Advance takes account of the proofs whose entries are applied by now.
func (f *Freshness) Advance(applied ident.LogSequence) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if p.sequence > applied {
			kept = append(kept, p)
			continue
		}
		if p.fresh.After(f.fresh) {
			f.fresh = p.fresh
		}
		f.restored = f.restored || p.host == "" || p.fresh.After(f.started)
		if p.host != "" && p.heard.After(f.heard[p.host]) {
			f.heard[p.host] = p.heard
		}
	}
	f.pending = kept
}

// Prune forgets what is older than the limit, which bounds the memory.
func (f *Freshness) Prune(now time.Time) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if recent(now, f.limit, p.heard) || recent(now, f.limit, p.fresh) {
			kept = append(kept, p)
		}
	}
	f.pending = kept
	for host, at := range f.heard {
		if !recent(now, f.limit, at) {
			delete(f.heard, host)
		}
	}
}

// Reset forgets every proof. A node calls it when it finds that it was paused;
// unlike after a restart, it still has the changes that it acknowledged.
func (f *Freshness) Reset() {
	f.fresh = time.Time{}
	f.heard = map[ident.HostID]time.Time{}
	f.pending = nil
}

// Report returns what a heartbeat says: the set's sequence and the age of the
// newest proof that it is current (`fresh_age_ms`), negative until the node is
// restored. The age is taken before the sequence, so that it never belongs to a
// higher sequence than the one reported.
func (f *Freshness) Report(now time.Time, set *Set) (sequence ident.LogSequence, age time.Duration) {
	age = oldestAge
	switch {
	case !f.restored:
		age = -1
	case !f.fresh.IsZero() && !f.fresh.After(now):
		age = min(oldestAge, now.Sub(f.fresh))
	}
	return set.Sequence(), age
}

// Admission decides whether the node may admit work now.
func (f *Freshness) Admission(now time.Time, listed []ident.HostID) (ok bool, reason string) {
	f.restored = f.restored || hearsMajority(now, f.limit, f.heard, listed)
	if f.restored {
		f.heard[f.self] = now
	}
	return Admission(now, f.limit, f.fresh, f.heard, listed)
}
