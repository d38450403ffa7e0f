// Package backendpool tracks the backend servers of the host list: it polls
// their load and cache events, holds the state on which placement decides, and
// opens streams on them by ID.
//
// A Pool may be used by any number of goroutines. One mutex guards the fleet; no
// call to a backend server is made while it is held. Run occupies one goroutine;
// each poll of one server runs in its own goroutine, at most one per server and
// kind of poll.
package backendpool

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

const (
	// pollInterval is the time between the starts of two rounds of polls.
	pollInterval = 500 * time.Millisecond
	// pollTimeout is below pollInterval, so that the poll of an unresponsive
	// server fails before the next one begins.
	pollTimeout = 400 * time.Millisecond
	// maxPolls is the largest number of polls in one round. One poll of an idle
	// server costs 0.28 ms of CPU and 770 B (docs/CAPACITY.md). In a fleet of S
	// servers, with S above maxPolls, each server is polled every S/maxPolls
	// intervals; placement treats reports older than 3 s, which occur from about
	// 770 servers on, as less certain.
	maxPolls = 128
	// cancelTimeout limits a cancellation in the background.
	cancelTimeout = 2 * time.Second
)

// Hooks are called when something happens on a backend server. They must not
// block.
type Hooks struct {
	// Died reports that an incarnation of a server's process has died.
	Died func(id ident.BackendID, incarnation int64)
	// Answered reports that an attempt has delivered its first token.
	Answered func(attempt ident.AttemptID)
}

// Pool holds the backend servers that a node tracks.
type Pool struct {
	client *backend.Client
	hooks  Hooks

	// deathMu is held from the detection of a death until the hook has returned,
	// so that another goroutine that detects the same death proceeds only after
	// it has been recorded. It is locked before mu.
	deathMu sync.Mutex

	mu sync.Mutex
	// fleet, rng, polling, nextPoll and down are guarded by mu.
	fleet   *placement.Fleet
	rng     *rand.Rand
	polling map[ident.BackendID]bool
	// nextPoll is the index in the fleet at which the polls of the next interval
	// begin.
	nextPoll int
	// down is the set of servers that are known to be dead, so that a death is
	// reported once. A server leaves it when a poll succeeds.
	down map[ident.BackendID]bool
}

// New returns a pool without servers.
func New(config placement.Config, client *backend.Client, seed uint64, hooks Hooks) (*Pool, error) {
	fleet, err := placement.NewFleet(config)
	if err != nil {
		return nil, err
	}
	return &Pool{
		client:  client,
		hooks:   hooks,
		fleet:   fleet,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		polling: map[ident.BackendID]bool{},
		down:    map[ident.BackendID]bool{},
	}, nil
}

// ObserveList updates the pool from a snapshot of the listed backend servers.
func (p *Pool) ObserveList(backends []platformapi.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.ObserveList(backends)
}

// Run polls the servers at every pollInterval until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.pollAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// PollNow starts a further round of polls, of at most maxPolls servers, without
// waiting for the next interval. Call it after the list has changed.
func (p *Pool) PollNow(ctx context.Context) { p.pollAll(ctx) }

type pollTarget struct {
	id            ident.BackendID
	url           string
	engine        bool
	afterSequence int64
}

func (p *Pool) pollAll(ctx context.Context) {
	for _, target := range p.pollTargets() {
		go p.poll(ctx, target)
	}
}

// pollTargets returns the next servers to poll, at most maxPolls, and marks them
// as being polled. Servers with a poll in progress are skipped.
func (p *Pool) pollTargets() []pollTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := p.fleet.Servers()
	var targets []pollTarget
	visited := 0
	for ; visited < len(servers) && len(targets) < maxPolls; visited++ {
		s := servers[(p.nextPoll+visited)%len(servers)]
		if p.polling[s.ID] {
			continue
		}
		p.polling[s.ID] = true
		targets = append(targets, pollTarget{
			id:            s.ID,
			url:           s.URL,
			engine:        s.Kind == platformapi.KindEngine,
			afterSequence: p.fleet.CacheSequence(s.ID),
		})
	}
	if len(servers) > 0 {
		p.nextPoll = (p.nextPoll + visited) % len(servers)
	}
	return targets
}

func (p *Pool) poll(ctx context.Context, target pollTarget) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.client.Load(ctx, target.url)
	var events backendapi.CacheEvents
	var eventsErr error
	if err == nil && target.engine {
		events, eventsErr = p.client.CacheEvents(ctx, target.url, target.afterSequence)
	}
	p.deathMu.Lock()
	defer p.deathMu.Unlock()
	if incarnation, died := p.recordPoll(target, load, err, events, eventsErr); died {
		p.hooks.Died(target.id, incarnation)
	}
}

// recordPoll records the result of a poll. It reports whether the poll shows that
// the server's process has died, and the incarnation that died.
func (p *Pool) recordPoll(target pollTarget, load backendapi.Load, err error, events backendapi.CacheEvents, eventsErr error) (int64, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polling, target.id)
	server := p.fleet.Server(target.id)
	if server == nil {
		return 0, false
	}
	known := server.Load.Incarnation
	if err != nil {
		return known, p.pollFailed(now, target.id, err)
	}
	delete(p.down, target.id)
	restarted := known != 0 && load.Incarnation > known
	if restarted {
		p.fleet.Died(now, target.id)
	}
	p.fleet.ObserveLoad(now, target.id, load)
	if target.engine && eventsErr == nil {
		p.fleet.ObserveCache(target.id, events)
	}
	return known, restarted
}

// pollFailed records a failed poll and reports whether it is the first sign that
// the server's process has died. The caller must hold mu.
func (p *Pool) pollFailed(now time.Time, id ident.BackendID, err error) bool {
	if backend.CodeOf(err) != backend.CodeConnect {
		p.fleet.ConnectionFailed(now, id)
		return false
	}
	first := !p.down[id]
	p.down[id] = true
	p.fleet.Died(now, id)
	return first
}

// Chosen is the result of Choose.
type Chosen struct {
	Backend     ident.BackendID
	Incarnation int64
	URL         string
	// Prefill is the expected time to process the uncached part of the prompt.
	Prefill time.Duration
	Reasons []placement.Reason
}

// Choose selects a server for an attempt and records the attempt as sent. If all
// usable servers are in request.Exclude, that list is ignored: a server that
// failed once is better than none.
//
// Servers for which forbidden returns true are never used.
func (p *Pool) Choose(request placement.Request, attempt ident.AttemptID, forbidden func(ident.BackendID) bool) (Chosen, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	forbiddenIDs := p.forbiddenServers(forbidden)
	excluded := request.Exclude
	request.Exclude = slices.Concat(forbiddenIDs, excluded)
	id, reasons, err := p.fleet.Choose(request, now, p.rng)
	if err != nil && len(excluded) > 0 {
		request.Exclude = forbiddenIDs
		id, reasons, err = p.fleet.Choose(request, now, p.rng)
	}
	if err != nil {
		return Chosen{Reasons: reasons}, err
	}
	server := p.fleet.Server(id)
	uncached := request.PromptTokens - server.CachedTokens(request.Prefixes)
	p.fleet.Sent(now, id, attempt, request)
	return Chosen{
		Backend:     id,
		Incarnation: server.Load.Incarnation,
		URL:         server.URL,
		Prefill:     prefillTime(uncached, server.Load.PrefillTokensPerSecond),
		Reasons:     reasons,
	}, nil
}

// forbiddenServers returns the servers for which test returns true. The caller
// must hold mu.
func (p *Pool) forbiddenServers(test func(ident.BackendID) bool) []ident.BackendID {
	if test == nil {
		return nil
	}
	var ids []ident.BackendID
	for _, s := range p.fleet.Servers() {
		if test(s.ID) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

func prefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		rate = placement.DefaultPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// Answered records the first token of an attempt.
func (p *Pool) Answered(id ident.BackendID, attempt ident.AttemptID) {
	p.mu.Lock()
	p.fleet.Answered(id, attempt)
	p.mu.Unlock()
	p.hooks.Answered(attempt)
}

// Finished records the end of an attempt.
func (p *Pool) Finished(id ident.BackendID, attempt ident.AttemptID, outcome generation.Outcome) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.Finished(now, id, attempt)
	if outcome == generation.OutcomeLost {
		p.fleet.ConnectionFailed(now, id)
	}
}

// Died records that a server's process has died. It is for callers that detect
// the death by a refused connection before the next poll does. It calls the Died
// hook if the death had not been recorded yet.
func (p *Pool) Died(id ident.BackendID) {
	p.deathMu.Lock()
	defer p.deathMu.Unlock()
	if incarnation, first := p.markDead(id); first {
		p.hooks.Died(id, incarnation)
	}
}

// markDead records a death. It returns the incarnation that died, and reports
// whether the death had not been recorded before.
func (p *Pool) markDead(id ident.BackendID) (incarnation int64, first bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.fleet.Server(id)
	if server == nil || p.down[id] {
		return 0, false
	}
	p.down[id] = true
	p.fleet.Died(now, id)
	return server.Load.Incarnation, true
}

// WithFleet calls view with the fleet while the pool is locked. The function must
// not block and must not retain the fleet.
func (p *Pool) WithFleet(view func(*placement.Fleet)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view(p.fleet)
}

// Capacity returns the number of requests that the usable engines can run
// concurrently, and the models that they serve.
func (p *Pool) Capacity() (slots int, models map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	models = map[string]bool{}
	for _, s := range p.fleet.Servers() {
		if s.Kind != platformapi.KindEngine || !s.Listed || p.down[s.ID] {
			continue
		}
		slots += s.Load.MaxRunning
		for _, model := range s.Load.Models {
			models[model] = true
		}
	}
	return slots, models
}

// url returns the address of a server.
func (p *Pool) url(id ident.BackendID) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.fleet.Server(id)
	if server == nil {
		return "", oops.Code(backend.CodeConnect).In("backendpool").Errorf("backend server %q is not listed", id)
	}
	return server.URL, nil
}
