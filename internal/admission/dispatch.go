package admission

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Offer queues a request or refuses it at once. A queued request later gets
// exactly one Outcome, unless it is cancelled.
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
			return c.refuse(ReasonOverloaded, c.drainTime(c.resumes.tokens)), nil
		}
		c.resumes.push(queuedItem{item, now})
		return nil, nil
	}
	q.recordOffered(now, item.Tokens)
	if r := c.shed(now, q, item); r != nil {
		return r, nil
	}
	q.queue.push(queuedItem{item, now})
	c.queued[q.limits.Priority] += int64(item.Tokens)
	return nil, nil
}

// shed refuses a request whose expected wait is too long or whose queue is full,
// and returns nil for any other request.
func (c *Controller) shed(now time.Time, q *team, item Item) *Refusal {
	q.refill(now, c.config.Burst)
	// A request larger than all slots runs alone, so it waits for all of them.
	own, shared := q.limitWait(), c.drainTime(c.tokensAhead(q)+min(int64(item.Tokens), c.capacity.Slots))
	reason, wait := ReasonOverloaded, shared
	if own > shared {
		reason, wait = ReasonOverShare, own
	}
	if wait <= c.config.MaxWait && q.queue.len() < c.config.QueueLimit {
		return nil
	}
	return c.refuse(reason, wait)
}

// tokensAhead estimates the queued tokens that run before a new request of q:
// the resumes, the higher classes, and the part of its own class that fair
// queueing serves while q's queue drains.
func (c *Controller) tokensAhead(q *team) int64 {
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

// drainTime returns the time until this many tokens fit into the slots in
// addition to the work in flight.
func (c *Controller) drainTime(tokens int64) time.Duration {
	if c.capacity.Slots <= 0 {
		return maxDuration
	}
	excess := c.inFlight + tokens - c.capacity.Slots
	if excess <= 0 {
		return 0
	}
	return seconds(float64(excess) / c.capacity.Rate)
}

// refuse returns a refusal whose retry time is derived from the wait. Jitter keeps
// refused callers from retrying all at once.
func (c *Controller) refuse(reason Reason, wait time.Duration) *Refusal {
	base := min(max(wait, c.config.MinRetry), c.config.MaxRetry)
	jitter := time.Duration(c.rng.Float64() * retryJitterFraction * float64(base))
	return &Refusal{Reason: reason, RetryAfter: base + jitter, ExpectedWait: wait}
}

// Cancel removes a queued request whose caller has disconnected. It reports
// whether the request was queued.
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

// Finished releases the slots of a dispatched request. The unused part of its
// estimate is returned to the team's token bucket.
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
		q.level = min(burstTokens(q.limits.Rate, c.config.Burst), q.level+unused)
	}
}

// Dispatch returns the requests to run now, in order, as many as fit into the free
// slots, and the queued requests that are refused. Call it after every Finished,
// SetCapacity and SetTeam, and every 100 ms for limits that change with time.
func (c *Controller) Dispatch(now time.Time) []Outcome {
	out := c.refuseTimedOut(now)
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
		q, class := c.nextTeam(now)
		if q == nil || !c.fits(q.queue.front().item.Tokens) {
			return out
		}
		c.virtualTime[class] = max(c.virtualTime[class], q.finishTags[class])
		w := c.pop(q)
		before := c.inFlight
		if out = c.start(now, w, out); c.inFlight > before {
			q.level -= float64(w.item.Tokens)
			q.inFlight += int64(w.item.Tokens)
			q.finishTags[class] = c.virtualTime[class] + float64(w.item.Tokens)/q.limits.Weight
		}
	}
	return out
}

// RecheckQueued calls the recheck hook for every queued request and returns the
// refused ones. Call it when a contract changes or quiet hours start, so that a
// request that will not run is refused at once and not when slots become free.
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

// fits reports whether there are slots for a request. One that is larger than
// the whole capacity runs alone.
func (c *Controller) fits(tokens int) bool {
	return c.inFlight+int64(tokens) <= c.capacity.Slots || c.inFlight == 0 && c.capacity.Slots > 0
}

// nextTeam returns the team whose first queued request runs next, and the
// effective class of that request. The highest class goes first and, within a
// class, the lowest virtual start time. Each class has its own virtual time, at
// which a team starts when it enters the class. A team whose requests aged into
// the class therefore competes by share, without credit for its wait.
func (c *Controller) nextTeam(now time.Time) (*team, Priority) {
	var best *team
	bestClass, bestTag := numClasses, 0.0
	for _, q := range c.teams {
		if q.queue.len() == 0 || q.level <= 0 || q.atSlotLimit() {
			continue
		}
		class := q.class(now, c.config.AgingStep)
		if tag := max(q.finishTags[class], c.virtualTime[class]); class < bestClass || class == bestClass && tag < bestTag {
			best, bestClass, bestTag = q, class, tag
		}
	}
	return best, bestClass
}

func (c *Controller) pop(q *team) queuedItem {
	w := q.queue.pop()
	c.queued[q.limits.Priority] -= int64(w.item.Tokens)
	return w
}

func (c *Controller) start(now time.Time, w queuedItem, out []Outcome) []Outcome {
	if r := c.recheck(now, w.item); r != nil {
		return append(out, w.refused(now, *r))
	}
	c.inFlight += int64(w.item.Tokens)
	return append(out, Outcome{Item: w.item, Waited: now.Sub(w.queuedAt)})
}

// refuseTimedOut refuses the requests that waited for Config.GiveUpAfter. Queues
// are in order of arrival, so only their first requests are checked.
func (c *Controller) refuseTimedOut(now time.Time) []Outcome {
	var out []Outcome
	for c.resumes.len() > 0 && now.Sub(c.resumes.front().queuedAt) >= c.config.GiveUpAfter {
		w := c.resumes.pop()
		out = append(out, w.refused(now, *c.refuse(ReasonOverloaded, c.drainTime(c.resumes.tokens))))
	}
	for _, q := range c.teams {
		for q.queue.len() > 0 && now.Sub(q.queue.front().queuedAt) >= c.config.GiveUpAfter {
			q.refill(now, c.config.Burst)
			reason := ReasonOverloaded
			if q.level <= 0 || q.atSlotLimit() {
				reason = ReasonOverShare
			}
			w := c.pop(q)
			wait := max(q.limitWait(), c.drainTime(c.tokensAhead(q)))
			out = append(out, w.refused(now, *c.refuse(reason, wait)))
		}
	}
	return out
}
