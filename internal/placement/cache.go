package placement

import (
	"strconv"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// PrefixHashes returns the hash of each prefix of the text that consists of a
// multiple of backendapi.CacheBlockTokens tokens, shortest first, and the
// number of tokens of the text. A token is a run of non-space bytes with the
// white space before it; a space is one of the six ASCII white space bytes.
func PrefixHashes(text string) (hashes []uint64, tokens int) {
	hasher := xxh3.New()
	start, inToken := 0, false
	endToken := func(end int) {
		tokens++
		if tokens%backendapi.CacheBlockTokens == 0 {
			_, _ = hasher.WriteString(text[start:end])
			start = end
			hashes = append(hashes, hasher.Sum64())
		}
	}
	for i := 0; i < len(text); i++ {
		space := text[i] == ' ' || text[i] >= '\t' && text[i] <= '\r'
		if space && inToken {
			endToken(i)
		}
		inToken = !space
	}
	if inToken {
		endToken(len(text))
	}
	return hashes, tokens
}

// cacheIndex is what this node believes about the prefixes cached on one
// server. At its bound the oldest entry makes place.
type cacheIndex struct {
	slots       map[uint64]int // prefix hash to its place in ring
	ring        []uint64
	next        int
	limit       int
	sequence    int64 // of the last event applied; 0 before the first
	incarnation int64
	drops       int // times the index was dropped
	known       knownPrefixes
}

// knownPrefixes counts, for each prefix hash, the servers whose index holds
// it. Looking up 625 prefixes on each of 64 servers took 3.5 ms, so a choice
// first drops the prefixes that no server holds.
type knownPrefixes map[uint64]int32

// heldPrefix is a prefix of a request that some server holds.
type heldPrefix struct {
	hash   uint64
	tokens int
}

// held returns the prefixes that some server holds, longest first.
func (k knownPrefixes) held(prefixes []uint64) []heldPrefix {
	out := make([]heldPrefix, 0, 8)
	for i := len(prefixes) - 1; i >= 0; i-- {
		if k[prefixes[i]] > 0 {
			out = append(out, heldPrefix{prefixes[i], (i + 1) * backendapi.CacheBlockTokens})
		}
	}
	return out
}

func (k knownPrefixes) remove(hash uint64) {
	if k[hash]--; k[hash] <= 0 {
		delete(k, hash)
	}
}

// apply takes one batch of events. A gap drops the entries that came before
// it, because an eviction may be among the lost events.
func (c *cacheIndex) apply(batch backendapi.CacheEvents) {
	if batch.Incarnation < c.incarnation {
		return
	}
	if batch.Incarnation > c.incarnation {
		c.restart(batch.Incarnation)
	}
	for _, e := range batch.Events {
		if e.Sequence <= c.sequence {
			continue // repeated
		}
		if c.sequence != 0 && e.Sequence != c.sequence+1 {
			c.drop()
		}
		c.sequence = e.Sequence
		c.applyEvent(e)
	}
}

func (c *cacheIndex) applyEvent(e backendapi.CacheEvent) {
	if e.Kind == backendapi.CacheCleared {
		c.drop()
		return
	}
	hash, err := strconv.ParseUint(e.PrefixHash, 16, 64)
	if err != nil {
		return // malformed: the index is a hint, so the event is skipped
	}
	switch e.Kind {
	case backendapi.CacheStored:
		c.store(hash)
	case backendapi.CacheEvicted:
		c.remove(hash)
	}
}

func (c *cacheIndex) remove(hash uint64) {
	if _, ok := c.slots[hash]; ok {
		delete(c.slots, hash)
		c.known.remove(hash)
	}
}

func (c *cacheIndex) store(hash uint64) {
	if _, ok := c.slots[hash]; ok {
		return
	}
	if c.slots == nil {
		c.slots = map[uint64]int{}
	}
	c.known[hash]++
	if len(c.ring) < c.limit {
		c.slots[hash] = len(c.ring)
		c.ring = append(c.ring, hash)
		return
	}
	// An entry that was deleted and stored again has a newer place.
	if old := c.ring[c.next]; c.slots[old] == c.next {
		c.remove(old)
	}
	c.ring[c.next], c.slots[hash] = hash, c.next
	c.next = (c.next + 1) % c.limit
}

// drop forgets all entries and keeps the position in the event sequence.
func (c *cacheIndex) drop() {
	if len(c.slots) > 0 {
		c.drops++
	}
	for hash := range c.slots {
		c.known.remove(hash)
	}
	c.slots, c.ring, c.next = nil, c.ring[:0], 0
}

func (c *cacheIndex) restart(incarnation int64) {
	c.drop()
	c.sequence, c.incarnation = 0, incarnation
}

// cachedTokens returns the length of the longest known prefix.
func (c *cacheIndex) cachedTokens(held []heldPrefix) int {
	if len(c.slots) == 0 {
		return 0
	}
	for _, p := range held {
		if _, ok := c.slots[p.hash]; ok {
			return p.tokens
		}
	}
	return 0
}
