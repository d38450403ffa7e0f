package overload

import "time"

// patienceFor is how long the longest time that clients of a route wait counts.
const patienceFor = 2 * time.Minute

// patience is the longest time that clients of one route were seen to wait.
type patience struct {
	longest time.Duration
	at      time.Time
}

// Waited returns how long a client has waited already, judged by the time that
// it still waits and the longest time that clients of the same route wait: one
// that was refused comes back with what is left of that time.
func (c *Controller) Waited(now time.Time, route string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.patience == nil {
		c.patience = map[string]patience{}
	}
	p := c.patience[route]
	if left >= p.longest || now.Sub(p.at) > patienceFor {
		c.patience[route] = patience{left, now}
		return 0
	}
	return p.longest - left
}
