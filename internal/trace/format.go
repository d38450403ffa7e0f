// Package trace records the sessions of generations and replays them.
//
// A trace is a text of JSON lines. Each session begins with a header line: the
// policy, and where the journal began. One line follows for each event that
// the state machine of package continuation received, with its time and the
// actions that the machine returned. A trace may hold several sessions, since
// each node that served a request records its own.
//
// Every value has exactly one accepted form, the one that Write produces, so
// that a line with an unknown, missing or repeated field is refused.
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

// Version is the version of the format. Another version is refused.
const Version = 1

// Header describes one session.
type Header struct {
	Version    int                `json:"trace_version"`
	Host       ident.HostID       `json:"host"`
	Team       ident.Team         `json:"customer"`
	Request    ident.RequestID    `json:"request"`
	Generation ident.GenerationID `json:"generation"`
	StartedAt  time.Time          `json:"started_at"`
	// Truncated tells that the session went on after the last recorded event.
	Truncated bool                `json:"truncated"`
	Config    continuation.Config `json:"config"`
	Start     Start               `json:"start"`
}

// Start tells where the journal of a session began.
type Start struct {
	// Tokens is the journal.
	Tokens []string `json:"tokens"`
	// Released is how many tokens of the journal the caller had.
	Released int `json:"released"`
	// Finished is the finish reason if the journal was a whole answer.
	Finished string `json:"finished"`
	// Attempt and Backend name the stream that was adopted from another node.
	Attempt ident.AttemptID `json:"attempt"`
	Backend ident.BackendID `json:"backend"`
}

// Step is one event of a session and what the machine made of it.
type Step struct {
	// At is the time since the first event.
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
	machine := continuation.NewMachine(config, continuation.JournalFromTokens(s.Tokens), s.Released)
	if s.Finished != "" {
		machine.Complete(s.Finished)
	} else if s.Attempt != "" {
		machine.Adopt(s.Attempt, s.Backend)
	}
	return machine
}

// item is an event or an action on a line.
type item struct {
	Kind  string          `json:"kind"`
	Value json.RawMessage `json:"value"`
}

// line is a Step on a line.
type line struct {
	AtNS    int64  `json:"at_ns"`
	Event   item   `json:"event"`
	Actions []item `json:"actions"`
}

// kinds maps the names of the format to the types of package continuation. A
// name must never change its meaning within a version.
type kinds[T any] struct {
	types map[string]reflect.Type
	names map[reflect.Type]string
}

func newKinds[T any](values map[string]T) kinds[T] {
	k := kinds[T]{types: map[string]reflect.Type{}, names: map[reflect.Type]string{}}
	for name, value := range values {
		t := reflect.TypeOf(value)
		k.types[name] = t
		k.names[t] = name
	}
	return k
}

var eventKinds = newKinds(map[string]continuation.Event{
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

var actionKinds = newKinds(map[string]continuation.Action{
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

func (k kinds[T]) encode(value T) (item, error) {
	name, ok := k.names[reflect.TypeOf(value)]
	if !ok {
		return item{}, fmt.Errorf("type %T has no kind in the trace format", value)
	}
	raw, err := json.Marshal(value)
	return item{Kind: name, Value: raw}, err
}

func (k kinds[T]) decode(i item) (T, error) {
	var none T
	t, ok := k.types[i.Kind]
	if !ok {
		return none, fmt.Errorf("unknown kind %q", i.Kind)
	}
	value := reflect.New(t)
	if err := decodeStrictly(i.Value, value.Interface()); err != nil {
		return none, fmt.Errorf("kind %q: %w", i.Kind, err)
	}
	return value.Elem().Interface().(T), nil
}

// decodeStrictly never returns io.EOF, which means the end of the trace.
func decodeStrictly(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// encodeActions returns the actions as they stand on a line.
func encodeActions(actions []continuation.Action) ([]item, error) {
	items := make([]item, 0, len(actions))
	for _, action := range actions {
		i, err := actionKinds.encode(action)
		if err != nil {
			return nil, err
		}
		items = append(items, i)
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
	return json.Marshal(line{AtNS: int64(step.At), Event: event, Actions: actions})
}

// Write writes a session.
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
