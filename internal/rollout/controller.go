package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// testPart is the fraction of the requests that a bad version may get which the test
	// uses. The rest is for what is sent until a late fault is found.
	testPart = 0.65
	// testAhead is the part of the test's requests that may be sent at its start.
	testAhead = 0.25
	// maxTestShare is the largest share of the requests that a version gets in its test.
	maxTestShare = 0.5
	// pressure is how many times the usual requests each server in a test gets. A fault that
	// shows only under load needs as many as the server will get later; with many more, a
	// good version would be slower than the old one.
	pressure = 1.3
	// minTestServers is the smallest number of servers in a test.
	minTestServers = 4
	// minCapacity is the fraction of the old servers that the new version must have before
	// it gets all requests.
	minCapacity = 0.65
	// doneMargin is the time that is left at the deadline if all goes well, for the write of
	// the verdict and its way to the operator.
	doneMargin = 1500 * time.Millisecond
	// minTest is the part of the time of an order for which a version is tested at least.
	minTest = 0.25
	// drainFactor is the planned time for the end of the old requests as a multiple of the
	// longest one lately, and minDrain the shortest such time.
	drainFactor = 1.25
	minDrain    = 700 * time.Millisecond
	// reportTTL is the age of a report from which on its host counts as not heard, and
	// silentHold the time for which requests of such a host may still run. A host that gets
	// no plan for planTTL, which is longer, sends to the old version again.
	reportTTL  = 2 * time.Second
	silentHold = 6 * time.Second
	// minMove is the shortest time for which all requests go to the new version.
	minMove = 500 * time.Millisecond
	// judgeInterval is the interval at which the evidence is judged.
	judgeInterval = 200 * time.Millisecond
	// giveUpAfter is the multiple of an order's time after which a version that could not be
	// judged is rolled back.
	giveUpAfter = 2.0
)

// Situation is what the coordinator knows besides the evidence.
type Situation struct {
	// Old and New are the servers of the old versions and of the new one to which new work
	// may be sent.
	Old, New int
	// Hosts are the other hosts that are alive, and Silent those that have been heard
	// within silentHold and are not.
	Hosts, Silent []ident.HostID
}

// Controller conducts one order.
type Controller struct {
	Order    Order
	Limits   Limits
	Evidence Evidence

	plan      Plan
	startedAt time.Time // of the order, on this host's clock
	changedAt time.Time // of the phase
	judgement Judgement
	judgedAt  time.Time
}

// Record is what a coordinator stores for its successors.
type Record struct {
	ID         ID      `json:"id"`
	To         string  `json:"to"`
	DurationMs int64   `json:"duration_ms"`
	Plan       Plan    `json:"plan"`
	Evidence   Carried `json:"evidence"`
}

// NewController returns a controller that continues from a plan, which is empty for a new order.
func NewController(now time.Time, o Order, l Limits, p Plan) *Controller {
	c := &Controller{Order: o, Limits: l, plan: o.firstPlan(), startedAt: now, changedAt: now}
	c.Adopt(now, p)
	return c
}

// Adopt takes over a plan of another host if it is further on, and reports whether it is.
func (c *Controller) Adopt(now time.Time, p Plan) bool {
	if p.ID != c.Order.ID {
		return false
	}
	if started := now.Add(-time.Duration(p.ElapsedMs) * time.Millisecond); started.Before(c.startedAt) {
		c.startedAt = started
	}
	if c.plan.Phase.Final() || p.Phase.rank() <= c.plan.Phase.rank() {
		return false
	}
	c.plan, c.changedAt = p, now.Add(-time.Duration(p.PhaseMs)*time.Millisecond)
	return true
}

// Resume takes over the record of an earlier coordinator.
func (c *Controller) Resume(now time.Time, r Record) {
	if r.ID == c.Order.ID {
		c.Evidence.resume(now, r.Evidence)
		c.Adopt(now, r.Plan)
	}
}

// Record returns what a successor needs.
func (c *Controller) Record(now time.Time) Record {
	return Record{ID: c.Order.ID, To: c.Order.To, DurationMs: c.Order.Duration.Milliseconds(), Plan: c.Plan(now), Evidence: c.Evidence.carry()}
}

// Accept takes over the verdict that is stored, which holds whatever this coordinator has
// decided meanwhile.
func (c *Controller) Accept(now time.Time, p Plan) {
	if p.ID == c.Order.ID && p.Phase.Final() {
		c.plan, c.changedAt = p, now
		c.plan.Stored = true
	}
}

// Plan returns the plan in force.
func (c *Controller) Plan(now time.Time) Plan {
	p := c.plan
	p.ElapsedMs, p.PhaseMs = now.Sub(c.startedAt).Milliseconds(), now.Sub(c.changedAt).Milliseconds()
	return p
}

// Judgement returns the latest judgement of the evidence.
func (c *Controller) Judgement() Judgement { return c.judgement }

// Exposed returns the number of requests that were sent to the new version and to all.
func (c *Controller) Exposed() (toNew, toAll uint32) {
	x := c.Evidence.exposed()
	return x.New, x.All
}

// Step decides on the plan for the next moment, and reports whether the phase has changed.
func (c *Controller) Step(now time.Time, s Situation) (Plan, bool) {
	before := c.plan.Phase
	if before.Final() {
		return c.Plan(now), false
	}
	if now.Sub(c.judgedAt) >= judgeInterval {
		c.judgement, c.judgedAt = c.Evidence.judge(now), now
	}
	elapsed := now.Sub(c.startedAt)
	tooLate := elapsed > time.Duration(giveUpAfter*float64(c.Order.Duration))
	switch {
	case c.judgement.Bad:
		c.set(now, RolledBack, c.badReason())
	case before == Waiting && s.New >= min(minTestServers, max(1, s.Old)):
		c.set(now, Testing, fmt.Sprintf("%d servers of the version are ready", s.New))
	case before == Waiting && elapsed > c.Order.Duration:
		c.set(now, RolledBack, fmt.Sprintf("the version has %d servers at the deadline", s.New))
	case before == Testing && c.mayMove(now, s):
		c.set(now, Moving, fmt.Sprintf("no fault in %d answers", c.judgement.Answers))
	case before == Testing && tooLate:
		c.set(now, RolledBack, c.undecidedReason(s))
	case before == Moving && c.oldEnded(now, s):
		c.set(now, Done, fmt.Sprintf("no fault in %d answers, and no request is left at the old version", c.judgement.Answers))
	}
	c.plan.Share, c.plan.Servers = c.share(now, s)
	return c.Plan(now), c.plan.Phase != before
}

// Withdraw rolls the order back, since the operator has withdrawn it.
func (c *Controller) Withdraw(now time.Time) {
	if !c.plan.Phase.Final() {
		c.set(now, RolledBack, "the order was withdrawn")
	}
}

func (c *Controller) set(now time.Time, p Phase, reason string) {
	c.plan.Phase, c.plan.Reason, c.changedAt = p, reason, now
}

// badReason tells what speaks against the version.
func (c *Controller) badReason() string {
	for _, r := range append(c.judgement.Routes, c.judgement.Pooled) {
		if r.Route == c.judgement.BadRoute {
			return fmt.Sprintf("%s: %d of %d answers were bad (%d failures, the others slow), against %d of %d at the old version",
				r.Route, r.New.Bad, r.New.Answers, r.Failed, r.Old.Bad, r.Old.Answers)
		}
	}
	return "the latest answers on " + c.judgement.BadRoute + " were bad"
}

// Next tells what would change the phase.
func (c *Controller) Next(now time.Time) string {
	left := (c.Order.Duration - now.Sub(c.startedAt)).Round(100 * time.Millisecond)
	switch c.plan.Phase {
	case Waiting:
		return fmt.Sprintf("testing begins when up to %d servers of the version are ready; without any it is rolled back in %v", minTestServers, left)
	case Testing:
		sure := "the evidence suffices"
		if !c.judgement.Sure {
			sure = fmt.Sprintf("once the ratio of all routes is at most %.1f, no route is above %.1f and each has %d answers", sureAt, doubtAt, minPerRoute)
		}
		return fmt.Sprintf("all requests move in %v at the earliest: %s; it is rolled back if a ratio reaches %.1f", max(0, c.moveAt(now).Sub(now)).Round(100*time.Millisecond), sure, rejectAt)
	case Moving:
		n, _ := c.Evidence.oldRequests(now, reportTTL)
		return fmt.Sprintf("done when the %d requests at the old version have ended; it is rolled back if a ratio reaches %.1f", n, rejectAt)
	}
	return "final"
}

func (c *Controller) undecidedReason(s Situation) string {
	if !c.enoughServers(s) {
		return fmt.Sprintf("the version has %d servers and the old one %d", s.New, s.Old)
	}
	return fmt.Sprintf("%d answers do not show that the version is good", c.judgement.Answers)
}

func (c *Controller) enoughServers(s Situation) bool {
	return float64(s.New) >= minCapacity*float64(s.Old)
}

// mayMove reports whether all new requests may go to the new version. That begins as late as
// the deadline allows: a version may turn bad later, and gets few requests until then.
func (c *Controller) mayMove(now time.Time, s Situation) bool {
	if !c.judgement.Sure || !c.enoughServers(s) {
		return false
	}
	tested := now.Sub(c.changedAt)
	if tested < time.Duration(minTest*float64(c.Order.Duration)) {
		return false
	}
	return !now.Before(c.moveAt(now))
}

// moveAt returns the time at which the move should begin, so that the old requests have ended
// before the deadline.
func (c *Controller) moveAt(now time.Time) time.Time {
	_, longest := c.Evidence.oldRequests(now, silentHold)
	return c.startedAt.Add(c.Order.Duration - doneMargin - max(minDrain, time.Duration(drainFactor*float64(longest))))
}

// oldEnded reports whether no request is left at an old version. All hosts must have said so
// since the move began. A host that has fallen silent may still have some, and the clients of
// one that has restarted come back with theirs.
func (c *Controller) oldEnded(now time.Time, s Situation) bool {
	if len(s.Silent) > 0 || now.Sub(c.changedAt) < minMove || now.Sub(c.Evidence.restartedAt) < interruptedHold {
		return false
	}
	for _, host := range s.Hosts {
		if !c.Evidence.heard(now, host, reportTTL, Moving) {
			return false
		}
	}
	n, _ := c.Evidence.oldRequests(now, reportTTL)
	return n == 0
}

// share returns the share of the new requests that go to the new version, and the number of
// its servers that get them; 0 for all.
func (c *Controller) share(now time.Time, s Situation) (float64, int) {
	switch c.plan.Phase {
	case Testing:
	case Moving, Done:
		return 1, 0
	default:
		return 0, 0
	}
	share := c.testShare(now)
	servers := int(math.Ceil(share * float64(s.New) / pressure))
	return share, min(max(servers, minTestServers), max(1, s.New))
}

// testShare returns the share with which the test uses up its requests evenly until the move,
// after a part at its start.
func (c *Controller) testShare(now time.Time) float64 {
	rate := c.Evidence.rate(now)
	if rate <= 0 {
		return c.Limits.Share
	}
	x := c.Evidence.exposed()
	left := max(0, c.Order.Duration-now.Sub(c.startedAt))
	expected := float64(x.All) + 0.8*rate*left.Seconds()
	budget := testPart * (c.Limits.Share*expected + c.Limits.Slack)
	span := max(time.Second, c.moveAt(now).Sub(c.changedAt))
	done := min(1, float64(now.Add(time.Second).Sub(c.changedAt))/float64(span))
	target := budget * (testAhead + (1-testAhead)*done)
	return min(max((target-float64(x.New))/rate, 0), maxTestShare)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
