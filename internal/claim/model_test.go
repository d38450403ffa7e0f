package claim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// maxAttempts is the maximum number of attempts with one key. Each is made on its
// own node.
const maxAttempts = 4

// maxDelayedWrites is the maximum number of different lost writes of one attempt
// that can still take effect, which are those on the current version of the row.
const maxDelayedWrites = 6

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
	voidedAt int64 // in units of modelState.clock
	result   int8  // number of the attempt whose result is stored, from 1; 0 for none
}

// op is the operation that an attempt's state machine has in progress, or a lost
// call that may still arrive.
type op struct {
	kind      opKind
	stage     opStage
	row       modelRow // row to write, or row that the table returned
	condition int64    // version on which a write is conditional
	committed bool     // the write took effect
}

type attempt struct {
	machine Machine
	started int64 // modelState.clock at the start; 0 before it
	op      op
	// delayedWrites holds lost writes that may still reach the table.
	delayedWrites [maxDelayedWrites]op
	// delayedSend is set while the request may still reach the service although
	// the send failed.
	delayedSend bool
	killed      bool
	// outcome is that of the answer: "ok" for a result, empty before the answer.
	outcome callerapi.Outcome
	// result and replayed are the number, from 1, of the attempt whose result was
	// returned: result for a direct answer of the service, replayed for the stored
	// result of an earlier attempt. Both are 0 if there is none.
	replayed, result int8
}

// modelState is one state of the model. It is comparable so that it can be
// hashed.
type modelState struct {
	attempts [maxAttempts]attempt
	row      modelRow
	clock    int64             // number of attempts started so far, the only time in the model
	runs     [maxAttempts]int8 // number of times that the service ran each attempt's request
}

// mutation is a deliberate fault in the protocol; the zero value changes nothing.
type mutation struct {
	event  func(m *Machine, e Event) Event
	action func(m *Machine, a Action) Action
}

// model holds the parameters of one search.
type model struct {
	attempts int               // number of attempts
	refused  [maxAttempts]bool // attempts whose call must not run
	mutation mutation
}

// results holds the result of each attempt. Its status is the number of the attempt,
// from 1, so that a result shows which attempt it is from.
var results = [maxAttempts]*Result{{Status: 1}, {Status: 2}, {Status: 3}, {Status: 4}}

// transition is a step of the model: the attempt that takes it, its label in the
// report and the state after it.
type transition struct {
	attempt int
	label   string
	state   modelState
}

// successors returns every transition out of a state. A pause of a node needs no
// transition of its own: the other attempts take their transitions meanwhile.
func (m *model) successors(s *modelState) []transition {
	var out []transition
	add := func(i int, label string, change func(*modelState)) {
		next := *s
		change(&next)
		next.normalise()
		out = append(out, transition{i, label, next})
	}
	for i := range m.attempts {
		a := &s.attempts[i]
		for k := range a.delayedWrites {
			if a.delayedWrites[k].kind == opWrite {
				add(i, "late write arrives", func(s *modelState) { s.apply(&s.attempts[i].delayedWrites[k]); s.attempts[i].delayedWrites[k] = op{} })
			}
		}
		if a.delayedSend {
			add(i, "late send arrives", func(s *modelState) { s.attempts[i].delayedSend = false; s.runs[i]++ })
		}
		if a.killed || a.machine.Finished() {
			continue
		}
		if a.machine.phase == phaseNew {
			// Attempts start in order, each at any time after the previous one.
			if i == 0 || s.attempts[i-1].machine.phase != phaseNew {
				add(i, "start", func(s *modelState) { m.start(s, i) })
			}
			continue
		}
		m.addFaults(a, i, add)
		m.addOperationOutcomes(a, i, add)
	}
	return out
}

func (m *model) start(s *modelState, i int) {
	s.clock++
	e := Event{Kind: EventStart}
	if m.refused[i] {
		e.Refusal = callerapi.CodeQuietHours
	}
	s.attempts[i].started = s.clock
	m.step(s, i, e)
}

func (m *model) addFaults(a *attempt, i int, add func(int, string, func(*modelState))) {
	add(i, "kill", func(s *modelState) {
		killed := &s.attempts[i]
		// Messages that the node had already sent may still arrive.
		if killed.op.stage == opPending {
			switch killed.op.kind {
			case opWrite:
				killed.delayWrite()
			case opSend:
				killed.delayedSend = true
			}
		}
		killed.op, killed.killed = op{}, true
	})
	// A deadline or a clock jump has no effect once the caller has its answer.
	if !a.machine.answered {
		add(i, "deadline", func(s *modelState) { m.step(s, i, Event{Kind: EventDeadline}) })
		add(i, "clock jump", func(s *modelState) { m.step(s, i, Event{Kind: EventClockJump}) })
	}
}

// normalise clears data that can no longer have an effect, so that equivalent
// states are visited only once.
func (s *modelState) normalise() {
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.killed || a.machine.Finished() {
			a.machine = Machine{phase: phaseFinished}
		}
		for k := range a.delayedWrites {
			if a.delayedWrites[k].condition < s.row.version {
				a.delayedWrites[k] = op{}
			}
		}
	}
}

func (m *model) addOperationOutcomes(a *attempt, i int, add func(int, string, func(*modelState))) {
	deliver := func(label string, e Event, change func(*attempt)) {
		add(i, label, func(s *modelState) {
			change(&s.attempts[i])
			s.attempts[i].op = op{}
			m.step(s, i, e)
		})
	}
	unchanged := func(*attempt) {}
	switch {
	case a.op.kind == opRead && a.op.stage == opPending:
		add(i, "read", func(s *modelState) { o := &s.attempts[i].op; o.row, o.stage = s.row, opApplied })
		deliver("read fails", Event{Kind: EventReadFailed}, unchanged)
	case a.op.kind == opRead:
		deliver("row", Event{Kind: EventRow, Row: a.op.row.decode(), Version: a.op.row.version}, unchanged)
	case a.op.kind == opWrite && a.op.stage == opPending:
		add(i, "write", func(s *modelState) { s.apply(&s.attempts[i].op) })
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
		add(i, "run", func(s *modelState) { s.runs[i]++; s.attempts[i].op.stage = opApplied })
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
	panic("delayedWrites is full: an attempt lost more than maxDelayedWrites different writes")
}

// apply executes a write at the table and stores the response in o.
func (s *modelState) apply(o *op) {
	o.stage = opApplied
	o.committed = s.row.version == o.condition
	if o.committed {
		o.row.version = s.row.version + 1
		s.row = o.row
	} else {
		o.row = s.row
	}
}

// step passes an event to the machine of attempt i and carries out its actions.
func (m *model) step(s *modelState, i int, e Event) {
	a := &s.attempts[i]
	if m.mutation.event != nil {
		e = m.mutation.event(&a.machine, e)
	}
	// One clock unit is 1 s of wall time and 1 ns of monotonic time. At most
	// maxAttempts units pass, so no time limit of the state machine elapses.
	now := ClockReading{Wall: time.Unix(s.clock, 0).UTC(), Monotonic: time.Duration(s.clock)}
	for _, act := range a.machine.Step(now, e) {
		if m.mutation.action != nil {
			act = m.mutation.action(&a.machine, act)
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
		a.outcome = act.Outcome
	case act.Replayed:
		a.outcome, a.replayed = "ok", int8(act.Result.Status)
	default:
		a.outcome, a.result = "ok", int8(act.Result.Status)
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

func (m *model) initial() modelState {
	var s modelState
	for i := range m.attempts {
		s.attempts[i].machine = New(Call{Attempt: attemptID(int8(i)), Host: "h", Fingerprint: "f"})
	}
	return s
}

// check returns a description of the first invariant that the state breaks, or
// "" if there is none.
func (s *modelState) check(attempts int) string {
	runs := int8(0)
	for i := range attempts {
		runs += s.runs[i]
	}
	if runs > 1 {
		return "the call ran twice"
	}
	if s.row.state == StateDone && (s.row.result == 0 || s.runs[s.row.result-1] != 1) {
		return "the stored result comes from an attempt that did not run exactly once"
	}
	for i := range attempts {
		if a := &s.attempts[i]; a.machine.phase != phaseNew && !a.machine.Finished() && a.op.kind == opNone {
			return "an unfinished attempt has no operation in progress"
		}
		if broken := s.checkAnswer(i, attempts); broken != "" {
			return broken
		}
	}
	return ""
}

func (s *modelState) checkAnswer(i, attempts int) string {
	a := &s.attempts[i]
	switch {
	case a.result > 0 && a.result != int8(i)+1:
		return "an answer that is not a replay holds the result of another attempt"
	case a.replayed > 0 && s.runs[a.replayed-1] != 1:
		return "a replayed result comes from an attempt that did not run exactly once"
	case a.outcome == callerapi.OutcomeAttemptNotRun && s.runs[i] > 0:
		return "the answer is attempt_not_run, but the attempt ran"
	case a.outcome != callerapi.OutcomeNotRun:
		return ""
	}
	for j := range attempts {
		if s.runs[j] > 0 && s.attempts[j].started <= a.started {
			return "the answer is not_run, but an attempt that started no later ran"
		}
	}
	return ""
}
