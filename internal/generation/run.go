package generation

import (
	"context"
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// eventQueueCapacity is the number of events that can wait for the generation's
	// goroutine.
	eventQueueCapacity = 256
	// probeTimeout limits one probe. It is longer than any time for which the
	// machine waits for a probe, so that the machine's wait, not this limit,
	// decides when a replacement is placed.
	probeTimeout = 1200 * time.Millisecond
)

// queuedEvent is an entry in the queue to the generation's goroutine.
type queuedEvent struct {
	event continuation.Event // nil: only prepare runs
	// prepare, if set, runs in the generation's goroutine before the event is
	// processed.
	prepare func()
}

// placedAttempt is the placement of an attempt and the number of tokens that
// the attempt has delivered.
type placedAttempt struct {
	Placement
	delivered int
}

// Run is one generation in progress.
type Run struct {
	deps    Deps
	request *Request
	sink    Sink
	machine *continuation.Machine
	events  chan queuedEvent
	// ctx is cancelled at the end of the generation, not when the caller
	// disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// replicaState is the latest state of the replica. The replica's worker serves
	// many generations and must not block on one of them, so updates are merged
	// instead of queued.
	replicaState replicaState

	// The fields below are accessed only by the goroutine that calls Execute.
	encoder          *cursor.Encoder
	cursorBase       cursor.Cursor
	released         *releasedDigest
	replica          Replica
	recorder         Recorder // nil: the session is not recorded
	placements       map[ident.AttemptID]*placedAttempt
	streams          map[ident.AttemptID]context.CancelFunc
	started          time.Time
	lastToken        time.Time
	sinkFailed       bool
	replicaAvailable bool
	result           Result
	batch            []ReleasedToken
}

// New returns a generation that begins at start. Execute runs it.
func New(deps Deps, request *Request, start StartState, sink Sink) *Run {
	if start.Journal == nil {
		start.Journal = &continuation.Journal{}
	}
	config := deps.Config
	if deps.Replicas == nil {
		config.ReleaseAfterAck = false
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Run{
		deps:             deps,
		request:          request,
		sink:             sink,
		machine:          continuation.NewMachine(config, start.Journal, start.Released),
		events:           make(chan queuedEvent, eventQueueCapacity),
		ctx:              ctx,
		cancel:           cancel,
		replicaState:     newReplicaState(start.Journal.Len()),
		replicaAvailable: true,
		released:         newReleasedDigest(start.Journal.TextPrefix(start.Released)),
		placements:       map[ident.AttemptID]*placedAttempt{},
		streams:          map[ident.AttemptID]context.CancelFunc{},
		cursorBase: cursor.Cursor{
			Generation:    request.Generation,
			Request:       request.Request,
			Team:          request.Team,
			Owner:         deps.Host,
			Replicas:      start.Replicas,
			RequestDigest: request.RequestDigest,
		},
	}
	if start.FinishReason != "" {
		r.machine.MarkComplete(start.FinishReason)
	} else if start.Attempt != "" {
		r.machine.Adopt(start.Attempt, start.Backend)
	}
	r.encoder = deps.Cursors.NewEncoder(r.cursorBase)
	if deps.Replicas != nil {
		r.replica = deps.Replicas.Open(request, &start, ReplicaCallbacks{
			Acknowledged: r.replicaState.acknowledge,
			Available:    r.replicaState.setAvailable,
		})
	}
	if deps.Trace != nil {
		r.recorder = deps.Trace.Open(request, &start, config)
	}
	return r
}

// TakeOver ends this run because another connection of the caller continues the
// generation, and returns the accepted tokens. It returns false if the
// generation has already ended.
func (r *Run) TakeOver() (tokens []string, ok bool) {
	journal := make(chan []string, 1)
	delivered := r.send(queuedEvent{
		event:   continuation.TakenOver{},
		prepare: func() { journal <- r.machine.Journal().Tokens(0, r.machine.Journal().Len()) },
	})
	if !delivered {
		return nil, false
	}
	select {
	case tokens := <-journal:
		return tokens, true
	case <-r.ctx.Done():
		return nil, false
	}
}

// Request returns the request of the generation.
func (r *Run) Request() *Request { return r.request }

// post queues an event, or drops it if the generation has ended.
func (r *Run) post(event continuation.Event) {
	r.send(queuedEvent{event: event})
}

// send queues an entry and blocks while the queue is full. It returns false if
// the generation has ended.
func (r *Run) send(m queuedEvent) bool {
	select {
	case r.events <- m:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// Execute runs the generation to its end. The context of the caller ends when
// the caller disconnects.
func (r *Run) Execute(caller context.Context) Result {
	defer r.close()
	r.started = time.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	callerDone := caller.Done()
	r.step(continuation.Started{})
	for !r.machine.Done() {
		if r.sinkFailed && callerDone != nil {
			callerDone = nil
			r.callerGone()
			continue
		}
		if deadline := r.machine.Deadline(); deadline.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(deadline))
		}
		select {
		case m := <-r.events:
			r.receive(m)
		case <-r.replicaState.changed:
			r.replicaChanged()
		case <-timer.C:
			r.step(continuation.Tick{})
		case <-callerDone:
			callerDone = nil
			r.callerGone()
		}
	}
	r.result.Tokens = r.machine.Journal().Len()
	r.result.Opened = r.result.Opened && r.machine.MayHaveRun()
	return r.result
}

// close ends all streams, releases the remaining placements, and closes the
// replica and the recorder.
func (r *Run) close() {
	r.cancel()
	for id := range r.placements {
		r.releasePlacement(id, OutcomeCancelled)
	}
	if r.replica != nil {
		r.replica.Close()
	}
	if r.recorder != nil {
		r.recorder.Close()
	}
}

func (r *Run) callerGone() {
	r.result.CallerGone = true
	r.step(continuation.CallerGone{})
}

// replicaChanged passes the latest state of the replica to the machine.
func (r *Run) replicaChanged() {
	tokens, available := r.replicaState.get()
	if available != r.replicaAvailable {
		r.replicaAvailable = available
		if !available {
			r.deps.Observer.ReplicaUnavailable(r.request)
		}
		r.step(continuation.Protection{Available: available})
	}
	if !r.machine.Done() {
		r.step(continuation.Acknowledged{Tokens: tokens})
	}
}

func (r *Run) receive(m queuedEvent) {
	if m.prepare != nil {
		m.prepare()
	}
	if m.event != nil {
		r.step(m.event)
	}
}

func (r *Run) step(event continuation.Event) {
	now := time.Now()
	if token, ok := event.(continuation.Token); ok {
		r.observeGap(now, token)
	}
	actions := r.machine.Step(now, event)
	if r.recorder != nil {
		r.recorder.Step(now, event, actions)
	}
	for _, action := range actions {
		r.execute(now, action)
	}
}

func (r *Run) observeGap(now time.Time, token continuation.Token) {
	if token.Index != r.machine.Journal().Len() {
		return
	}
	if r.lastToken.IsZero() {
		r.deps.Observer.FirstToken(r.request, now.Sub(r.started))
	} else {
		r.detector().Observe(now.Sub(r.lastToken))
	}
	r.lastToken = now
}

func (r *Run) detector() Detector { return r.deps.Detector(r.request.Model) }

func (r *Run) execute(now time.Time, action continuation.Action) {
	switch a := action.(type) {
	case continuation.Place:
		go r.place(PlacementRequest{
			Attempt:      ident.NewAttemptID(),
			Resume:       a.Resume,
			AcceptedText: r.machine.Journal().Text(),
			Exclude:      a.Exclude,
		})
	case continuation.Open:
		r.open(a)
	case continuation.Reconnect:
		r.reconnect(a)
	case continuation.Probe:
		go r.probe(a)
	case continuation.Cancel:
		r.stop(a.Attempt, outcomeOf(a))
		r.deps.Backends.Cancel(a.Backend, a.Attempt)
	case continuation.Detach:
		r.stop(a.Attempt, OutcomeCancelled)
	case continuation.Drop:
		r.releasePlacement(a.Attempt, OutcomeUnused)
	case continuation.Replicate:
		r.replicate(a)
	case continuation.Release:
		r.release(a)
	case continuation.Discarded:
		r.deps.Observer.TokenDiscarded(r.request)
	case continuation.Lost:
		r.deps.Observer.Decision(r.request, "lost", fmt.Sprintf("backend server %s: %s", a.Backend, a.Reason))
	case continuation.Resumed:
		r.deps.Observer.Resumed(r.request, a.Latency, a.SameStream)
		r.deps.Observer.Decision(r.request, "resumed", fmt.Sprintf("backend server %s after %d ms, same stream: %t", a.Backend, a.Latency.Milliseconds(), a.SameStream))
	case continuation.Finish:
		r.finish(a)
	case continuation.Fail:
		r.result.FailureReason = a.Reason
		r.deps.Observer.Decision(r.request, "failed", a.Reason)
	case continuation.End:
		r.result.CallerGone = true
	}
}
