package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Verdict returns what is known of a fingerprint. It changes only with events
// and with Expire, which also judges deaths that waited for time to pass.
func (t *Tracker) Verdict(f Fingerprint) Verdict {
	if _, ok := t.confirmed[f]; ok {
		return Confirmed
	}
	if t.isSuspect(f) {
		return Suspect
	}
	return Clear
}

// MayPlace tells whether a request may be placed on a server. A suspect that is
// kept apart does not share a server with another such suspect, runs once at a
// time, and is not placed while its second death is being judged.
func (t *Tracker) MayPlace(f Fingerprint, server ident.BackendID) bool {
	switch t.Verdict(f) {
	case Clear:
		return true
	case Confirmed:
		return false
	}
	if !t.keptApart(f) {
		return true
	}
	if t.pending(f) {
		return false
	}
	for _, r := range t.runs {
		if r.answered || !r.lostAt.IsZero() {
			continue
		}
		if r.fingerprint == f || r.server == server && t.keptApart(r.fingerprint) {
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

// keptApart tells whether a suspect needs a server without others: it had
// delivered no token on a server that died, or was on two.
func (t *Tracker) keptApart(f Fingerprint) bool { return apart(f, t.strikes(f)) }

// keptApartBefore tells whether that was so before a death.
func (t *Tracker) keptApartBefore(f Fingerprint, d *death) bool {
	var earlier []*death
	for _, strike := range t.strikes(f) {
		if strike.before(d) {
			earlier = append(earlier, strike)
		}
	}
	return apart(f, earlier)
}

func apart(f Fingerprint, strikes []*death) bool {
	if len(strikes) >= 2 {
		return true
	}
	return len(strikes) == 1 && strikes[0].starting[f]
}

// enough tells whether the deaths up to this one can confirm a request: it had
// delivered no token at this one and at an earlier one, or there are several.
func (t *Tracker) enough(f Fingerprint, d *death) bool {
	strikes, repeated := 0, false
	for _, strike := range t.strikes(f) {
		if d.before(strike) {
			continue
		}
		strikes++
		repeated = repeated || strike != d && strike.starting[f] && d.starting[f]
	}
	return repeated || strikes >= strikesWithoutRepetition
}

func (t *Tracker) isSuspect(f Fingerprint) bool {
	for _, d := range t.byRequest[f] {
		if t.counts(f, d) {
			return true
		}
	}
	return false
}

// counts tells whether a death makes a fingerprint that was there a suspect. In
// a burst it does so only if the fingerprint was on another server of the burst
// as well.
func (t *Tracker) counts(f Fingerprint, d *death) bool {
	if d.explained || !d.at.After(t.cleared[f].at) {
		return false
	}
	others, shared := t.neighbours(f, d)
	return others+1 < burstServers || shared > 0
}

// convicts tells whether a death can confirm a fingerprint: in a burst, only if
// the fingerprint was on every server of the burst.
func (t *Tracker) convicts(f Fingerprint, d *death) bool {
	others, shared := t.neighbours(f, d)
	return t.counts(f, d) && (others+1 < burstServers || shared == others)
}

// neighbours counts the deaths of other servers within BurstWindow of a death,
// and those among them with the fingerprint.
func (t *Tracker) neighbours(f Fingerprint, d *death) (others, shared int) {
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

// strikes returns the deaths that speak against a fingerprint, oldest first.
func (t *Tracker) strikes(f Fingerprint) []*death {
	var out []*death
	for _, d := range t.byRequest[f] {
		if t.counts(f, d) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, (*death).compare)
	return out
}

// compare orders deaths by time and, for equal times, by server.
func (d *death) compare(o *death) int {
	return cmp.Or(d.at.Compare(o.at), cmp.Compare(d.server, o.server), cmp.Compare(d.incarnation, o.incarnation))
}

func (d *death) before(o *death) bool { return d.compare(o) < 0 }

// pending tells whether a death after the first still waits for its judgement. It
// includes a request that shared two deaths with the crashing one, since the two
// cannot be told apart yet, but not one whose suspicion is explained.
func (t *Tracker) pending(f Fingerprint) bool {
	strikes := t.strikes(f)
	for i, d := range strikes {
		if i > 0 && !d.judged && t.enough(f, d) && !t.explained(f, d) {
			return true
		}
	}
	return false
}

// onlySuspect tells whether no other suspect was on the server, i.e. another
// fingerprint that had been on a server that died before. One whose every death
// this fingerprint shares, with more of its own, does not count: its suspicion
// is explained. Without this exception a request that is placed quickly while
// news is late hides among those that it displaced.
//
// Nor does a suspect that was not kept apart: it was free to be placed there.
func (t *Tracker) onlySuspect(f Fingerprint, d *death) bool {
	for other := range d.running {
		if other != f && t.keptApartBefore(other, d) && !t.explains(f, other) {
			return false
		}
	}
	return true
}

// explained tells whether another fingerprint on the server explains f's deaths.
func (t *Tracker) explained(f Fingerprint, d *death) bool {
	for other := range d.running {
		if other != f && t.hasStrikeBefore(other, d) && t.explains(other, f) {
			return true
		}
	}
	return false
}

func (t *Tracker) hasStrikeBefore(f Fingerprint, d *death) bool {
	for _, earlier := range t.byRequest[f] {
		if earlier != d && earlier.before(d) && t.counts(f, earlier) {
			return true
		}
	}
	return false
}

// explains tells whether f was at every death of other, and at more.
func (t *Tracker) explains(f, other Fingerprint) bool {
	strikes := t.strikes(other)
	for _, d := range strikes {
		if !d.running[f] {
			return false
		}
	}
	return len(t.strikes(f)) > len(strikes)
}

// judge confirms the fingerprints whose second death is settled. It goes through
// the deaths in the order of their times, so that nodes that learned of them in
// different orders come to the same verdicts.
func (t *Tracker) judge(now time.Time) {
	if !t.open {
		return
	}
	t.open = false
	slices.SortFunc(t.deaths, (*death).compare)
	for _, d := range t.deaths {
		t.explain(d)
	}
	for _, d := range t.deaths {
		if d.explained {
			continue
		}
		d.judged = t.settled(now, d)
		if !d.judged {
			t.open = true
			continue
		}
		for f := range d.running {
			// At most one fingerprint passes: two would be suspects of each other.
			if len(t.byRequest[f]) >= 2 && t.guilty(f, d) {
				t.confirm(f)
				break
			}
		}
	}
}

// explain marks a death where a confirmed request was.
func (t *Tracker) explain(d *death) {
	for f := range d.running {
		if _, ok := t.confirmed[f]; ok {
			d.explained = true
			return
		}
	}
}

// guilty tells whether a death is the last of enough and explained by the
// fingerprint alone.
func (t *Tracker) guilty(f Fingerprint, d *death) bool {
	return t.enough(f, d) && t.convicts(f, d) && t.onlySuspect(f, d)
}

func (t *Tracker) confirm(f Fingerprint) {
	strikes := t.strikes(f)
	t.addConfirmed(f, strikes[len(strikes)-1].at)
	for _, d := range t.byRequest[f] {
		d.explained = true
	}
}

func (t *Tracker) addConfirmed(f Fingerprint, at time.Time) {
	n, known := t.confirmed[f]
	if (known && !at.After(n.at)) || (!known && len(t.confirmed) >= maxFingerprintNews) {
		return
	}
	t.confirmed[f] = news{at, t.next()}
	t.open = true
}

// settled tells whether a burst around a death and every peer's report on it
// would be known by now.
func (t *Tracker) settled(now time.Time, d *death) bool {
	if now.Sub(d.at) <= BurstWindow+reportMargin {
		return false
	}
	for _, p := range t.peers {
		if now.Sub(p.heardAt) <= PeerSilence && p.sentAt.Before(d.at.Add(reportMargin)) {
			return false
		}
	}
	return true
}
