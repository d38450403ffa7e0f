// Package overload decides which new streams a host refuses while engines have more
// prompts to read than they can read in time, and when the clients of refused streams
// may retry.
//
// Load pattern: for some seconds clients send several times the number of prompts
// that the engines can read; all clients do, or those of one team only. An engine
// reads prompts one after the other, so each prompt that starts late delays all
// prompts behind it, until every answer misses its objective. A stream that cannot
// start in time is therefore refused immediately, so that admitted streams start in
// time. Its client is told to retry after the clients that were refused before it.
//
// A Controller is safe for concurrent use; its methods take the current time as an
// argument and do no I/O.
package overload

import (
	"math"
	"sync"
	"time"
)

const (
	// prefillBudgetFraction is the fraction of the first-event objective that the
	// expected wait and the prefill of the prompt may take together. The rest is a
	// margin for errors of the estimate.
	prefillBudgetFraction = 0.5
	// maxQueueFraction is the part of the time that its client waits which a stream
	// may spend in a queue, if it has no objective or has missed it already.
	maxQueueFraction = 0.6
	// reservedMemoryFraction is the fraction of an engine's memory that is reserved
	// for teams that use no more than their share. A team gets less access to it the
	// further it exceeds its share.
	reservedMemoryFraction = 0.35
	// minRetryAfter is the shortest time after which a refused client returns.
	minRetryAfter = 500 * time.Millisecond
	// lateMaxWait and lateMinFree are the longest wait and the smallest free fraction
	// of an engine's memory with which a stream is admitted that has already missed its
	// objective: such streams get only the capacity left by those that can still be in
	// time.
	lateMaxWait = 600 * time.Millisecond
	lateMinFree = 0.05
	// maxRetryFraction is the fraction of its remaining time after which a client
	// retries at the latest. Clients wait no longer than a third of that time.
	maxRetryFraction = 0.33
	// retrySpacing is the time between two retrying clients, as a multiple of the time
	// in which the engines read one prompt of this host. With 2, half of the engines'
	// prefill capacity is left to new clients.
	retrySpacing = 2.0
)

// Request describes a new stream and the estimates for the best engine for it.
type Request struct {
	Team string
	// Prefill is the expected time to read the prompt; QueueWait is the expected time until
	// the engine starts to read it.
	Prefill, QueueWait time.Duration
	// FreeMemory is the fraction of the engine's memory that remains free with the stream
	// on it. It is negative if the stream does not fit.
	FreeMemory float64
	// Objective is the objective for the time to the first event, 0 if there is none;
	// TimeLeft is the time that the client will still wait.
	Objective, TimeLeft time.Duration
	// Late is set for a client that was refused before and retries too late to meet
	// the objective.
	Late bool
	// Resumed is set for a stream of which the client has already received a part.
	Resumed bool
	// EnginesPerHost is the number of engines per host, which is the number of this host's
	// prompts that are read in parallel.
	EnginesPerHost float64
}

// Decision is the decision on an Offer.
type Decision struct {
	Admit bool
	// MaxWait is the longest wait with which the stream would have been admitted.
	MaxWait time.Duration
	// MemoryFull is set if the stream was refused only for lack of memory.
	MemoryFull bool
	// RetryAfter is the time after which the client may retry; it is set for a refusal.
	RetryAfter time.Duration
}

// Controller makes the admission decisions of one host. The zero value is ready to
// use.
type Controller struct {
	mu sync.Mutex
	// mu guards usage, lastRetryAt, which is the latest retry time assigned to a
	// refused client, and routeWaits, which is keyed by route.
	usage       teamUsage
	lastRetryAt time.Time
	routeWaits  map[string]longestWait
}

// Decide admits or refuses a stream. jitter is a random number in [0, 1) that keeps
// clients refused by different hosts from retrying at the same moment.
func (c *Controller) Decide(now time.Time, o Request, jitter float64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess := c.usage.excess(now, o.Team, o.Prefill)
	limit, minFree := o.maxWait(), math.Inf(-1)
	if !o.Resumed {
		limit = time.Duration(float64(limit) / excess)
		minFree = reservedMemoryFraction * (1 - 1/excess)
	}
	if o.Late && !o.Resumed {
		limit, minFree = min(limit, lateMaxWait), max(minFree, lateMinFree)
	}
	if o.QueueWait > limit || o.FreeMemory < minFree {
		return Decision{MaxWait: limit, MemoryFull: o.QueueWait <= limit, RetryAfter: c.retryAfter(now, o, o.QueueWait-limit, jitter)}
	}
	c.usage.add(now, o.Team, o.Prefill)
	return Decision{Admit: true, MaxWait: limit}
}

// maxWait returns the longest wait with which a stream of a team within its share is
// admitted. It is never negative, so a stream is never refused for its wait when an
// engine is free.
func (o Request) maxWait() time.Duration {
	longest := time.Duration(maxQueueFraction * float64(o.TimeLeft))
	if o.Objective <= 0 || o.Resumed {
		return max(0, longest)
	}
	return max(0, min(longest, time.Duration(prefillBudgetFraction*float64(o.Objective))-o.Prefill))
}

// retryAfter assigns the next retry time to a refused client: not before the engines
// have worked off the current wait above the limit, and after the clients that were
// refused earlier. excessWait is the wait above the limit.
func (c *Controller) retryAfter(now time.Time, o Request, excessWait time.Duration, jitter float64) time.Duration {
	latest := max(minRetryAfter, time.Duration(maxRetryFraction*float64(o.TimeLeft)))
	spacing := time.Duration(retrySpacing * float64(o.Prefill) / max(o.EnginesPerHost, 1))
	retryAt := now.Add(max(excessWait, minRetryAfter))
	if next := c.lastRetryAt.Add(spacing); next.After(retryAt) {
		retryAt = next
	}
	if retryAt.Sub(now) > latest {
		// More clients are waiting to retry than can be served before they time out.
		return latest/2 + time.Duration(jitter*float64(latest/2))
	}
	c.lastRetryAt = retryAt
	return min(latest, retryAt.Sub(now)+time.Duration(jitter*float64(spacing)))
}
