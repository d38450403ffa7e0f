package main

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// probeTimeout is that of package generation.
	probeTimeout = 1200 * time.Millisecond
	// placeDelay stands for admission and the choice.
	placeDelay = time.Millisecond
)

// answer is one generation: it executes the actions of its machine against the
// modelled engines, as package generation does against real ones. Copies are
// left out.
type answer struct {
	sim       *sim
	node      *node
	request   *request
	machine   *continuation.Machine
	beganAt   time.Duration
	lastToken time.Duration
	opened    int
	streams   []*stream
	received  []string
	finished  bool
	failed    string
	// open is the fault after which no token has come yet; lastFault the newest.
	open, lastFault faultKind
	tickAt          time.Time
}

func newAnswer(s *sim, n *node, r *request) *answer {
	config := continuation.DefaultConfig
	config.Weight = s.policy.weight
	config.ReleaseAfterAck = false
	return &answer{
		sim: s, node: n, request: r, beganAt: s.now,
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
	if a.open != noFault {
		a.sim.report.lost(a.open)
		a.open = noFault
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
		s.after(hop, func() { a.reconnect(c) })
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
		attempt, id := a.machine.Current()
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
		falseAlarm: a.wouldGoOn(),
		prefixes:   a.request.continued(c.Tokens), accepted: c.Tokens,
	}
	if a.sim.policy.restart {
		st.prefixes, st.accepted, st.skip = a.request.prefixes, 0, c.Tokens
	}
	for _, token := range a.machine.Journal().Tokens(0, c.Tokens) {
		st.state = extend(st.state, token)
	}
	if e.fault != noFault {
		a.lastFault = e.fault
	}
	a.streams = append(a.streams, st)
	a.sim.after(hop, func() {
		if e.dead {
			a.refused(c.Attempt)
			return
		}
		e.do(func() {
			if !st.gone {
				e.submit(st)
				st.connect(st.first)
			}
		})
	})
}

// wouldGoOn tells that an earlier stream would deliver the next token without
// a replacement.
func (a *answer) wouldGoOn() bool {
	for _, st := range a.streams {
		if !st.gone && !st.engine.dead && !st.engine.forGood && st.engine.streams[st.id] == st {
			return true
		}
	}
	return false
}

func (a *answer) refused(id ident.AttemptID) {
	a.sim.after(hop, func() {
		a.step(continuation.Broken{Attempt: id, Rejected: true, Reason: "connection refused"})
	})
}

func (a *answer) reconnect(c continuation.Reconnect) {
	e := a.sim.byID[c.Backend]
	if e.dead {
		a.refused(c.Attempt)
		return
	}
	e.do(func() {
		if st := e.streams[c.Attempt]; st != nil {
			st.connect(c.From)
			return
		}
		a.refused(c.Attempt)
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
	a.sim.after(hop, func() {
		if e.dead {
			a.sim.after(hop, func() { reply(continuation.Probed{Dead: true}) })
			return
		}
		e.do(func() {
			p := continuation.Probed{}
			if st := e.streams[c.Attempt]; st != nil {
				// A stream whose prompt is read is running by docs/backend-protocol.md.
				p.Alive, p.Tokens, p.Queued = true, st.next(), !st.inBatch || st.skip > 0
			}
			a.sim.after(hop, func() { reply(p) })
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
		a.sim.after(hop, func() { e.do(func() { e.remove(st) }) })
	}
}

// receive takes a token that arrived at the node.
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
	if a.open != noFault && index == before && a.live(st) {
		a.sim.report.resumed(a.open, now-a.lastToken)
		a.open = noFault
	}
	a.step(token)
	if a.machine.Journal().Len() == before {
		return
	}
	st.used++
	if before == 0 {
		a.node.fleet.Answered(st.engine.id, st.id)
		a.sim.report.firstToken(a.sim, now-a.beganAt)
	} else if st.used == 1 {
		a.node.fleet.Answered(st.engine.id, st.id)
	}
	a.lastToken = now
}

// live tells that the attempt was not cancelled.
func (a *answer) live(st *stream) bool { return st.conn != nil && !st.conn.closed }

// currentEngine returns the engine that delivered last or will deliver first.
func (a *answer) currentEngine() ident.BackendID {
	_, id := a.machine.Current()
	return id
}

// intact tells that each token continues exactly the text before it and that a
// finished answer is whole.
func (a *answer) intact() bool {
	state := uint64(0)
	for _, token := range a.received {
		if len(token) < 5 || token != word(ident.BackendID(token[1:4]), state) {
			return false
		}
		state = extend(state, token)
	}
	return a.machine.Done() && (!a.finished || len(a.received) == a.request.output)
}
