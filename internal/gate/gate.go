// Package gate makes the goroutines of requests wait until the node's admission
// controller admits them.
//
// One mutex guards the controller and the waiting requests, so all methods may
// be called from any goroutine. The mutex is held for decisions only, never
// while a request runs.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// dispatchInterval is the interval at which Run re-evaluates limits that change
// with time alone.
const dispatchInterval = 50 * time.Millisecond

// RefusedError is the error returned for a request that is not admitted.
type RefusedError struct{ admission.Refusal }

// Error implements error.
func (r *RefusedError) Error() string { return "request refused: " + string(r.Reason) }

// Gate queues requests until the admission controller admits or refuses them.
type Gate struct {
	mu sync.Mutex
	// controller, waiting and nextID are guarded by mu.
	controller *admission.Controller
	waiting    map[uint64]chan admission.Outcome
	nextID     uint64
}

// New returns a gate whose controller has no teams and no capacity yet; both are
// set with Update. The controller calls recheck before it admits a queued request,
// to check whether the request may still run; the gate's mutex is held then, so
// recheck must not call the gate. A nil recheck lets every request run. The seed
// initialises the controller's random source.
func New(config admission.Config, recheck admission.Recheck, seed uint64) (*Gate, error) {
	controller, err := admission.New(config, recheck, rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		return nil, err
	}
	return &Gate{controller: controller, waiting: map[uint64]chan admission.Outcome{}}, nil
}

// Run dispatches waiting requests every dispatchInterval until ctx is done.
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

// dispatch lets the controller admit or refuse waiting requests and delivers the
// outcomes. The caller must hold mu.
func (g *Gate) dispatch(now time.Time) { g.deliver(g.controller.Dispatch(now)) }

// deliver sends each outcome to the goroutine that waits for it. The caller must
// hold mu.
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

// Ticket represents an admitted request. Its Finished method must be called
// exactly once.
type Ticket struct {
	gate   *Gate
	item   admission.Item
	Waited time.Duration
}

// Admit waits until the request may run. The parameter tokens is the estimate of
// prompt plus maximum output, and less than 1 counts as 1; resume is set if the
// request continues a generation that was admitted before. Admit returns a
// *RefusedError if the request is refused, and the error of ctx if ctx ends first.
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
	// The outcome was decided before the cancellation. If the request was
	// admitted, its slots and tokens are returned unused.
	ticket, err := g.ticket(<-result)
	if err != nil {
		return nil, err
	}
	ticket.Finished(0)
	return nil, ctx.Err()
}

func (g *Gate) ticket(outcome admission.Outcome) (*Ticket, error) {
	if outcome.Refusal != nil {
		return nil, &RefusedError{*outcome.Refusal}
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
		return item, nil, &RefusedError{*refusal}
	}
	result := make(chan admission.Outcome, 1)
	g.waiting[item.ID] = result
	g.dispatch(now)
	return item, result, nil
}

// cancel withdraws a waiting request. It returns false if the request already
// has an outcome.
func (g *Gate) cancel(item admission.Item) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waiting := g.waiting[item.ID]; !waiting {
		return false
	}
	delete(g.waiting, item.ID)
	return g.controller.Cancel(item.Team, item.ID)
}

// Finished releases the request's slots and returns the tokens that it did not
// use to its team.
func (t *Ticket) Finished(usedTokens int) {
	now := time.Now()
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.controller.Finished(now, t.item, usedTokens)
	t.gate.dispatch(now)
}

// Update passes the controller to the function change, which may modify it, then
// delivers the outcomes that the function returns and dispatches waiting requests.
// The mutex is held throughout, so the function must not call the gate.
func (g *Gate) Update(change func(now time.Time, c *admission.Controller) []admission.Outcome) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(change(now, g.controller))
	g.dispatch(now)
}
