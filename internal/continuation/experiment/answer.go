package main

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// probeTimeout is the same as in package generation.
	probeTimeout = 1200 * time.Millisecond
	// placeDelay is the time for admission and the choice of a server.
	placeDelay = time.Millisecond
)

// answer is one generation: it executes the actions of its machine against the
// simulated engines, as package generation does against real ones. Replication
// is not simulated.
type answer struct {
	sim       *sim
	node      *node
	request   *request
	machine   *continuation.Machine
	startedAt time.Duration
	lastToken time.Duration
	opened    int
	streams   []*stream
	received  []string
	finished  bool
	failed    string
	// pendingFault is the fault after which no token has been accepted yet, and
	// lastFault is the most recent fault.
	pendingFault, lastFault faultKind
	tickAt                  time.Time
}

func newAnswer(s *sim, n *node, r *request) *answer {
	config := continuation.DefaultConfig
	config.Weight = s.policy.weight
	config.ReleaseAfterAck = false
	return &answer{
		sim: s, node: n, request: r, startedAt: s.now,
		machine: continuation.NewMachine(config, &continuation.Journal{}, 0),
	}
}

func (a *answer) start() { a.step(continuation.Started{}) }

func (a *answer) step(event continuation.Event) {
	done := a.machine.Done()
	for _, action := range a.machine.Step(a.sim.time(), event) {
		a.execute(action)
	}
	if a.machine.Done() {
		if !done {
			a.end()
		}
		return
	}
	deadline := a.machine.Deadline()
	if deadline.IsZero() || deadline.Equal(a.tickAt) {
		return
	}
	a.tickAt = deadline
	a.sim.after(max(0, deadline.Sub(a.sim.time())), func() {
		if d := a.machine.Deadline(); !d.IsZero() && !a.sim.time().Before(d) {
			a.tickAt = time.Time{}
			a.step(continuation.Tick{})
		}
	})
}

func (a *answer) end() {
	a.sim.ended++
	a.node.budget.Ended(a.sim.time())
	if a.pendingFault != noFault {
		a.sim.report.lost(a.pendingFault)
		a.pendingFault = noFault
	}
}

func (a *answer) execute(action continuation.Action) {
	s := a.sim
	switch c := action.(type) {
	case continuation.Place:
		s.after(placeDelay, func() { a.node.place(a, c) })
	case continuation.Open:
		a.openStream(c)
	case continuation.Reconnect:
		s.after(networkDelay, func() { a.reconnect(c) })
	case continuation.Probe:
		a.probe(c)
	case continuation.Cancel:
		a.node.cancelled(c)
		a.cancel(c.Backend, c.Attempt)
	case continuation.Drop:
		a.node.cancelled(continuation.Cancel{Attempt: c.Attempt, Backend: c.Backend})
	case continuation.Release:
		a.received = append(a.received, a.machine.Journal().Tokens(c.From, c.To)...)
	case continuation.Finish:
		a.finished = true
		attempt, id := a.machine.CurrentAttempt()
		a.node.cancelled(continuation.Cancel{Attempt: attempt, Backend: id})
	case continuation.Fail:
		a.failed = c.Reason
	}
}

// openStream sends an attempt to its engine.
func (a *answer) openStream(c continuation.Open) {
	e := a.sim.byID[c.Backend]
	st := &stream{
		id: c.Attempt, answer: a, engine: e, resume: len(a.streams) > 0, first: c.Tokens,
		falseAlarm: a.hasLiveStream(),
		prefixes:   a.request.prefixesWithAnswer(c.Tokens), accepted: c.Tokens,
	}
	if a.sim.policy.restart {
		st.prefixes, st.accepted, st.skip = a.request.prefixes, 0, c.Tokens
	}
	for _, token := range a.machine.Journal().Tokens(0, c.Tokens) {
		st.textDigest = extendDigest(st.textDigest, token)
	}
	if e.fault != noFault {
		a.lastFault = e.fault
	}
	a.streams = append(a.streams, st)
	a.sim.after(networkDelay, func() {
		if e.dead {
			a.rejectStream(c.Attempt)
			return
		}
		e.runOrDefer(func() {
			if !st.removed {
				e.submit(st)
				st.connect(st.first)
			}
		})
	})
}

// hasLiveStream reports whether an earlier stream would deliver the next token
// without a replacement.
func (a *answer) hasLiveStream() bool {
	for _, st := range a.streams {
		if !st.removed && !st.engine.dead && !st.engine.permanentlyStopped && st.engine.streams[st.id] == st {
			return true
		}
	}
	return false
}

func (a *answer) rejectStream(id ident.AttemptID) {
	a.sim.after(networkDelay, func() {
		a.step(continuation.Broken{Attempt: id, Rejected: true, Reason: "connection refused"})
	})
}

func (a *answer) reconnect(c continuation.Reconnect) {
	e := a.sim.byID[c.Backend]
	if e.dead {
		a.rejectStream(c.Attempt)
		return
	}
	e.runOrDefer(func() {
		if st := e.streams[c.Attempt]; st != nil {
			st.connect(c.From)
			return
		}
		a.rejectStream(c.Attempt)
	})
}

func (a *answer) probe(c continuation.Probe) {
	e := a.sim.byID[c.Backend]
	a.sim.report.probes++
	answered := false
	reply := func(p continuation.Probed) {
		if !answered {
			answered = true
			p.Attempt, p.SilenceLimit = c.Attempt, a.node.silence()
			a.step(p)
		}
	}
	a.sim.after(probeTimeout, func() { reply(continuation.Probed{}) })
	a.sim.after(networkDelay, func() {
		if e.dead {
			a.sim.after(networkDelay, func() { reply(continuation.Probed{Dead: true}) })
			return
		}
		e.runOrDefer(func() {
			p := continuation.Probed{}
			if st := e.streams[c.Attempt]; st != nil {
				// By docs/backend-protocol.md, a stream in its prefill counts
				// as running, not as queued.
				p.Alive, p.Tokens, p.Queued = true, st.next(), !st.inBatch || st.skip > 0
			}
			a.sim.after(networkDelay, func() { reply(p) })
		})
	})
}

func (a *answer) cancel(id ident.BackendID, attempt ident.AttemptID) {
	e := a.sim.byID[id]
	for _, st := range a.streams {
		if st.id != attempt {
			continue
		}
		if st.conn != nil {
			st.conn.closed = true
		}
		a.sim.after(networkDelay, func() { e.runOrDefer(func() { e.remove(st) }) })
	}
}

// receive handles a token that arrived at the node.
func (a *answer) receive(st *stream, index int) {
	if a.machine.Done() {
		return
	}
	token := continuation.Token{Attempt: st.id, Index: index, Text: st.tokens[index-st.first], SilenceLimit: a.node.silence()}
	if index == a.request.output-1 {
		token.Finish = "stop"
	}
	before := a.machine.Journal().Len()
	now := a.sim.now
	if index == before && before > 0 {
		a.node.detector.Observe(now - a.lastToken)
	}
	if a.pendingFault != noFault && index == before && a.connected(st) {
		a.sim.report.resumed(a.pendingFault, now-a.lastToken)
		a.pendingFault = noFault
	}
	a.step(token)
	if a.machine.Journal().Len() == before {
		return
	}
	st.used++
	if before == 0 {
		a.node.fleet.Answered(st.engine.id, st.id)
		a.sim.report.firstToken(a.sim, now-a.startedAt)
	} else if st.used == 1 {
		a.node.fleet.Answered(st.engine.id, st.id)
	}
	a.lastToken = now
}

// connected reports whether the connection of the attempt is open. It is closed
// when the attempt is cancelled.
func (a *answer) connected(st *stream) bool { return st.conn != nil && !st.conn.closed }

// currentEngine returns the engine that delivered the last token or is expected
// to deliver the first one.
func (a *answer) currentEngine() ident.BackendID {
	_, id := a.machine.CurrentAttempt()
	return id
}

// intact reports whether each token continues exactly the text before it, the
// answer has ended and a finished answer is complete.
func (a *answer) intact() bool {
	digest := uint64(0)
	for _, token := range a.received {
		if len(token) < 5 || token != nextToken(ident.BackendID(token[1:4]), digest) {
			return false
		}
		digest = extendDigest(digest, token)
	}
	return a.machine.Done() && (!a.finished || len(a.received) == a.request.output)
}
