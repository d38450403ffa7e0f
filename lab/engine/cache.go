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

// keptCacheEvents is how many events are kept for readers. A reader that is
// further behind sees a gap.
const keptCacheEvents = 8192

// block identifies one cached prefix.
type block struct {
	model  string
	hash   uint64
	tokens int
}

// prefixHashes returns the blocks of a prompt, shortest prefix first.
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

// prefixCache holds prompt prefixes in blocks, least recently used out first.
type prefixCache struct {
	limit  int        // blocks
	order  *list.List // of block, most recently used first
	places map[block]*list.Element
	log    *eventLog
}

func newPrefixCache(limit int, log *eventLog) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), places: map[block]*list.Element{}, log: log}
}

// cached returns the number of tokens of the longest cached prefix.
func (c *prefixCache) cached(blocks []block) int {
	tokens := 0
	for _, b := range blocks {
		if _, ok := c.places[b]; !ok {
			break
		}
		tokens = b.tokens
	}
	return tokens
}

// store inserts all prefixes of a prompt. The longest goes in first, so that
// it is also evicted first: a block is useless without the shorter ones.
func (c *prefixCache) store(now time.Time, blocks []block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e, ok := c.places[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.places[b] = c.order.PushFront(b)
		c.log.add(now, backendapi.CacheStored, b)
	}
	for c.order.Len() > c.limit {
		e := c.order.Back()
		b := c.order.Remove(e).(block)
		delete(c.places, b)
		c.log.add(now, backendapi.CacheEvicted, b)
	}
}

// dropModel removes the prefixes of a model that is no longer loaded, and of
// its adapters.
func (c *prefixCache) dropModel(now time.Time, model string) {
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if b := e.Value.(block); b.model == model || strings.HasPrefix(b.model, model+":") {
			c.order.Remove(e)
			delete(c.places, b)
			c.log.add(now, backendapi.CacheEvicted, b)
		}
		e = next
	}
}

// eventLog delivers cache events late and loses some of them.
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

// add numbers an event. A lost event uses up its number, which shows as a gap.
func (l *eventLog) add(now time.Time, kind string, b block) {
	l.sequence++
	if l.lossRate > 0 && l.rng.Float64() < l.lossRate {
		return
	}
	l.events = append(l.events, timedEvent{at: now, event: backendapi.CacheEvent{
		Sequence: l.sequence, Kind: kind, Model: b.model,
		PrefixHash: fmt.Sprintf("%016x", b.hash), Tokens: b.tokens,
	}})
	if len(l.events) >= 2*keptCacheEvents {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-keptCacheEvents:]...)
	}
}

// after returns the events behind a sequence number that are old enough to be
// delivered.
func (l *eventLog) after(now time.Time, sequence int64) []backendapi.CacheEvent {
	out := []backendapi.CacheEvent{}
	for _, e := range l.events {
		if e.event.Sequence > sequence && !e.at.Add(l.delay).After(now) {
			out = append(out, e.event)
		}
	}
	return out
}
