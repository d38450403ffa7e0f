package replica

import (
	"sync"

	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// Sink receives the results of one copy. Its methods are called by the worker
// of the peer, one at a time, and must not block.
type Sink interface {
	// Acknowledged reports that the peer holds all tokens with an index below end.
	Acknowledged(end int64)
	// Lost reports that the copy can no longer be used. It is the last call for this
	// copy. The generation can start another copy, which needs the whole journal.
	Lost(code Code)
}

// Copy is the sending side of one copy of one generation.
type Copy struct {
	peer       *peerWorker
	generation string
	id         int64
	sink       Sink

	mu       sync.Mutex          // guards the fields below
	head     *nodepb.JournalHead // nil once it has been sent
	first    int64               // index of the first pending token
	pending  []string
	finished bool // the generation is finished
	// finishReason is set with finished.
	finishReason string
	queued       bool // the copy is in the worker's ring or its waiting list
	ended        bool // lost, abandoned or completely acknowledged
}

// Append adds tokens to the end of the journal without blocking. It returns false
// if the copy has ended; the sink is then not called anymore, except for a call that
// is already in progress. Append itself ends the copy if the ring is full or the
// worker is stopped.
func (c *Copy) Append(tokens ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, tokens...)
	return c.enqueue()
}

// Finish marks the generation as finished with its finish reason. The sink still
// receives the acknowledgements of the remaining tokens, or the loss of the copy.
// Finish returns false in the same cases as Append.
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

// enqueue adds the copy to the ring unless it is queued already, so a copy takes up
// at most one entry, whatever the number of pending tokens. If the ring is full or
// closed, it ends the copy. It returns false if the copy has ended. The caller must
// hold mu.
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

// acknowledge notifies the sink that the peer holds the tokens below end, unless the
// copy had ended before. If the generation is finished and the peer holds all of it,
// the copy ends.
func (c *Copy) acknowledge(end int64, finished bool) {
	c.mu.Lock()
	ended := c.ended
	if finished {
		c.end()
	}
	c.mu.Unlock()
	if !ended {
		c.sink.Acknowledged(end)
	}
}

// updateInfo describes the content that take moved into an update.
type updateInfo struct {
	end      int64 // index after the last token of the update
	bytes    int   // approximate encoded size
	finished bool  // the update is the last of a finished generation
	// more reports whether tokens remain for a later batch.
	more bool
	// ended reports whether the copy has ended, so that there is nothing to send.
	ended bool
}

// take moves pending tokens into u up to a size of maxUpdateBytes, and at least one
// token whatever its size. If all pending tokens fit, it swaps the token slices of
// the copy and of u, which is reused, so that steady replication does not allocate.
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
	info := updateInfo{end: c.first + int64(n), bytes: size, more: n < len(c.pending)}
	u.GenerationId, u.CopyId, u.Head, u.FirstIndex = c.generation, c.id, c.head, c.first
	if info.more {
		u.Tokens = append(u.Tokens[:0], c.pending[:n]...)
		c.pending = c.pending[n:]
	} else {
		u.Tokens, c.pending = c.pending, u.Tokens[:0]
		u.Finished, info.finished = c.finished, c.finished
		u.FinishReason = c.finishReason
		c.queued = false
	}
	c.first, c.head = info.end, nil
	return info
}
