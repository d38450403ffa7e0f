// Package admission decides which request a node runs next and which it
// refuses: a bounded queue for each team, strict priority classes with
// aging, weighted fair queueing by share inside a class, and shedding.
//
// Work is measured in estimated tokens: prompt and maximum output. Slots are
// estimated tokens in flight; rates are estimated tokens per second. The
// caller gives capacity and rates, which may lag; a request in flight is never
// taken back when they shrink.
//
// A Controller is owned by one goroutine and has no lock. The random source
// given to New belongs to it.
package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Priority is the class of a team's requests. The lower value goes first.
type Priority int

// Priority classes of contracts.
const (
	High Priority = iota
	Normal
	Low
	classes
)

// Item is one request in or before the queue.
type Item struct {
	// ID is unique among the requests of the node.
	ID   uint64
	Team ident.Team
	// Tokens estimates prompt and maximum output; at least 1.
	Tokens int
	// Resume tells that the request continues a generation that was admitted
	// before. Resumes go first and are not charged to the team again.
	Resume bool
}

// Limits are what a team's contract and the node's part of its share allow.
type Limits struct {
	Priority Priority
	// Weight is the team's share, in any unit common to all teams.
	Weight float64
	// Rate is the node's present part of the team's share in tokens/s;
	// math.Inf(1) means no limit.
	Rate float64
	// Slots is the node's part of the team's share in estimated tokens in
	// flight; 0 means no limit. A team below it may start one more request.
	// The rate alone lets a burst take all places of the engines.
	Slots int64
}

// Capacity is what the backend servers can take from this node.
type Capacity struct {
	Slots int64
	// Rate is the tokens/s at which work drains when all slots are used.
	Rate float64
}

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals. The recheck hook may return further ones.
const (
	// ReasonOverShare: the team is over its own limit.
	ReasonOverShare Reason = "over_share"
	// ReasonOverloaded: the capacity is used up.
	ReasonOverloaded Reason = "overloaded"
	// ReasonContractGone: the team's contract ended while it waited.
	ReasonContractGone Reason = "contract_gone"
)

// Refusal tells why a request is not run and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedWait is the wait that the decision was based on.
	ExpectedWait time.Duration
}

// Recheck is asked at dispatch whether a queued request may still run. It
// returns nil if it may. It must not call the Controller.
type Recheck func(now time.Time, item Item) *Refusal

// Outcome is the decision about one queued request: run it if Refusal is nil.
type Outcome struct {
	Item    Item
	Waited  time.Duration
	Refusal *Refusal
}

// Defaults of Config.
const (
	DefaultQueueLimit   = 256
	DefaultResumeLimit  = 4096
	DefaultMaxWait      = 2 * time.Second
	DefaultGiveUpAfter  = 4 * time.Second // callers wait a few seconds at most
	DefaultAgingStep    = time.Second
	DefaultBurst        = time.Second
	DefaultMinRetry     = 500 * time.Millisecond
	DefaultMaxRetry     = time.Minute
	retryJitterFraction = 0.5 // of the retry time, on top of it
)

// Config holds the limits of a Controller. The zero value of a field selects
// its default.
type Config struct {
	// QueueLimit bounds the queue of one team, ResumeLimit that of resumes.
	QueueLimit, ResumeLimit int
	// MaxWait is the expected wait above which a request is refused at once.
	MaxWait time.Duration
	// GiveUpAfter is the real wait after which a queued request is refused.
	GiveUpAfter time.Duration
	// AgingStep is the wait that moves a request up one class.
	AgingStep time.Duration
	// Burst is the length of unused rate that a team may use at once.
	Burst time.Duration
	// MinRetry and MaxRetry bound Refusal.RetryAfter before its jitter.
	MinRetry, MaxRetry time.Duration
}

func (c Config) withDefaults() Config {
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	c.ResumeLimit = cmp.Or(c.ResumeLimit, DefaultResumeLimit)
	c.MaxWait = cmp.Or(c.MaxWait, DefaultMaxWait)
	c.GiveUpAfter = cmp.Or(c.GiveUpAfter, DefaultGiveUpAfter)
	c.AgingStep = cmp.Or(c.AgingStep, DefaultAgingStep)
	c.Burst = cmp.Or(c.Burst, DefaultBurst)
	c.MinRetry = cmp.Or(c.MinRetry, DefaultMinRetry)
	c.MaxRetry = cmp.Or(c.MaxRetry, DefaultMaxRetry)
	return c
}

func (c Config) check() error {
	if c.QueueLimit < 0 || c.ResumeLimit < 0 || c.AgingStep < 0 || c.Burst < 0 || c.MaxWait < 0 {
		return newError(CodeInvalidConfig).Errorf("a limit is negative: %+v", c)
	}
	if c.GiveUpAfter < c.MaxWait || c.MinRetry < 0 || c.MaxRetry < c.MinRetry {
		return newError(CodeInvalidConfig).Errorf(
			"give up after %v must be at least the wait limit %v, and retry limits %v to %v must rise",
			c.GiveUpAfter, c.MaxWait, c.MinRetry, c.MaxRetry)
	}
	return nil
}

// Controller holds the queues of one node.
type Controller struct {
	config   Config
	recheck  Recheck
	rng      *rand.Rand
	capacity Capacity
	teams    []*team // sorted by name
	byName   map[ident.Team]*team
	resumes  fifo
	inFlight int64 // tokens
	queued   [classes]int64
	// virtual is the start tag of the last dispatch of each class.
	virtual [classes]float64
}

// New returns a controller without teams and without capacity.
func New(config Config, recheck Recheck, rng *rand.Rand) (*Controller, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	if recheck == nil {
		recheck = func(time.Time, Item) *Refusal { return nil }
	}
	return &Controller{
		config: config, recheck: recheck, rng: rng, byName: map[ident.Team]*team{},
	}, nil
}

// SetCapacity replaces the capacity.
func (c *Controller) SetCapacity(capacity Capacity) { c.capacity = capacity }

// SetTeam adds a team or replaces its limits. Queued requests stay and
// follow the new limits.
func (c *Controller) SetTeam(now time.Time, name ident.Team, l Limits) error {
	if l.Priority < High || l.Priority > Low || !(l.Weight > 0) || !(l.Rate >= 0) {
		return newError(CodeInvalidConfig).Errorf(
			"limits of %s: priority %d, weight %v, rate %v", name, l.Priority, l.Weight, l.Rate)
	}
	q := c.byName[name]
	if q == nil {
		q = &team{name: name, limits: l, refilled: now, offeredAt: now, level: burst(l.Rate, c.config.Burst)}
		c.byName[name] = q
		at, _ := slices.BinarySearchFunc(c.teams, name, func(q *team, name ident.Team) int {
			return strings.Compare(string(q.name), string(name))
		})
		c.teams = slices.Insert(c.teams, at, q)
		return nil
	}
	q.refill(now, c.config.Burst)
	if l.Priority != q.limits.Priority {
		c.queued[q.limits.Priority] -= q.queue.tokens
		c.queued[l.Priority] += q.queue.tokens
	}
	q.limits = l
	q.level = min(q.level, burst(l.Rate, c.config.Burst))
	return nil
}

// RemoveTeam removes a team and refuses its queued requests. Its
// requests in flight go on.
func (c *Controller) RemoveTeam(now time.Time, name ident.Team) []Outcome {
	q := c.byName[name]
	if q == nil {
		return nil
	}
	var out []Outcome
	for q.queue.len() > 0 {
		w := c.pop(q)
		out = append(out, w.refused(now, Refusal{Reason: ReasonContractGone, RetryAfter: c.config.MaxRetry}))
	}
	delete(c.byName, name)
	c.teams = slices.DeleteFunc(c.teams, func(o *team) bool { return o == q })
	return out
}

// Queued returns the number of waiting requests, resumes included.
func (c *Controller) Queued() int {
	n := c.resumes.len()
	for _, q := range c.teams {
		n += q.queue.len()
	}
	return n
}

// Demand returns the rate in tokens/s that a team asks of this node:
// what it offered lately, refused requests included, or what its queue needs
// to drain within Config.MaxWait. The share package lends by it.
func (c *Controller) Demand(now time.Time, name ident.Team) float64 {
	q := c.byName[name]
	if q == nil {
		return 0
	}
	q.countOffer(now, 0)
	return max(q.offered, float64(q.queue.tokens)/c.config.MaxWait.Seconds())
}

// InFlight returns the estimated tokens in flight.
func (c *Controller) InFlight() int64 { return c.inFlight }
