package engine

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// retainedCacheEvents is the number of newest events that are always available to
// readers. A reader that is further behind sees a gap in the sequence numbers.
const retainedCacheEvents = 8192

// block identifies a prompt prefix by its model, hash and length in tokens.
type block struct {
	model  string
	hash   uint64
	tokens int
}

// prefixHashes returns the blocks of the prompt's prefixes whose lengths are
// multiples of CacheBlockTokens, shortest first.
func prefixHashes(model string, tokens []string) []block {
	hasher := xxh3.New()
	var blocks []block
	for i, token := range tokens {
		hasher.WriteString(token) //nolint:errcheck // never fails
		if n := i + 1; n%backendapi.CacheBlockTokens == 0 {
			blocks = append(blocks, block{model: model, hash: hasher.Sum64(), tokens: n})
		}
	}
	return blocks
}

// prefixCache is an LRU cache of prompt prefixes. It is not safe for concurrent
// use.
type prefixCache struct {
	limit   int        // maximum number of blocks
	lru     *list.List // of block, most recently used first
	entries map[block]*list.Element
	log     *eventLog
}

func newPrefixCache(limit int, log *eventLog) *prefixCache {
	return &prefixCache{limit: limit, lru: list.New(), entries: map[block]*list.Element{}, log: log}
}

// cachedTokens returns the number of tokens of the longest cached prefix. The
// blocks must be sorted by length, shortest first.
func (c *prefixCache) cachedTokens(blocks []block) int {
	tokens := 0
	for _, b := range blocks {
		if _, ok := c.entries[b]; !ok {
			break
		}
		tokens = b.tokens
	}
	return tokens
}

// store inserts all prefixes of a prompt. The longest prefix is inserted first, so
// that it is also evicted first: a block can be used only together with all
// shorter ones.
func (c *prefixCache) store(now time.Time, blocks []block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e, ok := c.entries[b]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.entries[b] = c.lru.PushFront(b)
		c.log.add(now, backendapi.CacheStored, b)
	}
	for c.lru.Len() > c.limit {
		e := c.lru.Back()
		b := c.lru.Remove(e).(block)
		delete(c.entries, b)
		c.log.add(now, backendapi.CacheEvicted, b)
	}
}

// dropModel removes the prefixes of a model that is no longer loaded and of its
// adapters.
func (c *prefixCache) dropModel(now time.Time, model string) {
	for e := c.lru.Front(); e != nil; {
		next := e.Next()
		if b := e.Value.(block); b.model == model || strings.HasPrefix(b.model, model+":") {
			c.lru.Remove(e)
			delete(c.entries, b)
			c.log.add(now, backendapi.CacheEvicted, b)
		}
		e = next
	}
}

// eventLog holds cache events and delivers each after a delay. It loses a random
// fraction of them. It is not safe for concurrent use.
type eventLog struct {
	delay    time.Duration
	lossRate float64
	rng      *rand.Rand
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event backendapi.CacheEvent
}

func newEventLog(delay time.Duration, lossRate float64, seed uint64) *eventLog {
	return &eventLog{delay: delay, lossRate: lossRate, rng: rand.New(rand.NewPCG(seed, seed))}
}

// add appends an event with the next sequence number. A lost event also uses a
// number, so that readers see a gap.
func (l *eventLog) add(now time.Time, kind string, b block) {
	l.sequence++
	if l.lossRate > 0 && l.rng.Float64() < l.lossRate {
		return
	}
	l.events = append(l.events, timedEvent{at: now, event: backendapi.CacheEvent{
		Sequence: l.sequence, Kind: kind, Model: b.model,
		PrefixHash: fmt.Sprintf("%016x", b.hash), Tokens: b.tokens,
	}})
	if len(l.events) >= 2*retainedCacheEvents {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-retainedCacheEvents:]...)
	}
}

// after returns the events with a greater sequence number whose delay has passed
// at now.
func (l *eventLog) after(now time.Time, sequence int64) []backendapi.CacheEvent {
	out := []backendapi.CacheEvent{}
	for _, e := range l.events {
		if e.event.Sequence > sequence && !e.at.Add(l.delay).After(now) {
			out = append(out, e.event)
		}
	}
	return out
}
