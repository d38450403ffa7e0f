package generation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
)

func outcomeOf(a continuation.Cancel) Outcome {
	switch {
	case a.Dead:
		return OutcomeDied
	case a.Rejected:
		return OutcomeRejected
	case a.Lost:
		return OutcomeLost
	}
	return OutcomeCancelled
}

// place requests a backend server for an attempt and posts the result as an
// event. If the generation has ended meanwhile, it releases the placement.
func (r *Run) place(spec PlacementRequest) {
	placement, err := r.deps.Placer.Place(r.ctx, r.request, spec)
	if err != nil {
		r.send(queuedEvent{
			event:   continuation.PlacementFailed{RetryAfter: retryAfterOf(err, spec.Resume), Reason: err.Error()},
			prepare: func() { r.result.PlacementError = err },
		})
		return
	}
	delivered := r.send(queuedEvent{
		event:   continuation.Placed{Attempt: spec.Attempt, Backend: placement.Backend, FirstTokenLimit: placement.FirstTokenLimit},
		prepare: func() { r.placements[spec.Attempt] = &placedAttempt{Placement: placement} },
	})
	if !delivered {
		placement.Release(OutcomeUnused, 0)
	}
}

// resumeRetryDelay is how long a resume waits before it requests a placement
// again after no backend server was available.
const resumeRetryDelay = 50 * time.Millisecond

func retryAfterOf(err error, resume bool) time.Duration {
	var final FinalError
	if !resume || errors.Is(err, context.Canceled) || errors.As(err, &final) && final.Final() {
		return 0
	}
	return resumeRetryDelay
}

func (r *Run) open(a continuation.Open) {
	placement := r.placements[a.Attempt]
	r.result.Opened = true
	journal := r.machine.Journal()
	request := backendapi.CompletionRequest{
		Model:     r.request.Model,
		Prompt:    r.request.Prompt,
		MaxTokens: r.request.MaxTokens,
		Stream:    true,
		Priority:  r.request.Priority,
		RequestID: string(r.request.Request),
		AttemptID: string(a.Attempt),
	}
	if a.Tokens > 0 {
		request.Priority = resumePriority
		request.ContinueFrom = &backendapi.ContinueFrom{Tokens: a.Tokens, Text: journal.TextPrefix(a.Tokens)}
	}
	r.deps.Observer.Decision(r.request, "placed", fmt.Sprintf("backend server %s from token %d", placement.Backend, a.Tokens))
	r.startReader(a.Attempt, func(ctx context.Context) (Stream, error) {
		return r.deps.Backends.Open(ctx, a.Backend, request)
	})
}

// resumePriority is above the priority of every contract, so that an engine
// schedules an interrupted generation before new requests.
const resumePriority = 100

func (r *Run) reconnect(a continuation.Reconnect) {
	r.closeStream(a.Attempt)
	r.startReader(a.Attempt, func(ctx context.Context) (Stream, error) {
		return r.deps.Backends.Resume(ctx, a.Backend, a.Attempt, a.From)
	})
}

// A process that exits resets connections for a short time before it refuses
// them. A probe whose connection is reset is retried, so that the death of the
// process is detected before the request, which may have caused it, is placed
// on another server.
const (
	maxProbeRetries = 4
	probeRetryDelay = 15 * time.Millisecond
)

func (r *Run) statusWithRetry(ctx context.Context, a continuation.Probe) (backendapi.StreamStatus, error) {
	for resets := 0; ; resets++ {
		status, err := r.deps.Backends.Status(ctx, a.Backend, a.Attempt)
		if backend.CodeOf(err) != backend.CodeBroken || resets == maxProbeRetries {
			return status, err
		}
		select {
		case <-time.After(probeRetryDelay):
		case <-ctx.Done():
			return status, err
		}
	}
}

func (r *Run) probe(a continuation.Probe) {
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	status, err := r.statusWithRetry(ctx, a)
	r.post(continuation.Probed{
		Attempt:      a.Attempt,
		Alive:        err == nil,
		Dead:         backend.CodeOf(err) == backend.CodeConnect,
		Queued:       err == nil && status.State == backendapi.StreamQueued,
		Tokens:       status.Tokens,
		SilenceLimit: r.detector().SilenceLimit(),
	})
}

// stop closes the connection of an attempt and releases its placement.
func (r *Run) stop(id ident.AttemptID, outcome Outcome) {
	r.closeStream(id)
	r.releasePlacement(id, outcome)
}

func (r *Run) closeStream(id ident.AttemptID) {
	if cancel, ok := r.streams[id]; ok {
		cancel()
		delete(r.streams, id)
	}
}

func (r *Run) releasePlacement(id ident.AttemptID, outcome Outcome) {
	placement, ok := r.placements[id]
	if !ok {
		return
	}
	delete(r.placements, id)
	placement.Release(outcome, placement.delivered)
}
