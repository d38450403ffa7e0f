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
	id       ident.AttemptID
	answer   *answer
	engine   *engine
	arrival  int
	resume   bool
	first    int // index of the first token that is produced
	skip     int // tokens to generate again before it; restart from zero only
	prefixes []uint64
	accepted int // tokens of accepted text in the prompt
	state    uint64

	cached   int
	readFrom time.Duration
	computed int // tokens of the prompt that were read and not cached
	tokens   []string
	inBatch  bool
	decoding bool
	finished bool
	gone     bool
	conn     *connection
	// falseAlarm tells that a stream before it would have gone on.
	falseAlarm bool
	repeated   int // answer tokens that were decoded again
	used       int // tokens that the journal accepted
}

// connection is one connection of a node to a stream.
type connection struct {
	stream *stream
	next   int // index of the next token to send
	silent bool
	closed bool
}

func (st *stream) promptTokens() int { return st.answer.request.promptTokens + st.accepted }

// settleRead accounts for the part of the prompt that was read.
func (st *stream) settleRead() {
	if st.engine.reading != st || st.computed > 0 {
		return
	}
	spent := int((st.engine.sim.now-st.readFrom).Seconds()*prefillRate + 0.5)
	st.computed = min(spent, st.promptTokens()-st.cached)
}

// word is the token that an engine generates after a text. The digest of the
// text exposes missing, repeated and mixed tokens.
func word(id ident.BackendID, state uint64) string {
	return fmt.Sprintf(" %s:%08x", id, uint32(state))
}

func extend(state uint64, token string) uint64 { return xxh3.HashStringSeed(token, state) }

// produce generates one token and schedules the next.
func (st *stream) produce() {
	if st.gone {
		return
	}
	e := st.engine
	if st.skip > 0 {
		st.skip--
		st.repeated++
	} else if st.next() < st.answer.request.output {
		token := word(e.id, st.state)
		st.state = extend(st.state, token)
		st.tokens = append(st.tokens, token)
		st.flush()
	}
	if st.next() >= st.answer.request.output {
		st.finished = true
		e.leave(st)
		e.sim.after(retention, func() {
			if e.streams[st.id] == st {
				delete(e.streams, st.id)
			}
		})
		return
	}
	e.sim.after(e.gap(), func() { e.do(st.produce) })
}

// next returns the index of the next token that is produced.
func (st *stream) next() int { return st.first + len(st.tokens) }

// connect attaches a new connection.
func (st *stream) connect(from int) {
	if st.conn != nil {
		st.conn.closed = true
	}
	st.conn = &connection{stream: st, next: from}
	st.flush()
}

// flush sends what the connection has not got.
func (st *stream) flush() {
	c := st.conn
	if c == nil || c.silent || c.closed {
		return
	}
	for ; c.next < st.next(); c.next++ {
		index := c.next
		st.engine.sim.after(hop, func() {
			if !c.closed {
				st.answer.receive(st, index)
			}
		})
	}
}

// reset tells the node that the process is gone.
func (c *connection) reset() {
	if !c.closed {
		c.closed = true
		c.stream.answer.step(continuation.Broken{Attempt: c.stream.id, Reason: "connection reset"})
	}
}
