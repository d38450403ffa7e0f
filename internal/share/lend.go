package share

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// lending is what this node lent to one borrower of one team's limit.
type lending struct {
	borrower ident.HostID
	// grants are the loans that may still be in use, oldest first.
	grants  []grant
	renewAt time.Time
	// stamp is that of the newest demand of the borrower's incarnation. Older
	// ones get no loan, so that the stamps of loans rise with their sequence.
	incarnation ident.Incarnation
	stamp       time.Duration
}

type grant struct {
	loan  Loan
	until time.Time // by this node's clock, margin included
	keep  float64   // the borrower promised to use no more
}

func borrowerOf(b *lending) ident.HostID { return b.borrower }

// committed returns the largest of the loans that may be in use.
func (b *lending) committed(now time.Time) float64 {
	most := 0.0
	for _, g := range b.grants {
		if now.Before(g.until) {
			most = max(most, g.keep)
		}
	}
	return most
}

func (b *lending) expire(now time.Time) {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool { return !now.Before(g.until) })
}

// committed returns what is lent to all borrowers but one.
func (a *account) committed(now time.Time, except ident.HostID) float64 {
	sum := 0.0
	for _, b := range a.lent {
		if b.borrower != except {
			sum += b.committed(now)
		}
	}
	return sum
}

func (a *account) lendingTo(borrower ident.HostID) *lending {
	i, ok := find(a.lent, borrower, borrowerOf)
	if !ok {
		a.lent = slices.Insert(a.lent, i, &lending{borrower: borrower})
	}
	return a.lent[i]
}

// ObserveDemands takes a peer's demands and returns the loans to answer with.
func (l *Ledger) ObserveDemands(now time.Time, peer ident.HostID, incarnation ident.Incarnation, demands []Demand) []Loan {
	l.Tick(now)
	if !l.current(peer, incarnation) {
		return nil
	}
	var out []Loan
	for _, d := range demands {
		a := l.account(d.Team)
		b := a.lendingTo(peer)
		b.expire(now)
		l.applyPromise(b, d)
		if !b.newer(d, incarnation) {
			continue
		}
		if loan, ok := l.lend(now, a, b, d, incarnation); ok {
			out = append(out, loan)
		}
	}
	return out
}

// newer tells whether no later demand was seen, and remembers this one.
func (b *lending) newer(d Demand, incarnation ident.Incarnation) bool {
	if b.incarnation == incarnation && d.Stamp <= b.stamp {
		return false
	}
	b.incarnation, b.stamp = incarnation, d.Stamp
	return true
}

// applyPromise lowers the count of the loans that the borrower will not use.
func (l *Ledger) applyPromise(b *lending, d Demand) {
	if d.LenderIncarnation != l.incarnation {
		return
	}
	for i := range b.grants {
		if g := &b.grants[i]; g.loan.Sequence <= d.LoanSequence {
			g.keep = min(g.keep, max(d.Keep, 0))
		}
	}
}

// lend decides the answer to one demand: a new loan if the amount changes by a
// step or the last one is half over, else a repetition of a lost one.
func (l *Ledger) lend(now time.Time, a *account, b *lending, d Demand, incarnation ident.Incarnation) (Loan, bool) {
	spare := min(l.own()-l.needed(a), l.own()*(1-l.config.KeepOwn)) - a.committed(now, b.borrower)
	amount := max(min(d.Want, spare), 0)
	step := l.config.Step * l.own()
	received := d.LoanSequence
	if d.LenderIncarnation != l.incarnation {
		received = 0
	}
	var newest *grant
	if n := len(b.grants); n > 0 {
		newest = &b.grants[n-1]
	}
	switch {
	case newest == nil && amount <= step:
		return Loan{}, false
	case newest == nil, newest.loan.BorrowerIncarnation != incarnation, amount > newest.keep+step, amount < newest.keep-step,
		!now.Before(b.renewAt) && amount > 0:
	case newest.loan.Sequence > received:
		return newest.loan, true
	default:
		return Loan{}, false
	}
	l.sequence++
	loan := Loan{
		Team: d.Team, Sequence: l.sequence, Fraction: amount,
		Stamp: d.Stamp, BorrowerIncarnation: incarnation, ValidFor: l.config.ValidFor,
	}
	until := now.Add(l.config.ValidFor + l.config.Margin)
	b.grants = append(b.grants, grant{loan: loan, until: until, keep: amount})
	b.renewAt = now.Add(l.config.ValidFor / 2)
	return loan, true
}

// needed is what this node wants to keep for itself.
func (l *Ledger) needed(a *account) float64 { return a.demand * (1 + l.config.Headroom) }

// ObserveIncarnation records the incarnation of a peer's message. Call it for
// every message of a peer, before answering it.
func (l *Ledger) ObserveIncarnation(now time.Time, peer ident.HostID, incarnation ident.Incarnation) {
	l.Tick(now)
	l.current(peer, incarnation)
}

// forgetExpired drops records that no live loan needs.
func (a *account) forgetExpired(now time.Time) {
	a.lent = slices.DeleteFunc(a.lent, func(b *lending) bool {
		b.expire(now)
		return len(b.grants) == 0
	})
}

// current tells whether a message is of the newest incarnation known. A newer
// one voids what was borrowed from the earlier.
func (l *Ledger) current(peer ident.HostID, incarnation ident.Incarnation) bool {
	known := l.incarnations[peer]
	if incarnation < known {
		return false
	}
	if incarnation > known {
		l.incarnations[peer] = incarnation
		for _, a := range l.accounts {
			if i, ok := find(a.held, peer, lenderOf); ok {
				a.held = slices.Delete(a.held, i, i+1)
			}
		}
	}
	return true
}
