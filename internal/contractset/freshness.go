package contractset

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Reasons that Admission returns if a node must not admit work.
const (
	ReasonNoHosts  = "no_host_list"
	ReasonIsolated = "node_isolated"
)

// Admission reports whether a node may admit work at now and, if not, why. The node
// may admit work if its contracts were current less than limit ago. Either of two
// conditions shows this:
//
//   - Proof from the store: fresh is the newest instant for which it is proved that
//     every change committed up to then is applied.
//   - Contact with a strict majority of the listed hosts: contacts holds, for each
//     host, the instant of its newest response whose entries are all applied. It
//     includes the node itself unless the node lost its contracts in a restart.
func Admission(now time.Time, limit time.Duration, fresh time.Time,
	contacts map[ident.HostID]time.Time, listed []ident.HostID) (ok bool, reason string) {
	switch {
	case len(listed) == 0:
		return false, ReasonNoHosts
	case recent(now, limit, fresh), hasMajorityContact(now, limit, contacts, listed):
		return true, ""
	}
	return false, ReasonIsolated
}

// hasMajorityContact reports whether contacts holds an instant less than limit
// before now for a strict majority of the listed hosts.
func hasMajorityContact(now time.Time, limit time.Duration, contacts map[ident.HostID]time.Time, listed []ident.HostID) bool {
	hosts := distinct(listed)
	count := 0
	for _, host := range hosts {
		if recent(now, limit, contacts[host]) {
			count++
		}
	}
	return 2*count > len(hosts)
}

// recent reports whether an instant is less than limit before now. Instants in
// the future are not recent: they come from a clock that was set back and prove
// nothing.
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

// maxReportedAge is the maximum age in a Report. It is also the age that a node
// reports if it holds the contracts but has no proof of freshness left; a negative
// age would mean that it does not hold them.
const maxReportedAge = 365 * 24 * time.Hour

// Freshness tracks the proofs that the contracts of one node are current. A proof
// counts as of the instant at which the node sent the request that returned it,
// and only once every entry up to the position in the response is applied.
// Freshness is not safe for concurrent use.
//
// A node that restarts has lost the changes that it acknowledged before. It is
// restored by a proof of freshness from after its start or by a strict majority of
// other hosts. Until then neither the node nor its peers count it towards a
// majority: otherwise, with the store down, a restarted node and a node that never
// received an accepted change could form a majority and admit work without that
// change. A proof from before its start, forwarded by a peer, does not restore the
// node, because it may omit the last changes that the node acknowledged.
type Freshness struct {
	self      ident.HostID
	limit     time.Duration
	started   time.Time
	restored  bool
	freshAsOf time.Time
	contactAt map[ident.HostID]time.Time
	// pending holds proofs whose entries are not all applied yet.
	pending []proof
}

// proof states that every entry committed before freshAsOf has a position up to
// sequence, and that host had applied every entry up to sequence at contactAt.
type proof struct {
	host      ident.HostID // empty for a read of the table
	contactAt time.Time
	freshAsOf time.Time
	sequence  ident.LogSequence
}

// NewFreshness returns the state of a node whose process started at started. It
// has no proofs yet. Proofs older than limit do not count.
func NewFreshness(self ident.HostID, limit time.Duration, started time.Time) *Freshness {
	return &Freshness{self: self, limit: limit, started: started, contactAt: map[ident.HostID]time.Time{}}
}

// RecordHeadRead records that a read of the table, sent at sentAt, returned the head
// of the change log. The set has applied every entry up to applied.
func (f *Freshness) RecordHeadRead(sentAt time.Time, head, applied ident.LogSequence) {
	f.add(proof{freshAsOf: sentAt, sequence: head}, applied)
}

// RecordPeerResponse records the response of a peer to a request sent at sentAt: the
// sequence and the age from the peer's Report. The set has applied every entry up
// to applied. Requests from a peer must not be recorded, since their delivery delay
// is unknown. A peer with a negative age is not restored yet and does not count.
func (f *Freshness) RecordPeerResponse(peer ident.HostID, sentAt time.Time, sequence ident.LogSequence, freshAge time.Duration, applied ident.LogSequence) {
	if freshAge < 0 {
		return
	}
	f.add(proof{host: peer, contactAt: sentAt, freshAsOf: sentAt.Add(-freshAge), sequence: sequence}, applied)
}

func (f *Freshness) add(p proof, applied ident.LogSequence) {
	f.pending = append(f.pending, p)
	f.Advance(applied)
}

// Advance puts into effect the pending proofs whose entries are all applied, given
// that the set has applied every entry up to applied.
func (f *Freshness) Advance(applied ident.LogSequence) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if p.sequence > applied {
			kept = append(kept, p)
			continue
		}
		if p.freshAsOf.After(f.freshAsOf) {
			f.freshAsOf = p.freshAsOf
		}
		f.restored = f.restored || p.host == "" || p.freshAsOf.After(f.started)
		if p.host != "" && p.contactAt.After(f.contactAt[p.host]) {
			f.contactAt[p.host] = p.contactAt
		}
	}
	f.pending = kept
}

// Prune removes proofs and contacts older than the limit, which bounds memory use.
func (f *Freshness) Prune(now time.Time) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if recent(now, f.limit, p.contactAt) || recent(now, f.limit, p.freshAsOf) {
			kept = append(kept, p)
		}
	}
	f.pending = kept
	for host, at := range f.contactAt {
		if !recent(now, f.limit, at) {
			delete(f.contactAt, host)
		}
	}
}

// Reset removes every proof. A node calls it when it detects that it was paused;
// unlike after a restart, it still has the changes that it acknowledged.
func (f *Freshness) Reset() {
	f.freshAsOf = time.Time{}
	f.contactAt = map[ident.HostID]time.Time{}
	f.pending = nil
}

// Report returns the contract fields of a heartbeat: the set's sequence and the
// age of the newest proof that the set is current (`fresh_age_ms`). The age is
// negative until the node is restored. It is read before the sequence, so that the
// reported sequence is never lower than the one that the age applies to.
func (f *Freshness) Report(now time.Time, set *Set) (sequence ident.LogSequence, age time.Duration) {
	age = maxReportedAge
	switch {
	case !f.restored:
		age = -1
	case !f.freshAsOf.IsZero() && !f.freshAsOf.After(now):
		age = min(maxReportedAge, now.Sub(f.freshAsOf))
	}
	return set.Sequence(), age
}

// Admission reports whether the node may admit work at now and, if not, why.
func (f *Freshness) Admission(now time.Time, listed []ident.HostID) (ok bool, reason string) {
	f.restored = f.restored || hasMajorityContact(now, f.limit, f.contactAt, listed)
	if f.restored {
		f.contactAt[f.self] = now
	}
	return Admission(now, f.limit, f.freshAsOf, f.contactAt, listed)
}
