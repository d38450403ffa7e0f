package replica

import (
	"sync"

	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// Sink receives the results of one copy. Its methods are called from the worker
// of the peer, one at a time, and must not block.
type Sink interface {
	// Acknowledged reports that the peer holds all tokens with an index below
	// through.
	Acknowledged(through int64)
	// Lost reports that the copy is unusable from now on. The generation can
	// start another one with its whole journal. No call follows.
	Lost(code Code)
}

// Copy is the sending side of one copy of one generation.
type Copy struct {
	peer       *peer
	generation string
	id         int64
	sink       Sink

	mu sync.Mutex
	// mu guards the fields below.
	head     *nodepb.JournalHead // until it is sent
	first    int64               // index of the first pending token
	pending  []string
	finished bool // the generation is finished
	// finishReason is set with finished.
	finishReason string
	queued       bool // the copy is in the ring or in the worker's list
	ended        bool // lost, abandoned or completely acknowledged
}

// Append adds the tokens that follow those appended before. It returns false if
// the copy is lost; the sink is then not called any more. It does not block.
func (c *Copy) Append(tokens ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, tokens...)
	return c.enqueue()
}

// Finish reports the end of the generation and its finish reason. The sink gets
// one more call.
func (c *Copy) Finish(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
	c.finishReason = reason
	return c.enqueue()
}

// Abandon ends the copy without a call of the sink, except for one that is
// already under way.
func (c *Copy) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// enqueue puts the copy into the ring once, however many tokens are pending.
// It is called with mu held.
func (c *Copy) enqueue() bool {
	if c.ended || c.queued {
		return !c.ended
	}
	if !c.peer.ring.TryPush(c) {
		c.end()
		c.peer.stats.lost.Add(1)
		if c.peer.ring.Len() == RingCapacity { // else the worker was stopped
			c.peer.stats.overflows.Add(1)
		}
		return false
	}
	c.queued = true
	return true
}

// end is called with mu held.
func (c *Copy) end() {
	c.ended = true
	c.head, c.pending = nil, nil
}

// lose ends the copy and tells the sink.
func (c *Copy) lose(code Code) {
	c.mu.Lock()
	ended := c.ended
	c.end()
	c.mu.Unlock()
	if !ended {
		c.peer.stats.lost.Add(1)
		c.sink.Lost(code)
	}
}

// acknowledge tells the sink unless the copy ended.
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

// taken is what take moved into an update.
type taken struct {
	through  int64
	bytes    int
	finished bool
	// more means that tokens are left for a later batch.
	more bool
	// ended means that the copy has nothing to send because it ended.
	ended bool
}

// take moves pending tokens of at most maxUpdateBytes into u. It exchanges the
// token slices of the copy and of the reused update, so that a steady stream
// allocates nothing.
func (c *Copy) take(u *nodepb.JournalUpdate) taken {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return taken{ended: true}
	}
	size, n := updateOverheadBytes+len(c.head.GetBody()), 0
	for n < len(c.pending) && (n == 0 || size+len(c.pending[n]) <= maxUpdateBytes) {
		size += len(c.pending[n]) + tokenOverheadBytes
		n++
	}
	t := taken{through: c.first + int64(n), bytes: size, more: n < len(c.pending)}
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
