package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// maxAttempts is the number of attempts with one key, each on a node of its own.
const maxAttempts = 4

type opKind int8

const (
	opNone opKind = iota
	opRead
	opWrite
	opSend
)

type opStage int8

const (
	opPending opStage = iota // not arrived yet
	opApplied                // took effect; the answer is on its way
)

// modelRow is a row of the modelled table.
type modelRow struct {
	version  int64
	attempt  int8
	state    State
	voidedAt int64
	result   int8 // the attempt whose result is stored, from 1
}

// op is the operation that one machine has under way, or a lost call that may
// still arrive.
type op struct {
	kind      opKind
	stage     opStage
	row       modelRow // to write, or read
	condition int64
	committed bool
}

type attempt struct {
	m       Machine
	started int64
	op      op
	// late holds lost writes that may still arrive.
	late [6]op
	// lateSend: the request is in the network although the send failed.
	lateSend         bool
	killed           bool
	answered         callerapi.Outcome
	replayed, result int8
}

// world is a state of the model. It is comparable, so that it can be hashed.
type world struct {
	attempts [maxAttempts]attempt
	row      modelRow
	clock    int64
	ran      [maxAttempts]int8
}

// mutation breaks the protocol on purpose; the zero value does not.
type mutation struct {
	event  func(m *Machine, e Event) Event
	action func(m *Machine, a Action) Action
}

// model holds what does not change during one search.
type model struct {
	attempts int
	refuse   [maxAttempts]bool
	mutation mutation
}

var results = [maxAttempts]*Result{{Status: 1}, {Status: 2}, {Status: 3}, {Status: 4}}

// next is one transition: the attempt, a label for the report and the state
// after it.
type next struct {
	attempt int
	label   string
	w       world
}

// successors returns every state that can follow. A pause is the absence of a
// node's transitions for any time, so that it needs no transition of its own.
func (c *model) successors(w *world) []next {
	var out []next
	add := func(i int, label string, change func(*world)) {
		w2 := *w
		change(&w2)
		w2.normalise()
		out = append(out, next{i, label, w2})
	}
	for i := range c.attempts {
		a := &w.attempts[i]
		for k := range a.late {
			if a.late[k].kind == opWrite {
				add(i, "late write arrives", func(w *world) { w.apply(&w.attempts[i].late[k]); w.attempts[i].late[k] = op{} })
			}
		}
		if a.lateSend {
			add(i, "late send arrives", func(w *world) { w.attempts[i].lateSend = false; w.ran[i]++ })
		}
		if a.killed || a.m.Finished() {
			continue
		}
		if a.m.phase == phaseNew {
			// Attempts start in order; the second may start at any later time.
			if i == 0 || w.attempts[i-1].m.phase != phaseNew {
				add(i, "start", func(w *world) { c.start(w, i) })
			}
			continue
		}
		c.faults(a, i, add)
		c.operation(a, i, add)
	}
	return out
}

func (c *model) start(w *world, i int) {
	w.clock++
	e := Event{Kind: EventStart}
	if c.refuse[i] {
		e.Refusal = callerapi.CodeQuietHours
	}
	w.attempts[i].started = w.clock
	c.step(w, i, e)
}

func (c *model) faults(a *attempt, i int, add func(int, string, func(*world))) {
	add(i, "kill", func(w *world) {
		k := &w.attempts[i]
		// What the node had sent stays in the network.
		if k.op.stage == opPending {
			switch k.op.kind {
			case opWrite:
				k.lose()
			case opSend:
				k.lateSend = true
			}
		}
		k.op, k.killed = op{}, true
	})
	// Both events change nothing once the caller has its answer.
	if !a.m.answered {
		add(i, "deadline", func(w *world) { c.step(w, i, Event{Kind: EventDeadline}) })
		add(i, "clock jump", func(w *world) { c.step(w, i, Event{Kind: EventClockJump}) })
	}
}

// normalise drops what can have no effect any more, so that equivalent states
// are visited once.
func (w *world) normalise() {
	for i := range w.attempts {
		a := &w.attempts[i]
		if a.killed || a.m.Finished() {
			a.m = Machine{phase: phaseFinished}
		}
		for k := range a.late {
			if a.late[k].condition < w.row.version {
				a.late[k] = op{}
			}
		}
	}
}

func (c *model) operation(a *attempt, i int, add func(int, string, func(*world))) {
	deliver := func(label string, e Event, change func(*attempt)) {
		add(i, label, func(w *world) {
			change(&w.attempts[i])
			w.attempts[i].op = op{}
			c.step(w, i, e)
		})
	}
	keep := func(*attempt) {}
	switch {
	case a.op.kind == opRead && a.op.stage == opPending:
		add(i, "read", func(w *world) { o := &w.attempts[i].op; o.row, o.stage = w.row, opApplied })
		deliver("read fails", Event{Kind: EventRowUnreadable}, keep)
	case a.op.kind == opRead:
		deliver("row", Event{Kind: EventRow, Row: a.op.row.decode(), Version: a.op.row.version}, keep)
	case a.op.kind == opWrite && a.op.stage == opPending:
		add(i, "write", func(w *world) { w.apply(&w.attempts[i].op) })
		deliver("store outage", Event{Kind: EventUnavailable}, keep)
		deliver("lost call", Event{Kind: EventUnknown}, (*attempt).lose)
	case a.op.kind == opWrite:
		deliver("lost answer", Event{Kind: EventUnknown}, keep)
		if a.op.committed {
			deliver("committed", Event{Kind: EventCommitted, Version: a.op.row.version}, keep)
		} else {
			deliver("conflict", Event{Kind: EventConflict, Row: a.op.row.decode(), Version: a.op.row.version}, keep)
		}
	case a.op.kind == opSend && a.op.stage == opPending:
		add(i, "run", func(w *world) { w.ran[i]++; w.attempts[i].op.stage = opApplied })
		deliver("not sent", Event{Kind: EventNotSent}, keep)
		deliver("send breaks", Event{Kind: EventMaybeSent}, func(a *attempt) { a.lateSend = true })
	case a.op.kind == opSend:
		deliver("response", Event{Kind: EventResponse, Result: results[i]}, keep)
		deliver("response lost", Event{Kind: EventMaybeSent}, keep)
	}
}

// lose leaves the write that is under way in the network. Of two equal writes
// one is enough, since at most one takes effect.
func (a *attempt) lose() {
	for k := range a.late {
		if a.late[k] == a.op {
			return
		}
		if a.late[k].kind == opNone {
			a.late[k] = a.op
			return
		}
	}
	panic("more than six different writes on one version are lost")
}

// apply judges a write at the table and leaves the answer in o.
func (w *world) apply(o *op) {
	o.stage = opApplied
	o.committed = w.row.version == o.condition
	if o.committed {
		o.row.version = w.row.version + 1
		w.row = o.row
	} else {
		o.row = w.row
	}
}

// step delivers an event to a machine and carries out its actions.
func (c *model) step(w *world, i int, e Event) {
	a := &w.attempts[i]
	if c.mutation.event != nil {
		e = c.mutation.event(&a.m, e)
	}
	now := Now{Wall: time.Unix(w.clock, 0).UTC(), Monotonic: time.Duration(w.clock)}
	for _, act := range a.m.Step(now, e) {
		if c.mutation.action != nil {
			act = c.mutation.action(&a.m, act)
		}
		switch act.Kind {
		case ActionRead:
			a.op = op{kind: opRead}
		case ActionWrite:
			a.op = op{kind: opWrite, row: encode(act.Row), condition: act.Version}
		case ActionSend:
			a.op = op{kind: opSend}
		case ActionAnswer:
			a.answer(act)
		case ActionFinish:
			// A write that is still under way may take effect.
			if a.op.kind == opWrite && a.op.stage == opPending {
				a.lose()
			}
			a.op = op{}
		}
	}
}

func (a *attempt) answer(act Action) {
	switch {
	case act.Result == nil:
		a.answered = act.Outcome
	case act.Replayed:
		a.answered, a.replayed = "ok", int8(act.Result.Status)
	default:
		a.answered, a.result = "ok", int8(act.Result.Status)
	}
}

func attemptID(i int8) ident.AttemptID { return ident.AttemptID(rune('a' + i)) }

func encode(r Row) modelRow {
	m := modelRow{attempt: int8(r.Attempt[0] - 'a'), state: r.State}
	if r.State == StateVoid {
		m.voidedAt = r.VoidedAt.Unix()
	}
	if r.Result != nil {
		m.result = int8(r.Result.Status)
	}
	return m
}

func (r modelRow) decode() Row {
	if r.version == 0 {
		return Row{}
	}
	row := Row{Attempt: attemptID(r.attempt), State: r.state, Fingerprint: "f"}
	if r.state == StateVoid {
		row.VoidedAt = time.Unix(r.voidedAt, 0).UTC()
	}
	if r.result > 0 {
		row.Result = results[r.result-1]
	}
	return row
}

func (c *model) initial() world {
	var w world
	for i := range c.attempts {
		w.attempts[i].m = New(Call{Attempt: attemptID(int8(i)), Host: "h", Fingerprint: "f"})
	}
	return w
}

// check returns the invariant that a state breaks, or "".
func (w *world) check(attempts int) string {
	runs := int8(0)
	for i := range attempts {
		runs += w.ran[i]
	}
	if runs > 1 {
		return "the call ran twice"
	}
	if w.row.state == StateDone && (w.row.result == 0 || w.ran[w.row.result-1] != 1) {
		return "the stored result is not of an attempt that ran"
	}
	for i := range attempts {
		if a := &w.attempts[i]; a.m.phase != phaseNew && !a.m.Finished() && a.op.kind == opNone {
			return "an attempt that is not finished waits for nothing"
		}
		if broken := w.checkAnswer(i, attempts); broken != "" {
			return broken
		}
	}
	return ""
}

func (w *world) checkAnswer(i, attempts int) string {
	a := &w.attempts[i]
	switch {
	case a.result > 0 && a.result != int8(i)+1:
		return "an answer is of another attempt"
	case a.replayed > 0 && w.ran[a.replayed-1] != 1:
		return "a replayed result is not of an attempt that ran"
	case a.answered == callerapi.OutcomeAttemptNotRun && w.ran[i] > 0:
		return "attempt_not_run is false"
	case a.answered != callerapi.OutcomeNotRun:
		return ""
	}
	for j := range attempts {
		if w.ran[j] > 0 && w.attempts[j].started <= a.started {
			return "not_run is false"
		}
	}
	return ""
}
