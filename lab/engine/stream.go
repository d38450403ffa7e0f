package engine

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/chain"
)

// stream is one generation on the engine. All fields are guarded by Engine.mu.
type stream struct {
	id       string
	model    string
	prompt   string // with the text of continue_from
	priority int
	arrival  uint64 // order of arrival

	state  chain.State
	first  int // index of the first token
	length int // number of tokens of the whole answer
	finish string

	blocks       []block
	promptTokens int
	cachedTokens int
	prefillLeft  float64 // uncached prompt tokens not read yet

	phase  phase
	tokens []string
	nextAt time.Time // when the next token is due

	readers   map[*reader]struct{}
	delivered int // index behind the newest token that a reader got
	// idleSince is the later of the finish and the departure of the last reader.
	idleSince time.Time
}

type phase int

const (
	phaseQueued phase = iota
	phasePrefill
	phaseDecode
	phaseFinished
	phaseCancelled
)

// reader is one open response. changed has a capacity of 1.
type reader struct {
	changed chan struct{}
	silent  bool // gets no more data; guarded by Engine.mu
}

func (s *stream) wakeReaders() {
	for r := range s.readers {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}

// next returns the index of the next token.
func (s *stream) next() int { return s.first + len(s.tokens) }

// over reports that no further token will come.
func (s *stream) over() bool { return s.phase == phaseFinished || s.phase == phaseCancelled }

// fullyDelivered reports that a reader got all events.
func (s *stream) fullyDelivered() bool { return s.phase == phaseFinished && s.delivered >= s.end() }

// end returns the index behind the last event. An answer that was complete
// before the attempt has one event without text.
func (s *stream) end() int { return max(s.length, s.first+1) }

func (s *stream) status() backendapi.StreamStatus {
	state := backendapi.StreamRunning
	switch s.phase {
	case phaseQueued:
		state = backendapi.StreamQueued
	case phaseFinished, phaseCancelled:
		state = backendapi.StreamFinished
	}
	return backendapi.StreamStatus{ID: s.id, State: state, Tokens: s.next()}
}

// events returns the events from an index on, as far as they exist.
func (s *stream) events(from int) []backendapi.StreamEvent {
	var out []backendapi.StreamEvent
	for i := from; i < s.next(); i++ {
		out = append(out, s.event(i, s.tokens[i-s.first]))
	}
	if s.phase == phaseFinished && s.first >= s.length && from == s.first {
		out = append(out, s.event(s.first, ""))
	}
	return out
}

func (s *stream) event(index int, text string) backendapi.StreamEvent {
	choice := backendapi.Choice{Text: text}
	if index >= s.length-1 {
		choice.FinishReason = &s.finish
	}
	e := backendapi.StreamEvent{ID: s.id, Index: index, Model: s.model, Choices: []backendapi.Choice{choice}}
	if index == s.first {
		e.PromptTokens, e.CachedPromptTokens = s.promptTokens, s.cachedTokens
	}
	return e
}
