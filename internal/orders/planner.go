package orders

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// targetUtilization is the fraction of an engine's capacity that the plan
	// uses. The rest absorbs peaks that are shorter than the time to load a
	// model.
	targetUtilization = 0.8
	// paybackHorizon is the time over which the gain of a change must exceed its
	// cost. The demand of the deployments shifts within a quarter of an hour.
	paybackHorizon = 10 * time.Minute
)

// Policy holds the settings of the hysteresis. With the zero value, the planner
// changes the placement at once.
type Policy struct {
	// WantedFor is the time for which a change must be needed without
	// interruption before it is ordered.
	WantedFor time.Duration
	// CountCost delays a change until it gains more than the load costs.
	CountCost bool
}

// DefaultPolicy is the hysteresis given on the design page.
var DefaultPolicy = Policy{WantedFor: 30 * time.Second, CountCost: true}

// Model is one model and the demand for it.
type Model struct {
	Spec backendapi.LoadedModel
	// Demand is the requested throughput in tokens per second.
	Demand float64
	// LoadTime is the time for which an engine is unavailable while it loads the
	// model.
	LoadTime time.Duration
}

// Engine is one engine that accepts orders. It runs one model at a time; Model is
// the model that it runs or loads, or empty.
type Engine struct {
	ID              ident.BackendID
	Model           string
	TokensPerSecond float64
	// Busy is set while the engine is loading or leaving and accepts no order.
	Busy bool
}

// Move orders an engine to run another model.
type Move struct {
	Engine   ident.BackendID
	From, To string
}

// modelBalance compares the required and the present capacity of one model, both
// in tokens per second.
type modelBalance struct {
	name string
	// required is the capacity that the model needs now. minRequired and
	// meanRequired are its minimum and mean over Policy.WantedFor.
	required, minRequired, meanRequired float64
	// observed is set if the samples cover the whole of Policy.WantedFor.
	observed bool
	// capacity is the capacity of the engines that run or load the model.
	capacity float64
	model    *Model
	// engines are those of the model that are not busy.
	engines []Engine
}

// shortage returns the capacity that the model has lacked during the whole
// observed time, in tokens per second. It is negative if at some time the model
// needed less than its present capacity.
func (n modelBalance) shortage() float64 { return n.minRequired - n.capacity }

// sample is the required capacity of a model at one time.
type sample struct {
	at       time.Duration
	required float64
}

// Planner tracks how long changes have been needed. Over Policy.WantedFor, a
// model gains only the capacity that it lacked the whole time, and loses only
// capacity that it did not need on average. With the present values instead,
// noise of 15% in the demand caused four times as many loads.
type Planner struct {
	policy Policy
	// samples holds the samples of each model, oldest first. All but the first
	// are younger than policy.WantedFor.
	samples map[string][]sample
}

// NewPlanner returns a Planner without samples.
func NewPlanner(policy Policy) *Planner {
	return &Planner{policy: policy, samples: map[string][]sample{}}
}

// Plan returns the moves to order now. Models with the largest shortage come
// first. The time now is monotonic.
func (p *Planner) Plan(now time.Duration, models []Model, engines []Engine) []Move {
	balances, free := balanceModels(models, engines)
	p.recordSamples(now, balances)
	slices.SortStableFunc(balances, func(a, b modelBalance) int {
		return cmp.Or(cmp.Compare(b.shortage(), a.shortage()), cmp.Compare(a.name, b.name))
	})
	var moves []Move
	for i := range balances {
		n := &balances[i]
		if !n.observed {
			continue
		}
		for n.shortage() > 0 {
			engine, ok := p.takeEngine(n, balances, &free)
			if !ok {
				break
			}
			n.capacity += engine.TokensPerSecond
			moves = append(moves, Move{Engine: engine.ID, From: engine.Model, To: n.name})
		}
	}
	return moves
}

// balanceModels returns the balance of each model and the free engines: those
// that run no known model and are not busy.
func balanceModels(models []Model, engines []Engine) (balances []modelBalance, free []Engine) {
	index := map[string]int{}
	for i := range models {
		m := &models[i]
		index[m.Spec.Model] = len(balances)
		balances = append(balances, modelBalance{name: m.Spec.Model, required: m.Demand / targetUtilization, model: m})
	}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range engines {
		i, known := index[e.Model]
		switch {
		case known:
			balances[i].capacity += e.TokensPerSecond
			if !e.Busy {
				balances[i].engines = append(balances[i].engines, e)
			}
		case !e.Busy:
			free = append(free, e)
		}
	}
	return balances, free
}

func (p *Planner) recordSamples(now time.Duration, balances []modelBalance) {
	samples := make(map[string][]sample, len(balances))
	for i := range balances {
		n := &balances[i]
		list := append(p.samples[n.name], sample{now, n.required})
		for len(list) > 1 && now-list[1].at >= p.policy.WantedFor {
			list = list[1:]
		}
		samples[n.name] = list
		n.observed = now-list[0].at >= p.policy.WantedFor
		n.minRequired = n.required
		for _, s := range list {
			n.minRequired = math.Min(n.minRequired, s.required)
			n.meanRequired += s.required / float64(len(list))
		}
	}
	p.samples = samples
}

// takeEngine removes and returns an engine for the model of n: a free one, or
// else one of the donor, the model whose mean shortage grows least by the loss of
// an engine. It returns false if there is none or the move is not worthwhile.
func (p *Planner) takeEngine(n *modelBalance, balances []modelBalance, free *[]Engine) (Engine, bool) {
	if len(*free) > 0 {
		engine := (*free)[0]
		if !p.worthwhile(n, engine, 0) {
			return Engine{}, false
		}
		*free = (*free)[1:]
		return engine, true
	}
	donor, least := -1, 0.0
	for i := range balances {
		d := &balances[i]
		if d.name == n.name || len(d.engines) == 0 {
			continue
		}
		if lost, ok := d.addedShortage(d.engines[0]); ok && (donor < 0 || lost < least) {
			donor, least = i, lost
		}
	}
	if donor < 0 || !p.worthwhile(n, balances[donor].engines[0], least) {
		return Engine{}, false
	}
	d := &balances[donor]
	engine := d.engines[0]
	d.engines, d.capacity = d.engines[1:], d.capacity-engine.TokensPerSecond
	return engine, true
}

// addedShortage returns the increase of the model's mean shortage, in tokens per
// second, if it loses the engine. ok is false for the last engine of a model that
// has demand; that engine is not moved to another model.
func (n modelBalance) addedShortage(e Engine) (lost float64, ok bool) {
	last := n.capacity <= e.TokensPerSecond && n.meanRequired > 0
	short := n.meanRequired - n.capacity
	return math.Max(0, short+e.TokensPerSecond) - math.Max(0, short), !last
}

// worthwhile reports whether a move serves more tokens within paybackHorizon than
// the load costs, where lost is the throughput in tokens per second that the donor
// can no longer serve. A load for a model that no engine runs is always
// worthwhile, because the requests for the model cannot run at all.
func (p *Planner) worthwhile(n *modelBalance, e Engine, lost float64) bool {
	gain := math.Min(n.shortage(), e.TokensPerSecond) - lost
	if n.capacity == 0 || !p.policy.CountCost {
		return gain > 0 || n.capacity == 0
	}
	cost := e.TokensPerSecond * n.model.LoadTime.Seconds()
	return gain*(paybackHorizon-n.model.LoadTime).Seconds() > cost
}
