package engine

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/chain"
)

// stream is one generation on the engine. All fields are guarded by Engine.mu once
// the stream has been submitted.
type stream struct {
	id       string
	model    string
	prompt   string // including the text of continue_from
	priority int
	arrival  uint64 // order of arrival

	state        chain.State
	firstIndex   int // index of the first token
	length       int // number of tokens of the whole output
	finishReason string

	blocks       []block
	promptTokens int
	cachedTokens int
	prefillLeft  float64 // uncached prompt tokens not yet prefilled

	phase  phase
	tokens []string
	nextAt time.Time // when the next token is due

	readers      map[*reader]struct{}
	deliveredEnd int // index after the last token sent to a reader
	// idleSince is the time of the submission, of the finish or of the last
	// reader's disconnection, whichever is latest.
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

// reader is one open response. changed has a capacity of 1 and signals that there
// may be new events.
type reader struct {
	changed chan struct{}
	muted   bool // gets no more data, see Engine.Silence; guarded by Engine.mu
}

func (s *stream) wakeReaders() {
	for r := range s.readers {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}

// nextIndex returns the index of the next token to be generated.
func (s *stream) nextIndex() int { return s.firstIndex + len(s.tokens) }

// ended reports whether the stream generates no further tokens.
func (s *stream) ended() bool { return s.phase == phaseFinished || s.phase == phaseCancelled }

// fullyDelivered reports whether the stream has finished and all its events were
// sent to a reader.
func (s *stream) fullyDelivered() bool {
	return s.phase == phaseFinished && s.deliveredEnd >= s.endIndex()
}

// endIndex returns the index after the last event. If the output was complete before
// the attempt, the stream has one event without text.
func (s *stream) endIndex() int { return max(s.length, s.firstIndex+1) }

func (s *stream) status() backendapi.StreamStatus {
	state := backendapi.StreamRunning
	switch s.phase {
	case phaseQueued:
		state = backendapi.StreamQueued
	case phaseFinished, phaseCancelled:
		state = backendapi.StreamFinished
	}
	return backendapi.StreamStatus{ID: s.id, State: state, Tokens: s.nextIndex()}
}

// events returns the existing events from an index on.
func (s *stream) events(from int) []backendapi.StreamEvent {
	var out []backendapi.StreamEvent
	for i := from; i < s.nextIndex(); i++ {
		out = append(out, s.event(i, s.tokens[i-s.firstIndex]))
	}
	if s.phase == phaseFinished && s.firstIndex >= s.length && from == s.firstIndex {
		out = append(out, s.event(s.firstIndex, ""))
	}
	return out
}

func (s *stream) event(index int, text string) backendapi.StreamEvent {
	choice := backendapi.Choice{Text: text}
	if index >= s.length-1 {
		choice.FinishReason = &s.finishReason
	}
	e := backendapi.StreamEvent{ID: s.id, Index: index, Model: s.model, Choices: []backendapi.Choice{choice}}
	if index == s.firstIndex {
		e.PromptTokens, e.CachedPromptTokens = s.promptTokens, s.cachedTokens
	}
	return e
}
