package engine

import (
	"container/heap"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// sweepInterval is the interval between searches for streams whose retention
// period has expired.
const sweepInterval = time.Second

// scheduler implements continuous batching. The methods take the current time as an
// argument instead of reading the clock. It is not safe for concurrent use.
type scheduler struct {
	cfg         Config
	cache       *prefixCache
	lastArrival uint64 // order of arrival of the newest stream
	streams     map[string]*stream
	waiting     waitQueue
	prefill     prefillList
	due         dueQueue
	// prefillAccountedUntil is the time up to which the progress of the prefill
	// has been computed.
	prefillAccountedUntil time.Time
	nextSweep             time.Time
	// onAdmit is called for each stream that enters the batch.
	onAdmit func(*stream)
}

func newScheduler(cfg Config, cache *prefixCache) *scheduler {
	return &scheduler{cfg: cfg, cache: cache, streams: map[string]*stream{}, onAdmit: func(*stream) {}}
}

func (c *scheduler) running() int { return len(c.prefill) + len(c.due) }

// submit queues a stream. The caller must make sure that its id is not in use.
func (c *scheduler) submit(now time.Time, s *stream) {
	c.lastArrival++
	s.arrival, s.idleSince, s.deliveredEnd = c.lastArrival, now, s.firstIndex
	c.streams[s.id] = s
	heap.Push(&c.waiting, s)
}

// step advances the batch to now and returns the time at which it must be called
// next. The zero time means that no call is needed before the next submit.
func (c *scheduler) step(now time.Time) time.Time {
	c.admit(now)
	c.runPrefill(now)
	for c.generateDueTokens(now) {
		c.admit(now)
		c.runPrefill(now)
	}
	c.sweep(now)
	return c.nextStep()
}

func (c *scheduler) nextStep() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(c.streams) > 0 {
		consider(c.nextSweep)
	}
	if len(c.due) > 0 {
		consider(c.due[0].nextAt)
	}
	if len(c.prefill) > 0 {
		consider(c.prefillAccountedUntil.Add(c.prefillTime(c.prefill[0].prefillLeft)))
	}
	return next
}

func (c *scheduler) prefillTime(tokens float64) time.Duration {
	// Round up, so that a step at the resulting time completes the prefill.
	return time.Duration(tokens/c.cfg.PrefillTokensPerSecond*float64(time.Second)) + 1
}

// admit moves streams from the queue to the batch until the batch is full.
func (c *scheduler) admit(now time.Time) {
	for len(c.waiting) > 0 && c.running() < c.cfg.MaxRunning {
		s := heap.Pop(&c.waiting).(*stream)
		if len(c.prefill) == 0 {
			c.prefillAccountedUntil = now
		}
		s.phase = phasePrefill
		s.cachedTokens = c.cache.cachedTokens(s.blocks)
		s.prefillLeft = float64(s.promptTokens - s.cachedTokens)
		c.prefill.insert(s)
		c.onAdmit(s)
	}
}

// runPrefill prefills as many prompt tokens as the time since the last call allows.
func (c *scheduler) runPrefill(now time.Time) {
	for len(c.prefill) > 0 {
		s := c.prefill[0]
		done := c.prefillAccountedUntil.Add(c.prefillTime(s.prefillLeft))
		if s.prefillLeft > 0 && done.After(now) {
			prefilled := now.Sub(c.prefillAccountedUntil).Seconds() * c.cfg.PrefillTokensPerSecond
			s.prefillLeft = max(0, s.prefillLeft-prefilled)
			c.prefillAccountedUntil = now
			return
		}
		if s.prefillLeft > 0 {
			c.prefillAccountedUntil = done
		}
		c.prefill = c.prefill[1:]
		c.cache.store(now, s.blocks)
		s.phase, s.nextAt = phaseDecode, now
		heap.Push(&c.due, s)
	}
}

// generateDueTokens generates the tokens that are due and reports whether a stream
// finished.
func (c *scheduler) generateDueTokens(now time.Time) (finished bool) {
	for len(c.due) > 0 && !c.due[0].nextAt.After(now) {
		s := c.due[0]
		if s.nextIndex() < s.length {
			token := s.state.Token(c.cfg.Salt)
			s.tokens = append(s.tokens, token)
			s.state = s.state.Append(token)
		}
		if s.nextIndex() >= s.length {
			heap.Pop(&c.due)
			s.phase, s.idleSince = phaseFinished, now
			finished = true
		} else {
			c.schedule(now, s)
		}
		s.wakeReaders()
	}
	return finished
}

// schedule sets the time of the next token. After a pause of the process,
// generation continues at the normal rate instead of producing the backlog in a
// burst.
func (c *scheduler) schedule(now time.Time, s *stream) {
	s.nextAt = s.nextAt.Add(c.cfg.TokenInterval)
	if s.nextAt.Before(now.Add(-c.cfg.TokenInterval)) {
		s.nextAt = now.Add(c.cfg.TokenInterval)
	}
	heap.Fix(&c.due, 0)
}

// cancel ends a stream and removes it.
func (c *scheduler) cancel(s *stream) {
	switch s.phase {
	case phaseQueued:
		c.waiting.remove(s)
	case phasePrefill:
		c.prefill.remove(s)
	case phaseDecode:
		c.due.remove(s)
	}
	s.phase = phaseCancelled
	delete(c.streams, s.id)
	s.wakeReaders()
}

// sweep cancels streams that have had no reader for the retention period.
func (c *scheduler) sweep(now time.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	for _, s := range c.streams {
		if len(s.readers) == 0 && now.Sub(s.idleSince) >= c.cfg.Retention {
			c.cancel(s)
		}
	}
}

// drained reports whether all streams have finished and have been read to their end
// or are no longer retained.
func (c *scheduler) drained() bool {
	for _, s := range c.streams {
		if !s.fullyDelivered() || len(s.readers) > 0 {
			return false
		}
	}
	return true
}

func (c *scheduler) load(now time.Time) backendapi.Load {
	pendingTokens := 0.0
	for _, s := range c.prefill {
		pendingTokens += s.prefillLeft
	}
	for _, s := range c.waiting {
		pendingTokens += float64(s.promptTokens) // an upper bound: the cache is looked up on admission
	}
	return backendapi.Load{
		MeasuredAt:             now,
		Running:                c.running(),
		Waiting:                len(c.waiting),
		MaxRunning:             c.cfg.MaxRunning,
		WaitingTokens:          int(pendingTokens),
		TokensPerSecond:        float64(time.Second) / float64(c.cfg.TokenInterval),
		PrefillTokensPerSecond: c.cfg.PrefillTokensPerSecond,
	}
}
