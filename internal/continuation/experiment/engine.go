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

// Shape of the engines.
const (
	maxRunning  = 12
	prefillRate = 8000.0 // tokens/s, one prompt at a time
	aloneGap    = 40 * time.Millisecond
	fullGap     = 59 * time.Millisecond
	// A prompt that is read at the same time delays the tokens of the batch.
	prefillDelay = 1.5
	gapJitter    = 0.15
	cacheBlocks  = 3000
	retention    = 30 * time.Second
)

// engine is a continuously batching engine with a prefix cache.
type engine struct {
	sim         *sim
	id          ident.BackendID
	dataCentre  string
	incarnation int64
	rng         *rand.Rand

	// stopped holds back everything that the engine would do until it wakes;
	// forGood tells that it will not.
	dead, stopped, forGood, slow bool
	held                         []func()
	fault                        faultKind // under which it is

	streams  map[ident.AttemptID]*stream
	waiting  []*stream // by priority, then arrival
	reading  *stream   // whose prompt is read
	toRead   []*stream // in the batch, prompt not yet read
	running  int
	arrivals int

	cache *eventsim.PrefixCache
}

func newEngine(s *sim, i int, seed uint64) *engine {
	e := &engine{
		sim: s, id: ident.BackendID(fmt.Sprintf("e%02d", i)), dataCentre: fmt.Sprintf("d%d", i%3),
		rng: rand.New(rand.NewPCG(seed, uint64(1000+i))),
	}
	e.clear()
	return e
}

func (e *engine) clear() {
	e.incarnation++
	e.dead, e.stopped, e.forGood, e.slow = false, false, false, false
	e.fault = noFault
	e.held, e.waiting, e.toRead, e.reading = nil, nil, nil, nil
	e.running = 0
	e.streams = map[ident.AttemptID]*stream{}
	e.cache = eventsim.NewPrefixCache(cacheBlocks)
}

func (e *engine) restart() { e.clear() }

// do runs a step of the engine now, or when the engine wakes.
func (e *engine) do(step func()) {
	if e.stopped {
		e.held = append(e.held, step)
		return
	}
	step()
}

func (e *engine) wake() {
	if e.dead || !e.stopped {
		return
	}
	e.stopped, e.fault = false, noFault
	held := e.held
	e.held = nil
	for _, step := range held {
		step()
	}
}

// recover ends the time of being slow.
func (e *engine) recover() {
	if e.slow {
		e.slow, e.fault = false, noFault
	}
}

// kill ends the process; its open connections are reset.
func (e *engine) kill() {
	e.dead = true
	for _, st := range e.sorted() {
		st.settleRead()
		st.gone = true
		if c := st.conn; c != nil && !c.silent {
			e.sim.after(hop, func() { c.reset() })
		}
	}
}

// mute makes the present connections of one node silent for good.
func (e *engine) mute(n *node) {
	for _, st := range e.streams {
		if st.answer.node == n && st.conn != nil {
			st.conn.silent = true
		}
	}
}

func (e *engine) sorted() []*stream {
	var out []*stream
	for _, st := range e.streams {
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b *stream) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// submit queues a stream; resumes go before new work.
func (e *engine) submit(st *stream) {
	e.arrivals++
	st.arrival = e.arrivals
	e.streams[st.id] = st
	at := len(e.waiting)
	for at > 0 && st.resume && !e.waiting[at-1].resume {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, st)
	e.fill()
}

// fill moves waiting streams into free places of the batch and reads the next
// prompt.
func (e *engine) fill() {
	for e.running < maxRunning && len(e.waiting) > 0 {
		st := e.waiting[0]
		e.waiting = e.waiting[1:]
		st.inBatch = true
		e.running++
		e.toRead = append(e.toRead, st)
	}
	if e.reading != nil || len(e.toRead) == 0 {
		return
	}
	st := e.toRead[0]
	e.toRead = e.toRead[1:]
	e.reading = st
	st.cached = min(e.cache.LookUp(st.prefixes), st.promptTokens())
	st.readFrom = e.sim.now
	took := time.Duration(float64(st.promptTokens()-st.cached) / prefillRate * float64(time.Second))
	e.sim.after(took, func() { e.do(func() { e.read(st) }) })
}

// read ends the reading of a prompt.
func (e *engine) read(st *stream) {
	if st.gone {
		return
	}
	st.settleRead()
	e.reading = nil
	e.cache.Store(st.prefixes)
	st.decoding = true
	e.fill()
	st.produce()
}

func (e *engine) gap() time.Duration {
	g := float64(aloneGap) + float64(fullGap-aloneGap)*float64(e.running-1)/(maxRunning-1)
	if e.reading != nil {
		g *= prefillDelay
	}
	if e.slow {
		g *= slowFactor
	}
	return time.Duration(g * (1 - gapJitter + 2*gapJitter*e.rng.Float64()))
}

// remove takes a stream out of the batch or the queue.
func (e *engine) remove(st *stream) {
	if st.gone || st.finished {
		st.gone = true
		return
	}
	st.settleRead()
	st.gone = true
	delete(e.streams, st.id)
	e.leave(st)
}

func (e *engine) leave(st *stream) {
	same := func(o *stream) bool { return o == st }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.toRead = slices.DeleteFunc(e.toRead, same)
	if e.reading == st {
		e.reading = nil
	}
	if st.inBatch {
		e.running--
	}
	e.fill()
}

func (e *engine) takeEvents() backendapi.CacheEvents {
	return backendapi.CacheEvents{Incarnation: e.incarnation, Events: e.cache.TakeEvents()}
}

// load is the engine's report at this moment.
func (e *engine) load() backendapi.Load {
	unread := 0
	for _, st := range slices.Concat(e.waiting, e.toRead) {
		unread += st.promptTokens()
	}
	return backendapi.Load{
		MeasuredAt: e.sim.time(), Incarnation: e.incarnation, Running: e.running, Waiting: len(e.waiting),
		MaxRunning: maxRunning, WaitingTokens: unread, TokensPerSecond: float64(time.Second) / float64(fullGap),
		PrefillTokensPerSecond: prefillRate, Models: []string{model},
	}
}
