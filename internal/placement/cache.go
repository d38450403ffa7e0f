package placement

import (
	"strconv"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// PrefixHashes returns the hash of each prefix of the text that consists of a
// multiple of backendapi.CacheBlockTokens tokens, shortest first, and the
// number of tokens of the text. A token is a run of non-space bytes together
// with the white space before it; white space is the six ASCII white space bytes.
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

// cacheIndex is this node's estimate of the prefixes cached on one server. It
// holds at most limit entries; a new one replaces the oldest.
type cacheIndex struct {
	positions    map[uint64]int // prefix hash to its index in ring
	ring         []uint64
	next         int
	limit        int
	sequence     int64 // of the last event applied, 0 before the first
	incarnation  int64
	drops        int // number of times that a non-empty index was cleared
	prefixCounts prefixCounts
}

// prefixCounts maps a prefix hash to the number of servers whose index holds it.
// Looking up 625 prefixes in the index of each of 64 servers took 3.5 ms, so
// Chooser.Choose first discards the prefixes that no server holds.
type prefixCounts map[uint64]int32

// cachedPrefix is a prefix of a request that at least one server has cached.
type cachedPrefix struct {
	hash   uint64
	tokens int
}

// cached returns the prefixes that at least one server has cached, longest first.
func (k prefixCounts) cached(prefixes []uint64) []cachedPrefix {
	out := make([]cachedPrefix, 0, 8)
	for i := len(prefixes) - 1; i >= 0; i-- {
		if k[prefixes[i]] > 0 {
			out = append(out, cachedPrefix{prefixes[i], (i + 1) * backendapi.CacheBlockTokens})
		}
	}
	return out
}

func (k prefixCounts) remove(hash uint64) {
	if k[hash]--; k[hash] <= 0 {
		delete(k, hash)
	}
}

// apply applies one batch of events. A gap in the sequence numbers removes all
// earlier entries, because an eviction may be among the lost events.
func (c *cacheIndex) apply(batch backendapi.CacheEvents) {
	if batch.Incarnation < c.incarnation {
		return
	}
	if batch.Incarnation > c.incarnation {
		c.restart(batch.Incarnation)
	}
	for _, e := range batch.Events {
		if e.Sequence <= c.sequence {
			continue // already applied
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
		return // malformed; skipped because the index is only a hint
	}
	switch e.Kind {
	case backendapi.CacheStored:
		c.store(hash)
	case backendapi.CacheEvicted:
		c.remove(hash)
	}
}

func (c *cacheIndex) remove(hash uint64) {
	if _, ok := c.positions[hash]; ok {
		delete(c.positions, hash)
		c.prefixCounts.remove(hash)
	}
}

func (c *cacheIndex) store(hash uint64) {
	if _, ok := c.positions[hash]; ok {
		return
	}
	if c.positions == nil {
		c.positions = map[uint64]int{}
	}
	c.prefixCounts[hash]++
	if len(c.ring) < c.limit {
		c.positions[hash] = len(c.ring)
		c.ring = append(c.ring, hash)
		return
	}
	// The slot may be stale: a hash that was removed and stored again has a newer
	// index and must stay.
	if old := c.ring[c.next]; c.positions[old] == c.next {
		c.remove(old)
	}
	c.ring[c.next], c.positions[hash] = hash, c.next
	c.next = (c.next + 1) % c.limit
}

// drop removes all entries and keeps the sequence number of the last event.
func (c *cacheIndex) drop() {
	if len(c.positions) > 0 {
		c.drops++
	}
	for hash := range c.positions {
		c.prefixCounts.remove(hash)
	}
	c.positions, c.ring, c.next = nil, c.ring[:0], 0
}

func (c *cacheIndex) restart(incarnation int64) {
	c.drop()
	c.sequence, c.incarnation = 0, incarnation
}

// cachedTokens returns the length in tokens of the longest of the given prefixes
// that the server has cached. The prefixes are sorted longest first.
func (c *cacheIndex) cachedTokens(prefixes []cachedPrefix) int {
	if len(c.positions) == 0 {
		return 0
	}
	for _, p := range prefixes {
		if _, ok := c.positions[p.hash]; ok {
			return p.tokens
		}
	}
	return 0
}
