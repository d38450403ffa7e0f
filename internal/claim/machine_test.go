package claim

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// predecessor records the transition by which a state was first reached. from is
// the index of the state before it, or -1 for the initial state.
type predecessor struct {
	from    int
	attempt int
	label   string
}

// pathTo returns the attempts and labels of the transitions that lead to the state
// with the given index.
func pathTo(origins []predecessor, index int) string {
	path := ""
	for ; origins[index].from >= 0; index = origins[index].from {
		path = fmt.Sprintf("%d:%s; ", origins[index].attempt, origins[index].label) + path
	}
	return path
}

// search visits every reachable state, breadth first, and returns the number of
// states and the first broken invariant with the path to it. States are
// identified by a 64-bit hash: among a million states the probability that two
// share a hash is below one in ten million.
func search(m *model) (states int, broken string) {
	type queued struct {
		state modelState
		index int // of the state in origins
	}
	seed := maphash.MakeSeed()
	level, origins := []queued{{state: m.initial()}}, []predecessor{{from: -1}}
	seen := map[uint64]struct{}{maphash.Comparable(seed, level[0].state): {}}
	for len(level) > 0 {
		var nextLevel []queued
		for i := range level {
			s := &level[i]
			if fault := s.state.check(m.attempts); fault != "" {
				return len(seen), fault + ": " + pathTo(origins, s.index)
			}
			for _, n := range m.successors(&s.state) {
				hash := maphash.Comparable(seed, n.state)
				if _, ok := seen[hash]; ok {
					continue
				}
				seen[hash] = struct{}{}
				origins = append(origins, predecessor{s.index, n.attempt, n.label})
				nextLevel = append(nextLevel, queued{n.state, len(origins) - 1})
			}
		}
		level = nextLevel
	}
	return len(seen), ""
}

// refusals are the combinations of refused attempts that are searched: the first,
// the second or none.
var refusals = [][maxAttempts]bool{{true}, {false, true}, {}}

// Guards against a call that runs twice and against an answer not_run or
// attempt_not_run that is wrong, for one attempt and one retry on another node. The
// search covers all interleavings of pauses, kills, lost answers, lost calls that
// arrive late, store outages, deadlines and clock jumps.
func TestEveryInterleavingOfTwoAttempts(t *testing.T) {
	for _, refused := range refusals {
		states, broken := search(&model{attempts: 2, refused: refused})
		if broken != "" {
			t.Fatalf("refusals %v: %s", refused, broken)
		}
		t.Logf("refusals %v: %d states", refused, states)
	}
}

// Guards against a model checker that accepts everything: it must find each
// deliberate fault in the protocol.
func TestModelCheckerFindsBrokenProtocols(t *testing.T) {
	refuseWithoutVoid := func(m *Machine, a Action) Action {
		if a.Kind == ActionWrite && m.phase == phaseRefusing {
			m.phase = phaseFinished
			return Action{Kind: ActionAnswer, Outcome: callerapi.OutcomeNotRun}
		}
		return a
	}
	mutations := map[string]mutation{
		"takeover of a claimed row": {event: func(m *Machine, e Event) Event {
			if e.Kind == EventRow && m.phase == phaseWaiting && e.Row.State == StateClaimed {
				e.Row = Row{}
			}
			return e
		}},
		"send after attempt_not_run": {action: func(m *Machine, a Action) Action {
			if a.Kind == ActionWrite && a.Row.State == StateVoid && m.held && m.answered {
				m.phase = phaseSending
				return Action{Kind: ActionSend}
			}
			return a
		}},
		"second send after a failed one": {event: func(m *Machine, e Event) Event {
			if e.Kind == EventMaybeSent {
				e.Kind = EventNotSent
			}
			return e
		}},
		"claim with unknown outcome counts as held": {event: func(m *Machine, e Event) Event {
			if e.Kind == EventUnknown && m.phase == phaseClaiming {
				e.Kind, e.Version = EventCommitted, m.version+1
			}
			return e
		}},
		"void ignores the start of an attempt": {event: func(m *Machine, e Event) Event {
			if e.Row.State == StateVoid {
				e.Row.VoidedAt = time.Time{}
			}
			return e
		}},
		"not_run without a void": {action: refuseWithoutVoid},
	}
	for name, mutation := range mutations {
		t.Run(name, func(t *testing.T) {
			broken := ""
			for _, refused := range refusals {
				if _, broken = search(&model{attempts: 2, refused: refused, mutation: mutation}); broken != "" {
					break
				}
			}
			if broken == "" {
				t.Fatal("the search found no broken invariant")
			}
			t.Log(broken)
		})
	}
}

// rareLabels are the labels of the transitions that a random walk takes rarely.
// If they were taken as often as the others, nearly every attempt would end
// before it is sent.
var rareLabels = map[string]bool{
	"kill": true, "deadline": true, "clock jump": true, "read fails": true, "store outage": true,
	"lost call": true, "lost answer": true, "not sent": true, "send breaks": true, "response lost": true,
}

// walk takes random transitions from the initial state. It returns the first
// broken invariant with the path to it, and reports whether an attempt ran.
func walk(m *model, random *rand.Rand) (broken string, ran bool) {
	const steps = 160
	state, path := m.initial(), []predecessor{{from: -1}}
	for range steps {
		options := m.successors(&state)
		if len(options) == 0 {
			break
		}
		n := &options[random.IntN(len(options))]
		for rareLabels[n.label] && random.IntN(10) > 0 {
			n = &options[random.IntN(len(options))]
		}
		state = n.state
		path = append(path, predecessor{len(path) - 1, n.attempt, n.label})
		if broken = state.check(m.attempts); broken != "" {
			return broken + ": " + pathTo(path, len(path)-1), true
		}
	}
	return "", state.runs != [maxAttempts]int8{}
}

// walks takes random walks with different seeds. It returns the broken invariants
// and the number of walks in which an attempt ran.
func walks(t *testing.T, mutation mutation) (broken []string, ran int) {
	const count = 500
	for seed := range uint64(count) {
		random := rand.New(rand.NewPCG(seed, 1))
		m := &model{attempts: maxAttempts, mutation: mutation}
		for i := range m.refused {
			m.refused[i] = random.IntN(4) == 0
		}
		fault, r := walk(m, random)
		if fault != "" {
			broken = append(broken, fmt.Sprintf("seed %d: %s", seed, fault))
		}
		if r {
			ran++
		}
	}
	t.Logf("an attempt ran in %d of %d walks", ran, count)
	return broken, ran
}

// Guards against the same faults as the exhaustive search, for an attempt and three
// retries. Random walks are used since that state space is too large to search.
func TestRandomWalksOfFourAttempts(t *testing.T) {
	broken, ran := walks(t, mutation{})
	if len(broken) > 0 {
		t.Fatal(broken[0])
	}
	if ran < 250 {
		t.Errorf("an attempt ran in %d walks only", ran)
	}
}

// Guards against random walks that never reach the faulty part of a broken
// protocol.
func TestRandomWalksFindBrokenProtocol(t *testing.T) {
	broken, _ := walks(t, mutation{event: func(_ *Machine, e Event) Event {
		if e.Row.State == StateVoid {
			e.Row.VoidedAt = time.Time{}
		}
		return e
	}})
	if len(broken) == 0 {
		t.Fatal("no walk found a broken invariant")
	}
	t.Logf("%d walks found one, the first: %s", len(broken), broken[0])
}

// Guards against a request that is sent after the node was paused for longer than
// the send window, measured by either clock, or after the wall clock was set
// back.
func TestNoSendAfterSendWindow(t *testing.T) {
	start := ClockReading{Wall: time.Unix(1000, 0)}
	for _, tc := range []struct {
		wall, monotonic time.Duration
		send            bool
	}{
		{SendWindow, SendWindow, true},
		{SendWindow + 1, 0, false},
		{0, SendWindow + 1, false},
		{-1, 0, false},
	} {
		t.Run(fmt.Sprint(tc.wall, tc.monotonic), func(t *testing.T) {
			m := New(Call{Attempt: "a"})
			m.Step(start, Event{Kind: EventStart})
			m.Step(start, Event{Kind: EventRow})
			later := ClockReading{Wall: start.Wall.Add(tc.wall), Monotonic: tc.monotonic}
			actions := m.Step(later, Event{Kind: EventCommitted, Version: 1})
			if sent := actions[0].Kind == ActionSend; sent != tc.send {
				t.Errorf("sent = %v, want %v", sent, tc.send)
			}
			if !tc.send && actions[0].Outcome != callerapi.OutcomeNotRun {
				t.Errorf("outcome = %q", actions[0].Outcome)
			}
		})
	}
}

// Guards against a call that gets the result of a different call because both
// used the same key.
func TestKeyReusedForAnotherCall(t *testing.T) {
	m := New(Call{Attempt: "a", Fingerprint: Fingerprint("POST", "/b", []byte("1"))})
	m.Step(ClockReading{}, Event{Kind: EventStart})
	row := Row{State: StateDone, Fingerprint: Fingerprint("POST", "/b", []byte("2")), Result: &Result{}}
	actions := m.Step(ClockReading{}, Event{Kind: EventRow, Row: row, Version: 2})
	if actions[0].Code != callerapi.CodeKeyReused {
		t.Fatalf("actions = %+v", actions)
	}
}
