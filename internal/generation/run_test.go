package generation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
)

// script is the output of one attempt: tokens, then an error.
type script struct {
	openErr error
	tokens  []string
	finish  string // of the last token
	err     error
}

// scriptedBackends delivers one script for each attempt that is opened.
type scriptedBackends struct {
	scripts []script
	opened  int
}

func (s *scriptedBackends) Open(_ context.Context, _ ident.BackendID, request backendapi.CompletionRequest) (Stream, error) {
	next := s.scripts[s.opened]
	s.opened++
	first := 0
	if request.ContinueFrom != nil {
		first = request.ContinueFrom.Tokens
	}
	return &scriptedStream{script: next, first: first}, next.openErr
}

func (*scriptedBackends) Resume(context.Context, ident.BackendID, ident.AttemptID, int) (Stream, error) {
	return nil, io.ErrClosedPipe
}

func (*scriptedBackends) Status(context.Context, ident.BackendID, ident.AttemptID) (backendapi.StreamStatus, error) {
	return backendapi.StreamStatus{}, io.ErrClosedPipe
}

func (*scriptedBackends) Cancel(ident.BackendID, ident.AttemptID) {}

type scriptedStream struct {
	script
	first, sent int
}

func (s *scriptedStream) Next() (backendapi.StreamEvent, error) {
	if s.sent == len(s.tokens) {
		return backendapi.StreamEvent{}, s.err
	}
	choice := backendapi.Choice{Text: s.tokens[s.sent]}
	s.sent++
	if s.sent == len(s.tokens) && s.finish != "" {
		choice.FinishReason = &s.finish
	}
	return backendapi.StreamEvent{Index: s.first + s.sent - 1, Choices: []backendapi.Choice{choice}}, nil
}

func (*scriptedStream) Close() {}

type fixedPlacer struct{}

func (fixedPlacer) Place(context.Context, *Request, PlacementRequest) (Placement, error) {
	return Placement{Backend: "e", FirstTokenLimit: time.Minute, Release: func(Outcome, int) {}}, nil
}

type fixedDetector struct{}

func (fixedDetector) Observe(time.Duration)       {}
func (fixedDetector) SilenceLimit() time.Duration { return time.Minute }

type nopObserver struct{}

func (nopObserver) Decision(*Request, string, string)        {}
func (nopObserver) PromptProcessed(*Request, bool, int, int) {}
func (nopObserver) TokenDiscarded(*Request)                  {}
func (nopObserver) Resumed(*Request, time.Duration, bool)    {}
func (nopObserver) FirstToken(*Request, time.Duration)       {}
func (nopObserver) ReplicaUnavailable(*Request)              {}

type textSink struct {
	strings.Builder
	finish string
}

func (s *textSink) Tokens(tokens []ReleasedToken) error {
	for _, t := range tokens {
		s.WriteString(t.Text)
	}
	return nil
}

func (s *textSink) Finish(reason string) error { s.finish = reason; return nil }

// Guards against a truncated response that is reported as complete. Unwrapped
// io.EOF marks the end of a response; a connection error that wraps io.EOF must
// not be taken for it.
func TestConnectionErrorIsNotEndOfResponse(t *testing.T) {
	cut := script{tokens: []string{" a", " b"}, err: io.ErrUnexpectedEOF}
	rest := script{tokens: []string{" c"}, finish: "stop", err: io.EOF}
	wrapped := fmt.Errorf("read: %w", io.EOF)
	cases := map[string][]script{
		"no connection for the resume":      {cut, {openErr: wrapped}, rest},
		"response ends without end mark":    {{tokens: []string{" a", " b"}, err: wrapped}, rest},
		"resumed response ends immediately": {cut, {err: wrapped}, rest},
	}
	for name, scripts := range cases {
		t.Run(name, func(t *testing.T) {
			codec, err := cursor.NewCodec(make([]byte, 32))
			if err != nil {
				t.Fatal(err)
			}
			sink := &textSink{}
			run := New(Deps{
				Backends: &scriptedBackends{scripts: scripts}, Placer: fixedPlacer{}, Cursors: codec,
				Detector: func(string) Detector { return fixedDetector{} },
				Observer: nopObserver{}, Config: continuation.DefaultConfig,
			}, &Request{}, StartState{}, sink)
			result := run.Execute(t.Context())
			if sink.String() != " a b c" || sink.finish != "stop" || result.FailureReason != "" {
				t.Errorf("answer %q with finish reason %q, failure %q; want %q with stop", sink.String(), sink.finish, result.FailureReason, " a b c")
			}
		})
	}
}

// singlePlacer fails from the second placement on.
type singlePlacer struct{ calls *int }

func (p singlePlacer) Place(ctx context.Context, r *Request, spec PlacementRequest) (Placement, error) {
	*p.calls++
	if *p.calls > 1 {
		return Placement{}, errors.New("no backend server available")
	}
	return fixedPlacer{}.Place(ctx, r, spec)
}

// Guards against two faults in the handling of a new request that no server has
// accepted: it is retried like a resume instead of failing at once, and it is
// reported as possibly run.
func TestRejectedRequestDidNotRun(t *testing.T) {
	cases := map[string]struct {
		err    error
		opened bool
	}{
		"no connection":     {oops.Code(backend.CodeConnect).New("refused"), false},
		"refusal":           {oops.Code(backend.CodeRejected).New("leaving"), false},
		"answer is lost":    {oops.Code(backend.CodeBroken).New("reset"), true},
		"stream was opened": {nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				codec, err := cursor.NewCodec(make([]byte, 32))
				if err != nil {
					t.Fatal(err)
				}
				calls := 0
				scripts := []script{{openErr: c.err, err: io.ErrUnexpectedEOF}}
				begin := time.Now()
				result := New(Deps{
					Backends: &scriptedBackends{scripts: scripts}, Placer: singlePlacer{&calls}, Cursors: codec,
					Detector: func(string) Detector { return fixedDetector{} },
					Observer: nopObserver{}, Config: continuation.DefaultConfig,
				}, &Request{}, StartState{}, &textSink{}).Execute(t.Context())
				if result.FailureReason == "" || result.Opened != c.opened {
					t.Errorf("%+v, want a failure and Opened %t", result, c.opened)
				}
				if waited := time.Since(begin); !c.opened && waited > 0 {
					t.Errorf("the refusal took %s of virtual time, want none", waited)
				}
			})
		})
	}
}
