package generation

import "sync"

// replicaState is the latest known state of a replica. It may be used by any
// number of goroutines.
type replicaState struct {
	// changed has capacity 1: changes that have not been received yet are merged
	// into one signal.
	changed chan struct{}

	mu sync.Mutex
	// tokens and available are guarded by mu.
	tokens    int
	available bool
}

func newReplicaState(tokens int) replicaState {
	return replicaState{changed: make(chan struct{}, 1), tokens: tokens, available: true}
}

func (c *replicaState) acknowledge(tokens int) {
	c.mu.Lock()
	c.tokens = max(c.tokens, tokens)
	c.mu.Unlock()
	c.signal()
}

func (c *replicaState) setAvailable(available bool) {
	c.mu.Lock()
	c.available = available
	c.mu.Unlock()
	c.signal()
}

func (c *replicaState) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *replicaState) get() (tokens int, available bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens, c.available
}
