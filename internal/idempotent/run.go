package idempotent

import (
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/claim"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// run is the execution of one call. Only the goroutine of loop uses machine,
// lastReading and claimStart.
type run struct {
	executor *Executor
	call     Call
	rowKey   string
	attempt  ident.AttemptID
	machine  claim.Machine
	// events delivers the outcome of the operation in progress.
	events chan claim.Event
	// answer has capacity 1, for the single answer to the caller.
	answer chan claim.Action
	// done is closed when the machine has finished.
	done chan struct{}
	// lastReading is the clock reading at the previous step.
	lastReading claim.ClockReading
	// claimStart is the time at which the first write of the claim began.
	claimStart claim.ClockReading
}

func (r *run) loop(deadline <-chan struct{}) {
	defer close(r.done)
	r.lastReading = r.executor.config.Now()
	r.step(claim.Event{Kind: claim.EventStart, Refusal: r.call.Refusal, RetryAfter: r.call.RetryAfter})
	storeTimer := time.NewTimer(storeTimeout)
	defer storeTimer.Stop()
	for !r.machine.Finished() {
		select {
		case event := <-r.events:
			r.step(event)
		case <-storeTimer.C:
			if r.machine.AwaitsStore() {
				r.step(claim.Event{Kind: claim.EventDeadline})
			}
		case <-deadline:
			deadline = nil
			r.step(claim.Event{Kind: claim.EventDeadline})
		}
	}
}

func (r *run) step(event claim.Event) {
	now := r.executor.config.Now()
	if clocksDiverged(r.lastReading, now) {
		r.executor.config.Metrics.Counter("clock_jumps").Inc(1)
		r.execute(now, r.machine.Step(now, claim.Event{Kind: claim.EventClockJump}))
	}
	r.lastReading = now
	r.execute(now, r.machine.Step(now, event))
}

// clocksDiverged reports whether the progress of the two clocks between the
// readings differs by more than maxClockDrift.
func clocksDiverged(before, now claim.ClockReading) bool {
	drift := now.Wall.Sub(before.Wall) - (now.Monotonic - before.Monotonic)
	return drift.Abs() > maxClockDrift
}

func (r *run) execute(now claim.ClockReading, actions []claim.Action) {
	for _, a := range actions {
		switch a.Kind {
		case claim.ActionRead:
			r.startOperation(func() claim.Event {
				r.sleep(a.Delay)
				return r.executor.config.Claims.Read(r.rowKey)
			})
		case claim.ActionWrite:
			if a.Row.State == claim.StateClaimed && r.claimStart == (claim.ClockReading{}) {
				r.claimStart = now
			}
			r.startOperation(func() claim.Event { return r.write(a) })
		case claim.ActionSend:
			start := r.claimStart
			r.startOperation(func() claim.Event { return r.send(start) })
		case claim.ActionAnswer:
			r.countAnswer(a)
			r.answer <- a
		}
	}
}

// startOperation runs f in a new goroutine. At most one operation may be in
// progress; its event is discarded if the machine finishes first.
func (r *run) startOperation(f func() claim.Event) {
	r.executor.calls.Go(func() { r.events <- f() })
}

// sleep waits for d, or until the machine finishes.
func (r *run) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.done:
	}
}

func (r *run) write(a claim.Action) claim.Event {
	row := a.Row
	if row.Result != nil && len(row.Result.Body) > maxRowBody {
		name := "claim-results/" + url.PathEscape(string(r.call.Team)) + "/" + string(r.attempt)
		ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
		defer cancel()
		if err := r.executor.config.Objects.Put(ctx, name, row.Result.Body); err != nil {
			r.executor.config.Log.WithError(newError(CodeObject).Wrapf(err, "store %q", name)).Warn("cannot store call result in the object store; will retry")
			return claim.Event{Kind: claim.EventUnavailable}
		}
		row.Result = &claim.Result{Status: row.Result.Status, Header: row.Result.Header, Object: name}
	}
	return r.executor.config.Claims.Write(r.rowKey, row, a.Version)
}

// send sends the request unless the send window has elapsed. The window is
// checked again here because the process may have been paused after the machine
// decided to send.
func (r *run) send(claimStart claim.ClockReading) claim.Event {
	config := &r.executor.config
	if claim.SendWindowElapsed(claimStart, config.Now()) {
		return claim.Event{Kind: claim.EventNotSent}
	}
	ctx, cancel := context.WithTimeout(context.Background(), config.SendTimeout)
	defer cancel()
	response, err := config.Sender.Send(ctx, r.call)
	switch {
	case err == nil:
		result := &claim.Result{Status: response.Status, Header: response.Header, Body: response.Body}
		return claim.Event{Kind: claim.EventResponse, Result: result}
	case errors.Is(err, ErrNotSent) && !errors.Is(err, ErrMaybeSent):
		return claim.Event{Kind: claim.EventNotSent}
	default:
		return claim.Event{Kind: claim.EventMaybeSent}
	}
}

func (r *run) countAnswer(a claim.Action) {
	outcome := string(a.Outcome)
	if a.Result != nil {
		outcome = "result"
	}
	r.executor.config.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("answers").Inc(1)
}

func (r *run) response(a claim.Action) (Response, error) {
	if a.Result == nil {
		return Response{}, newError(CodeFailed).Wrap(&Failure{Code: a.Code, Outcome: a.Outcome, RetryAfter: a.RetryAfter})
	}
	body := a.Result.Body
	if a.Result.Object != "" {
		ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
		defer cancel()
		var err error
		if body, err = r.executor.config.Objects.Get(ctx, a.Result.Object); err != nil {
			// The call ran, but its result cannot be loaded now.
			r.executor.config.Log.WithError(newError(CodeObject).Wrapf(err, "load %q", a.Result.Object)).Warn("cannot load call result from the object store")
			failure := &Failure{Code: callerapi.CodeOutcomeUnknown, Outcome: callerapi.OutcomeUnknown, RetryAfter: claim.ResultWait}
			return Response{}, newError(CodeObject).Wrap(failure)
		}
	}
	return Response{Status: a.Result.Status, Header: a.Result.Header, Body: body, Replayed: a.Replayed}, nil
}
