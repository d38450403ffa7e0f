package main

import (
	"container/list"
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// Shape of the engines.
const (
	model         = "m"
	engines       = 35
	maxRunning    = 8
	prefillRate   = 4000.0 // tokens/s, one prompt at a time
	fullRate      = 30.0   // output tokens/s of a stream in a full batch
	aloneRate     = 45.0   // of a stream alone
	cacheBlocks   = 3000   // blocks of prompt prefixes
	lostBatchRate = 0.02   // of the batches of cache events
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
	sim         *sim
	id          string
	dataCentre  string
	running     int
	waiting     []*stream
	prefillFree time.Duration // when the prefill under way ends
	waitTokens  int
	cache       map[uint64]*list.Element
	recent      *list.List              // of block hashes, most recent first
	events      []backendapi.CacheEvent // since the last poll
	sequence    int64
}

func newEngine(s *sim, i int) *engine {
	return &engine{
		sim: s, id: fmt.Sprintf("e%02d", i), dataCentre: fmt.Sprintf("d%d", i%3),
		cache: map[uint64]*list.Element{}, recent: list.New(),
	}
}

// start queues a stream.
func (e *engine) start(st *stream) {
	e.waiting = append(e.waiting, st)
	e.waitTokens += st.request.place.PromptTokens
	e.fill()
}

// fill moves waiting streams into free places of the batch.
func (e *engine) fill() {
	for e.running < maxRunning && len(e.waiting) > 0 {
		st := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.waitTokens -= st.request.place.PromptTokens
		if !st.cancelled {
			e.run(st)
		}
	}
}

func (e *engine) run(st *stream) {
	st.running = true
	e.running++
	st.cached = e.lookUp(st.request.place.Prefixes)
	uncached := st.request.place.PromptTokens - st.cached
	begin := max(e.prefillFree, e.sim.now)
	e.prefillFree = begin + seconds(float64(uncached)/prefillRate)
	e.sim.at(e.prefillFree, func() {
		if st.cancelled {
			return
		}
		e.store(st.request.place.Prefixes)
		st.firstToken()
		e.sim.at(e.sim.now+seconds(float64(st.request.output)/e.rate()), func() { e.end(st) })
	})
}

func (e *engine) rate() float64 {
	return aloneRate - (aloneRate-fullRate)*float64(e.running-1)/(maxRunning-1)
}

func (e *engine) end(st *stream) {
	if st.cancelled {
		return
	}
	e.running--
	st.done()
	e.fill()
}

// cancel stops a stream whose caller is gone.
func (e *engine) cancel(st *stream) {
	st.cancelled = true
	if st.running {
		e.running--
		e.fill()
	}
}

func (e *engine) lookUp(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && e.cache[prefixes[n]] != nil {
		e.recent.MoveToFront(e.cache[prefixes[n]])
		n++
	}
	return n * blockTokens
}

func (e *engine) store(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- { // the first block stays longest
		p := prefixes[i]
		if el := e.cache[p]; el != nil {
			e.recent.MoveToFront(el)
			continue
		}
		e.cache[p] = e.recent.PushFront(p)
		e.event(backendapi.CacheStored, p)
	}
	for e.recent.Len() > cacheBlocks {
		p := e.recent.Remove(e.recent.Back()).(uint64)
		delete(e.cache, p)
		e.event(backendapi.CacheEvicted, p)
	}
}

func (e *engine) event(kind string, hash uint64) {
	e.sequence++
	e.events = append(e.events, backendapi.CacheEvent{
		Sequence: e.sequence, Kind: kind, PrefixHash: fmt.Sprintf("%016x", hash)})
}

// load is the engine's report at this moment.
func (e *engine) load() backendapi.Load {
	return backendapi.Load{
		MeasuredAt: e.sim.time(e.sim.now), Incarnation: 1, Running: e.running, Waiting: len(e.waiting),
		MaxRunning: maxRunning, WaitingTokens: e.waitTokens, TokensPerSecond: e.rate(),
		PrefillTokensPerSecond: prefillRate, Models: []string{model},
	}
}
