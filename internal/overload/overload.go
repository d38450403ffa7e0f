// Package overload decides which new streams a host turns away while engines
// have more prompts to read than they can read in time, and when the clients of
// those may come back.
//
// Load pattern: for some seconds clients send several times the prompts that the
// engines can read, all of them or one team alone. An engine reads prompts one
// after the other, so that each prompt that begins late makes all behind it late
// too, until every answer misses its objective. A stream that cannot begin in
// time is therefore refused at once, so that those that are admitted begin in
// time; its client is told to come back in its turn, after those that were
// refused before it.
//
// A Controller is safe for concurrent use; it takes the time and does no I/O.
package overload

import (
	"math"
	"sync"
	"time"
)

const (
	// beginPart is the part of the objective for the first event that the
	// expected wait and the reading of the prompt may take together. The rest is
	// left for what the estimate misses.
	beginPart = 0.5
	// longestPart is the part of the time that its client waits which a stream
	// may spend in a queue, if it has no objective or has missed it already.
	longestPart = 0.6
	// sharedRoom is the part of an engine's memory that is left to teams which use
	// no more than their share.
	sharedRoom = 0.35
	// leastReturn is the shortest time after which a refused client returns.
	leastReturn = 500 * time.Millisecond
	// lateWait and lateRoom are the longest wait and the free part of an engine's
	// memory with which a stream is admitted that has missed its objective: it gets
	// what those that can still be in time leave.
	lateWait = 600 * time.Millisecond
	lateRoom = 0.05
	// returnPart is the part of its remaining time after which a client returns
	// at the latest; clients do not wait longer than a third of that time.
	returnPart = 0.33
	// returnSpacing is the time between two clients that return, as a multiple of
	// the time in which the engines read one prompt of this host: the other half
	// of what they can read is left to new clients.
	returnSpacing = 2.0
)

// Offer is a new stream and what its best engine promises.
type Offer struct {
	Team string
	// Work is the expected time to read its prompt, Wait the time until the
	// engine begins with it.
	Work, Wait time.Duration
	// Free is the part of the engine's memory that is free beside the stream; it
	// is negative if the stream does not fit.
	Free float64
	// Target is the objective for the first event, 0 if there is none, and Left
	// the time that the client still waits.
	Target, Left time.Duration
	// Late is set for a client that was refused before and comes back too late for
	// the objective.
	Late bool
	// Continues is set for a stream of which the client has a part already.
	Continues bool
	// Readers is the number of engines for each host, by which prompts of this
	// host are read side by side.
	Readers float64
}

// Verdict is the answer to an Offer.
type Verdict struct {
	Admit bool
	// Limit is the longest wait with which the stream would have been admitted.
	Limit time.Duration
	// Full is set for a refusal for lack of memory alone.
	Full bool
	// RetryAfter is set for a refusal.
	RetryAfter time.Duration
}

// Controller decides for one host.
type Controller struct {
	mu sync.Mutex
	// shares, lastReturn, the time at which the client that was refused last
	// returns, and patience, by route, are guarded by mu.
	shares     shares
	lastReturn time.Time
	patience   map[string]patience
}

// Decide admits a stream or refuses it. spread in [0, 1) is a random number that
// keeps clients which other hosts refuse from returning in the same moment.
func (c *Controller) Decide(now time.Time, o Offer, spread float64) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	over := c.shares.over(now, o.Team, o.Work)
	limit, room := o.limit(), math.Inf(-1)
	if !o.Continues {
		limit = time.Duration(float64(limit) / over)
		room = sharedRoom * (1 - 1/over)
	}
	if o.Late && !o.Continues {
		limit, room = min(limit, lateWait), max(room, lateRoom)
	}
	if o.Wait > limit || o.Free < room {
		return Verdict{Limit: limit, Full: o.Wait <= limit, RetryAfter: c.retryAfter(now, o, o.Wait-limit, spread)}
	}
	c.shares.add(now, o.Team, o.Work)
	return Verdict{Admit: true, Limit: limit}
}

// limit is the longest wait with which a stream of a team that uses no more than
// its share is admitted. One for which an engine is free is always admitted.
func (o Offer) limit() time.Duration {
	longest := time.Duration(longestPart * float64(o.Left))
	if o.Target <= 0 || o.Continues {
		return max(0, longest)
	}
	return max(0, min(longest, time.Duration(beginPart*float64(o.Target))-o.Work))
}

// retryAfter gives each refused client the next turn: not before the engines have
// read what is above the limit now, and after the clients refused before.
func (c *Controller) retryAfter(now time.Time, o Offer, above time.Duration, spread float64) time.Duration {
	latest := max(leastReturn, time.Duration(returnPart*float64(o.Left)))
	spacing := time.Duration(returnSpacing * float64(o.Work) / max(o.Readers, 1))
	turn := now.Add(max(above, leastReturn))
	if next := c.lastReturn.Add(spacing); next.After(turn) {
		turn = next
	}
	if turn.Sub(now) > latest {
		// More clients wait for their turn than can be served while they wait.
		return latest/2 + time.Duration(spread*float64(latest/2))
	}
	c.lastReturn = turn
	return min(latest, turn.Sub(now)+time.Duration(spread*float64(spacing)))
}
