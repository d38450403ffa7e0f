package overload

import "time"

// longestWaitTTL is how long the longest remaining time recorded for a route is valid.
const longestWaitTTL = 2 * time.Minute

// longestWait is the longest remaining time of any client of one route, which is taken
// as the time that a client of the route waits in all.
type longestWait struct {
	longest time.Duration
	at      time.Time // when it was recorded
}

// TimeWaited returns an estimate of how long a client has waited already, including
// earlier attempts. left is its remaining time. A refused client retries with the rest
// of its time, so the estimate is the difference between left and the longest remaining
// time of the clients of the same route.
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
