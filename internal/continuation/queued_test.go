package continuation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// queuedResume drives a machine to a resume on e2 that two probes, 0.5 s and
// 0.65 s after the loss, found in the engine's queue, and returns the actions
// after the second.
func queuedResume(config Config) (*Machine, time.Time, []Action) {
	now := time.Unix(1_800_000_000, 0)
	m := NewMachine(config, &Journal{}, 0)
	m.Step(now, Started{})
	m.Step(now, Placed{Attempt: "a1", Backend: "e1", FirstTokenLimit: time.Second})
	m.Step(now, Token{Attempt: "a1", Index: 0, Text: " one", SilenceLimit: silenceLimit})
	m.Step(now, Broken{Attempt: "a1", Reason: "connection reset"})
	m.Step(now, Probed{Attempt: "a1", Dead: true})
	m.Step(now, Placed{Attempt: "a2", Backend: "e2", FirstTokenLimit: time.Second})
	var actions []Action
	for range 2 {
		now = m.Deadline()
		m.Step(now, Tick{})
		actions = m.Step(now, Probed{Attempt: "a2", Alive: true, Queued: true, Tokens: 1, SilenceLimit: silenceLimit})
	}
	return m, now, actions
}

// Guards against an interrupted answer that waits in the queue of a fully loaded
// engine while other engines have free capacity.
func TestQueuedResumeRacesAnotherServer(t *testing.T) {
	m, now, actions := queuedResume(DefaultConfig)
	want := Place{Resume: true, Exclude: []ident.BackendID{"e1", "e2"}}
	if len(actions) != 1 || fmt.Sprint(actions[0]) != fmt.Sprint(want) {
		t.Fatalf("after two probes found the resume queued: %v, want %v", actions, want)
	}
	m.Step(now, Placed{Attempt: "a3", Backend: "e3", FirstTokenLimit: time.Second})
	actions = m.Step(now, Token{Attempt: "a3", Index: 1, Text: " two", SilenceLimit: silenceLimit})
	if !slices.Contains(actions, Action(Cancel{Attempt: "a2", Backend: "e2"})) {
		t.Errorf("the other server delivered: %v, want the queued attempt cancelled", actions)
	}
	if got := m.Journal().Text(); got != " one two" {
		t.Errorf("journal is %q", got)
	}
}

// Guards against an answer that, while its resume waits in a queue, fails at the
// limit of attempts or uses up the attempt that a further loss would need.
func TestQueuedResumeKeepsTheLastAttempt(t *testing.T) {
	config := DefaultConfig
	config.MaxAttempts = 3
	m, now, actions := queuedResume(config)
	if len(actions) != 0 || m.Done() {
		t.Fatalf("with one attempt left: %v, done %t, want no action", actions, m.Done())
	}
	actions = m.Step(now, Token{Attempt: "a2", Index: 1, Text: " two", SilenceLimit: silenceLimit})
	if len(actions) == 0 || m.Journal().Len() != 2 {
		t.Errorf("the queued attempt delivered: %v, journal has %d tokens, want 2", actions, m.Journal().Len())
	}
}

// Guards against a queue wait that ignores the weight: at a weight that saves
// resources, a resume must wait longer for the server that has its prompt cached.
func TestQueuedResumeWaitsByWeight(t *testing.T) {
	config := DefaultConfig
	config.Weight = 0
	if _, _, actions := queuedResume(config); len(actions) != 0 {
		t.Errorf("weight 0, 0.65 s after the loss: %v, want no action", actions)
	}
}
