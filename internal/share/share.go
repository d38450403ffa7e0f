// Package share divides each team's limit among the nodes by loans that
// expire, so that the sum of all parts never exceeds the limit.
//
// All amounts are fractions of a team's limit, from 0 to 1. A node owns 1/N of
// the limit, N being the number of hosts. It may use what it owns and has not
// lent, plus what it has borrowed. Loans are fractions of the limit and not of
// the capacity of the fleet, so that lowering a team's contract share lowers the
// amounts on loan at once.
//
// These rules keep the sum of all parts within the limit:
//
//   - A lender lowers its own part before it sends a loan, and counts the loan
//     as lent until its validity plus a clock margin has passed since then.
//   - A borrower counts the validity from the time at which it sent the demand
//     that the loan answers, by its own clock. The clocks of two nodes are
//     never compared; the margin covers differences in clock rate and small
//     clock steps.
//   - A borrower uses only the newest loan of each lender for a team. The lender
//     counts the largest one that may still be in use.
//   - A borrower returns a part by promising not to use more than Demand.Keep of
//     any loan up to a sequence number; only then does the lender count less.
//   - A lender that has restarted has no record of its loans. It is in quarantine
//     and owns nothing until they have expired, or until each listed peer has
//     processed a message of the new incarnation and so dropped them.
//
// Messages may be lost, duplicated, delayed and reordered. Nodes with different
// host lists may own different parts; the sum may then exceed the limit by the
// difference in N (section 5.5 of docs/design.md).
//
// A Ledger has no lock; its owner must serialize the calls.
package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Demand requests a loan from one peer. It is sent with every heartbeat.
type Demand struct {
	Team ident.Team
	// Requested is the whole amount that the sender requests from this peer,
	// including what it already borrows.
	Requested float64
	// Keep is a promise: the sender will never again use more than Keep of any
	// of the peer's loans up to LoanSequence.
	Keep              float64
	LoanSequence      int64
	LenderIncarnation ident.Incarnation // of the lender that numbered LoanSequence
	// Stamp is the time at which the demand was sent, by the sender's clock and
	// relative to the start of its ledger; the loan echoes it.
	Stamp time.Duration
}

// Loan lends a part of what the sender owns to the receiver. It replaces all
// earlier loans of the same lender for the same team.
type Loan struct {
	Team     ident.Team
	Sequence int64 // increases with each loan of one incarnation of the lender
	Fraction float64
	// Stamp and BorrowerIncarnation are those of the demand that it answers.
	Stamp               time.Duration
	BorrowerIncarnation ident.Incarnation
	// ValidFor is the validity of the loan, from Stamp on.
	ValidFor time.Duration
}

// Defaults of Config. Section 5.5 of docs/design.md gives the reasons.
const (
	DefaultValidFor    = 10 * time.Second
	DefaultMargin      = 2 * time.Second
	DefaultHostsWindow = time.Minute
	DefaultJumpLimit   = 2 * time.Second
	DefaultHeadroom    = 0.1
	DefaultKeepOwn     = 0.1
	DefaultStep        = 0.05
	DefaultRefusedFor  = 2 * time.Second
)

// Config holds the settings of a Ledger. The zero value of a field selects its
// default.
type Config struct {
	// ValidFor is the validity of a loan. A loan is renewed at half of it.
	ValidFor time.Duration
	// Margin is the time after the end of its validity for which the lender
	// still counts a loan.
	Margin time.Duration
	// HostsWindow is the period whose largest host count is used as N.
	HostsWindow time.Duration
	// JumpLimit is the longest time between two inputs. A longer gap means that
	// this node was paused or its clock was set.
	JumpLimit time.Duration
	// Headroom is what a node keeps or requests on top of its demand, as a
	// fraction of the demand.
	Headroom float64
	// KeepOwn is the fraction of its 1/N that a node never lends.
	KeepOwn float64
	// Step is the smallest change of a loan, as a fraction of 1/N.
	Step float64
	// RefusedFor is the time for which nothing more is requested from a lender
	// that lent less than requested.
	RefusedFor time.Duration
}

func (c Config) withDefaults() Config {
	c.ValidFor = cmp.Or(c.ValidFor, DefaultValidFor)
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	c.HostsWindow = cmp.Or(c.HostsWindow, DefaultHostsWindow)
	c.JumpLimit = cmp.Or(c.JumpLimit, DefaultJumpLimit)
	c.Headroom = cmp.Or(c.Headroom, DefaultHeadroom)
	c.KeepOwn = cmp.Or(c.KeepOwn, DefaultKeepOwn)
	c.Step = cmp.Or(c.Step, DefaultStep)
	c.RefusedFor = cmp.Or(c.RefusedFor, DefaultRefusedFor)
	return c
}

func (c Config) check() error {
	if c.ValidFor < 0 || c.Margin < 0 || c.HostsWindow < 0 || c.JumpLimit < 0 || c.RefusedFor < 0 {
		return newError(CodeInvalidConfig).Errorf("a duration is negative: %+v", c)
	}
	if c.Headroom < 0 || c.KeepOwn < 0 || c.KeepOwn > 1 || c.Step < 0 || c.Step > 1 {
		return newError(CodeInvalidConfig).Errorf(
			"headroom %v must not be negative; own part kept %v and step %v must be between 0 and 1",
			c.Headroom, c.KeepOwn, c.Step)
	}
	return nil
}

// reorderLimit is how much older than the last input an input may be without
// counting as a clock jump. Workers read the clock before they lock the ledger, so
// inputs may be out of order; without the limit an input that was 1 ms older
// voided everything that the node had borrowed.
const reorderLimit = 500 * time.Millisecond

// Ledger records what one node owns, has lent and has borrowed.
type Ledger struct {
	config      Config
	self        ident.HostID
	incarnation ident.Incarnation
	start       time.Time
	last        time.Time
	lastJump    time.Duration // stamp of the last clock jump, or -1
	hostCounts  []hostCount
	// unconfirmed are the listed peers that may still use loans of an earlier
	// incarnation of this node; nil before the first host list.
	unconfirmed     []ident.HostID
	confirmed       []ident.HostID
	quarantined     bool
	quarantineUntil time.Time
	incarnations    map[ident.HostID]ident.Incarnation
	accounts        map[ident.Team]*account
	sequence        int64
}

type hostCount struct {
	at time.Time
	n  int
}

// account is the state of one team's limit.
type account struct {
	demand    float64
	borrowers []*borrowerState // sorted by borrower
	lenders   []*lenderState   // sorted by lender
}

// New returns the ledger of a node that has just started. The node owns nothing
// until SetHosts has been called and its quarantine has ended.
func New(self ident.HostID, incarnation ident.Incarnation, config Config, now time.Time) (*Ledger, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Ledger{
		config: config, self: self, incarnation: incarnation, start: now, last: now, lastJump: -1,
		quarantined: true, quarantineUntil: now.Add(config.ValidFor + config.Margin),
		incarnations: map[ident.HostID]ident.Incarnation{},
		accounts:     map[ident.Team]*account{},
	}, nil
}

// SetHosts sets the listed hosts, including this one. An empty list is ignored.
func (l *Ledger) SetHosts(now time.Time, hosts []ident.HostID) {
	l.Tick(now)
	if len(hosts) == 0 {
		return
	}
	l.hostCounts = append(l.hostCounts, hostCount{now, len(hosts)})
	if !l.quarantined {
		return
	}
	l.unconfirmed = []ident.HostID{}
	for _, h := range hosts {
		if h != l.self && !slices.Contains(l.confirmed, h) {
			l.unconfirmed = append(l.unconfirmed, h)
		}
	}
	l.endQuarantine(now)
}

// Acknowledged records that a peer has answered a message of this incarnation,
// and so has dropped the loans of earlier incarnations.
func (l *Ledger) Acknowledged(now time.Time, peer ident.HostID) {
	l.Tick(now)
	if !l.quarantined {
		return
	}
	if !slices.Contains(l.confirmed, peer) {
		l.confirmed = append(l.confirmed, peer)
	}
	l.unconfirmed = remove(l.unconfirmed, peer)
	l.endQuarantine(now)
}

func remove(hosts []ident.HostID, host ident.HostID) []ident.HostID {
	return slices.DeleteFunc(hosts, func(h ident.HostID) bool { return h == host })
}

func (l *Ledger) endQuarantine(now time.Time) {
	if l.unconfirmed != nil && len(l.unconfirmed) == 0 || !now.Before(l.quarantineUntil) {
		l.quarantined, l.unconfirmed, l.confirmed = false, nil, nil
	}
}

// SetDemand sets the fraction of a team's limit that this node could use. It may
// exceed 1.
func (l *Ledger) SetDemand(now time.Time, team ident.Team, fraction float64) {
	l.Tick(now)
	l.account(team).demand = max(fraction, 0)
}

func (l *Ledger) account(team ident.Team) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{}
		l.accounts[team] = a
	}
	return a
}

// maxHostCount returns N: the largest host count within Config.HostsWindow, or 0
// before the first host list.
func (l *Ledger) maxHostCount() int {
	n := 0
	for _, c := range l.hostCounts {
		n = max(n, c.n)
	}
	return n
}

// ownFraction returns the fraction of each limit that this node owns before
// lending.
func (l *Ledger) ownFraction() float64 {
	n := l.maxHostCount()
	if n == 0 || l.quarantined {
		return 0
	}
	return 1 / float64(n)
}

// UsableFraction returns the fraction of a team's limit that this node may use now.
func (l *Ledger) UsableFraction(now time.Time, team ident.Team) float64 {
	l.Tick(now)
	a := l.accounts[team]
	if a == nil {
		return l.ownFraction()
	}
	return max(l.ownFraction()-a.committed(now, ""), 0) + a.borrowed(now)
}

// Owed returns the fractions of a team's limit that this node has lent and
// borrowed.
func (l *Ledger) Owed(now time.Time, team ident.Team) (lent, borrowed float64) {
	l.Tick(now)
	a := l.account(team)
	return a.committed(now, ""), a.borrowed(now)
}

// Tick advances the ledger to now and detects clock jumps.
func (l *Ledger) Tick(now time.Time) {
	if now.Before(l.last) && l.last.Sub(now) <= reorderLimit {
		return
	}
	if now.Before(l.last) || now.Sub(l.last) > l.config.JumpLimit {
		l.ClockJumped(now)
		return
	}
	l.last = now
	if l.quarantined {
		l.endQuarantine(now)
	}
	// The newest count stays, however old it is.
	for len(l.hostCounts) > 1 && now.Sub(l.hostCounts[0].at) > l.config.HostsWindow {
		l.hostCounts = l.hostCounts[1:]
	}
	l.compactCounts()
}

// compactCounts removes counts that are followed by one at least as large.
func (l *Ledger) compactCounts() {
	for n := len(l.hostCounts); n > 1 && l.hostCounts[n-2].n <= l.hostCounts[n-1].n; n = len(l.hostCounts) {
		l.hostCounts = append(l.hostCounts[:n-2], l.hostCounts[n-1])
	}
}

// ClockJumped treats everything borrowed as expired. What this node has lent is
// counted for the whole validity and margin again, because it is not known how
// much real time has passed.
func (l *Ledger) ClockJumped(now time.Time) {
	if now.Before(l.last) {
		l.start = l.start.Add(now.Sub(l.last)) // keeps stamps from decreasing
	}
	l.lastJump = l.stamp(now)
	l.last = now
	until := now.Add(l.config.ValidFor + l.config.Margin)
	if l.quarantined {
		l.quarantineUntil = until
	}
	for i := range l.hostCounts {
		l.hostCounts[i].at = now
	}
	for _, a := range l.accounts {
		for _, h := range a.lenders {
			h.fraction = 0
		}
		for _, b := range a.borrowers {
			for i := range b.grants {
				b.grants[i].until = until
			}
			b.renewAt = now
		}
	}
}

// stamp returns now as it is sent in demands, relative to the start of the ledger.
func (l *Ledger) stamp(now time.Time) time.Duration { return now.Sub(l.start) }

// teams returns the teams with an account, sorted.
func (l *Ledger) teams() []ident.Team {
	out := make([]ident.Team, 0, len(l.accounts))
	for team := range l.accounts {
		out = append(out, team)
	}
	slices.Sort(out)
	return out
}

// find returns the index of a host's element in a list sorted by host, or where it
// belongs, and whether it is there.
func find[T any](list []T, host ident.HostID, hostOf func(T) ident.HostID) (int, bool) {
	return slices.BinarySearchFunc(list, host, func(e T, h ident.HostID) int {
		return cmp.Compare(hostOf(e), h)
	})
}
