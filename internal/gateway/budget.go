package gateway

import (
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/retrybudget"
)

// Budgets bounds the repeats to each service. All hosts share the limit of a
// service, so each takes an equal part of its fixed share.
type Budgets struct {
	mu       sync.Mutex
	services map[string]*retrybudget.Budget // guarded by mu

	// Ratio is the number of repeats for each request, Slack the fixed number
	// in a window of all hosts together.
	Ratio float64
	Slack float64
	// Window is the length in which Slack is spent.
	Window time.Duration
	// Hosts returns the number of hosts that share the slack.
	Hosts func() int
}

// safety is the part of the limit that is used. Hosts see requests and repeats
// of one window at different times.
const safety = 0.6

func (b *Budgets) of(now time.Time, service string) *retrybudget.Budget {
	if b.services == nil {
		b.services = map[string]*retrybudget.Budget{}
	}
	budget := b.services[service]
	if budget == nil {
		part := max(1, b.Slack*safety/float64(max(1, b.Hosts())))
		var err error
		budget, err = retrybudget.New(retrybudget.Config{
			Base:          part,
			PerGeneration: b.Ratio * safety,
			PerSecond:     part / max(1, b.Window.Seconds()),
		}, now)
		if err != nil {
			panic(err) // the configuration above is always valid
		}
		b.services[service] = budget
	}
	return budget
}

// Started counts a new request.
func (b *Budgets) Started(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.of(now, service)
	budget.Started(now)
	budget.Ended(now)
}

// Take spends one repeat and reports whether it may be made.
func (b *Budgets) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok, _ := b.of(now, service).Take(now)
	return ok
}
