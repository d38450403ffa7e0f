package share

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// borrowerState is the state of this node's loans of one team's limit to one
// borrower.
type borrowerState struct {
	borrower ident.HostID
	// grants are the loans that may still be in use, oldest first.
	grants  []grant
	renewAt time.Time
	// stamp is the stamp of the newest demand of the borrower's incarnation.
	// Older demands get no loan, so that the stamps of loans increase with their
	// sequence numbers.
	incarnation ident.Incarnation
	stamp       time.Duration
}

// grant is the lender's record of a loan.
type grant struct {
	loan  Loan
	until time.Time // by this node's clock, including the margin
	keep  float64   // largest fraction that the borrower may still use
}

func borrowerID(b *borrowerState) ident.HostID { return b.borrower }

// committed returns the largest of the loans that may still be in use.
func (b *borrowerState) committed(now time.Time) float64 {
	most := 0.0
	for _, g := range b.grants {
		if now.Before(g.until) {
			most = max(most, g.keep)
		}
	}
	return most
}

func (b *borrowerState) expire(now time.Time) {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool { return !now.Before(g.until) })
}

// committed returns the sum that is lent to all borrowers except one.
func (a *account) committed(now time.Time, except ident.HostID) float64 {
	sum := 0.0
	for _, b := range a.borrowers {
		if b.borrower != except {
			sum += b.committed(now)
		}
	}
	return sum
}

func (a *account) borrower(borrower ident.HostID) *borrowerState {
	i, ok := find(a.borrowers, borrower, borrowerID)
	if !ok {
		a.borrowers = slices.Insert(a.borrowers, i, &borrowerState{borrower: borrower})
	}
	return a.borrowers[i]
}

// ObserveDemands applies a peer's demands and returns the loans to answer with.
func (l *Ledger) ObserveDemands(now time.Time, peer ident.HostID, incarnation ident.Incarnation, demands []Demand) []Loan {
	l.Tick(now)
	if !l.acceptIncarnation(peer, incarnation) {
		return nil
	}
	var out []Loan
	for _, d := range demands {
		a := l.account(d.Team)
		b := a.borrower(peer)
		b.expire(now)
		l.applyPromise(b, d)
		if !b.acceptStamp(d, incarnation) {
			continue
		}
		if loan, ok := l.lend(now, a, b, d, incarnation); ok {
			out = append(out, loan)
		}
	}
	return out
}

// acceptStamp reports whether a demand is newer than all earlier ones of the same
// incarnation, and if so records its stamp.
func (b *borrowerState) acceptStamp(d Demand, incarnation ident.Incarnation) bool {
	if b.incarnation == incarnation && d.Stamp <= b.stamp {
		return false
	}
	b.incarnation, b.stamp = incarnation, d.Stamp
	return true
}

// applyPromise lowers the counted amount of the loans that the borrower has
// promised not to use in full.
func (l *Ledger) applyPromise(b *borrowerState, d Demand) {
	if d.LenderIncarnation != l.incarnation {
		return
	}
	for i := range b.grants {
		if g := &b.grants[i]; g.loan.Sequence <= d.LoanSequence {
			g.keep = min(g.keep, max(d.Keep, 0))
		}
	}
}

// lend decides the answer to one demand: a new loan if the amount changes by more
// than a step or half the validity of the last loan has passed, otherwise the last
// loan again if the borrower has not received it.
func (l *Ledger) lend(now time.Time, a *account, b *borrowerState, d Demand, incarnation ident.Incarnation) (Loan, bool) {
	spare := min(l.ownFraction()-l.neededFraction(a), l.ownFraction()*(1-l.config.KeepOwn)) - a.committed(now, b.borrower)
	amount := max(min(d.Requested, spare), 0)
	step := l.config.Step * l.ownFraction()
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

// neededFraction returns the fraction that this node needs for its own demand,
// headroom included.
func (l *Ledger) neededFraction(a *account) float64 { return a.demand * (1 + l.config.Headroom) }

// ObserveIncarnation records the incarnation of a peer. Call it for every message
// of the peer, before answering it.
func (l *Ledger) ObserveIncarnation(now time.Time, peer ident.HostID, incarnation ident.Incarnation) {
	l.Tick(now)
	l.acceptIncarnation(peer, incarnation)
}

// removeExpired deletes the state of borrowers that have no unexpired loan.
func (a *account) removeExpired(now time.Time) {
	a.borrowers = slices.DeleteFunc(a.borrowers, func(b *borrowerState) bool {
		b.expire(now)
		return len(b.grants) == 0
	})
}

// acceptIncarnation reports whether a message is of the peer's newest known
// incarnation. The first message of a newer incarnation removes the loans of the
// earlier one.
func (l *Ledger) acceptIncarnation(peer ident.HostID, incarnation ident.Incarnation) bool {
	known := l.incarnations[peer]
	if incarnation < known {
		return false
	}
	if incarnation > known {
		l.incarnations[peer] = incarnation
		for _, a := range l.accounts {
			if i, ok := find(a.lenders, peer, lenderID); ok {
				a.lenders = slices.Delete(a.lenders, i, i+1)
			}
		}
	}
	return true
}
