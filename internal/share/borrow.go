package share

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// holding is what this node borrowed from one lender of one team's limit.
type holding struct {
	lender      ident.HostID
	incarnation ident.Incarnation
	sequence    int64   // of the newest loan
	fraction    float64 // what may be used of it, after promises
	until       time.Time
	asked       float64
	refusedTo   time.Time // the lender gave less than asked
}

func lenderOf(h *holding) ident.HostID { return h.lender }

func (h *holding) usable(now time.Time) float64 {
	if now.Before(h.until) {
		return h.fraction
	}
	return 0
}

func (a *account) borrowed(now time.Time) float64 {
	sum := 0.0
	for _, h := range a.held {
		sum += h.usable(now)
	}
	return sum
}

// Demands returns the demands to send now to each of the given peers, in their
// order. What the node no longer needs it gives back with them.
func (l *Ledger) Demands(now time.Time, peers []ident.HostID) [][]Demand {
	l.Tick(now)
	out := make([][]Demand, len(peers))
	for _, team := range l.teams() {
		a := l.accounts[team]
		a.forgetExpired(now)
		l.giveBack(now, a)
		wants := l.wants(now, a, peers)
		for i, p := range peers {
			if d, ok := l.demand(now, a, p, wants[i]); ok {
				d.Team = team
				out[i] = append(out[i], d)
			}
		}
	}
	l.forgetIdle()
	return out
}

func (l *Ledger) forgetIdle() {
	for team, a := range l.accounts {
		if a.demand == 0 && len(a.lent) == 0 && len(a.held) == 0 {
			delete(l.accounts, team)
		}
	}
}

// giveBack lowers what may be used of the loans to what is needed, the same
// part of each.
func (l *Ledger) giveBack(now time.Time, a *account) {
	borrowed := a.borrowed(now)
	own := max(l.own()-a.committed(now, ""), 0)
	excess := own + borrowed - l.needed(a)
	if borrowed <= 0 || excess <= l.config.Step*l.own() {
		return
	}
	rest := max(borrowed-excess, 0) / borrowed
	for _, h := range a.held {
		h.fraction *= rest
	}
}

// wants divides what is missing among the lenders that did not refuse lately.
func (l *Ledger) wants(now time.Time, a *account, peers []ident.HostID) []float64 {
	own := max(l.own()-a.committed(now, ""), 0)
	missing := l.needed(a) - own - a.borrowed(now)
	open := 0
	refused := make([]bool, len(peers))
	for i, p := range peers {
		at, ok := find(a.held, p, lenderOf)
		refused[i] = ok && now.Before(a.held[at].refusedTo)
		if !refused[i] {
			open++
		}
	}
	out := make([]float64, len(peers))
	for i, p := range peers {
		if at, ok := find(a.held, p, lenderOf); ok {
			out[i] = a.held[at].usable(now)
		}
		if !refused[i] && missing > 0 {
			out[i] += missing / float64(open)
		}
	}
	return out
}

func (l *Ledger) demand(now time.Time, a *account, peer ident.HostID, want float64) (Demand, bool) {
	at, ok := find(a.held, peer, lenderOf)
	if !ok {
		if want <= 0 {
			return Demand{}, false
		}
		a.held = slices.Insert(a.held, at, &holding{lender: peer, incarnation: l.incarnations[peer]})
	}
	h := a.held[at]
	h.asked = want
	if want <= 0 && now.After(h.until.Add(l.config.ValidFor+l.config.Margin)) {
		// The lender counts nothing any more and every copy has expired.
		a.held = slices.Delete(a.held, at, at+1)
		return Demand{}, false
	}
	return Demand{
		Want: want, Keep: h.usable(now), LoanSequence: h.sequence,
		LenderIncarnation: h.incarnation, Stamp: l.stamp(now),
	}, true
}

// ObserveLoans takes the loans of a peer.
func (l *Ledger) ObserveLoans(now time.Time, peer ident.HostID, incarnation ident.Incarnation, loans []Loan) {
	l.Tick(now)
	if !l.current(peer, incarnation) {
		return
	}
	for _, loan := range loans {
		if loan.BorrowerIncarnation != l.incarnation || loan.Stamp <= l.jumped || loan.Stamp > l.stamp(now) {
			continue // asked by an earlier life of this node, or before a clock jump
		}
		l.hold(now, peer, incarnation, loan)
	}
}

func (l *Ledger) hold(now time.Time, peer ident.HostID, incarnation ident.Incarnation, loan Loan) {
	a := l.account(loan.Team)
	at, ok := find(a.held, peer, lenderOf)
	if !ok {
		a.held = slices.Insert(a.held, at, &holding{lender: peer, incarnation: incarnation})
	}
	h := a.held[at]
	if loan.Sequence <= h.sequence {
		return
	}
	h.sequence, h.incarnation = loan.Sequence, incarnation
	h.fraction = max(loan.Fraction, 0)
	h.until = l.start.Add(loan.Stamp + loan.ValidFor)
	if loan.Fraction < h.asked-l.config.Step*l.own() {
		h.refusedTo = now.Add(l.config.RefusedFor)
	}
}
