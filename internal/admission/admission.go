// Package admission decides which request a node runs next and which it
// refuses. It has a bounded queue for each team, strict priority classes with
// aging, weighted fair queueing within a class, and load shedding.
//
// Work is measured in estimated tokens: prompt plus maximum output. Slots are
// estimated tokens in flight; rates are estimated tokens per second. The
// caller sets capacity and rates, which may be out of date; a request in flight is
// never cancelled when they shrink.
//
// A Controller has no lock; its owner must serialize the calls. The random source
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

// Priority is the class of a team's requests. Lower values go first.
type Priority int

// Priority classes of contracts.
const (
	High Priority = iota
	Normal
	Low
	numClasses
)

// Item is a request that is offered or queued.
type Item struct {
	// ID is unique among the requests of the node.
	ID   uint64
	Team ident.Team
	// Tokens is the estimate of prompt plus maximum output, at least 1.
	Tokens int
	// Resume is set if the request continues a generation that was admitted
	// before. Resumes go first and are not charged to the team again.
	Resume bool
}

// Limits are the limits of a team on this node, set by its contract and by the
// node's part of its share.
type Limits struct {
	Priority Priority
	// Weight is the team's share, in any unit common to all teams.
	Weight float64
	// Rate is the node's current part of the team's share, in tokens/s;
	// math.Inf(1) means no limit.
	Rate float64
	// Slots is the node's part of the team's share in estimated tokens in
	// flight; 0 means no limit. While the team is below it, one more request
	// may start, whatever its size. The rate alone would let a burst take all
	// slots of the engines.
	Slots int64
}

// Capacity is the load that the backend servers can take from this node.
type Capacity struct {
	// Slots is the limit of estimated tokens in flight.
	Slots int64
	// Rate is the rate in tokens/s at which work drains when all slots are used.
	Rate float64
}

// Reason is the reason why a request was refused.
type Reason string

// Reasons of refusals. The recheck hook may return further ones.
const (
	// ReasonOverShare: the team is over its own limit.
	ReasonOverShare Reason = "over_share"
	// ReasonOverloaded: the node's capacity is used up.
	ReasonOverloaded Reason = "overloaded"
	// ReasonContractEnded: the team's contract ended while the request waited.
	ReasonContractEnded Reason = "contract_gone"
)

// Refusal says why a request is not run and when the caller may retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedWait is the estimated wait that the decision was based on.
	ExpectedWait time.Duration
}

// Recheck is called at dispatch and by RecheckQueued to check whether a queued
// request may still run. It returns nil if it may. It must not call the
// Controller.
type Recheck func(now time.Time, item Item) *Refusal

// Outcome is the decision on one queued request: run it if Refusal is nil.
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
	retryJitterFraction = 0.5 // largest jitter, as a fraction of the retry time, added to it
)

// Config holds the limits of a Controller. The zero value of a field selects
// its default.
type Config struct {
	// QueueLimit is the maximum number of requests in the queue of one team,
	// ResumeLimit that in the queue of resumes.
	QueueLimit, ResumeLimit int
	// MaxWait is the expected wait above which a request is refused at once.
	MaxWait time.Duration
	// GiveUpAfter is the actual wait after which a queued request is refused.
	GiveUpAfter time.Duration
	// AgingStep is the wait after which a request moves up one class.
	AgingStep time.Duration
	// Burst is the time for which a team's unused rate accumulates.
	Burst time.Duration
	// MinRetry and MaxRetry bound Refusal.RetryAfter before jitter is added.
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

// Controller holds the queues and limits of one node.
type Controller struct {
	config   Config
	recheck  Recheck
	rng      *rand.Rand
	capacity Capacity
	teams    []*team // sorted by name
	byName   map[ident.Team]*team
	resumes  fifo
	inFlight int64 // tokens
	queued   [numClasses]int64
	// virtualTime is the start tag of the last dispatch of each class.
	virtualTime [numClasses]float64
}

// New returns a controller without teams and without capacity. A nil recheck
// lets every queued request run.
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

// SetCapacity sets the capacity that Offer and Dispatch use from then on. Admitted
// requests stay admitted if it is lowered.
func (c *Controller) SetCapacity(capacity Capacity) { c.capacity = capacity }

// SetTeam adds a team or replaces its limits. Queued requests stay queued under
// the new limits.
func (c *Controller) SetTeam(now time.Time, name ident.Team, l Limits) error {
	if l.Priority < High || l.Priority > Low || !(l.Weight > 0) || !(l.Rate >= 0) {
		return newError(CodeInvalidConfig).Errorf(
			"limits of %s: priority %d, weight %v, rate %v", name, l.Priority, l.Weight, l.Rate)
	}
	q := c.byName[name]
	if q == nil {
		q = &team{name: name, limits: l, refilledAt: now, offeredAt: now, level: burstTokens(l.Rate, c.config.Burst)}
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
	q.level = min(q.level, burstTokens(l.Rate, c.config.Burst))
	return nil
}

// RemoveTeam removes a team and refuses its queued requests. Its requests in
// flight continue.
func (c *Controller) RemoveTeam(now time.Time, name ident.Team) []Outcome {
	q := c.byName[name]
	if q == nil {
		return nil
	}
	var out []Outcome
	for q.queue.len() > 0 {
		w := c.pop(q)
		out = append(out, w.refused(now, Refusal{Reason: ReasonContractEnded, RetryAfter: c.config.MaxRetry}))
	}
	delete(c.byName, name)
	c.teams = slices.DeleteFunc(c.teams, func(o *team) bool { return o == q })
	return out
}

// Queued returns the number of queued requests, including resumes.
func (c *Controller) Queued() int {
	n := c.resumes.len()
	for _, q := range c.teams {
		n += q.queue.len()
	}
	return n
}

// Demand returns the rate in tokens/s that a team needs on this node: the
// recently offered rate, including refused requests, or the rate at which its
// queue drains within Config.MaxWait, whichever is higher. The loans of package
// share are based on it.
func (c *Controller) Demand(now time.Time, name ident.Team) float64 {
	q := c.byName[name]
	if q == nil {
		return 0
	}
	q.recordOffered(now, 0)
	return max(q.offeredRate, float64(q.queue.tokens)/c.config.MaxWait.Seconds())
}

// InFlight returns the estimated tokens in flight.
func (c *Controller) InFlight() int64 { return c.inFlight }
