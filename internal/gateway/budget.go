package gateway

import (
	"sync"
	"time"
)

// Usage is the number of requests and retries that one or more hosts sent to one
// service in the last window.
type Usage struct {
	Requests int `json:"q"` // of clients, on routes to the service
	Retries  int `json:"r"` // attempts that reached a server, except the first such attempt of each request
}

// budgetSlots is the number of slots in a window. The window advances by one slot
// at a time.
const budgetSlots = 10

// budgetFraction is the fraction of the limit that hosts use. The usage that they
// have received from each other is some hundred milliseconds old, and the loss of
// a data centre makes all of them retry at once.
const budgetFraction = 0.8

// usageSlots counts one host's usage of a service in the slots of a sliding
// window.
type usageSlots struct {
	slots      [budgetSlots]Usage
	newestSlot int64 // number of the newest slot, counted from the Unix epoch
}

// slotFor returns the slot with the given number, after clearing the slots that
// have left the window.
func (u *usageSlots) slotFor(number int64) *Usage {
	if number-u.newestSlot >= budgetSlots {
		u.slots = [budgetSlots]Usage{}
		u.newestSlot = number
	}
	for u.newestSlot < number {
		u.newestSlot++
		u.slots[u.newestSlot%budgetSlots] = Usage{}
	}
	return &u.slots[number%budgetSlots]
}

// sum returns the usage in the window that ends with the given slot.
func (u *usageSlots) sum(number int64) Usage {
	u.slotFor(number)
	var total Usage
	for _, s := range u.slots {
		total.Requests += s.Requests
		total.Retries += s.Retries
	}
	return total
}

// RetryBudgets limits the retries that all hosts together send to a service in each
// window to a fraction of the service's requests plus a fixed number. Hosts send
// each other their usage, so that a host that lost many streams can use the part
// of the limit that the others do not need. Its methods are safe for concurrent
// use.
type RetryBudgets struct {
	// Ratio is the number of retries allowed per request. BaseRetries is the
	// number of retries allowed in each window in addition, independent of the
	// requests. Both are guarded by mu once requests are served.
	Ratio       float64
	BaseRetries float64
	Window      time.Duration
	// PeerUsage returns the usage of a service by all other hosts together in
	// the last window, and the number of those hosts.
	PeerUsage func(service string) (Usage, int)

	mu  sync.Mutex
	own map[string]*usageSlots // guarded by mu
}

// SetLimits replaces Ratio and BaseRetries.
func (b *RetryBudgets) SetLimits(ratio, baseRetries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.BaseRetries = ratio, baseRetries
}

func (b *RetryBudgets) slotNumber(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(b.Window)/budgetSlots)
}

func (b *RetryBudgets) usageOf(service string) *usageSlots {
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

// RecordRequest counts a new request of a client.
func (b *RetryBudgets) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usageOf(service).slotFor(b.slotNumber(now)).Requests++
}

// LocalUsage returns this host's usage in the last window, by service.
func (b *RetryBudgets) LocalUsage(now time.Time) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := make(map[string]Usage, len(b.own))
	for service, u := range b.own {
		if sum := u.sum(b.slotNumber(now)); sum != (Usage{}) {
			usage[service] = sum
		}
	}
	return usage
}

// Take reports whether a retry may be sent to the service, and counts it if so.
func (b *RetryBudgets) Take(now time.Time, service string) bool {
	others, hosts := b.PeerUsage(service)
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.usageOf(service)
	sum := own.sum(b.slotNumber(now))
	limit := budgetFraction * (b.Ratio*float64(sum.Requests+others.Requests) + b.BaseRetries)
	// Each host may always use a part of its equal share, so that a host is
	// not starved when others use up the limit; the unused fraction of the
	// limit covers these parts.
	hostMinimum := budgetFraction / 2 * (b.Ratio*float64(sum.Requests) + b.BaseRetries/float64(hosts+1))
	if float64(sum.Retries+others.Retries) >= limit && float64(sum.Retries) >= hostMinimum {
		return false
	}
	own.slotFor(b.slotNumber(now)).Retries++
	return true
}
