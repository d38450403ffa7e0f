package engine

import (
	"container/heap"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// sweepInterval is how often streams whose retention ended are looked for.
const sweepInterval = time.Second

// scheduler is the continuous batch. It has no clock: now is an argument.
type scheduler struct {
	cfg     Config
	cache   *prefixCache
	arrival uint64
	streams map[string]*stream
	waiting waitQueue
	prefill prefillList
	due     dueQueue
	// prefilledTo is the time up to which prefill work is accounted for.
	prefilledTo time.Time
	nextSweep   time.Time
	// admitted is called for each stream that enters the batch.
	admitted func(*stream)
}

func newScheduler(cfg Config, cache *prefixCache) *scheduler {
	return &scheduler{cfg: cfg, cache: cache, streams: map[string]*stream{}, admitted: func(*stream) {}}
}

func (c *scheduler) running() int { return len(c.prefill) + len(c.due) }

// submit queues a stream. The caller has checked that its id is free.
func (c *scheduler) submit(now time.Time, s *stream) {
	c.arrival++
	s.arrival, s.idleSince, s.delivered = c.arrival, now, s.first
	c.streams[s.id] = s
	heap.Push(&c.waiting, s)
}

// step brings the batch up to now and returns when to call it again; zero means
// after the next submit.
func (c *scheduler) step(now time.Time) time.Time {
	c.admit(now)
	c.readPrompts(now)
	for c.emit(now) {
		c.admit(now)
		c.readPrompts(now)
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
		consider(c.prefilledTo.Add(c.prefillTime(c.prefill[0].prefillLeft)))
	}
	return next
}

func (c *scheduler) prefillTime(tokens float64) time.Duration {
	// Rounded up, so that a step at the returned time completes the prompt.
	return time.Duration(tokens/c.cfg.PrefillTokensPerSecond*float64(time.Second)) + 1
}

// admit fills the batch from the queue.
func (c *scheduler) admit(now time.Time) {
	for len(c.waiting) > 0 && c.running() < c.cfg.MaxRunning {
		s := heap.Pop(&c.waiting).(*stream)
		if len(c.prefill) == 0 {
			c.prefilledTo = now
		}
		s.phase = phasePrefill
		s.cachedTokens = c.cache.cached(s.blocks)
		s.prefillLeft = float64(s.promptTokens - s.cachedTokens)
		c.prefill.insert(s)
		c.admitted(s)
	}
}

// readPrompts spends the prefill time that has passed.
func (c *scheduler) readPrompts(now time.Time) {
	for len(c.prefill) > 0 {
		s := c.prefill[0]
		done := c.prefilledTo.Add(c.prefillTime(s.prefillLeft))
		if s.prefillLeft > 0 && done.After(now) {
			spent := now.Sub(c.prefilledTo).Seconds() * c.cfg.PrefillTokensPerSecond
			s.prefillLeft = max(0, s.prefillLeft-spent)
			c.prefilledTo = now
			return
		}
		if s.prefillLeft > 0 {
			c.prefilledTo = done
		}
		c.prefill = c.prefill[1:]
		c.cache.store(now, s.blocks)
		s.phase, s.nextAt = phaseDecode, now
		heap.Push(&c.due, s)
	}
}

// emit generates the tokens that are due and reports whether a stream finished.
func (c *scheduler) emit(now time.Time) (finished bool) {
	for len(c.due) > 0 && !c.due[0].nextAt.After(now) {
		s := c.due[0]
		if s.next() < s.length {
			token := s.state.Token(c.cfg.Salt)
			s.tokens = append(s.tokens, token)
			s.state = s.state.Append(token)
		}
		if s.next() >= s.length {
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

// schedule sets the time of the next token. A process that was paused goes on
// at the normal rate instead of generating the backlog at once.
func (c *scheduler) schedule(now time.Time, s *stream) {
	s.nextAt = s.nextAt.Add(c.cfg.TokenInterval)
	if s.nextAt.Before(now.Add(-c.cfg.TokenInterval)) {
		s.nextAt = now.Add(c.cfg.TokenInterval)
	}
	heap.Fix(&c.due, 0)
}

// cancel ends a stream and forgets it.
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

// sweep forgets streams without a reader whose retention ended.
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

// drained reports that all streams finished and were read to their end or are
// no longer kept.
func (c *scheduler) drained() bool {
	for _, s := range c.streams {
		if !s.fullyDelivered() || len(s.readers) > 0 {
			return false
		}
	}
	return true
}

func (c *scheduler) load(now time.Time) backendapi.Load {
	unread := 0.0
	for _, s := range c.prefill {
		unread += s.prefillLeft
	}
	for _, s := range c.waiting {
		unread += float64(s.promptTokens) // an upper bound: the cache is looked up on admission
	}
	return backendapi.Load{
		MeasuredAt:             now,
		Running:                c.running(),
		Waiting:                len(c.waiting),
		MaxRunning:             c.cfg.MaxRunning,
		WaitingTokens:          int(unread),
		TokensPerSecond:        float64(time.Second) / float64(c.cfg.TokenInterval),
		PrefillTokensPerSecond: c.cfg.PrefillTokensPerSecond,
	}
}
