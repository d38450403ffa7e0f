// Package retryshare divides the retry budget of each service among the hosts of a
// deployment, so that all hosts together stay within it whatever they know of each
// other.
//
// Load pattern: the servers of a service refuse most requests, or a data centre of
// engines is lost, and every host retries within milliseconds. What the hosts report
// about their use arrives up to a second later, so a limit on the reported sum would
// be exceeded before any host notices. Each host therefore has a share of its own: the
// retries that its own requests allow, and an equal part of the fixed number. A host
// that needs more borrows from another one, which counts a loan as its own retries
// before it is sent. A loan that is lost on the way is used by nobody.
//
// A Budget is safe for concurrent use. Its methods take the current time as an
// argument and do no I/O.
package retryshare

import (
	"sync"
	"time"
)

const (
	// windowSlots is the number of slots in a window. The window advances by one
	// slot at a time.
	windowSlots = 10
	// limitFraction is the fraction of the limit that is divided among the hosts. The
	// rest covers requests that are sent again by the network and hosts that do not
	// know all others yet.
	limitFraction = 0.95
	// initialFraction is the fraction of its part of the fixed number that a host has
	// at its start.
	initialFraction = 0.1
	// loanSlots is the number of slots in which a loan may be used, the current one
	// included.
	loanSlots = 2
)

// Priority is the urgency of a retry.
type Priority int

const (
	// Optional retries only shorten the wait for an answer. They may use half of the
	// share, so that enough is left for the others.
	Optional Priority = iota
	// Needed retries follow a failure. They may use the whole share.
	Needed
)

// fractions are the parts of a host's share that retries of each priority may use.
var fractions = [...]float64{Optional: 0.5, Needed: 1}

// Limits bound the retries that all hosts together send to one service.
type Limits struct {
	Ratio  float64 // retries allowed per request
	Base   float64 // retries allowed in each window in addition
	Window time.Duration
}

// Usage is the number of requests and retries that a host sent to one service in the
// last window.
type Usage struct {
	Requests int `json:"q"` // of clients, on routes to the service
	Retries  int `json:"r"` // attempts that reached a server after the first of their request, and loans to other hosts
}

// Budget is the share of one host in the retry budgets of all services.
type Budget struct {
	// hosts returns the number of hosts that the fixed number is divided among: all
	// known ones, including those that have been silent for some time.
	hosts func() int
	start time.Time

	mu       sync.Mutex
	limits   Limits             // guarded by mu
	services map[string]*counts // guarded by mu
}

// New returns the budget of a host that starts now. What the host used before a
// restart is not known, so its part of the fixed number grows from initialFraction to
// its full size within the first window.
func New(limits Limits, now time.Time, hosts func() int) *Budget {
	return &Budget{hosts: hosts, start: now, limits: limits, services: map[string]*counts{}}
}

// SetLimits replaces the ratio and the fixed number; the window stays.
func (b *Budget) SetLimits(ratio, base float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Ratio, b.limits.Base = ratio, base
}

// slot returns the number of the slot that contains now.
func (b *Budget) slot(now time.Time) int64 {
	return int64(now.Sub(b.start) / max(1, b.limits.Window/windowSlots))
}

func (b *Budget) countsOf(now time.Time, service string) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	c.advance(b.slot(now))
	return c
}

// share returns the number of retries that a host may send in a window in which it
// received the given number of requests.
func (b *Budget) share(requests int, ramp float64) float64 {
	return limitFraction * (b.limits.Ratio*float64(requests) + ramp*b.limits.Base/float64(max(1, b.hosts())))
}

// ownShare returns the share of this host.
func (b *Budget) ownShare(now time.Time, c *counts) float64 {
	uptime := float64(now.Sub(b.start)) / float64(max(1, b.limits.Window))
	ramp := min(1, initialFraction+(1-initialFraction)*uptime)
	return b.share(c.requests(), ramp)
}

// RecordRequest counts a new request of a client.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsOf(now, service).current().Requests++
}

// Take reports whether a retry may be sent to the service now, and counts it if so.
// A loan is used before the host's own share, which lasts longer.
func (b *Budget) Take(now time.Time, service string, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(now, service)
	if p == Needed && c.useLoan() {
		return true
	}
	if float64(c.retries()+1) > fractions[p]*b.ownShare(now, c) {
		return false
	}
	c.current().Retries++
	return true
}

// HasLeft reports whether a needed retry could be sent now. It counts none.
func (b *Budget) HasLeft(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(now, service)
	return float64(c.retries()+1) <= b.ownShare(now, c)
}

// Lend returns how many of the requested retries this host leaves to another one. It
// counts them as its own. A host lends all that it has not used, since it can borrow
// again itself.
func (b *Budget) Lend(now time.Time, service string, requested int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(now, service)
	spare := int(b.ownShare(now, c)) - c.retries()
	granted := max(0, min(requested, spare))
	c.current().Retries += granted
	return granted
}

// AddLoan adds retries that another host has lent to this one.
func (b *Budget) AddLoan(now time.Time, service string, granted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsOf(now, service).current().loan += granted
}

// Spare estimates how many retries a host with the given usage would lend. It is
// negative if the host has used up its share, which has become smaller since.
func (b *Budget) Spare(u Usage) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share(u.Requests, 1) - float64(u.Retries)
}

// Usage returns this host's usage in the last window, by service.
func (b *Budget) Usage(now time.Time) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := make(map[string]Usage, len(b.services))
	for service := range b.services {
		c := b.countsOf(now, service)
		if u := (Usage{Requests: c.requests(), Retries: c.retries()}); u != (Usage{}) {
			usage[service] = u
		}
	}
	return usage
}
