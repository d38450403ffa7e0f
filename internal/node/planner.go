package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/orders"
	"github.com/yuccahatch/yuccahatch/internal/peer/objects"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

const (
	// modelLoadTime is the assumed time for an engine to load a model. Engines do
	// not report the actual time.
	modelLoadTime = time.Minute
	// newestVersion is the name of the version to load if no engine has the model.
	newestVersion = "latest"
)

func (n *Node) newPlanner() *orders.Executor {
	return orders.NewExecutor(orders.Config{
		Self:        n.host,
		Incarnation: n.incarnation,
		Table:       n.table,
		Engines:     n.backends,
		Weights:     weightStore{n.objects},
		Demand:      n.modelDemand,
		Policy:      orders.DefaultPolicy,
		Log:         n.logger,
		Metrics:     n.scope,
		Now:         n.newClock(),
	})
}

// stepPlanner runs one step of the planner if this node is a relay, one of the few
// nodes of a data centre that exchange heartbeats with other data centres. Other nodes do not compete
// for the planner's lease: with 1,100 nodes, the reads of the lease row alone would
// use up half of the table's read capacity. A node that stops being a relay lets its
// lease expire.
func (n *Node) stepPlanner(ctx context.Context, planner *orders.Executor) {
	n.mu.Lock()
	relay := n.view.IsRelay()
	n.mu.Unlock()
	if relay {
		planner.Step(ctx)
	}
}

func (n *Node) newClock() func() orders.ClockReading {
	start := time.Now()
	return func() orders.ClockReading {
		now := time.Now()
		return orders.ClockReading{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

// weightStore implements orders.WeightStore with permits of the object store. It
// transfers no weights.
type weightStore struct{ store *objects.Client }

var _ orders.WeightStore = weightStore{}

// AcquirePermit acquires a permit to load model weights. If the store refuses, it returns an
// error and the time to wait before the next request.
func (w weightStore) AcquirePermit(ctx context.Context, fetch platformapi.WeightFetch) (time.Duration, error) {
	err := w.store.AcquirePermit(ctx, fetch)
	return objects.RetryAfter(err), err
}

// modelDemand returns the demand for each model in tokens/s, and the listed engines
// that have reported their load. For a model that no engine serves, the demand is that
// of the requests that this node refused. Otherwise a model that is first used under a
// new contract would have no demand and would never be loaded.
func (n *Node) modelDemand() ([]orders.Model, []orders.Engine) {
	demand := n.unmetDemand.decayedRates(time.Now())
	var engines []orders.Engine
	n.backends.WithFleet(func(f *placement.Fleet) {
		for _, s := range f.Servers() {
			if s.Kind != platformapi.KindEngine || !s.Listed || s.Load.MeasuredAt.IsZero() {
				continue
			}
			engines = append(engines, engineOf(s))
			for _, model := range s.Load.Models {
				demand[model] += float64(s.Load.Running+s.Load.Waiting) * s.Load.TokensPerSecond / float64(len(s.Load.Models))
			}
		}
	})
	models := make([]orders.Model, 0, len(demand))
	for name, rate := range demand {
		models = append(models, orders.Model{
			Spec:     backendapi.LoadedModel{Model: name, Version: newestVersion},
			Demand:   rate,
			LoadTime: modelLoadTime,
		})
	}
	slices.SortFunc(models, func(a, b orders.Model) int { return cmp.Compare(a.Spec.Model, b.Spec.Model) })
	return models, engines
}

// engineOf converts a backend server to the planner's description of an engine.
// Busy is set for an engine that receives no orders: one that is leaving, or one with
// several models. The planner assigns one model to an engine, so an engine with several
// models stays as its operators configured it.
func engineOf(s *placement.Server) orders.Engine {
	e := orders.Engine{
		ID:              s.ID,
		TokensPerSecond: float64(s.Load.MaxRunning) * s.Load.TokensPerSecond,
		Busy:            s.ListLeaving || s.Load.Leaving || len(s.Load.Models) > 1,
	}
	if len(s.Load.Models) > 0 {
		e.Model = s.Load.Models[0]
	}
	return e
}

// unmetWindow is the period over which the tokens of refused requests are averaged to
// a rate and decay.
const unmetWindow = 30 * time.Second

// unmetDemand counts the estimated tokens of refused requests for models that no engine
// serves.
type unmetDemand struct {
	node *Node
	// tokens and decayedAt are guarded by the node's mu.
	tokens    map[string]float64 // by model
	decayedAt time.Time          // time of the last call of decayedRates
}

// add counts a refused request.
func (u *unmetDemand) add(model string, tokens int) {
	u.node.mu.Lock()
	defer u.node.mu.Unlock()
	u.tokens[model] += float64(tokens)
}

// decayedRates decays the counts by the time since the last call and returns
// the demand for each model in tokens per second.
func (u *unmetDemand) decayedRates(now time.Time) map[string]float64 {
	u.node.mu.Lock()
	defer u.node.mu.Unlock()
	keep := max(0, 1-now.Sub(u.decayedAt).Seconds()/unmetWindow.Seconds())
	u.decayedAt = now
	demand := map[string]float64{}
	for model, tokens := range u.tokens {
		tokens *= keep
		if tokens < 1 {
			delete(u.tokens, model)
			continue
		}
		u.tokens[model] = tokens
		demand[model] = tokens / unmetWindow.Seconds()
	}
	return demand
}
