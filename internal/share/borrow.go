package share

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// lenderState is the state of this node's loan of one team's limit from one lender.
type lenderState struct {
	lender       ident.HostID
	incarnation  ident.Incarnation
	sequence     int64   // of the newest loan received
	fraction     float64 // what this node may use of the loan, given its promises
	until        time.Time
	requested    float64
	refusedUntil time.Time // set when the lender lent less than requested
}

func lenderID(h *lenderState) ident.HostID { return h.lender }

func (h *lenderState) usable(now time.Time) float64 {
	if now.Before(h.until) {
		return h.fraction
	}
	return 0
}

func (a *account) borrowed(now time.Time) float64 {
	sum := 0.0
	for _, h := range a.lenders {
		sum += h.usable(now)
	}
	return sum
}

// Demands returns the demands to send now to each of the given peers, in the order
// of peers. They also return borrowed amounts that the node no longer needs.
func (l *Ledger) Demands(now time.Time, peers []ident.HostID) [][]Demand {
	l.Tick(now)
	out := make([][]Demand, len(peers))
	for _, team := range l.teams() {
		a := l.accounts[team]
		a.removeExpired(now)
		l.returnExcess(now, a)
		requested := l.requestedFractions(now, a, peers)
		for i, p := range peers {
			if d, ok := l.demandTo(now, a, p, requested[i]); ok {
				d.Team = team
				out[i] = append(out[i], d)
			}
		}
	}
	l.removeIdleAccounts()
	return out
}

func (l *Ledger) removeIdleAccounts() {
	for team, a := range l.accounts {
		if a.demand == 0 && len(a.borrowers) == 0 && len(a.lenders) == 0 {
			delete(l.accounts, team)
		}
	}
}

// returnExcess lowers the usable fraction of all loans by the same factor, so
// that this node keeps only what it needs.
func (l *Ledger) returnExcess(now time.Time, a *account) {
	borrowed := a.borrowed(now)
	own := max(l.ownFraction()-a.committed(now, ""), 0)
	excess := own + borrowed - l.neededFraction(a)
	if borrowed <= 0 || excess <= l.config.Step*l.ownFraction() {
		return
	}
	rest := max(borrowed-excess, 0) / borrowed
	for _, h := range a.lenders {
		h.fraction *= rest
	}
}

// requestedFractions returns the whole amount to request from each peer. The
// missing amount is divided equally among the peers that have not refused within
// Config.RefusedFor.
func (l *Ledger) requestedFractions(now time.Time, a *account, peers []ident.HostID) []float64 {
	own := max(l.ownFraction()-a.committed(now, ""), 0)
	missing := l.neededFraction(a) - own - a.borrowed(now)
	notRefused := 0
	refused := make([]bool, len(peers))
	for i, p := range peers {
		at, ok := find(a.lenders, p, lenderID)
		refused[i] = ok && now.Before(a.lenders[at].refusedUntil)
		if !refused[i] {
			notRefused++
		}
	}
	out := make([]float64, len(peers))
	for i, p := range peers {
		if at, ok := find(a.lenders, p, lenderID); ok {
			out[i] = a.lenders[at].usable(now)
		}
		if !refused[i] && missing > 0 {
			out[i] += missing / float64(notRefused)
		}
	}
	return out
}

func (l *Ledger) demandTo(now time.Time, a *account, peer ident.HostID, requested float64) (Demand, bool) {
	at, ok := find(a.lenders, peer, lenderID)
	if !ok {
		if requested <= 0 {
			return Demand{}, false
		}
		a.lenders = slices.Insert(a.lenders, at, &lenderState{lender: peer, incarnation: l.incarnations[peer]})
	}
	h := a.lenders[at]
	h.requested = requested
	if requested <= 0 && now.After(h.until.Add(l.config.ValidFor+l.config.Margin)) {
		// The lender no longer counts any loan, and every duplicate of a loan
		// message has expired.
		a.lenders = slices.Delete(a.lenders, at, at+1)
		return Demand{}, false
	}
	return Demand{
		Requested: requested, Keep: h.usable(now), LoanSequence: h.sequence,
		LenderIncarnation: h.incarnation, Stamp: l.stamp(now),
	}, true
}

// ObserveLoans applies loans received from a peer.
func (l *Ledger) ObserveLoans(now time.Time, peer ident.HostID, incarnation ident.Incarnation, loans []Loan) {
	l.Tick(now)
	if !l.acceptIncarnation(peer, incarnation) {
		return
	}
	for _, loan := range loans {
		if loan.BorrowerIncarnation != l.incarnation || loan.Stamp <= l.lastJump || loan.Stamp > l.stamp(now) {
			continue // requested by an earlier incarnation, or before a clock jump
		}
		l.applyLoan(now, peer, incarnation, loan)
	}
}

func (l *Ledger) applyLoan(now time.Time, peer ident.HostID, incarnation ident.Incarnation, loan Loan) {
	a := l.account(loan.Team)
	at, ok := find(a.lenders, peer, lenderID)
	if !ok {
		a.lenders = slices.Insert(a.lenders, at, &lenderState{lender: peer, incarnation: incarnation})
	}
	h := a.lenders[at]
	if loan.Sequence <= h.sequence {
		return
	}
	h.sequence, h.incarnation = loan.Sequence, incarnation
	h.fraction = max(loan.Fraction, 0)
	h.until = l.start.Add(loan.Stamp + loan.ValidFor)
	if loan.Fraction < h.requested-l.config.Step*l.ownFraction() {
		h.refusedUntil = now.Add(l.config.RefusedFor)
	}
}
