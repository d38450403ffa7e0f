package main

import (
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/eventsim"
)

// Parameters of the engines.
const (
	model            = "m"
	engines          = 35
	maxRunning       = 8
	prefillRate      = 4000.0 // tokens/s, one prompt at a time
	fullBatchRate    = 30.0   // output tokens/s of a stream in a full batch
	singleStreamRate = 45.0   // output tokens/s of a single stream
	cacheBlocks      = 3000   // blocks of prompt prefixes
	lostBatchRate    = 0.02   // fraction of the batches of cache events that are lost
)

// stream is one attempt on an engine.
type stream struct {
	*call
	engine     *engine
	cached     int
	firstToken func()
	done       func()
	cancelled  bool
	running    bool
}

// engine is a model of a continuously batching engine with a prefix cache.
type engine struct {
	sim           *sim
	id            string
	dataCentre    string
	running       int
	waiting       []*stream
	prefillEnd    time.Duration // when the current prefill ends
	waitingTokens int
	cache         *eventsim.PrefixCache
}

func newEngine(s *sim, i int) *engine {
	return &engine{
		sim: s, id: fmt.Sprintf("e%02d", i), dataCentre: fmt.Sprintf("d%d", i%3),
		cache: eventsim.NewPrefixCache(cacheBlocks),
	}
}

// start queues a stream.
func (e *engine) start(st *stream) {
	e.waiting = append(e.waiting, st)
	e.waitingTokens += st.request.place.PromptTokens
	e.fillBatch()
}

// fillBatch moves waiting streams into free slots of the batch.
func (e *engine) fillBatch() {
	for e.running < maxRunning && len(e.waiting) > 0 {
		st := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.waitingTokens -= st.request.place.PromptTokens
		if !st.cancelled {
			e.run(st)
		}
	}
}

func (e *engine) run(st *stream) {
	st.running = true
	e.running++
	st.cached = e.cache.LookUp(st.request.place.Prefixes)
	uncached := st.request.place.PromptTokens - st.cached
	begin := max(e.prefillEnd, e.sim.now)
	e.prefillEnd = begin + seconds(float64(uncached)/prefillRate)
	e.sim.at(e.prefillEnd, func() {
		if st.cancelled {
			return
		}
		e.cache.Store(st.request.place.Prefixes)
		st.firstToken()
		e.sim.at(e.sim.now+seconds(float64(st.request.output)/e.rate()), func() { e.end(st) })
	})
}

func (e *engine) rate() float64 {
	return singleStreamRate - (singleStreamRate-fullBatchRate)*float64(e.running-1)/(maxRunning-1)
}

func (e *engine) end(st *stream) {
	if st.cancelled {
		return
	}
	e.running--
	st.done()
	e.fillBatch()
}

// cancel stops a stream whose caller has disconnected.
func (e *engine) cancel(st *stream) {
	st.cancelled = true
	if st.running {
		e.running--
		e.fillBatch()
	}
}

// load returns the engine's current load report.
func (e *engine) load() backendapi.Load {
	return backendapi.Load{
		MeasuredAt: e.sim.time(e.sim.now), Incarnation: 1, Running: e.running, Waiting: len(e.waiting),
		MaxRunning: maxRunning, WaitingTokens: e.waitingTokens, TokensPerSecond: e.rate(),
		PrefillTokensPerSecond: prefillRate, Models: []string{model},
	}
}
