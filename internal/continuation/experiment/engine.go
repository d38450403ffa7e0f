package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/eventsim"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Parameters of the simulated engines.
const (
	maxRunning      = 12
	prefillRate     = 8000.0 // tokens/s, one prompt at a time
	singleStreamGap = 40 * time.Millisecond
	fullBatchGap    = 59 * time.Millisecond
	// prefillSlowdown is the factor by which a concurrent prefill lengthens the
	// gaps between the tokens of the batch.
	prefillSlowdown   = 1.5
	gapJitter         = 0.15
	cacheBlocks       = 3000
	finishedRetention = 30 * time.Second
)

// engine is a simulated engine with continuous batching and a prefix cache.
type engine struct {
	sim         *sim
	id          ident.BackendID
	dataCentre  string
	incarnation int64
	rng         *rand.Rand

	// While stopped is set, all steps of the engine are deferred until it is
	// unpaused. If permanentlyStopped is set, it is never unpaused.
	dead, stopped, permanentlyStopped, slow bool
	deferred                                []func()
	fault                                   faultKind // the fault that currently affects the engine

	streams      map[ident.AttemptID]*stream
	waiting      []*stream // by priority, then arrival
	prefilling   *stream   // the stream in prefill
	prefillQueue []*stream // streams in the batch whose prefill has not begun
	running      int
	arrivals     int

	cache *eventsim.PrefixCache
}

func newEngine(s *sim, i int, seed uint64) *engine {
	e := &engine{
		sim: s, id: ident.BackendID(fmt.Sprintf("e%02d", i)), dataCentre: fmt.Sprintf("d%d", i%3),
		rng: rand.New(rand.NewPCG(seed, uint64(1000+i))),
	}
	e.reset()
	return e
}

func (e *engine) reset() {
	e.incarnation++
	e.dead, e.stopped, e.permanentlyStopped, e.slow = false, false, false, false
	e.fault = noFault
	e.deferred, e.waiting, e.prefillQueue, e.prefilling = nil, nil, nil, nil
	e.running = 0
	e.streams = map[ident.AttemptID]*stream{}
	e.cache = eventsim.NewPrefixCache(cacheBlocks)
}

func (e *engine) restart() { e.reset() }

// runOrDefer runs a step of the engine now or, while the engine is stopped,
// defers it until the engine is unpaused.
func (e *engine) runOrDefer(step func()) {
	if e.stopped {
		e.deferred = append(e.deferred, step)
		return
	}
	step()
}

func (e *engine) unpause() {
	if e.dead || !e.stopped {
		return
	}
	e.stopped, e.fault = false, noFault
	steps := e.deferred
	e.deferred = nil
	for _, step := range steps {
		step()
	}
}

// endSlowdown restores the normal speed of a slow engine.
func (e *engine) endSlowdown() {
	if e.slow {
		e.slow, e.fault = false, noFault
	}
}

// kill ends the engine process; its open connections are reset.
func (e *engine) kill() {
	e.dead = true
	for _, st := range e.streamsByArrival() {
		st.recordPrefill()
		st.removed = true
		if c := st.conn; c != nil && !c.silent {
			e.sim.after(networkDelay, func() { c.reset() })
		}
	}
}

// silenceConnections stops delivery on all current connections of one node
// permanently.
func (e *engine) silenceConnections(n *node) {
	for _, st := range e.streams {
		if st.answer.node == n && st.conn != nil {
			st.conn.silent = true
		}
	}
}

func (e *engine) streamsByArrival() []*stream {
	var out []*stream
	for _, st := range e.streams {
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b *stream) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// submit queues a stream. Resumes have priority over new work.
func (e *engine) submit(st *stream) {
	e.arrivals++
	st.arrival = e.arrivals
	e.streams[st.id] = st
	at := len(e.waiting)
	for at > 0 && st.resume && !e.waiting[at-1].resume {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, st)
	e.admitWaiting()
}

// admitWaiting moves waiting streams into free slots of the batch and starts the
// next prefill.
func (e *engine) admitWaiting() {
	for e.running < maxRunning && len(e.waiting) > 0 {
		st := e.waiting[0]
		e.waiting = e.waiting[1:]
		st.inBatch = true
		e.running++
		e.prefillQueue = append(e.prefillQueue, st)
	}
	if e.prefilling != nil || len(e.prefillQueue) == 0 {
		return
	}
	st := e.prefillQueue[0]
	e.prefillQueue = e.prefillQueue[1:]
	e.prefilling = st
	st.cached = min(e.cache.LookUp(st.prefixes), st.promptTokens())
	st.prefillStartedAt = e.sim.now
	took := time.Duration(float64(st.promptTokens()-st.cached) / prefillRate * float64(time.Second))
	e.sim.after(took, func() { e.runOrDefer(func() { e.finishPrefill(st) }) })
}

// finishPrefill ends the prefill of a stream and starts its decoding.
func (e *engine) finishPrefill(st *stream) {
	if st.removed {
		return
	}
	st.recordPrefill()
	e.prefilling = nil
	e.cache.Store(st.prefixes)
	st.decoding = true
	e.admitWaiting()
	st.produce()
}

func (e *engine) gap() time.Duration {
	g := float64(singleStreamGap) + float64(fullBatchGap-singleStreamGap)*float64(e.running-1)/(maxRunning-1)
	if e.prefilling != nil {
		g *= prefillSlowdown
	}
	if e.slow {
		g *= slowFactor
	}
	return time.Duration(g * (1 - gapJitter + 2*gapJitter*e.rng.Float64()))
}

// remove removes a stream from the batch or the queue.
func (e *engine) remove(st *stream) {
	if st.removed || st.finished {
		st.removed = true
		return
	}
	st.recordPrefill()
	st.removed = true
	delete(e.streams, st.id)
	e.freeSlot(st)
}

func (e *engine) freeSlot(st *stream) {
	same := func(o *stream) bool { return o == st }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, same)
	if e.prefilling == st {
		e.prefilling = nil
	}
	if st.inBatch {
		e.running--
	}
	e.admitWaiting()
}

func (e *engine) takeEvents() backendapi.CacheEvents {
	return backendapi.CacheEvents{Incarnation: e.incarnation, Events: e.cache.TakeEvents()}
}

// load returns the engine's current load report.
func (e *engine) load() backendapi.Load {
	waitingTokens := 0
	for _, st := range slices.Concat(e.waiting, e.prefillQueue) {
		waitingTokens += st.promptTokens()
	}
	return backendapi.Load{
		MeasuredAt: e.sim.time(), Incarnation: e.incarnation, Running: e.running, Waiting: len(e.waiting),
		MaxRunning: maxRunning, WaitingTokens: waitingTokens, TokensPerSecond: float64(time.Second) / float64(fullBatchGap),
		PrefillTokensPerSecond: prefillRate, Models: []string{model},
	}
}
