package main

import (
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/zeebo/xxh3"
)

// stream is the engine's side of one attempt.
type stream struct {
	id         ident.AttemptID
	answer     *answer
	engine     *engine
	arrival    int
	resume     bool
	first      int // index of the first token that the stream delivers
	skip       int // tokens to generate again before first; only if policy.restart is set
	prefixes   []uint64
	accepted   int // number of answer tokens appended to the prompt
	textDigest uint64

	cached           int
	prefillStartedAt time.Duration
	computed         int // uncached prompt tokens processed by the prefill
	tokens           []string
	inBatch          bool
	decoding         bool
	finished         bool
	removed          bool
	conn             *connection
	// falseAlarm is set if an earlier stream would have continued the answer.
	falseAlarm bool
	repeated   int // answer tokens that were generated again
	used       int // number of tokens that the journal accepted
}

// connection is a connection from a node to a stream.
type connection struct {
	stream *stream
	next   int // index of the next token to send
	silent bool
	closed bool
}

func (st *stream) promptTokens() int { return st.answer.request.promptTokens + st.accepted }

// recordPrefill sets computed for a prefill that ends, complete or not.
func (st *stream) recordPrefill() {
	if st.engine.prefilling != st || st.computed > 0 {
		return
	}
	spent := int((st.engine.sim.now-st.prefillStartedAt).Seconds()*prefillRate + 0.5)
	st.computed = min(spent, st.promptTokens()-st.cached)
}

// nextToken returns the token that an engine generates after a text with the
// given digest. The digest reveals missing and repeated tokens and those of
// another text.
func nextToken(id ident.BackendID, digest uint64) string {
	return fmt.Sprintf(" %s:%08x", id, uint32(digest))
}

// extendDigest returns the digest of a text followed by token.
func extendDigest(digest uint64, token string) uint64 { return xxh3.HashStringSeed(token, digest) }

// produce generates one token and schedules the next one.
func (st *stream) produce() {
	if st.removed {
		return
	}
	e := st.engine
	if st.skip > 0 {
		st.skip--
		st.repeated++
	} else if st.next() < st.answer.request.output {
		token := nextToken(e.id, st.textDigest)
		st.textDigest = extendDigest(st.textDigest, token)
		st.tokens = append(st.tokens, token)
		st.flush()
	}
	if st.next() >= st.answer.request.output {
		st.finished = true
		e.freeSlot(st)
		e.sim.after(finishedRetention, func() {
			if e.streams[st.id] == st {
				delete(e.streams, st.id)
			}
		})
		return
	}
	e.sim.after(e.gap(), func() { e.runOrDefer(st.produce) })
}

// next returns the index of the next token that the stream will deliver.
func (st *stream) next() int { return st.first + len(st.tokens) }

// connect replaces the connection by a new one that starts at token from.
func (st *stream) connect(from int) {
	if st.conn != nil {
		st.conn.closed = true
	}
	st.conn = &connection{stream: st, next: from}
	st.flush()
}

// flush sends the tokens that the connection has not sent yet.
func (st *stream) flush() {
	c := st.conn
	if c == nil || c.silent || c.closed {
		return
	}
	for ; c.next < st.next(); c.next++ {
		index := c.next
		st.engine.sim.after(networkDelay, func() {
			if !c.closed {
				st.answer.receive(st, index)
			}
		})
	}
}

// reset reports to the node that the connection was reset because the engine
// process ended.
func (c *connection) reset() {
	if !c.closed {
		c.closed = true
		c.stream.answer.step(continuation.Broken{Attempt: c.stream.id, Reason: "connection reset"})
	}
}
