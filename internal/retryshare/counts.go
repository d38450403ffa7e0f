package retryshare

// slotCounts is the use of one service by one host in one slot. loan is the number of
// retries lent to the host in that slot that are not used yet.
type slotCounts struct {
	Usage
	loan int
}

// counts is the use of one service by one host in a sliding window. It has one slot
// more than a window, so that the retries in any span of one window are all counted
// while the newest slot is not over.
type counts struct {
	slots  [windowSlots + 1]slotCounts
	newest int64 // number of the newest slot
}

// advance clears the slots that have left the window when slot becomes the newest one.
func (c *counts) advance(slot int64) {
	if slot-c.newest > windowSlots {
		c.slots = [windowSlots + 1]slotCounts{}
		c.newest = slot
	}
	for c.newest < slot {
		c.newest++
		*c.at(c.newest) = slotCounts{}
	}
}

func (c *counts) at(slot int64) *slotCounts {
	n := int64(len(c.slots))
	return &c.slots[(slot%n+n)%n]
}

func (c *counts) current() *slotCounts { return c.at(c.newest) }

// requests returns the number of requests in the newest windowSlots slots. The oldest
// slot is left out, since it may lie before the window.
func (c *counts) requests() int {
	sum := 0
	for i := range int64(windowSlots) {
		sum += c.at(c.newest - i).Requests
	}
	return sum
}

// retries returns the number of retries in all slots.
func (c *counts) retries() int {
	sum := 0
	for _, s := range c.slots {
		sum += s.Retries
	}
	return sum
}

// useLoan uses one lent retry and reports whether there was one.
func (c *counts) useLoan() bool {
	for i := range int64(loanSlots) {
		if s := c.at(c.newest - i); s.loan > 0 {
			s.loan--
			return true
		}
	}
	return false
}
