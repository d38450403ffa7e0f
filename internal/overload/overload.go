// Package overload decides which new streams a host refuses while more prompts are
// waiting than the engines can read in time, and when the clients of refused streams
// may retry.
//
// Load pattern: for some seconds clients send several times the number of prompts
// that the engines can read; all clients do, or those of one team only. An engine
// reads prompts one after the other, so each prompt that starts late delays all
// prompts behind it, until every answer misses its objective. A stream that cannot
// start in time is therefore refused immediately, so that admitted streams start in
// time. The refusal gives its client a retry time after those of the clients that were
// refused earlier.
//
// A Controller is safe for concurrent use; its methods take the current time as an
// argument and do no I/O.
package overload

import (
	"math"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/urgency"
)

const (
	// prefillBudgetFraction is the fraction of the first-event objective that the
	// expected wait and the prefill of the prompt may take together. The rest is a
	// margin for estimation errors.
	prefillBudgetFraction = 0.5
	// maxQueueFraction is the fraction of its client's remaining time that a stream may
	// wait in a queue. It also bounds the wait of streams without an objective and of
	// resumed streams.
	maxQueueFraction = 0.6
	// reservedMemoryFraction is the fraction of an engine's memory that is reserved
	// for teams that use no more than their share. The further a team exceeds its
	// share, the less of the reserved memory its streams may use.
	reservedMemoryFraction = 0.35
	// leastWaitFraction is the fraction of the expected time to the first event that passes at
	// least: an engine may be faster than others, or hold a part of the prompt.
	leastWaitFraction = 0.85
	// minRetryAfter is the shortest time after which a refused client may retry.
	minRetryAfter = 500 * time.Millisecond
	// lateMaxWait and lateMinFree are the longest wait and the smallest free fraction
	// of an engine's memory at which a stream is admitted that will miss its objective:
	// such streams get only the capacity left by those that can still be in time.
	lateMaxWait = 600 * time.Millisecond
	lateMinFree = 0.05
	// maxRetryFraction is the fraction of a client's remaining time after which it
	// retries at the latest. Clients do not accept retry times above a third of their
	// remaining time.
	maxRetryFraction = 0.33
	// rankMemory is how long streams of a rank are taken into account after the latest one.
	rankMemory = 20 * time.Second
	// leastPatience is the smallest part of the longest wait that a less urgent stream may
	// wait.
	leastPatience = 0.25
	// retrySpacing is the time between the retries of two clients, as a multiple of the
	// average time in which the engines read one prompt of this host. With 2, half of
	// the engines' prefill capacity is left for new clients.
	retrySpacing = 2.0
)

// Request describes a new stream and the estimates for the best engine for it.
type Request struct {
	Team string
	// Prefill is the expected time to read the prompt; QueueWait is the expected time
	// until the engine starts to read it.
	Prefill, QueueWait time.Duration
	// FreeMemory is the fraction of the engine's memory that remains free with the
	// stream on it. It is negative if the stream does not fit.
	FreeMemory float64
	// Objective is the objective for the time to the first event, 0 if there is none;
	// TimeLeft is the time left until the client or the route stops waiting.
	Objective, TimeLeft time.Duration
	// Late is set for a client that was refused before and retries too late to meet
	// the objective.
	Late bool
	// Resumed is set for a stream of which the client has already received a part.
	Resumed bool
	// Route is the kind of the request, and Rank how much less urgent it is than the most
	// urgent ones of its service.
	Route string
	Rank  int
	// EnginesPerHost is the number of engines divided by the number of hosts, which is
	// the average number of this host's prompts that are read in parallel.
	EnginesPerHost float64
}

// Decision is the decision on a Request.
type Decision struct {
	Admit bool
	// MaxWait is the longest wait in the queue with which the stream is admitted.
	MaxWait time.Duration
	// MemoryFull is set if the stream was refused for lack of memory and not for its
	// wait.
	MemoryFull bool
	// RetryAfter is the time after which the client may retry; it is set for a refusal.
	RetryAfter time.Duration
}

// Controller makes the admission decisions of one host. The zero value is ready to
// use.
type Controller struct {
	mu sync.Mutex // guards the fields below

	usage       teamUsage
	shares      urgency.Shares         // of the admitted streams, by route
	ranks       map[int]time.Time      // when a stream of each rank came last
	lastRetryAt time.Time              // latest retry time assigned to a refused client
	routeWaits  map[string]longestWait // by route
}

// Decide admits or refuses a stream. jitter is a random number in [0, 1) that keeps
// clients refused by different hosts from retrying at the same moment.
func (c *Controller) Decide(now time.Time, r Request, jitter float64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess := c.usage.excess(now, r.Team, r.Prefill)
	limit, minFree := r.maxWait(), math.Inf(-1)
	c.noteRank(now, r.Rank)
	c.shares.Asked(now, r.Route)
	if !r.Resumed {
		limit = time.Duration(float64(limit) / excess * c.patience(now, r))
		minFree = reservedMemoryFraction * (1 - 1/excess)
	}
	if r.Late && !r.Resumed {
		limit, minFree = min(limit, lateMaxWait), max(minFree, lateMinFree)
	}
	if r.QueueWait > limit || r.FreeMemory < minFree || r.hopeless() {
		return Decision{MaxWait: limit, MemoryFull: r.QueueWait <= limit && r.FreeMemory < minFree, RetryAfter: c.retryAfter(now, r, r.QueueWait-limit, jitter)}
	}
	c.usage.add(now, r.Team, r.Prefill)
	c.shares.Served(now, r.Route)
	return Decision{Admit: true, MaxWait: limit}
}

// patience returns the part of the longest wait with which a stream of its rank is admitted.
// Less urgent streams give way first, unless they are starved.
func (c *Controller) patience(now time.Time, r Request) float64 {
	rank := r.Rank - c.mostUrgentRank(now, r.Rank)
	if rank <= 0 || c.shares.Starved(now)[r.Route] {
		return 1
	}
	return max(leastPatience, urgency.Worth(rank))
}

func (c *Controller) noteRank(now time.Time, rank int) {
	if c.ranks == nil {
		c.ranks = map[int]time.Time{}
	}
	c.ranks[rank] = now
}

// mostUrgentRank returns the lowest rank among the streams that came lately. A configuration
// may have routes that are more urgent and that nobody uses.
func (c *Controller) mostUrgentRank(now time.Time, rank int) int {
	for r, at := range c.ranks {
		if now.Sub(at) < rankMemory {
			rank = min(rank, r)
		}
	}
	return rank
}

// hopeless reports whether the client will have given up before the engine has read the
// prompt. If it reads it nevertheless, others wait for it who still have the time.
func (r Request) hopeless() bool {
	return time.Duration(leastWaitFraction*float64(r.QueueWait+r.Prefill)) > r.TimeLeft
}

// maxWait returns the longest wait in the queue with which a stream of a team that does
// not exceed its share is admitted. It is never negative, so a stream is never refused
// for its wait when an engine is free.
func (r Request) maxWait() time.Duration {
	longest := time.Duration(maxQueueFraction * float64(r.TimeLeft))
	if r.Objective <= 0 || r.Resumed {
		return max(0, longest)
	}
	return max(0, min(longest, time.Duration(prefillBudgetFraction*float64(r.Objective))-r.Prefill))
}

// retryAfter returns the time after which a refused client may retry: at least
// excessWait, the part of the current wait above the limit, so that the engines can
// read the prompts that cause it first, and later than the retry times of clients that
// were refused earlier. If that is later than the client accepts, it returns a random
// time in the second half of the accepted range.
func (c *Controller) retryAfter(now time.Time, r Request, excessWait time.Duration, jitter float64) time.Duration {
	latest := max(minRetryAfter, time.Duration(maxRetryFraction*float64(r.TimeLeft)))
	spacing := time.Duration(retrySpacing * float64(r.Prefill) / max(r.EnginesPerHost, 1))
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
