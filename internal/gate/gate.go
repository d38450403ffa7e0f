// Package gate lets requests wait for admission: it joins the goroutines of
// requests to the admission controller of the node.
//
// One mutex guards the controller and the waiting requests. It is held for
// decisions only, never while a request runs.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// dispatchInterval is how often limits that pass with time are checked.
const dispatchInterval = 50 * time.Millisecond

// Refused is the error of a request that is not admitted.
type Refused struct{ admission.Refusal }

// Error implements error.
func (r *Refused) Error() string { return "request refused: " + string(r.Reason) }

// Gate admits requests.
type Gate struct {
	mu sync.Mutex
	// controller, waiting and nextID are guarded by mu.
	controller *admission.Controller
	waiting    map[uint64]chan admission.Outcome
	nextID     uint64
}

// New returns a gate without teams and without capacity.
func New(config admission.Config, recheck admission.Recheck, seed uint64) (*Gate, error) {
	controller, err := admission.New(config, recheck, rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		return nil, err
	}
	return &Gate{controller: controller, waiting: map[uint64]chan admission.Outcome{}}, nil
}

// Run dispatches by time until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.mu.Lock()
			g.dispatch(now)
			g.mu.Unlock()
		}
	}
}

// dispatch requires mu.
func (g *Gate) dispatch(now time.Time) { g.deliver(g.controller.Dispatch(now)) }

// deliver requires mu.
func (g *Gate) deliver(outcomes []admission.Outcome) {
	for _, outcome := range outcomes {
		result, ok := g.waiting[outcome.Item.ID]
		if !ok {
			continue
		}
		delete(g.waiting, outcome.Item.ID)
		result <- outcome
	}
}

// Ticket is an admitted request. Finished must be called once.
type Ticket struct {
	gate   *Gate
	item   admission.Item
	Waited time.Duration
}

// Admit waits until the request may run. It returns a *Refused if it may not,
// and the context's error if its caller is gone.
func (g *Gate) Admit(ctx context.Context, team ident.Team, tokens int, resume bool) (*Ticket, error) {
	item, result, err := g.offer(team, tokens, resume)
	if err != nil {
		return nil, err
	}
	select {
	case outcome := <-result:
		return g.ticket(outcome)
	case <-ctx.Done():
	}
	if g.cancel(item) {
		return nil, ctx.Err()
	}
	// The outcome was on its way.
	ticket, err := g.ticket(<-result)
	if err != nil {
		return nil, err
	}
	ticket.Finished(0)
	return nil, ctx.Err()
}

func (g *Gate) ticket(outcome admission.Outcome) (*Ticket, error) {
	if outcome.Refusal != nil {
		return nil, &Refused{*outcome.Refusal}
	}
	return &Ticket{gate: g, item: outcome.Item, Waited: outcome.Waited}, nil
}

func (g *Gate) offer(team ident.Team, tokens int, resume bool) (admission.Item, chan admission.Outcome, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	item := admission.Item{ID: g.nextID, Team: team, Tokens: max(tokens, 1), Resume: resume}
	refusal, err := g.controller.Offer(now, item)
	if err != nil {
		return item, nil, err
	}
	if refusal != nil {
		return item, nil, &Refused{*refusal}
	}
	result := make(chan admission.Outcome, 1)
	g.waiting[item.ID] = result
	g.dispatch(now)
	return item, result, nil
}

// cancel returns false if the request has an outcome already.
func (g *Gate) cancel(item admission.Item) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waits := g.waiting[item.ID]; !waits {
		return false
	}
	delete(g.waiting, item.ID)
	return g.controller.Cancel(item.Team, item.ID)
}

// Finished returns the request's slots. The tokens that it did not use go back
// to its team.
func (t *Ticket) Finished(usedTokens int) {
	now := time.Now()
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.controller.Finished(now, t.item, usedTokens)
	t.gate.dispatch(now)
}

// Update calls change with the controller and dispatches what it permits. The
// outcomes that change returns are delivered.
func (g *Gate) Update(change func(now time.Time, c *admission.Controller) []admission.Outcome) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(change(now, g.controller))
	g.dispatch(now)
}
