package replica

import (
	"sync"

	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// Sink receives the results of one copy. Its methods are called by the worker
// of the peer, one at a time, and must not block.
type Sink interface {
	// Acknowledged reports that the peer holds all tokens with an index below
	// through.
	Acknowledged(through int64)
	// Lost reports that the copy can no longer be used. The generation can start
	// another copy with its whole journal. No further method is called.
	Lost(code Code)
}

// Copy is the sending side of one copy of one generation.
type Copy struct {
	peer       *peerWorker
	generation string
	id         int64
	sink       Sink

	mu sync.Mutex
	// mu guards the fields below.
	head     *nodepb.JournalHead // nil once it has been sent
	first    int64               // index of the first pending token
	pending  []string
	finished bool // the generation is finished
	// finishReason is set with finished.
	finishReason string
	queued       bool // the copy is in the ring or in the worker's waiting list
	ended        bool // lost, abandoned or completely acknowledged
}

// Append adds tokens after those appended before. It returns false if the copy
// has ended; the sink is then not called anymore. It does not block.
func (c *Copy) Append(tokens ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, tokens...)
	return c.enqueue()
}

// Finish marks the generation as finished with its finish reason. The sink is
// called until all tokens are acknowledged or the copy is lost. Finish returns
// false if the copy has ended.
func (c *Copy) Finish(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
	c.finishReason = reason
	return c.enqueue()
}

// Abandon ends the copy without calling the sink, except for a call that is
// already in progress.
func (c *Copy) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// enqueue adds the copy to the ring unless it is queued already; a copy takes up
// one entry, whatever the number of pending tokens. It returns false if the copy
// has ended. The caller must hold mu.
func (c *Copy) enqueue() bool {
	if c.ended || c.queued {
		return !c.ended
	}
	if !c.peer.ring.TryPush(c) {
		c.end()
		c.peer.stats.lost.Add(1)
		if c.peer.ring.Len() == RingCapacity { // otherwise the worker was stopped
			c.peer.stats.overflows.Add(1)
		}
		return false
	}
	c.queued = true
	return true
}

// end marks the copy as ended and frees its content. The caller must hold mu.
func (c *Copy) end() {
	c.ended = true
	c.head, c.pending = nil, nil
}

// markLost ends the copy and notifies the sink unless the copy had ended before.
func (c *Copy) markLost(code Code) {
	c.mu.Lock()
	ended := c.ended
	c.end()
	c.mu.Unlock()
	if !ended {
		c.peer.stats.lost.Add(1)
		c.sink.Lost(code)
	}
}

// acknowledge notifies the sink unless the copy has ended, and ends the copy if
// the peer has all of a finished generation.
func (c *Copy) acknowledge(through int64, finished bool) {
	c.mu.Lock()
	ended := c.ended
	if finished {
		c.end()
	}
	c.mu.Unlock()
	if !ended {
		c.sink.Acknowledged(through)
	}
}

// updateInfo describes the content that take moved into an update.
type updateInfo struct {
	through  int64
	bytes    int
	finished bool
	// more reports whether tokens remain for a later batch.
	more bool
	// ended reports whether the copy has ended, so that there is nothing to send.
	ended bool
}

// take moves pending tokens of at most maxUpdateBytes, but at least one, into u.
// If all of them fit, it swaps the token slices of the copy and of the reused
// update, so that steady replication does not allocate.
func (c *Copy) take(u *nodepb.JournalUpdate) updateInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return updateInfo{ended: true}
	}
	size, n := updateOverheadBytes+len(c.head.GetBody()), 0
	for n < len(c.pending) && (n == 0 || size+len(c.pending[n]) <= maxUpdateBytes) {
		size += len(c.pending[n]) + tokenOverheadBytes
		n++
	}
	t := updateInfo{through: c.first + int64(n), bytes: size, more: n < len(c.pending)}
	u.GenerationId, u.CopyId, u.Head, u.FirstIndex = c.generation, c.id, c.head, c.first
	if t.more {
		u.Tokens = append(u.Tokens[:0], c.pending[:n]...)
		c.pending = c.pending[n:]
	} else {
		u.Tokens, c.pending = c.pending, u.Tokens[:0]
		u.Finished, t.finished = c.finished, c.finished
		u.FinishReason = c.finishReason
		c.queued = false
	}
	c.first, c.head = t.through, nil
	return t
}
