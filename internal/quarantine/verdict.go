package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Verdict returns the current verdict on a fingerprint. It changes only when an event
// is recorded, evidence is merged, or Expire drops old evidence or evaluates deaths
// that were waiting for time to pass.
func (t *Tracker) Verdict(f Fingerprint) Verdict {
	if _, ok := t.confirmed[f]; ok {
		return Confirmed
	}
	if t.isSuspect(f) {
		return Suspect
	}
	return Clear
}

// MayPlace reports whether a request may be placed on a server. A suspect that needs
// isolation does not share a server with another such suspect, runs on one server
// at a time, and is not placed while a death that could confirm it awaits evaluation.
func (t *Tracker) MayPlace(f Fingerprint, server ident.BackendID) bool {
	switch t.Verdict(f) {
	case Clear:
		return true
	case Confirmed:
		return false
	}
	if !t.needsIsolation(f) {
		return true
	}
	if t.evaluationPending(f) {
		return false
	}
	for _, r := range t.runs {
		if r.deliveredToken || !r.lostAt.IsZero() {
			continue
		}
		if r.fingerprint == f || r.server == server && t.needsIsolation(r.fingerprint) {
			return false
		}
	}
	for _, p := range t.peers {
		for _, placed := range p.suspects {
			if placed.Fingerprint == f || placed.Server == server {
				return false
			}
		}
	}
	return true
}

// needsIsolation reports whether a suspect needs a server without other such
// suspects: it had delivered no token on a server that died, or two deaths count
// against it.
func (t *Tracker) needsIsolation(f Fingerprint) bool { return requireIsolation(f, t.deathsAgainst(f)) }

// neededIsolationBefore reports whether f needed isolation before the death d.
func (t *Tracker) neededIsolationBefore(f Fingerprint, d *death) bool {
	var earlier []*death
	for _, o := range t.deathsAgainst(f) {
		if o.before(d) {
			earlier = append(earlier, o)
		}
	}
	return requireIsolation(f, earlier)
}

func requireIsolation(f Fingerprint, deaths []*death) bool {
	if len(deaths) >= 2 {
		return true
	}
	return len(deaths) == 1 && deaths[0].starting[f]
}

// hasEnoughDeaths reports whether the deaths up to d suffice to confirm f: it had
// delivered no token at d and at an earlier death, or there are at least
// deathsToConfirmAfterToken deaths.
func (t *Tracker) hasEnoughDeaths(f Fingerprint, d *death) bool {
	count, repeated := 0, false
	for _, o := range t.deathsAgainst(f) {
		if d.before(o) {
			continue
		}
		count++
		repeated = repeated || o != d && o.starting[f] && d.starting[f]
	}
	return repeated || count >= deathsToConfirmAfterToken
}

func (t *Tracker) isSuspect(f Fingerprint) bool {
	for _, d := range t.byRequest[f] {
		if t.countsAgainst(f, d) {
			return true
		}
	}
	return false
}

// countsAgainst reports whether the death d makes f, which was there, a suspect. In a
// burst it does so only if f was on another server of the burst as well.
func (t *Tracker) countsAgainst(f Fingerprint, d *death) bool {
	if d.attributed || !d.at.After(t.cleared[f].at) {
		return false
	}
	others, shared := t.concurrentDeaths(f, d)
	return others+1 < minBurstServers || shared > 0
}

// canConfirm reports whether the death d can confirm f: in a burst, only if f was on
// every server of the burst.
func (t *Tracker) canConfirm(f Fingerprint, d *death) bool {
	others, shared := t.concurrentDeaths(f, d)
	return t.countsAgainst(f, d) && (others+1 < minBurstServers || shared == others)
}

// concurrentDeaths returns the number of deaths of other servers within BurstWindow
// of d, and the number of those at which f was running.
func (t *Tracker) concurrentDeaths(f Fingerprint, d *death) (others, shared int) {
	for _, o := range t.deaths {
		if o.server != d.server && o.at.Sub(d.at).Abs() <= BurstWindow {
			others++
			if o.running[f] {
				shared++
			}
		}
	}
	return others, shared
}

// deathsAgainst returns the deaths that count against f, oldest first.
func (t *Tracker) deathsAgainst(f Fingerprint) []*death {
	var out []*death
	for _, d := range t.byRequest[f] {
		if t.countsAgainst(f, d) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, (*death).compare)
	return out
}

// compare orders deaths by time and, for equal times, by server and incarnation.
func (d *death) compare(o *death) int {
	return cmp.Or(d.at.Compare(o.at), cmp.Compare(d.server, o.server), cmp.Compare(d.incarnation, o.incarnation))
}

func (d *death) before(o *death) bool { return d.compare(o) < 0 }

// evaluationPending reports whether a death of f after the first awaits evaluation.
// This includes a request that was at two deaths together with the crashing one, since
// the two cannot be distinguished yet, but not one whose deaths are covered by another
// request; see covers.
func (t *Tracker) evaluationPending(f Fingerprint) bool {
	deaths := t.deathsAgainst(f)
	for i, d := range deaths {
		if i > 0 && !d.evaluated && t.hasEnoughDeaths(f, d) && !t.isCoveredByOther(f, d) {
			return true
		}
	}
	return false
}

// onlySuspect reports whether f was the only suspect on the server of the death d,
// that is, whether no other fingerprint there had been on a server that died earlier.
// Two kinds of fingerprint are not counted.
//
// One is a fingerprint whose deaths f covers (see covers). Otherwise a crashing request
// that is retried quickly, while evidence is delayed, would remain undetected among the
// requests that were moved because of its earlier crashes.
//
// The other is a suspect that did not need isolation, since it could be placed on
// any server.
func (t *Tracker) onlySuspect(f Fingerprint, d *death) bool {
	for other := range d.running {
		if other != f && t.neededIsolationBefore(other, d) && !t.covers(f, other) {
			return false
		}
	}
	return true
}

// isCoveredByOther reports whether another fingerprint at the death d covers the
// deaths that count against f.
func (t *Tracker) isCoveredByOther(f Fingerprint, d *death) bool {
	for other := range d.running {
		if other != f && t.hasDeathAgainstBefore(other, d) && t.covers(other, f) {
			return true
		}
	}
	return false
}

func (t *Tracker) hasDeathAgainstBefore(f Fingerprint, d *death) bool {
	for _, earlier := range t.byRequest[f] {
		if earlier != d && earlier.before(d) && t.countsAgainst(f, earlier) {
			return true
		}
	}
	return false
}

// covers reports whether f was at every death that counts against other, and more
// deaths count against f.
func (t *Tracker) covers(f, other Fingerprint) bool {
	deaths := t.deathsAgainst(other)
	for _, d := range deaths {
		if !d.running[f] {
			return false
		}
	}
	return len(t.deathsAgainst(f)) > len(deaths)
}

// evaluate confirms fingerprints by the deaths on which the reports of all peers are
// known. It processes the deaths in order of time, so that nodes that received the
// reports in different orders reach the same verdicts.
func (t *Tracker) evaluate(now time.Time) {
	if !t.dirty {
		return
	}
	t.dirty = false
	slices.SortFunc(t.deaths, (*death).compare)
	for _, d := range t.deaths {
		t.attribute(d)
	}
	for _, d := range t.deaths {
		if d.attributed {
			continue
		}
		d.evaluated = t.allReportsKnown(now, d)
		if !d.evaluated {
			t.dirty = true
			continue
		}
		for f := range d.running {
			// At most one fingerprint qualifies: if there were two, neither would
			// be the only suspect.
			if len(t.byRequest[f]) >= 2 && t.shouldConfirm(f, d) {
				t.confirm(f)
				break
			}
		}
	}
}

// attribute marks a death as attributed if a confirmed request was there.
func (t *Tracker) attribute(d *death) {
	for f := range d.running {
		if _, ok := t.confirmed[f]; ok {
			d.attributed = true
			return
		}
	}
}

// shouldConfirm reports whether f is to be confirmed by the death d: there are enough
// deaths up to d, d can confirm f, and no other suspect was there.
func (t *Tracker) shouldConfirm(f Fingerprint, d *death) bool {
	return t.hasEnoughDeaths(f, d) && t.canConfirm(f, d) && t.onlySuspect(f, d)
}

func (t *Tracker) confirm(f Fingerprint) {
	deaths := t.deathsAgainst(f)
	t.addConfirmed(f, deaths[len(deaths)-1].at)
	for _, d := range t.byRequest[f] {
		d.attributed = true
	}
}

func (t *Tracker) addConfirmed(f Fingerprint, at time.Time) {
	n, known := t.confirmed[f]
	if (known && !at.After(n.at)) || (!known && len(t.confirmed) >= maxFindings) {
		return
	}
	t.confirmed[f] = timedChange{at, t.nextSequence()}
	t.dirty = true
}

// allReportsKnown reports whether enough time has passed for a burst around the death
// d to be detected, and every peer from which evidence arrived within PeerTimeout has
// reported on d.
func (t *Tracker) allReportsKnown(now time.Time, d *death) bool {
	if now.Sub(d.at) <= BurstWindow+reportMargin {
		return false
	}
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) <= PeerTimeout && p.sentAt.Before(d.at.Add(reportMargin)) {
			return false
		}
	}
	return true
}
