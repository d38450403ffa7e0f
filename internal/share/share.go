// Package share divides each team's limit among the nodes by loans that
// expire, so that the sum of all parts never exceeds the limit.
//
// All amounts are fractions of a team's limit, from 0 to 1. A node owns
// 1/N of it. It may use what it owns and has not lent, and what it borrowed.
// Fractions of the limit and not of the fleet are lent, so that a lowered
// contract share also lowers what is lent out at once.
//
// The rules that keep the sum:
//
//   - A lender lowers its own part before it sends a loan, and counts the loan
//     until its validity plus a clock margin has passed since then.
//   - A borrower counts the validity from when it sent the demand that the loan
//     answers, by its own clock. The clocks of two nodes are never compared;
//     the margin covers their difference in rate and small steps.
//   - Of the loans of one lender for one team only the newest counts. The
//     lender counts the largest that may still be in use.
//   - A borrower gives up a part by promising not to use more than Keep of all
//     loans up to a sequence number; only then does the lender count less.
//   - A lender that has restarted no longer knows its loans. It owns nothing
//     until they have expired, or until each listed peer has processed a
//     message of the new incarnation and so dropped them.
//
// Messages may be lost, repeated, delayed and reordered. Nodes with different
// host lists may own different parts; the sum may then exceed the limit by the
// difference in N (section 5.5 of docs/design.md).
//
// A Ledger is owned by one goroutine and has no lock.
package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Demand asks one peer for a loan. It is sent with every heartbeat.
type Demand struct {
	Team ident.Team
	// Want is the whole amount that the sender wants from this peer.
	Want float64
	// Keep is a promise: of the peer's loans up to LoanSequence, the sender
	// never uses more than Keep again.
	Keep              float64
	LoanSequence      int64
	LenderIncarnation ident.Incarnation // that LoanSequence belongs to
	// Stamp is the sender's clock; the loan returns it.
	Stamp time.Duration
}

// Loan lends a part of the sender's own to the receiver. It replaces all
// earlier loans of the same lender for the same team.
type Loan struct {
	Team     ident.Team
	Sequence int64 // rises with each loan of the lender's incarnation
	Fraction float64
	// Stamp and BorrowerIncarnation are those of the demand it answers.
	Stamp               time.Duration
	BorrowerIncarnation ident.Incarnation
	// ValidFor counts from Stamp.
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
	// ValidFor is the validity of a loan; it is renewed at half of it.
	ValidFor time.Duration
	// Margin is how much longer the lender counts a loan.
	Margin time.Duration
	// HostsWindow is how long the largest host count is remembered.
	HostsWindow time.Duration
	// JumpLimit is the longest time between two inputs; a longer one means
	// that this node was paused or its clock was set.
	JumpLimit time.Duration
	// Headroom is kept or asked for on top of the demand, as a part of it.
	Headroom float64
	// KeepOwn is the part of its own that a node never lends.
	KeepOwn float64
	// Step is the smallest change of a loan, as a part of 1/N.
	Step float64
	// RefusedFor is how long a lender that gave less than asked is asked for
	// no more.
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

// reorderLimit is how much older than the last input an input may be. Workers
// read the clock before they take the lock around the ledger; an input that was
// 1 ms older counted as a clock jump and voided what the node had borrowed.
const reorderLimit = 500 * time.Millisecond

// Ledger holds what one node owns, lent and borrowed.
type Ledger struct {
	config      Config
	self        ident.HostID
	incarnation ident.Incarnation
	start       time.Time
	last        time.Time
	jumped      time.Duration // stamp of the last clock jump, or -1
	counts      []hostCount
	// unconfirmed are the listed peers that may still use loans of an earlier
	// incarnation of this node. Nil before the first host list.
	unconfirmed  []ident.HostID
	confirmed    []ident.HostID
	quarantined  bool
	quarantineTo time.Time
	incarnations map[ident.HostID]ident.Incarnation
	accounts     map[ident.Team]*account
	sequence     int64
}

type hostCount struct {
	at time.Time
	n  int
}

// account is the state of one team's limit.
type account struct {
	demand float64
	lent   []*lending // sorted by borrower
	held   []*holding // sorted by lender
}

// New returns the ledger of a node that has just started. It owns nothing
// until SetHosts, and until its quarantine ends.
func New(self ident.HostID, incarnation ident.Incarnation, config Config, now time.Time) (*Ledger, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Ledger{
		config: config, self: self, incarnation: incarnation, start: now, last: now, jumped: -1,
		quarantined: true, quarantineTo: now.Add(config.ValidFor + config.Margin),
		incarnations: map[ident.HostID]ident.Incarnation{},
		accounts:     map[ident.Team]*account{},
	}, nil
}

// SetHosts takes the listed hosts, this one included.
func (l *Ledger) SetHosts(now time.Time, hosts []ident.HostID) {
	l.Tick(now)
	if len(hosts) == 0 {
		return
	}
	l.counts = append(l.counts, hostCount{now, len(hosts)})
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

// Acknowledged records that a peer answered a message of this incarnation, and
// so has dropped the loans of earlier ones.
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
	if l.unconfirmed != nil && len(l.unconfirmed) == 0 || !now.Before(l.quarantineTo) {
		l.quarantined, l.unconfirmed, l.confirmed = false, nil, nil
	}
}

// SetDemand sets what this node could use of a team's limit. It may
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

// hosts returns N: the largest host count of the window, 0 before a list.
func (l *Ledger) hosts() int {
	n := 0
	for _, c := range l.counts {
		n = max(n, c.n)
	}
	return n
}

// own returns what this node owns of each limit before lending.
func (l *Ledger) own() float64 {
	n := l.hosts()
	if n == 0 || l.quarantined {
		return 0
	}
	return 1 / float64(n)
}

// Part returns the fraction of a team's limit that this node may use now.
func (l *Ledger) Part(now time.Time, team ident.Team) float64 {
	l.Tick(now)
	a := l.accounts[team]
	if a == nil {
		return l.own()
	}
	return max(l.own()-a.committed(now, ""), 0) + a.borrowed(now)
}

// Owed returns what this node has lent and borrowed of a team's limit.
func (l *Ledger) Owed(now time.Time, team ident.Team) (lent, borrowed float64) {
	l.Tick(now)
	a := l.account(team)
	return a.committed(now, ""), a.borrowed(now)
}

// Tick applies the passing of time and finds clock jumps.
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
	for len(l.counts) > 1 && now.Sub(l.counts[0].at) > l.config.HostsWindow {
		l.counts = l.counts[1:]
	}
	l.compactCounts()
}

// compactCounts drops counts that a later, not smaller one replaces.
func (l *Ledger) compactCounts() {
	for n := len(l.counts); n > 1 && l.counts[n-2].n <= l.counts[n-1].n; n = len(l.counts) {
		l.counts = append(l.counts[:n-2], l.counts[n-1])
	}
}

// ClockJumped treats everything borrowed as expired. Loans given count for
// their whole validity again, since it is not known how much real time passed.
func (l *Ledger) ClockJumped(now time.Time) {
	if now.Before(l.last) {
		l.start = l.start.Add(now.Sub(l.last)) // stamps never go back
	}
	l.jumped = l.stamp(now)
	l.last = now
	until := now.Add(l.config.ValidFor + l.config.Margin)
	if l.quarantined {
		l.quarantineTo = until
	}
	for i := range l.counts {
		l.counts[i].at = now
	}
	for _, a := range l.accounts {
		for _, h := range a.held {
			h.fraction = 0
		}
		for _, b := range a.lent {
			for i := range b.grants {
				b.grants[i].until = until
			}
			b.renewAt = now
		}
	}
}

// stamp is the time of this node's clock that demands carry.
func (l *Ledger) stamp(now time.Time) time.Duration { return now.Sub(l.start) }

// teams returns the teams with an account, sorted.
func (l *Ledger) teams() []ident.Team {
	out := make([]ident.Team, 0, len(l.accounts))
	for c := range l.accounts {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

// find returns the element of a host in a list sorted by host, and its place.
func find[T any](list []T, host ident.HostID, hostOf func(T) ident.HostID) (int, bool) {
	return slices.BinarySearchFunc(list, host, func(e T, h ident.HostID) int {
		return cmp.Compare(hostOf(e), h)
	})
}
