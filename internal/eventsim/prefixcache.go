package eventsim

import (
	"container/list"
	"fmt"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// PrefixCache is the LRU prefix cache of a simulated engine. It also records the
// cache events that the engine publishes.
type PrefixCache struct {
	limit    int
	blocks   map[uint64]*list.Element
	lru      *list.List
	sequence int64
	events   []backendapi.CacheEvent
}

// NewPrefixCache returns an empty cache with a capacity of limit blocks.
func NewPrefixCache(limit int) *PrefixCache {
	return &PrefixCache{limit: limit, blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// LookUp returns the number of cached tokens of the prompt with the given
// prefixes and marks their blocks as recently used.
func (c *PrefixCache) LookUp(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && c.blocks[prefixes[n]] != nil {
		c.lru.MoveToFront(c.blocks[prefixes[n]])
		n++
	}
	return n * backendapi.CacheBlockTokens
}

// Store adds the prefixes of a prompt after its prefill and evicts the least
// recently used blocks above the capacity.
func (c *PrefixCache) Store(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- { // so that the first block is evicted last
		p := prefixes[i]
		if el := c.blocks[p]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[p] = c.lru.PushFront(p)
		c.recordEvent(backendapi.CacheStored, p)
	}
	for c.lru.Len() > c.limit {
		p := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, p)
		c.recordEvent(backendapi.CacheEvicted, p)
	}
}

func (c *PrefixCache) recordEvent(kind string, hash uint64) {
	c.sequence++
	c.events = append(c.events, backendapi.CacheEvent{
		Sequence:   c.sequence,
		Kind:       kind,
		PrefixHash: fmt.Sprintf("%016x", hash),
	})
}

// TakeEvents returns the events recorded since the last call and removes them.
func (c *PrefixCache) TakeEvents() []backendapi.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
