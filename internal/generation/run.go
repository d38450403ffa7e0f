package generation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
)

const (
	// eventQueue bounds the events that wait for the generation's goroutine.
	eventQueue = 256
	// probeTimeout bounds a probe. It is longer than any wait for a probe, so
	// that the wait, not the probe, decides when a replacement is placed.
	probeTimeout = 1200 * time.Millisecond
)

// message is an event on its way to the generation's goroutine.
type message struct {
	event continuation.Event
	// prepare runs in the generation's goroutine before the event is processed.
	prepare func()
}

// Run is one generation under way.
type Run struct {
	deps    Deps
	request *Request
	sink    Sink
	machine *continuation.Machine
	events  chan message
	// ctx ends with the generation, not with the caller's connection.
	ctx    context.Context
	cancel context.CancelFunc
	// copied carries the newest state of the replica. The replica's worker
	// serves many generations and must not wait for one of them, so states are
	// merged instead of queued.
	copied copyState

	// The fields below belong to the goroutine of Execute.
	encoder    *cursor.Encoder
	cursorBase cursor.Cursor
	released   *releasedText
	replica    Replica
	recorder   Recorder // nil: the session is not recorded
	placements map[ident.AttemptID]Placement
	streams    map[ident.AttemptID]context.CancelFunc
	started    time.Time
	lastToken  time.Time
	sinkFailed bool
	available  bool
	result     Result
	batch      []ReleasedToken
}

// New prepares a generation.
func New(deps Deps, request *Request, start Start, sink Sink) *Run {
	if start.Journal == nil {
		start.Journal = &continuation.Journal{}
	}
	config := deps.Config
	if deps.Replicas == nil {
		config.ReleaseAfterAck = false
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Run{
		deps:       deps,
		request:    request,
		sink:       sink,
		machine:    continuation.NewMachine(config, start.Journal, start.Released),
		events:     make(chan message, eventQueue),
		ctx:        ctx,
		cancel:     cancel,
		copied:     newCopyState(start.Journal.Len()),
		available:  true,
		released:   newReleasedText(start.Journal.TextOf(start.Released)),
		placements: map[ident.AttemptID]Placement{},
		streams:    map[ident.AttemptID]context.CancelFunc{},
		cursorBase: cursor.Cursor{
			Generation:    request.Generation,
			Request:       request.Request,
			Customer:      request.Customer,
			Owner:         deps.Host,
			Replicas:      start.Replicas,
			RequestDigest: request.RequestDigest,
		},
	}
	if start.Finished != "" {
		r.machine.Complete(start.Finished)
	} else if start.Attempt != "" {
		r.machine.Adopt(start.Attempt, start.Backend)
	}
	r.encoder = deps.Cursors.NewEncoder(r.cursorBase)
	if deps.Replicas != nil {
		r.replica = deps.Replicas.Open(request, &start, ReplicaCallbacks{
			Acknowledged: r.copied.acknowledge,
			Available:    r.copied.setAvailable,
		})
	}
	if deps.Trace != nil {
		r.recorder = deps.Trace.Open(request, &start, config)
	}
	return r
}

// TakeOver ends the generation here because another connection of the caller
// continues it, and returns the accepted tokens. It returns false if the
// generation has ended.
func (r *Run) TakeOver() (tokens []string, ok bool) {
	journal := make(chan []string, 1)
	delivered := r.send(message{
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

// post delivers an event unless the generation has ended.
func (r *Run) post(event continuation.Event) {
	r.send(message{event: event})
}

// send returns false if the generation has ended.
func (r *Run) send(m message) bool {
	select {
	case r.events <- m:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// Execute runs the generation to its end. The caller's context tells when the
// caller is gone.
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
		case <-r.copied.changed:
			r.replicaChanged()
		case <-timer.C:
			r.step(continuation.Tick{})
		case <-callerDone:
			callerDone = nil
			r.callerGone()
		}
	}
	r.result.Tokens = r.machine.Journal().Len()
	return r.result
}

// close returns everything that the generation still holds.
func (r *Run) close() {
	r.cancel()
	for id := range r.placements {
		r.settle(id, OutcomeCancelled)
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

// replicaChanged tells the machine what the replica holds.
func (r *Run) replicaChanged() {
	tokens, available := r.copied.get()
	if available != r.available {
		r.available = available
		if !available {
			r.deps.Observer.Unprotected(r.request)
		}
		r.step(continuation.Protection{Available: available})
	}
	if !r.machine.Done() {
		r.step(continuation.Acknowledged{Tokens: tokens})
	}
}

func (r *Run) receive(m message) {
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
		go r.place(Ask{
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
		r.settle(a.Attempt, OutcomeUnused)
	case continuation.Replicate:
		r.replicate(a)
	case continuation.Release:
		r.release(a)
	case continuation.Discarded:
		r.deps.Observer.Discarded(r.request)
	case continuation.Lost:
		r.deps.Observer.Decision(r.request, "lost", fmt.Sprintf("backend server %s: %s", a.Backend, a.Reason))
	case continuation.Resumed:
		r.deps.Observer.Resumed(r.request, a.Latency, a.SameStream)
		r.deps.Observer.Decision(r.request, "resumed", fmt.Sprintf("backend server %s after %d ms, same stream: %t", a.Backend, a.Latency.Milliseconds(), a.SameStream))
	case continuation.Finish:
		r.finish(a)
	case continuation.Fail:
		r.result.Failed = a.Reason
		r.deps.Observer.Decision(r.request, "failed", a.Reason)
	case continuation.End:
		r.result.CallerGone = true
	}
}

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

// place asks for a backend server and posts the result.
func (r *Run) place(ask Ask) {
	placement, err := r.deps.Placer.Place(r.ctx, r.request, ask)
	if err != nil {
		r.send(message{
			event:   continuation.PlacementFailed{RetryAfter: retryAfterOf(err, ask.Resume), Reason: err.Error()},
			prepare: func() { r.result.PlaceError = err },
		})
		return
	}
	delivered := r.send(message{
		event:   continuation.Placed{Attempt: ask.Attempt, Backend: placement.Backend, FirstTokenLimit: placement.FirstTokenLimit},
		prepare: func() { r.placements[ask.Attempt] = placement },
	})
	if !delivered {
		placement.Release(OutcomeUnused)
	}
}

// resumeRetry is how soon a resume asks again after no backend server was
// available.
const resumeRetry = 50 * time.Millisecond

func retryAfterOf(err error, resume bool) time.Duration {
	if resume && !errors.Is(err, context.Canceled) {
		return resumeRetry
	}
	return 0
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
		request.ContinueFrom = &backendapi.ContinueFrom{Tokens: a.Tokens, Text: journal.TextOf(a.Tokens)}
	}
	r.deps.Observer.Decision(r.request, "placed", fmt.Sprintf("backend server %s from token %d", placement.Backend, a.Tokens))
	r.read(a.Attempt, func(ctx context.Context) (Stream, error) {
		return r.deps.Backends.Open(ctx, a.Backend, request)
	})
}

// resumePriority is above every contract's priority, so that a broken answer
// goes before new work inside an engine.
const resumePriority = 100

func (r *Run) reconnect(a continuation.Reconnect) {
	r.closeStream(a.Attempt)
	r.read(a.Attempt, func(ctx context.Context) (Stream, error) {
		return r.deps.Backends.Resume(ctx, a.Backend, a.Attempt, a.From)
	})
}

// read starts a goroutine that reads one connection of an attempt.
func (r *Run) read(id ident.AttemptID, connect func(context.Context) (Stream, error)) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.streams[id] = cancel
	go func() {
		defer cancel()
		stream, err := connect(ctx)
		if err != nil {
			r.postBroken(ctx, id, err)
			return
		}
		defer stream.Close()
		stopClose := context.AfterFunc(ctx, stream.Close)
		defer stopClose()
		r.postBroken(ctx, id, r.readTokens(ctx, id, stream))
	}()
}

// readTokens posts the tokens of a stream until it ends.
func (r *Run) readTokens(ctx context.Context, id ident.AttemptID, stream Stream) error {
	detector := r.detector()
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if event.PromptTokens > 0 {
			r.send(message{prepare: func() { r.promptRead(event.PromptTokens, event.CachedPromptTokens) }})
		}
		if finish, ok := finishOnly(event); ok {
			r.post(continuation.Ended{Attempt: id, Finish: finish})
			continue
		}
		r.post(tokenOf(id, event, detector.Silence()))
	}
}

// finishOnly returns the finish reason of an event without a token, which an
// engine sends if the text that it continues is the whole answer already.
func finishOnly(event backendapi.StreamEvent) (string, bool) {
	if len(event.Choices) == 0 || event.Choices[0].Text != "" || event.Choices[0].FinishReason == nil {
		return "", false
	}
	return *event.Choices[0].FinishReason, true
}

// promptRead learns how much of the prompt an attempt had to compute.
func (r *Run) promptRead(tokens, cached int) {
	resume := r.machine.Journal().Len() > 0
	if !resume {
		r.result.PromptTokens = tokens
	}
	r.deps.Observer.Opened(r.request, resume, tokens, cached)
}

func tokenOf(id ident.AttemptID, event backendapi.StreamEvent, limit time.Duration) continuation.Token {
	token := continuation.Token{Attempt: id, Index: event.Index, SilenceLimit: limit}
	if len(event.Choices) > 0 {
		token.Text = event.Choices[0].Text
		if reason := event.Choices[0].FinishReason; reason != nil {
			token.Finish = *reason
		}
	}
	return token
}

// postBroken reports the end of a connection, unless the generation closed it.
func (r *Run) postBroken(ctx context.Context, id ident.AttemptID, err error) {
	if ctx.Err() != nil {
		return
	}
	// Only the bare io.EOF of Stream.Next is the end of an answer. Connection
	// errors may wrap io.EOF.
	if err == io.EOF {
		r.post(continuation.Ended{Attempt: id})
		return
	}
	code := backend.CodeOf(err)
	rejected := code == backend.CodeRejected || code == backend.CodeUnknownStream || code == backend.CodeConnect
	r.post(continuation.Broken{Attempt: id, Rejected: rejected, Reason: err.Error()})
}

func (r *Run) probe(a continuation.Probe) {
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	status, err := r.deps.Backends.Status(ctx, a.Backend, a.Attempt)
	r.post(continuation.Probed{
		Attempt:      a.Attempt,
		Alive:        err == nil,
		Dead:         backend.CodeOf(err) == backend.CodeConnect,
		Queued:       err == nil && status.State == backendapi.StreamQueued,
		Tokens:       status.Tokens,
		SilenceLimit: r.detector().Silence(),
	})
}

// stop closes an attempt's connection and returns its placement.
func (r *Run) stop(id ident.AttemptID, outcome Outcome) {
	r.closeStream(id)
	r.settle(id, outcome)
}

func (r *Run) closeStream(id ident.AttemptID) {
	if cancel, ok := r.streams[id]; ok {
		cancel()
		delete(r.streams, id)
	}
}

func (r *Run) settle(id ident.AttemptID, outcome Outcome) {
	placement, ok := r.placements[id]
	if !ok {
		return
	}
	delete(r.placements, id)
	placement.Release(outcome)
}

func (r *Run) replicate(a continuation.Replicate) {
	if r.replica != nil {
		r.replica.Append(r.machine.Journal().Token(a.Index), a.Finish)
	}
}

func (r *Run) release(a continuation.Release) {
	r.updateCursor()
	r.batch = r.batch[:0]
	for i := a.From; i < a.To; i++ {
		text := r.machine.Journal().Token(i)
		digest := r.released.add(text)
		r.batch = append(r.batch, ReleasedToken{Index: i, Text: text, Cursor: r.encoder.Encode(i+1, digest)})
	}
	if !r.sinkFailed && r.sink.Tokens(r.batch) != nil {
		r.sinkFailed = true
	}
}

// updateCursor names the present stream and replicas in the cursors to come.
func (r *Run) updateCursor() {
	attempt, backendID := r.machine.Current()
	hosts := r.cursorBase.Replicas
	if r.replica != nil {
		hosts = r.replica.Hosts()
	}
	if attempt == r.cursorBase.Attempt && sameHosts(hosts, r.cursorBase.Replicas) {
		return
	}
	r.cursorBase.Attempt = attempt
	r.cursorBase.Backend = backendID
	r.cursorBase.Replicas = hosts
	r.encoder.Update(r.cursorBase)
}

func sameHosts(a, b []ident.HostID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (r *Run) finish(a continuation.Finish) {
	attempt, _ := r.machine.Current()
	r.stop(attempt, OutcomeFinished)
	r.deps.Observer.Decision(r.request, "finished", a.Reason)
	if !r.sinkFailed && r.sink.Finish(a.Reason) != nil {
		r.sinkFailed = true
	}
}
