package quarantine

import (
	"sort"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Evidence is what one node reports to another in a heartbeat. The result of
// merging evidence does not depend on repetitions or on the order of arrival.
type Evidence struct {
	From      ident.HostID
	SentAt    time.Time
	Deaths    []DeathReport
	Cleared   []Finding
	Confirmed []Finding
	// Suspects lists the suspects that run on the sender and must not share a
	// server with other such suspects until their first token.
	Suspects []Placement
}

// DeathReport describes a server's death and the requests that ran on the server, as
// far as they are known to the sender.
type DeathReport struct {
	Server      ident.BackendID
	Incarnation ident.Incarnation
	At          time.Time
	Running     []Fingerprint
	// Starting is the subset of Running that had delivered no token on the server.
	Starting []Fingerprint
}

// Finding is a cleared or confirmed fingerprint. At is the time at which a request
// with a cleared fingerprint last ran to completion, or the last death against a
// confirmed fingerprint.
type Finding struct {
	Fingerprint Fingerprint
	At          time.Time
}

// Placement is a suspect's fingerprint and the server that the suspect runs on.
type Placement struct {
	Fingerprint Fingerprint
	Server      ident.BackendID
}

// Evidence returns the changes after the sequence number after, and the sequence
// number to pass on the next call. It includes changes received from peers. Suspects
// is always complete.
func (t *Tracker) Evidence(now time.Time, after uint64) (Evidence, uint64) {
	e := Evidence{From: t.self, SentAt: now}
	for _, d := range t.deaths {
		if d.sequence > after {
			e.Deaths = append(e.Deaths, DeathReport{d.server, d.incarnation, d.at, sorted(d.running), sorted(d.starting)})
		}
	}
	e.Cleared = findings(t.cleared, after)
	e.Confirmed = findings(t.confirmed, after)
	for _, r := range t.runs {
		if !r.deliveredToken && r.lostAt.IsZero() && t.needsIsolation(r.fingerprint) {
			e.Suspects = append(e.Suspects, Placement{r.fingerprint, r.server})
		}
	}
	sort.Slice(e.Suspects, func(i, j int) bool {
		a, b := e.Suspects[i], e.Suspects[j]
		return a.Fingerprint < b.Fingerprint || a.Fingerprint == b.Fingerprint && a.Server < b.Server
	})
	return e, t.sequence
}

func sorted(set map[Fingerprint]bool) []Fingerprint {
	out := make([]Fingerprint, 0, len(set))
	for f := range set {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func findings(set map[Fingerprint]timedChange, after uint64) []Finding {
	var out []Finding
	for f, n := range set {
		if n.sequence > after {
			out = append(out, Finding{f, n.at})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// MergeEvidence merges a peer's evidence. A time in the future, which a peer whose
// clock is ahead may report, counts as now. The next call of Expire evaluates the
// evidence.
func (t *Tracker) MergeEvidence(now time.Time, e Evidence) {
	for _, d := range e.Deaths {
		if at := earlier(d.At, now); now.Sub(at) <= EvidenceLifetime {
			t.recordDeath(serverInstance{d.Server, d.Incarnation}, at, d.Running, d.Starting)
		}
	}
	for _, c := range e.Cleared {
		if at := earlier(c.At, now); now.Sub(at) <= EvidenceLifetime {
			t.clear(c.Fingerprint, at)
		}
	}
	for _, c := range e.Confirmed {
		if at := earlier(c.At, now); now.Sub(at) <= EvidenceLifetime {
			t.addConfirmed(c.Fingerprint, at)
		}
	}
	if last := t.peers[e.From]; e.From != t.self && !e.SentAt.Before(last.sentAt) {
		t.peers[e.From] = peer{sentAt: earlier(e.SentAt, now), receivedAt: now, suspects: e.Suspects}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
