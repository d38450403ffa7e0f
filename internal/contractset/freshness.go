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
// holds the instant of the newest answer of each peer whose entries are all
// applied). The node itself counts as heard if it is listed.
func Admission(now time.Time, limit time.Duration, self ident.HostID, fresh time.Time,
	heard map[ident.HostID]time.Time, listed []ident.HostID) (ok bool, reason string) {
	if len(listed) == 0 {
		return false, ReasonNoHosts
	}
	if recent(now, limit, fresh) {
		return true, ""
	}
	count := 0
	for _, host := range distinct(listed) {
		if host == self || recent(now, limit, heard[host]) {
			count++
		}
	}
	if 2*count > len(distinct(listed)) {
		return true, ""
	}
	return false, ReasonIsolated
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

// Freshness collects the proofs of freshness of one node. A proof counts from
// the instant at which the node sent the request that returned it, and only
// once every entry up to the position that came with it is applied. Freshness
// is not safe for concurrent use.
type Freshness struct {
	self  ident.HostID
	limit time.Duration
	fresh time.Time
	heard map[ident.HostID]time.Time
	// pending holds proofs whose entries are not all applied yet.
	pending []proof
}

// proof says that everything committed before fresh has a position up to
// sequence, and that host had applied everything up to sequence at heard.
type proof struct {
	host     ident.HostID // empty for a read of the table
	heard    time.Time
	fresh    time.Time // zero if the host has no proof
	sequence ident.LogSequence
}

// NewFreshness returns the state of a node without any proof. Proofs older than
// the limit do not count.
func NewFreshness(self ident.HostID, limit time.Duration) *Freshness {
	return &Freshness{self: self, limit: limit, heard: map[ident.HostID]time.Time{}}
}

// HeadRead records that a read of the table sent at sentAt returned the head of
// the change log.
func (f *Freshness) HeadRead(sentAt time.Time, head, applied ident.LogSequence) {
	f.add(proof{fresh: sentAt, sequence: head}, applied)
}

// PeerHeard records the answer of a peer to a request sent at sentAt: the
// peer's sequence and the age of its own newest proof, negative if it has none.
// Requests of a peer must not be recorded, since the delay of their delivery is
// unknown.
func (f *Freshness) PeerHeard(peer ident.HostID, sentAt time.Time, sequence ident.LogSequence, freshAge time.Duration, applied ident.LogSequence) {
	p := proof{host: peer, heard: sentAt, sequence: sequence}
	if freshAge >= 0 {
		p.fresh = sentAt.Add(-freshAge)
	}
	f.add(p, applied)
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

// Reset forgets every proof. A node calls it when it finds that it was paused.
func (f *Freshness) Reset() {
	f.fresh = time.Time{}
	f.heard = map[ident.HostID]time.Time{}
	f.pending = nil
}

// Age returns the age of the newest proof, for `fresh_age_ms` of heartbeats;
// negative if there is none.
func (f *Freshness) Age(now time.Time) time.Duration {
	if f.fresh.IsZero() || f.fresh.After(now) {
		return -1
	}
	return now.Sub(f.fresh)
}

// Admission decides whether the node may admit work now.
func (f *Freshness) Admission(now time.Time, listed []ident.HostID) (ok bool, reason string) {
	return Admission(now, f.limit, f.self, f.fresh, f.heard, listed)
}
