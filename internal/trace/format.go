// Package trace records the sessions of generations and replays them.
//
// A trace is text in JSON Lines format. Each session begins with a header line,
// which holds the configuration of the state machine and the initial state of the
// journal. It is followed by one line for each event that the state machine of
// package continuation received, with its time and the actions that the machine
// returned. A trace may hold several sessions, since each node that served a
// request records its own.
//
// Every value has exactly one accepted encoding, the one that Write produces, so
// a line with an unknown, missing or repeated field is rejected.
//
// A Budget may be used by any number of goroutines, a Recording by one only.
package trace

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Version is the version of the format. Other versions are rejected.
const Version = 1

// Header describes one session.
type Header struct {
	Version    int                `json:"trace_version"`
	Host       ident.HostID       `json:"host"`
	Team       ident.Team         `json:"customer"`
	Request    ident.RequestID    `json:"request"`
	Generation ident.GenerationID `json:"generation"`
	StartedAt  time.Time          `json:"started_at"`
	// Truncated reports whether the session continued after the last recorded event.
	Truncated bool                `json:"truncated"`
	Config    continuation.Config `json:"config"`
	Start     Start               `json:"start"`
}

// Start is the state in which a session began.
type Start struct {
	// Tokens holds the tokens of the journal.
	Tokens []string `json:"tokens"`
	// Released is the number of journal tokens that the caller already had.
	Released int `json:"released"`
	// Finished is the finish reason if the journal already held a complete answer.
	Finished string `json:"finished"`
	// Attempt and Backend identify the stream that was taken over from another
	// node, if any.
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
}

// Step is one event of a session and the actions that the machine returned for it.
type Step struct {
	// At is the time since the first event of the session.
	At      time.Duration
	Event   continuation.Event
	Actions []continuation.Action
}

// Session is one recorded session.
type Session struct {
	Header Header
	Steps  []Step
}

// newMachine returns a machine in the state in which the session began.
func (s Start) newMachine(config continuation.Config) *continuation.Machine {
	machine := continuation.NewMachine(config, continuation.NewJournalFromTokens(s.Tokens), s.Released)
	if s.Finished != "" {
		machine.MarkComplete(s.Finished)
	} else if s.Attempt != "" {
		machine.Adopt(s.Attempt, s.Backend)
	}
	return machine
}

// taggedValue is the JSON form of an event or an action.
type taggedValue struct {
	Kind  string          `json:"kind"`
	Value json.RawMessage `json:"value"`
}

// stepLine is the JSON form of a Step.
type stepLine struct {
	AtNS    int64         `json:"at_ns"`
	Event   taggedValue   `json:"event"`
	Actions []taggedValue `json:"actions"`
}

// kindRegistry maps the kind names of the format to the types of package
// continuation. A name must never change its meaning within a format version.
type kindRegistry[T any] struct {
	types map[string]reflect.Type
	names map[reflect.Type]string
}

func newKindRegistry[T any](values map[string]T) kindRegistry[T] {
	k := kindRegistry[T]{types: map[string]reflect.Type{}, names: map[reflect.Type]string{}}
	for name, value := range values {
		t := reflect.TypeOf(value)
		k.types[name] = t
		k.names[t] = name
	}
	return k
}

var eventKinds = newKindRegistry(map[string]continuation.Event{
	"started":          continuation.Started{},
	"placed":           continuation.Placed{},
	"placement_failed": continuation.PlacementFailed{},
	"token":            continuation.Token{},
	"broken":           continuation.Broken{},
	"ended":            continuation.Ended{},
	"probed":           continuation.Probed{},
	"acknowledged":     continuation.Acknowledged{},
	"protection":       continuation.Protection{},
	"tick":             continuation.Tick{},
	"caller_gone":      continuation.CallerGone{},
	"taken_over":       continuation.TakenOver{},
})

var actionKinds = newKindRegistry(map[string]continuation.Action{
	"place":     continuation.Place{},
	"open":      continuation.Open{},
	"reconnect": continuation.Reconnect{},
	"probe":     continuation.Probe{},
	"cancel":    continuation.Cancel{},
	"detach":    continuation.Detach{},
	"drop":      continuation.Drop{},
	"replicate": continuation.Replicate{},
	"release":   continuation.Release{},
	"discarded": continuation.Discarded{},
	"lost":      continuation.Lost{},
	"resumed":   continuation.Resumed{},
	"finish":    continuation.Finish{},
	"fail":      continuation.Fail{},
	"end":       continuation.End{},
})

func (k kindRegistry[T]) encode(value T) (taggedValue, error) {
	name, ok := k.names[reflect.TypeOf(value)]
	if !ok {
		return taggedValue{}, fmt.Errorf("type %T has no kind in the trace format", value)
	}
	raw, err := json.Marshal(value)
	return taggedValue{Kind: name, Value: raw}, err
}

func (k kindRegistry[T]) decode(tagged taggedValue) (T, error) {
	var zero T
	t, ok := k.types[tagged.Kind]
	if !ok {
		return zero, fmt.Errorf("unknown kind %q", tagged.Kind)
	}
	value := reflect.New(t)
	if err := decodeStrictly(tagged.Value, value.Interface()); err != nil {
		return zero, fmt.Errorf("kind %q: %w", tagged.Kind, err)
	}
	return value.Elem().Interface().(T), nil
}

// decodeStrictly decodes JSON and rejects unknown fields. It never returns io.EOF,
// which callers take for the end of the trace.
func decodeStrictly(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// encodeActions returns the actions in their JSON form.
func encodeActions(actions []continuation.Action) ([]taggedValue, error) {
	items := make([]taggedValue, 0, len(actions))
	for _, action := range actions {
		tagged, err := actionKinds.encode(action)
		if err != nil {
			return nil, err
		}
		items = append(items, tagged)
	}
	return items, nil
}

func encodeStep(step Step) ([]byte, error) {
	event, err := eventKinds.encode(step.Event)
	if err != nil {
		return nil, err
	}
	actions, err := encodeActions(step.Actions)
	if err != nil {
		return nil, err
	}
	return json.Marshal(stepLine{AtNS: int64(step.At), Event: event, Actions: actions})
}

// Write writes a session as one header line and one line for each step.
func Write(w io.Writer, session Session) error {
	header := session.Header
	header.Version = Version
	header.StartedAt = header.StartedAt.UTC().Round(0)
	text, err := json.Marshal(header)
	if err != nil {
		return newError(CodeMalformed).Wrapf(err, "encode the header")
	}
	var b bytes.Buffer
	b.Write(append(text, '\n'))
	for i, step := range session.Steps {
		if text, err = encodeStep(step); err != nil {
			return newError(CodeMalformed).Wrapf(err, "encode event %d", i)
		}
		b.Write(append(text, '\n'))
	}
	_, err = w.Write(b.Bytes())
	return err
}
