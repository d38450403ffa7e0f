package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// maxAttempts is the maximum number of attempts with one key. Each runs on its
// own node.
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
	opPending opStage = iota // has not reached the table or the service
	opApplied                // was processed; its response has not arrived
)

// modelRow is the claim row in the modelled table.
type modelRow struct {
	version  int64
	attempt  int8
	state    State
	voidedAt int64
	result   int8 // number of the attempt whose result is stored, from 1; 0 for none
}

// op is the operation that a machine has in progress, or a lost call that may
// still arrive.
type op struct {
	kind      opKind
	stage     opStage
	row       modelRow // to write, or returned by the table
	condition int64
	committed bool
}

type attempt struct {
	m       Machine
	started int64
	op      op
	// delayedWrites holds lost writes that may still reach the table.
	delayedWrites [6]op
	// delayedSend is set while the request may still reach the service although
	// the send failed.
	delayedSend      bool
	killed           bool
	answered         callerapi.Outcome
	replayed, result int8
}

// modelState is one state of the model. It is comparable so that it can be
// hashed.
type modelState struct {
	attempts [maxAttempts]attempt
	row      modelRow
	clock    int64
	ran      [maxAttempts]int8
}

// mutation is a deliberate fault in the protocol; the zero value changes nothing.
type mutation struct {
	event  func(m *Machine, e Event) Event
	action func(m *Machine, a Action) Action
}

// model holds the parameters of one search.
type model struct {
	attempts int
	refuse   [maxAttempts]bool
	mutation mutation
}

var results = [maxAttempts]*Result{{Status: 1}, {Status: 2}, {Status: 3}, {Status: 4}}

// transition holds the attempt that makes it, a label for the report and the
// state after it.
type transition struct {
	attempt int
	label   string
	w       modelState
}

// successors returns every transition out of a state. A paused node is one that
// takes no transition for some time, so a pause needs no transition of its own.
func (c *model) successors(w *modelState) []transition {
	var out []transition
	add := func(i int, label string, change func(*modelState)) {
		w2 := *w
		change(&w2)
		w2.normalise()
		out = append(out, transition{i, label, w2})
	}
	for i := range c.attempts {
		a := &w.attempts[i]
		for k := range a.delayedWrites {
			if a.delayedWrites[k].kind == opWrite {
				add(i, "late write arrives", func(w *modelState) { w.apply(&w.attempts[i].delayedWrites[k]); w.attempts[i].delayedWrites[k] = op{} })
			}
		}
		if a.delayedSend {
			add(i, "late send arrives", func(w *modelState) { w.attempts[i].delayedSend = false; w.ran[i]++ })
		}
		if a.killed || a.m.Finished() {
			continue
		}
		if a.m.phase == phaseNew {
			// Attempts start in order, each at any time after the previous one.
			if i == 0 || w.attempts[i-1].m.phase != phaseNew {
				add(i, "start", func(w *modelState) { c.start(w, i) })
			}
			continue
		}
		c.addFaults(a, i, add)
		c.addOperationOutcomes(a, i, add)
	}
	return out
}

func (c *model) start(w *modelState, i int) {
	w.clock++
	e := Event{Kind: EventStart}
	if c.refuse[i] {
		e.Refusal = callerapi.CodeQuietHours
	}
	w.attempts[i].started = w.clock
	c.step(w, i, e)
}

func (c *model) addFaults(a *attempt, i int, add func(int, string, func(*modelState))) {
	add(i, "kill", func(w *modelState) {
		k := &w.attempts[i]
		// Messages that the node had already sent may still arrive.
		if k.op.stage == opPending {
			switch k.op.kind {
			case opWrite:
				k.delayWrite()
			case opSend:
				k.delayedSend = true
			}
		}
		k.op, k.killed = op{}, true
	})
	// Neither event has an effect once the caller has its answer.
	if !a.m.answered {
		add(i, "deadline", func(w *modelState) { c.step(w, i, Event{Kind: EventDeadline}) })
		add(i, "clock jump", func(w *modelState) { c.step(w, i, Event{Kind: EventClockJump}) })
	}
}

// normalise clears data that can no longer have an effect, so that equivalent
// states are visited only once.
func (w *modelState) normalise() {
	for i := range w.attempts {
		a := &w.attempts[i]
		if a.killed || a.m.Finished() {
			a.m = Machine{phase: phaseFinished}
		}
		for k := range a.delayedWrites {
			if a.delayedWrites[k].condition < w.row.version {
				a.delayedWrites[k] = op{}
			}
		}
	}
}

func (c *model) addOperationOutcomes(a *attempt, i int, add func(int, string, func(*modelState))) {
	deliver := func(label string, e Event, change func(*attempt)) {
		add(i, label, func(w *modelState) {
			change(&w.attempts[i])
			w.attempts[i].op = op{}
			c.step(w, i, e)
		})
	}
	unchanged := func(*attempt) {}
	switch {
	case a.op.kind == opRead && a.op.stage == opPending:
		add(i, "read", func(w *modelState) { o := &w.attempts[i].op; o.row, o.stage = w.row, opApplied })
		deliver("read fails", Event{Kind: EventReadFailed}, unchanged)
	case a.op.kind == opRead:
		deliver("row", Event{Kind: EventRow, Row: a.op.row.decode(), Version: a.op.row.version}, unchanged)
	case a.op.kind == opWrite && a.op.stage == opPending:
		add(i, "write", func(w *modelState) { w.apply(&w.attempts[i].op) })
		deliver("store outage", Event{Kind: EventUnavailable}, unchanged)
		deliver("lost call", Event{Kind: EventUnknown}, (*attempt).delayWrite)
	case a.op.kind == opWrite:
		deliver("lost answer", Event{Kind: EventUnknown}, unchanged)
		if a.op.committed {
			deliver("committed", Event{Kind: EventCommitted, Version: a.op.row.version}, unchanged)
		} else {
			deliver("conflict", Event{Kind: EventConflict, Row: a.op.row.decode(), Version: a.op.row.version}, unchanged)
		}
	case a.op.kind == opSend && a.op.stage == opPending:
		add(i, "run", func(w *modelState) { w.ran[i]++; w.attempts[i].op.stage = opApplied })
		deliver("not sent", Event{Kind: EventNotSent}, unchanged)
		deliver("send breaks", Event{Kind: EventMaybeSent}, func(a *attempt) { a.delayedSend = true })
	case a.op.kind == opSend:
		deliver("response", Event{Kind: EventResponse, Result: results[i]}, unchanged)
		deliver("response lost", Event{Kind: EventMaybeSent}, unchanged)
	}
}

// delayWrite records the pending write as one that may still arrive. Equal writes
// are recorded once, since at most one of them takes effect.
func (a *attempt) delayWrite() {
	for k := range a.delayedWrites {
		if a.delayedWrites[k] == a.op {
			return
		}
		if a.delayedWrites[k].kind == opNone {
			a.delayedWrites[k] = a.op
			return
		}
	}
	panic("more than six different writes on one version are lost")
}

// apply executes a write at the table and stores the response in o.
func (w *modelState) apply(o *op) {
	o.stage = opApplied
	o.committed = w.row.version == o.condition
	if o.committed {
		o.row.version = w.row.version + 1
		w.row = o.row
	} else {
		o.row = w.row
	}
}

// step passes an event to the machine of attempt i and carries out its actions.
func (c *model) step(w *modelState, i int, e Event) {
	a := &w.attempts[i]
	if c.mutation.event != nil {
		e = c.mutation.event(&a.m, e)
	}
	now := ClockReading{Wall: time.Unix(w.clock, 0).UTC(), Monotonic: time.Duration(w.clock)}
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
			// A write that is still in progress may take effect.
			if a.op.kind == opWrite && a.op.stage == opPending {
				a.delayWrite()
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

func (c *model) initial() modelState {
	var w modelState
	for i := range c.attempts {
		w.attempts[i].m = New(Call{Attempt: attemptID(int8(i)), Host: "h", Fingerprint: "f"})
	}
	return w
}

// check returns a description of the first invariant that the state breaks, or
// "" if there is none.
func (w *modelState) check(attempts int) string {
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
			return "an unfinished attempt has no operation in progress"
		}
		if broken := w.checkAnswer(i, attempts); broken != "" {
			return broken
		}
	}
	return ""
}

func (w *modelState) checkAnswer(i, attempts int) string {
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
