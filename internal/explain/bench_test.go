package explain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const benchTokens = 2000

// benchBackends delivers benchTokens tokens without delay. It is both the backend
// servers and their streams.
type benchBackends struct{ sent int }

func (*benchBackends) Open(context.Context, ident.BackendID, backendapi.CompletionRequest) (generation.Stream, error) {
	return &benchBackends{}, nil
}

func (*benchBackends) Resume(context.Context, ident.BackendID, ident.AttemptID, int) (generation.Stream, error) {
	return nil, io.ErrClosedPipe
}

func (*benchBackends) Status(context.Context, ident.BackendID, ident.AttemptID) (backendapi.StreamStatus, error) {
	return backendapi.StreamStatus{}, io.ErrClosedPipe
}

func (*benchBackends) Cancel(ident.BackendID, ident.AttemptID) {}
func (*benchBackends) Close()                                  {}

func (b *benchBackends) Next() (backendapi.StreamEvent, error) {
	if b.sent == benchTokens {
		return backendapi.StreamEvent{}, io.EOF
	}
	b.sent++
	return backendapi.StreamEvent{Index: b.sent - 1, Choices: []backendapi.Choice{{Text: " word"}}}, nil
}

type benchPlacer struct{}

func (benchPlacer) Place(context.Context, *generation.Request, generation.PlacementRequest) (generation.Placement, error) {
	return generation.Placement{Backend: "e", FirstTokenLimit: time.Minute, Release: func(generation.Outcome, int) {}}, nil
}

// benchReplicas acknowledges each token immediately.
type benchReplicas struct{ generation.ReplicaCallbacks }

func (benchReplicas) Open(_ *generation.Request, _ *generation.StartState, callbacks generation.ReplicaCallbacks) generation.Replica {
	return &benchReplica{callbacks: callbacks}
}

type benchReplica struct {
	callbacks generation.ReplicaCallbacks
	tokens    int
}

func (r *benchReplica) Append(string, string) {
	r.tokens++
	r.callbacks.Acknowledged(r.tokens)
}
func (*benchReplica) Hosts() []ident.HostID { return nil }
func (*benchReplica) Close()                {}

type benchSink struct{}

func (benchSink) Tokens([]generation.ReleasedToken) error { return nil }
func (benchSink) Finish(string) error                     { return nil }

type benchDetector struct{}

func (benchDetector) Observe(time.Duration)       {}
func (benchDetector) SilenceLimit() time.Duration { return time.Minute }

type benchObserver struct{}

func (benchObserver) Decision(*generation.Request, string, string)        {}
func (benchObserver) PromptProcessed(*generation.Request, bool, int, int) {}
func (benchObserver) TokenDiscarded(*generation.Request)                  {}
func (benchObserver) Resumed(*generation.Request, time.Duration, bool)    {}
func (benchObserver) FirstToken(*generation.Request, time.Duration)       {}
func (benchObserver) ReplicaUnavailable(*generation.Request)              {}

// BenchmarkGeneration measures a generation of 2,000 tokens with acknowledged
// copies, with and without a recording of its session.
func BenchmarkGeneration(b *testing.B) {
	codec, err := cursor.NewCodec(bytes.Repeat([]byte{1}, 32))
	if err != nil {
		b.Fatal(err)
	}
	deps := generation.Deps{
		Host: "h1", Backends: &benchBackends{}, Placer: benchPlacer{}, Replicas: benchReplicas{}, Cursors: codec,
		Detector: func(string) generation.Detector { return benchDetector{} }, Observer: benchObserver{},
		Config: continuation.DefaultConfig,
	}
	for _, tracer := range []generation.Tracer{nil, NewTraces("h1")} {
		b.Run(fmt.Sprintf("recorded=%t", tracer != nil), func(b *testing.B) {
			b.ReportAllocs()
			deps.Trace = tracer
			for b.Loop() {
				run := generation.New(deps, &generation.Request{Request: "r"}, generation.StartState{}, benchSink{})
				if result := run.Execute(context.Background()); result.Tokens != benchTokens {
					b.Fatalf("%d tokens", result.Tokens)
				}
			}
		})
	}
}
