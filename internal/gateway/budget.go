package gateway

import (
	"sync"
	"time"
)

// Usage is what one host sent to one service in the last window.
type Usage struct {
	Requests int `json:"q"` // of clients, on routes to the service
	Repeats  int `json:"r"` // arrivals beyond the first of a request
}

// budgetSlots divide the window; older slots leave it one by one.
const budgetSlots = 10

// budgetMargin is the part of the limit that hosts use. What they know of each
// other is some hundred milliseconds old, and a lost data centre makes all of
// them repeat at once.
const budgetMargin = 0.8

// usageSlots counts one host's usage of a service in slots of a window.
type usageSlots struct {
	slots  [budgetSlots]Usage
	newest int64 // number of the newest slot since 1970
}

func (u *usageSlots) at(number int64) *Usage {
	if number-u.newest >= budgetSlots {
		u.slots = [budgetSlots]Usage{}
		u.newest = number
	}
	for u.newest < number {
		u.newest++
		u.slots[u.newest%budgetSlots] = Usage{}
	}
	return &u.slots[number%budgetSlots]
}

func (u *usageSlots) sum(number int64) Usage {
	u.at(number)
	var total Usage
	for _, s := range u.slots {
		total.Requests += s.Requests
		total.Repeats += s.Repeats
	}
	return total
}

// Budgets bounds the repeats that all hosts together send to a service: a
// fraction of its requests and a fixed number besides, in each window. Hosts
// tell each other what they used, so that a host whose streams were lost may
// use what others do not need.
type Budgets struct {
	// Ratio is the number of repeats for each request, Slack the fixed number.
	// Both are guarded by mu once requests are served.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Others returns what the other hosts used of a service, and their number.
	Others func(service string) (Usage, int)

	mu  sync.Mutex
	own map[string]*usageSlots // guarded by mu
}

// SetLimits replaces the limits.
func (b *Budgets) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
}

func (b *Budgets) slot(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(b.Window)/budgetSlots)
}

func (b *Budgets) of(service string) *usageSlots {
	if b.own == nil {
		b.own = map[string]*usageSlots{}
	}
	u := b.own[service]
	if u == nil {
		u = &usageSlots{}
		b.own[service] = u
	}
	return u
}

// Started counts a new request.
func (b *Budgets) Started(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).at(b.slot(now)).Requests++
}

// Own returns what this host used in the last window.
func (b *Budgets) Own(now time.Time) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := make(map[string]Usage, len(b.own))
	for service, u := range b.own {
		if sum := u.sum(b.slot(now)); sum != (Usage{}) {
			usage[service] = sum
		}
	}
	return usage
}

// Take spends one repeat and reports whether it may be made.
func (b *Budgets) Take(now time.Time, service string) bool {
	others, hosts := b.Others(service)
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.of(service)
	sum := own.sum(b.slot(now))
	limit := budgetMargin * (b.Ratio*float64(sum.Requests+others.Requests) + b.Slack)
	// A host always has its equal part, so that one that others fill up is not
	// starved; the margin covers it.
	part := budgetMargin / 2 * (b.Ratio*float64(sum.Requests) + b.Slack/float64(hosts+1))
	if float64(sum.Repeats+others.Repeats) >= limit && float64(sum.Repeats) >= part {
		return false
	}
	own.at(b.slot(now)).Repeats++
	return true
}
