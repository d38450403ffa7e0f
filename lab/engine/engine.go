package engine

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/chain"
)

// minStep is the minimum delay before the next timed run of the batch loop; tokens
// that fall due within it are generated together.
const minStep = time.Millisecond

// Engine is one simulated model engine. It is safe for concurrent use. Streams
// advance only while Run is running.
type Engine struct {
	cfg  Config
	wake chan struct{} // capacity 1

	mu sync.Mutex
	// The fields below are guarded by mu.
	scheduler   *scheduler
	events      *eventLog
	placement   *placement
	leaving     bool
	loadReports []backendapi.Load // oldest first; load returns the one that is LoadLag old
	drained     chan struct{}
}

// New returns an engine with its models loaded.
func New(cfg Config) (*Engine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	events := newEventLog(cfg.CacheEventDelay, cfg.CacheEventLossRate, cfg.Salt)
	cache := newPrefixCache(cfg.CacheBlocks, events)
	e := &Engine{
		cfg:       cfg,
		wake:      make(chan struct{}, 1),
		scheduler: newScheduler(cfg, cache),
		events:    events,
		drained:   make(chan struct{}),
		placement: &placement{
			loadTime: cfg.LoadTime, checkFencing: cfg.CheckFencing,
			onUnload: cache.dropModel, role: cfg.Role, models: slices.Clone(cfg.Models),
		},
	}
	e.scheduler.onAdmit = e.crashIfConfigured
	return e, nil
}

func (e *Engine) crashIfConfigured(s *stream) {
	if e.cfg.CrashOn != "" && strings.Contains(s.prompt, e.cfg.CrashOn) {
		e.cfg.Crash()
	}
}

// Run advances the batch until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-timer.C:
		}
		now := time.Now()
		e.mu.Lock()
		next := e.scheduler.step(now)
		e.record(now)
		e.mu.Unlock()
		if !next.IsZero() {
			timer.Reset(max(next.Sub(now), minStep))
		}
	}
}

func (e *Engine) notifyLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// record appends a load report if the load has changed, discards reports that are
// too old to be returned, and closes drained when a graceful shutdown is complete.
// The caller must hold mu.
func (e *Engine) record(now time.Time) {
	report := e.currentLoad(now)
	if n := len(e.loadReports); n == 0 || loadChanged(e.loadReports[n-1], report) {
		e.loadReports = append(e.loadReports, report)
	}
	// Keep the newest report that is at least LoadLag old: load returns it.
	for len(e.loadReports) > 1 && !e.loadReports[1].MeasuredAt.After(now.Add(-e.cfg.LoadLag)) {
		e.loadReports = e.loadReports[1:]
	}
	if e.leaving && e.scheduler.drained() {
		select {
		case <-e.drained:
		default:
			close(e.drained)
		}
	}
}

func loadChanged(a, b backendapi.Load) bool {
	return a.Running != b.Running || a.Waiting != b.Waiting || a.WaitingTokens != b.WaitingTokens ||
		a.Leaving != b.Leaving || !slices.Equal(a.Models, b.Models)
}

// currentLoad returns the load at now. The caller must hold mu.
func (e *Engine) currentLoad(now time.Time) backendapi.Load {
	load := e.scheduler.load(now)
	load.Incarnation, load.Leaving = e.cfg.Incarnation, e.leaving
	load.Models = e.placement.servedNames()
	return load
}

// load returns the load report that is visible at now: the load LoadLag ago.
func (e *Engine) load(now time.Time) backendapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placement.completeLoads(now)
	e.record(now)
	report := e.loadReports[0]
	if at := now.Add(-e.cfg.LoadLag); at.After(report.MeasuredAt) {
		report.MeasuredAt = at
	}
	return report
}

// submit starts a stream for a request and attaches a reader to it.
func (e *Engine) submit(now time.Time, req backendapi.CompletionRequest) (*stream, *reader, *requestError) {
	s, reqErr := newStream(req)
	if reqErr != nil {
		return nil, nil, reqErr
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placement.completeLoads(now)
	switch {
	case e.leaving:
		return nil, nil, newRequestError(backendapi.CodeLeaving, "engine is leaving and takes no new streams")
	case !slices.Contains(e.placement.servedNames(), req.Model):
		return nil, nil, newRequestError(backendapi.CodeUnknownModel, fmt.Sprintf("model %q is not loaded", req.Model))
	case e.scheduler.streams[s.id] != nil:
		return nil, nil, newRequestError(backendapi.CodeBadRequest, fmt.Sprintf("attempt id %q is in use", s.id))
	case len(e.scheduler.waiting) >= e.cfg.MaxWaiting && e.scheduler.running() >= e.cfg.MaxRunning:
		return nil, nil, newRequestError(backendapi.CodeOverloaded, fmt.Sprintf("%d requests are waiting", len(e.scheduler.waiting)))
	}
	r := attach(s)
	e.scheduler.submit(now, s)
	e.record(now)
	e.notifyLoop()
	return s, r, nil
}

// newStream validates a request and returns its stream, which is not yet
// submitted.
func newStream(req backendapi.CompletionRequest) (*stream, *requestError) {
	if !req.Stream {
		return nil, newRequestError(backendapi.CodeBadRequest, "stream must be true")
	}
	if req.MaxTokens < 0 {
		return nil, newRequestError(backendapi.CodeBadRequest, "max_tokens must not be negative")
	}
	s := &stream{
		id: req.AttemptID, model: req.Model, prompt: req.Prompt, priority: req.Priority,
		state: chain.New(req.Prompt), readers: map[*reader]struct{}{},
	}
	if s.id == "" {
		s.id = uuid.NewString()
	}
	s.length, s.finishReason = chain.Length(req.Prompt, req.MaxTokens)
	if c := req.ContinueFrom; c != nil {
		known := chain.Split(c.Text)
		if len(known) != c.Tokens {
			return nil, newRequestError(backendapi.CodeBadRequest,
				fmt.Sprintf("continue_from states %d tokens, its text has %d", c.Tokens, len(known)))
		}
		for _, token := range known {
			s.state = s.state.Append(token)
		}
		s.firstIndex, s.prompt = c.Tokens, req.Prompt+c.Text
	}
	tokens := chain.Split(s.prompt)
	s.promptTokens, s.blocks = len(tokens), prefixHashes(req.Model, tokens)
	return s, nil
}

// attach adds a reader. Once the stream has been submitted, the caller must hold
// mu.
func attach(s *stream) *reader {
	r := &reader{changed: make(chan struct{}, 1)}
	r.changed <- struct{}{}
	s.readers[r] = struct{}{}
	return r
}

// detach removes a reader; the stream continues to run.
func (e *Engine) detach(s *stream, r *reader) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.readers, r)
	s.idleSince = now
	e.record(now)
}

// resume attaches a reader to an existing stream and returns the index of the
// first event to send. lastIndex is the index of the last event that the reader
// has received; nil means none.
func (e *Engine) resume(id string, lastIndex *int) (*stream, *reader, int, *requestError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.scheduler.streams[id]
	if s == nil {
		return nil, nil, 0, unknownStream(id)
	}
	from := s.firstIndex
	if lastIndex != nil {
		from = *lastIndex + 1
	}
	if from < s.firstIndex || from > max(s.nextIndex(), s.deliveredEnd) {
		return nil, nil, 0, newRequestError(backendapi.CodeBadRequest,
			fmt.Sprintf("stream %q has tokens %d to %d, none follows %d", id, s.firstIndex, s.nextIndex()-1, from-1))
	}
	return s, attach(s), from, nil
}

// read returns the events from an index on and the phase of the stream. ok is
// false if Silence has muted the reader.
func (e *Engine) read(s *stream, r *reader, from int) (events []backendapi.StreamEvent, phase phase, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.events(from), s.phase, !r.muted
}

// Silence stops sending data on all stream connections that are open and keeps
// the connections open, which simulates a failed network path. It returns their
// number.
func (e *Engine) Silence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.scheduler.streams {
		for r := range s.readers {
			r.muted = true
			n++
		}
	}
	return n
}

// markDelivered records that all events before an index were sent to a reader.
func (e *Engine) markDelivered(s *stream, to int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.deliveredEnd = max(s.deliveredEnd, to)
}

func (e *Engine) status(id string) (backendapi.StreamStatus, *requestError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.scheduler.streams[id]; s != nil {
		return s.status(), nil
	}
	return backendapi.StreamStatus{}, unknownStream(id)
}

func (e *Engine) cancel(id string) *requestError {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.scheduler.streams[id]
	if s == nil {
		return unknownStream(id)
	}
	e.scheduler.cancel(s)
	e.record(now)
	e.notifyLoop() // a slot in the batch may be free
	return nil
}

func (e *Engine) order(now time.Time, o backendapi.Order) (backendapi.State, *requestError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.placement.order(now, o) {
		return backendapi.State{}, newRequestError(backendapi.CodeStaleFencing,
			fmt.Sprintf("fencing token %d is older than %d", o.FencingToken, e.placement.newestFencingToken))
	}
	e.record(now)
	return e.state(), nil
}

// state returns the current placement. The caller must hold mu.
func (e *Engine) state() backendapi.State {
	s := e.placement.state()
	s.Incarnation = e.cfg.Incarnation
	return s
}

// Leave starts a graceful shutdown: new streams are rejected, existing streams
// continue. Drained signals when the process may end.
func (e *Engine) Leave() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.record(now)
}

// Drained returns a channel that is closed when Leave has been called and every
// stream has been read to its end or is no longer retained.
func (e *Engine) Drained() <-chan struct{} { return e.drained }
