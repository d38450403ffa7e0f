package overload

import "time"

// longestWaitTTL is how long the longest wait seen on a route remains valid.
const longestWaitTTL = 2 * time.Minute

// longestWait is the longest time that clients of one route were seen to wait.
type longestWait struct {
	longest time.Duration
	at      time.Time
}

// TimeWaited returns how long a client has waited already. It is estimated as the
// difference between the longest wait seen among clients of the same route and left,
// the time that this client will still wait: a refused client retries with what
// remains of its waiting time.
func (c *Controller) TimeWaited(now time.Time, route string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routeWaits == nil {
		c.routeWaits = map[string]longestWait{}
	}
	p := c.routeWaits[route]
	if left >= p.longest || now.Sub(p.at) > longestWaitTTL {
		c.routeWaits[route] = longestWait{left, now}
		return 0
	}
	return p.longest - left
}
