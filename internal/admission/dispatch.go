package admission

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Offer queues a request or refuses it at once. A queued request gets exactly
// one Outcome later, unless it is cancelled.
func (c *Controller) Offer(now time.Time, item Item) (*Refusal, error) {
	if item.Tokens < 1 {
		return nil, newError(CodeInvalidConfig).Errorf("request %d has %d estimated tokens", item.ID, item.Tokens)
	}
	q := c.byName[item.Team]
	if q == nil {
		return nil, newError(CodeUnknownTeam).Errorf("no contract of customer %q is in force", item.Team)
	}
	if item.Resume {
		if c.resumes.len() >= c.config.ResumeLimit {
			return c.refuse(ReasonOverloaded, c.drain(c.resumes.tokens)), nil
		}
		c.resumes.push(waiting{item, now})
		return nil, nil
	}
	q.countOffer(now, item.Tokens)
	if r := c.shed(now, q, item); r != nil {
		return r, nil
	}
	q.queue.push(waiting{item, now})
	c.queued[q.limits.Priority] += int64(item.Tokens)
	return nil, nil
}

// shed refuses a request whose expected wait is too long or whose queue is
// full.
func (c *Controller) shed(now time.Time, q *team, item Item) *Refusal {
	q.refill(now, c.config.Burst)
	// A request larger than all slots runs alone, so it waits for all of them.
	own, shared := q.ownWait(), c.drain(c.ahead(q)+min(int64(item.Tokens), c.capacity.Slots))
	reason, wait := ReasonOverloaded, shared
	if own > shared {
		reason, wait = ReasonOverShare, own
	}
	if wait <= c.config.MaxWait && q.queue.len() < c.config.QueueLimit {
		return nil
	}
	return c.refuse(reason, wait)
}

// ahead estimates the queued tokens that run before a new request of q: the
// resumes, the higher classes, and of its own class what fair queueing lets
// pass while q's own queue drains.
func (c *Controller) ahead(q *team) int64 {
	tokens := c.resumes.tokens
	for p := High; p < q.limits.Priority; p++ {
		tokens += c.queued[p]
	}
	class, weights := c.queued[q.limits.Priority], q.limits.Weight
	for _, o := range c.teams {
		if o != q && o.queue.len() > 0 && o.limits.Priority == q.limits.Priority {
			weights += o.limits.Weight
		}
	}
	fair := float64(q.queue.tokens) * weights / q.limits.Weight
	return tokens + int64(min(float64(class), fair))
}

// drain is the time until work of this many tokens behind the work in flight
// has a slot.
func (c *Controller) drain(tokens int64) time.Duration {
	if c.capacity.Slots <= 0 {
		return longest
	}
	excess := c.inFlight + tokens - c.capacity.Slots
	if excess <= 0 {
		return 0
	}
	return seconds(float64(excess) / c.capacity.Rate)
}

// refuse derives the retry time from the wait and spreads it by a jitter, so
// that refused callers do not return together.
func (c *Controller) refuse(reason Reason, wait time.Duration) *Refusal {
	base := min(max(wait, c.config.MinRetry), c.config.MaxRetry)
	jitter := time.Duration(c.rng.Float64() * retryJitterFraction * float64(base))
	return &Refusal{Reason: reason, RetryAfter: base + jitter, ExpectedWait: wait}
}

// Cancel removes a queued request whose caller is gone. It returns false if
// the request is not queued.
func (c *Controller) Cancel(name ident.Team, id uint64) bool {
	if _, ok := c.resumes.remove(id); ok {
		return true
	}
	q := c.byName[name]
	if q == nil {
		return false
	}
	w, ok := q.queue.remove(id)
	c.queued[q.limits.Priority] -= int64(w.item.Tokens)
	return ok
}

// Finished returns the slots of a request that was dispatched. The part of the
// estimate that it did not use goes back to the team.
func (c *Controller) Finished(now time.Time, item Item, usedTokens int) {
	c.inFlight = max(c.inFlight-int64(item.Tokens), 0)
	q := c.byName[item.Team]
	if q == nil || item.Resume {
		return
	}
	q.inFlight = max(q.inFlight-int64(item.Tokens), 0)
	if usedTokens < item.Tokens {
		q.refill(now, c.config.Burst)
		unused := float64(item.Tokens - max(usedTokens, 0))
		q.level = min(burst(q.limits.Rate, c.config.Burst), q.level+unused)
	}
}

// Dispatch returns the requests to run now, in order, as far as slots reach,
// and the queued ones that are refused. Call it after every Finished,
// SetCapacity and SetTeam, and each 100 ms for limits that pass with time.
func (c *Controller) Dispatch(now time.Time) []Outcome {
	out := c.giveUp(now)
	for c.resumes.len() > 0 && c.fits(c.resumes.front().item.Tokens) {
		out = c.start(now, c.resumes.pop(), out)
	}
	if c.resumes.len() > 0 {
		return out // new work must not pass a resume that waits for slots
	}
	for _, q := range c.teams {
		q.refill(now, c.config.Burst)
	}
	for c.fits(1) {
		q, class := c.next(now)
		if q == nil || !c.fits(q.queue.front().item.Tokens) {
			return out
		}
		c.virtual[class] = max(c.virtual[class], q.tags[class])
		w := c.pop(q)
		before := c.inFlight
		if out = c.start(now, w, out); c.inFlight > before {
			q.level -= float64(w.item.Tokens)
			q.inFlight += int64(w.item.Tokens)
			q.tags[class] = c.virtual[class] + float64(w.item.Tokens)/q.limits.Weight
		}
	}
	return out
}

// RecheckQueued asks the recheck hook about every queued request and returns
// the refused ones. Call it when a contract changes or quiet hours start, so
// that a request that will not run learns it at once and not when slots come
// free.
func (c *Controller) RecheckQueued(now time.Time) []Outcome {
	out := c.recheckFifo(now, &c.resumes, nil)
	for _, q := range c.teams {
		before := q.queue.tokens
		out = c.recheckFifo(now, &q.queue, out)
		c.queued[q.limits.Priority] -= before - q.queue.tokens
	}
	return out
}

func (c *Controller) recheckFifo(now time.Time, f *fifo, out []Outcome) []Outcome {
	for range f.len() {
		w := f.pop()
		if r := c.recheck(now, w.item); r != nil {
			out = append(out, w.refused(now, *r))
		} else {
			f.push(w)
		}
	}
	return out
}

// fits tells whether a request has slots. One that is larger than the whole
// capacity runs alone.
func (c *Controller) fits(tokens int) bool {
	return c.inFlight+int64(tokens) <= c.capacity.Slots || c.inFlight == 0 && c.capacity.Slots > 0
}

// next returns the team whose head runs next, and the head's effective
// class: the highest class, and in it the least virtual start time. Service
// is counted for each class apart, and a team that enters a class starts
// at the class's virtual time: one whose requests aged into the class competes
// by share, without credit for its wait.
func (c *Controller) next(now time.Time) (*team, Priority) {
	var best *team
	bestClass, bestTag := classes, 0.0
	for _, q := range c.teams {
		if q.queue.len() == 0 || q.level <= 0 || q.full() {
			continue
		}
		class := q.class(now, c.config.AgingStep)
		if tag := max(q.tags[class], c.virtual[class]); class < bestClass || class == bestClass && tag < bestTag {
			best, bestClass, bestTag = q, class, tag
		}
	}
	return best, bestClass
}

func (c *Controller) pop(q *team) waiting {
	w := q.queue.pop()
	c.queued[q.limits.Priority] -= int64(w.item.Tokens)
	return w
}

func (c *Controller) start(now time.Time, w waiting, out []Outcome) []Outcome {
	if r := c.recheck(now, w.item); r != nil {
		return append(out, w.refused(now, *r))
	}
	c.inFlight += int64(w.item.Tokens)
	return append(out, Outcome{Item: w.item, Waited: now.Sub(w.since)})
}

// giveUp refuses the requests that waited too long. Queues are in order of
// arrival, so only heads have to be looked at.
func (c *Controller) giveUp(now time.Time) []Outcome {
	var out []Outcome
	for c.resumes.len() > 0 && now.Sub(c.resumes.front().since) >= c.config.GiveUpAfter {
		w := c.resumes.pop()
		out = append(out, w.refused(now, *c.refuse(ReasonOverloaded, c.drain(c.resumes.tokens))))
	}
	for _, q := range c.teams {
		for q.queue.len() > 0 && now.Sub(q.queue.front().since) >= c.config.GiveUpAfter {
			q.refill(now, c.config.Burst)
			reason := ReasonOverloaded
			if q.level <= 0 || q.full() {
				reason = ReasonOverShare
			}
			w := c.pop(q)
			wait := max(q.ownWait(), c.drain(c.ahead(q)))
			out = append(out, w.refused(now, *c.refuse(reason, wait)))
		}
	}
	return out
}
