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

// minStep bounds how often the batch loop runs; tokens that fall due within it
// are generated together.
const minStep = time.Millisecond

// Engine is one model engine. Run must be running for streams to advance.
type Engine struct {
	cfg  Config
	wake chan struct{} // capacity 1

	mu sync.Mutex
	// The fields below are guarded by mu.
	batch     *scheduler
	events    *eventLog
	placement *placement
	leaving   bool
	reports   []backendapi.Load // oldest first; for lagging load reports
	drained   chan struct{}
}

// New returns an engine with its models loaded.
func New(cfg Config) (*Engine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	events := newEventLog(cfg.CacheEventDelay, cfg.CacheEventLossRate, cfg.Salt)
	cache := newPrefixCache(cfg.CacheBlocks, events)
	e := &Engine{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		batch:   newScheduler(cfg, cache),
		events:  events,
		drained: make(chan struct{}),
		placement: &placement{
			loadTime: cfg.LoadTime, checkFencing: cfg.CheckFencing,
			onDrop: cache.dropModel, role: cfg.Role, models: slices.Clone(cfg.Models),
		},
	}
	e.batch.admitted = e.crashCheck
	return e, nil
}

func (e *Engine) crashCheck(s *stream) {
	if e.cfg.CrashOn != "" && strings.Contains(s.prompt, e.cfg.CrashOn) {
		e.cfg.Crash()
	}
}

// Run advances the batch until ctx ends.
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
		next := e.batch.step(now)
		e.record(now)
		e.mu.Unlock()
		if !next.IsZero() {
			timer.Reset(max(next.Sub(now), minStep))
		}
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// record keeps a load report if the load changed, and notes the end of a
// graceful shutdown. It requires mu.
func (e *Engine) record(now time.Time) {
	report := e.currentLoad(now)
	if n := len(e.reports); n == 0 || differs(e.reports[n-1], report) {
		e.reports = append(e.reports, report)
	}
	// The newest report that is old enough must stay.
	for len(e.reports) > 1 && !e.reports[1].MeasuredAt.After(now.Add(-e.cfg.LoadLag)) {
		e.reports = e.reports[1:]
	}
	if e.leaving && e.batch.drained() {
		select {
		case <-e.drained:
		default:
			close(e.drained)
		}
	}
}

func differs(a, b backendapi.Load) bool {
	return a.Running != b.Running || a.Waiting != b.Waiting || a.WaitingTokens != b.WaitingTokens ||
		a.Leaving != b.Leaving || !slices.Equal(a.Models, b.Models)
}

// currentLoad requires mu.
func (e *Engine) currentLoad(now time.Time) backendapi.Load {
	load := e.batch.load(now)
	load.Incarnation, load.Leaving = e.cfg.Incarnation, e.leaving
	load.Models = e.placement.names()
	return load
}

// load returns the report that is due at now: the state LoadLag ago.
func (e *Engine) load(now time.Time) backendapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placement.step(now)
	e.record(now)
	report := e.reports[0]
	if at := now.Add(-e.cfg.LoadLag); at.After(report.MeasuredAt) {
		report.MeasuredAt = at
	}
	return report
}

// submit starts a stream for a request and attaches a reader to it.
func (e *Engine) submit(now time.Time, req backendapi.CompletionRequest) (*stream, *reader, *refusal) {
	s, refused := newStream(req)
	if refused != nil {
		return nil, nil, refused
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placement.step(now)
	switch {
	case e.leaving:
		return nil, nil, refuse(backendapi.CodeLeaving, "engine is leaving and takes no new streams")
	case !slices.Contains(e.placement.names(), req.Model):
		return nil, nil, refuse(backendapi.CodeUnknownModel, fmt.Sprintf("model %q is not loaded", req.Model))
	case e.batch.streams[s.id] != nil:
		return nil, nil, refuse(backendapi.CodeBadRequest, fmt.Sprintf("attempt id %q is in use", s.id))
	case len(e.batch.waiting) >= e.cfg.MaxWaiting && e.batch.running() >= e.cfg.MaxRunning:
		return nil, nil, refuse(backendapi.CodeOverloaded, fmt.Sprintf("%d requests are waiting", len(e.batch.waiting)))
	}
	r := attach(s)
	e.batch.submit(now, s)
	e.record(now)
	e.wakeLoop()
	return s, r, nil
}

// newStream checks a request and builds its stream.
func newStream(req backendapi.CompletionRequest) (*stream, *refusal) {
	if !req.Stream {
		return nil, refuse(backendapi.CodeBadRequest, "stream must be true")
	}
	if req.MaxTokens < 0 {
		return nil, refuse(backendapi.CodeBadRequest, "max_tokens must not be negative")
	}
	s := &stream{
		id: req.AttemptID, model: req.Model, prompt: req.Prompt, priority: req.Priority,
		state: chain.New(req.Prompt), readers: map[*reader]struct{}{},
	}
	if s.id == "" {
		s.id = uuid.NewString()
	}
	s.length, s.finish = chain.Length(req.Prompt, req.MaxTokens)
	if c := req.ContinueFrom; c != nil {
		known := chain.Split(c.Text)
		if len(known) != c.Tokens {
			return nil, refuse(backendapi.CodeBadRequest,
				fmt.Sprintf("continue_from states %d tokens, its text has %d", c.Tokens, len(known)))
		}
		for _, token := range known {
			s.state = s.state.Append(token)
		}
		s.first, s.prompt = c.Tokens, req.Prompt+c.Text
	}
	tokens := chain.Split(s.prompt)
	s.promptTokens, s.blocks = len(tokens), prefixHashes(req.Model, tokens)
	return s, nil
}

// attach adds a reader. It requires mu once the stream is submitted.
func attach(s *stream) *reader {
	r := &reader{changed: make(chan struct{}, 1)}
	r.changed <- struct{}{}
	s.readers[r] = struct{}{}
	return r
}

// detach removes a reader; the stream goes on.
func (e *Engine) detach(s *stream, r *reader) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.readers, r)
	s.idleSince = now
	e.record(now)
}

// resume attaches a reader to a stream that exists. lastIndex is the last event
// that the reader has; nil means none.
func (e *Engine) resume(id string, lastIndex *int) (*stream, *reader, int, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.batch.streams[id]
	if s == nil {
		return nil, nil, 0, unknownStream(id)
	}
	from := s.first
	if lastIndex != nil {
		from = *lastIndex + 1
	}
	if from < s.first || from > max(s.next(), s.delivered) {
		return nil, nil, 0, refuse(backendapi.CodeBadRequest,
			fmt.Sprintf("stream %q has tokens %d to %d, none follows %d", id, s.first, s.next()-1, from-1))
	}
	return s, attach(s), from, nil
}

// read returns the events from an index on and the phase of the stream. It
// returns ok false if the reader is to get no more data.
func (e *Engine) read(s *stream, r *reader, from int) (events []backendapi.StreamEvent, phase phase, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.events(from), s.phase, !r.silent
}

// Silence stops the data on all connections that are open now and leaves them
// open, as a network path that fails does. It returns their number.
func (e *Engine) Silence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.batch.streams {
		for r := range s.readers {
			r.silent = true
			n++
		}
	}
	return n
}

// markDelivered notes that a reader got all events before an index.
func (e *Engine) markDelivered(s *stream, to int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.delivered = max(s.delivered, to)
}

func (e *Engine) status(id string) (backendapi.StreamStatus, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.batch.streams[id]; s != nil {
		return s.status(), nil
	}
	return backendapi.StreamStatus{}, unknownStream(id)
}

func (e *Engine) cancel(id string) *refusal {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.batch.streams[id]
	if s == nil {
		return unknownStream(id)
	}
	e.batch.cancel(s)
	e.record(now)
	e.wakeLoop() // a place in the batch is free
	return nil
}

func (e *Engine) order(now time.Time, o backendapi.Order) (backendapi.State, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.placement.order(now, o) {
		return backendapi.State{}, refuse(backendapi.CodeStaleFencing,
			fmt.Sprintf("fencing token %d is older than %d", o.FencingToken, e.placement.newestFencing))
	}
	e.record(now)
	return e.state(), nil
}

// state requires mu.
func (e *Engine) state() backendapi.State {
	s := e.placement.state()
	s.Incarnation = e.cfg.Incarnation
	return s
}

// Leave starts a graceful shutdown: new streams are refused, streams that exist
// go on. Drained tells when the process may end.
func (e *Engine) Leave() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.record(now)
}

// Drained is closed when, after Leave, every stream was read to its end or its
// retention ended.
func (e *Engine) Drained() <-chan struct{} { return e.drained }
