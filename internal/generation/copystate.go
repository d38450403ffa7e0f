package generation

import "sync"

// copyState is the newest state of a replica.
type copyState struct {
	// changed has room for one signal.
	changed chan struct{}

	mu sync.Mutex
	// tokens and available are guarded by mu.
	tokens    int
	available bool
}

func newCopyState(tokens int) copyState {
	return copyState{changed: make(chan struct{}, 1), tokens: tokens, available: true}
}

func (c *copyState) acknowledge(tokens int) {
	c.mu.Lock()
	c.tokens = max(c.tokens, tokens)
	c.mu.Unlock()
	c.signal()
}

func (c *copyState) setAvailable(available bool) {
	c.mu.Lock()
	c.available = available
	c.mu.Unlock()
	c.signal()
}

func (c *copyState) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *copyState) get() (tokens int, available bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens, c.available
}
