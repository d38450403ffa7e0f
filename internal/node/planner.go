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
	// modelLoadTime stands for the time that an engine needs to load a model,
	// which engines do not report.
	modelLoadTime = time.Minute
	// newestVersion names the version to load of a model that no engine has.
	newestVersion = "latest"
)

func (n *Node) newPlanner() *orders.Executor {
	return orders.NewExecutor(orders.Config{
		Self:        n.host,
		Incarnation: n.incarnation,
		Table:       n.table,
		Engines:     n.backends,
		Weights:     weights{n.objects},
		Demand:      n.modelDemand,
		Policy:      orders.DefaultPolicy,
		Log:         n.logger,
		Metrics:     n.scope,
		Now:         n.bothClocks(),
	})
}

// planPlacement makes one step of the planner. Only relays compete for the
// lease: at 1,100 nodes its reads alone would use up half of the table's. A node
// that stops being a relay lets its lease lapse.
func (n *Node) planPlacement(ctx context.Context, planner *orders.Executor) {
	n.mu.Lock()
	relay := n.view.IsRelay()
	n.mu.Unlock()
	if relay {
		planner.Step(ctx)
	}
}

func (n *Node) bothClocks() func() orders.Now {
	start := time.Now()
	return func() orders.Now {
		now := time.Now()
		return orders.Now{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

// weights asks the weight store for permission to load.
type weights struct{ store *objects.Client }

var _ orders.Weights = weights{}

// Fetch implements orders.Weights.
func (w weights) Fetch(ctx context.Context, fetch platformapi.WeightFetch) (time.Duration, error) {
	err := w.store.Permit(ctx, fetch)
	return objects.RetryAfter(err), err
}

// modelDemand returns what is asked of each model and what the engines have.
// Models that contracts name and no engine has count with the requests that
// this node refused for them, so that a new contract brings its model.
func (n *Node) modelDemand() ([]orders.Model, []orders.Engine) {
	demand := n.unmet.take(time.Now())
	var engines []orders.Engine
	n.backends.Fleet(func(f *placement.Fleet) {
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
	for name, tokens := range demand {
		models = append(models, orders.Model{
			Spec:     backendapi.LoadedModel{Model: name, Version: newestVersion},
			Demand:   tokens,
			LoadTime: modelLoadTime,
		})
	}
	slices.SortFunc(models, func(a, b orders.Model) int { return cmp.Compare(a.Spec.Model, b.Spec.Model) })
	return models, engines
}

// engineOf describes an engine to the planner. One with several models is left
// as its operators set it up: the planner gives an engine one model.
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

// unmetWindow is the time over which refused requests count as demand.
const unmetWindow = 30 * time.Second

// unmetDemand counts the tokens of requests for models that no engine has. It is
// guarded by the node's mu.
type unmetDemand struct {
	node   *Node
	tokens map[string]float64
	at     time.Time
}

// add counts a refused request.
func (u *unmetDemand) add(model string, tokens int) {
	u.node.mu.Lock()
	defer u.node.mu.Unlock()
	u.tokens[model] += float64(tokens)
}

// take returns the demand in tokens per second, and lets it fade.
func (u *unmetDemand) take(now time.Time) map[string]float64 {
	u.node.mu.Lock()
	defer u.node.mu.Unlock()
	keep := max(0, 1-now.Sub(u.at).Seconds()/unmetWindow.Seconds())
	u.at = now
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
