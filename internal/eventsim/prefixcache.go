package eventsim

import (
	"container/list"
	"fmt"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// PrefixCache is the prefix cache of a modelled engine: it keeps the most
// recently used blocks and records the cache events that the engine publishes.
type PrefixCache struct {
	limit    int
	blocks   map[uint64]*list.Element
	recent   *list.List
	sequence int64
	events   []backendapi.CacheEvent
}

// NewPrefixCache returns an empty cache of limit blocks.
func NewPrefixCache(limit int) *PrefixCache {
	return &PrefixCache{limit: limit, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// LookUp returns how many tokens of the prompt with these prefixes are cached.
func (c *PrefixCache) LookUp(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && c.blocks[prefixes[n]] != nil {
		c.recent.MoveToFront(c.blocks[prefixes[n]])
		n++
	}
	return n * backendapi.CacheBlockTokens
}

// Store adds the prefixes of a prompt that was read.
func (c *PrefixCache) Store(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- { // the first block stays longest
		p := prefixes[i]
		if el := c.blocks[p]; el != nil {
			c.recent.MoveToFront(el)
			continue
		}
		c.blocks[p] = c.recent.PushFront(p)
		c.event(backendapi.CacheStored, p)
	}
	for c.recent.Len() > c.limit {
		p := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, p)
		c.event(backendapi.CacheEvicted, p)
	}
}

func (c *PrefixCache) event(kind string, hash uint64) {
	c.sequence++
	c.events = append(c.events, backendapi.CacheEvent{
		Sequence:   c.sequence,
		Kind:       kind,
		PrefixHash: fmt.Sprintf("%016x", hash),
	})
}

// TakeEvents returns the events since the last call.
func (c *PrefixCache) TakeEvents() []backendapi.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
