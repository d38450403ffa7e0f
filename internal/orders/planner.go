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
	// targetUse is the part of an engine's capacity that the plan fills; the
	// rest absorbs peaks shorter than a load takes.
	targetUse = 0.8
	// paybackHorizon is how long a change is assumed to pay off. Demand of the
	// deployments shifts within a quarter of an hour.
	paybackHorizon = 10 * time.Minute
)

// Policy holds the hysteresis; the zero value changes placement at once.
type Policy struct {
	// WantedFor is how long a change must be wanted without a break.
	WantedFor time.Duration
	// CountCost makes a change wait until it saves more than the load costs.
	CountCost bool
}

// DefaultPolicy is the policy of the design page.
var DefaultPolicy = Policy{WantedFor: 30 * time.Second, CountCost: true}

// Model is one model and what is asked of it.
type Model struct {
	Spec backendapi.LoadedModel
	// Demand is in tokens per second.
	Demand float64
	// LoadTime is how long an engine is out of use while it loads the model.
	LoadTime time.Duration
}

// Engine is one engine that takes orders. It runs one model at a time; Model is
// the one that it runs or loads, or empty.
type Engine struct {
	ID              ident.BackendID
	Model           string
	TokensPerSecond float64
	// Busy: the engine is loading or leaving and takes no order now.
	Busy bool
}

// Move orders an engine to run another model.
type Move struct {
	Engine   ident.BackendID
	From, To string
}

// need is the balance of one model in tokens per second.
type need struct {
	name string
	// wanted is the capacity that the model needs now; least and mean are over
	// the time for which a change must be wanted.
	wanted, least, mean float64
	// steady: least and mean cover that time.
	steady  bool
	have    float64
	model   *Model
	engines []Engine
}

// short returns what the model has lacked all the time. It is negative if the
// model had more than it needed at some time.
func (n need) short() float64 { return n.least - n.have }

// sample is the wanted capacity of a model at a time.
type sample struct {
	at     time.Duration
	wanted float64
}

// Planner remembers for how long changes have been wanted: a model gets only
// what it lacked all the time, and gives away what it did not need on average. By
// the present values instead, noise of 15% caused four times as many loads.
type Planner struct {
	policy Policy
	// samples holds the wanted capacity of each model, oldest first. All but the
	// first are younger than policy.WantedFor.
	samples map[string][]sample
}

// NewPlanner returns a planner.
func NewPlanner(policy Policy) *Planner {
	return &Planner{policy: policy, samples: map[string][]sample{}}
}

// Plan returns the moves to order now, the most needed first. Time is monotonic.
func (p *Planner) Plan(now time.Duration, models []Model, engines []Engine) []Move {
	needs, free := balance(models, engines)
	p.remember(now, needs)
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.short(), a.short()), cmp.Compare(a.name, b.name))
	})
	var moves []Move
	for i := range needs {
		n := &needs[i]
		if !n.steady {
			continue
		}
		for n.short() > 0 {
			engine, ok := p.pick(n, needs, &free)
			if !ok {
				break
			}
			n.have += engine.TokensPerSecond
			moves = append(moves, Move{Engine: engine.ID, From: engine.Model, To: n.name})
		}
	}
	return moves
}

// balance sums capacity by model. Engines that run no known model are free.
func balance(models []Model, engines []Engine) (needs []need, free []Engine) {
	index := map[string]int{}
	for i := range models {
		m := &models[i]
		index[m.Spec.Model] = len(needs)
		needs = append(needs, need{name: m.Spec.Model, wanted: m.Demand / targetUse, model: m})
	}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range engines {
		i, known := index[e.Model]
		switch {
		case known:
			needs[i].have += e.TokensPerSecond
			if !e.Busy {
				needs[i].engines = append(needs[i].engines, e)
			}
		case !e.Busy:
			free = append(free, e)
		}
	}
	return needs, free
}

func (p *Planner) remember(now time.Duration, needs []need) {
	samples := make(map[string][]sample, len(needs))
	for i := range needs {
		n := &needs[i]
		list := append(p.samples[n.name], sample{now, n.wanted})
		for len(list) > 1 && now-list[1].at >= p.policy.WantedFor {
			list = list[1:]
		}
		samples[n.name] = list
		n.steady = now-list[0].at >= p.policy.WantedFor
		n.least = n.wanted
		for _, s := range list {
			n.least = math.Min(n.least, s.wanted)
			n.mean += s.wanted / float64(len(list))
		}
	}
	p.samples = samples
}

// pick takes a free engine, or one of the model that loses least by it.
func (p *Planner) pick(n *need, needs []need, free *[]Engine) (Engine, bool) {
	if len(*free) > 0 {
		engine := (*free)[0]
		if !p.worth(n, engine, 0) {
			return Engine{}, false
		}
		*free = (*free)[1:]
		return engine, true
	}
	donor, least := -1, 0.0
	for i := range needs {
		d := &needs[i]
		if d.name == n.name || len(d.engines) == 0 {
			continue
		}
		if lost, ok := d.lostWithout(d.engines[0]); ok && (donor < 0 || lost < least) {
			donor, least = i, lost
		}
	}
	if donor < 0 || !p.worth(n, needs[donor].engines[0], least) {
		return Engine{}, false
	}
	d := &needs[donor]
	engine := d.engines[0]
	d.engines, d.have = d.engines[1:], d.have-engine.TokensPerSecond
	return engine, true
}

// lostWithout returns how much more a model lacks without an engine. The last
// engine of a model that is asked for is not given away.
func (n need) lostWithout(e Engine) (lost float64, ok bool) {
	last := n.have <= e.TokensPerSecond && n.mean > 0
	short := n.mean - n.have
	return math.Max(0, short+e.TokensPerSecond) - math.Max(0, short), !last
}

// worth tells whether a move serves more tokens within paybackHorizon than the
// load costs, where lost is what the donor can no longer serve. A model that no
// engine runs is always worth a load, because its requests cannot run at all.
func (p *Planner) worth(n *need, e Engine, lost float64) bool {
	gain := math.Min(n.short(), e.TokensPerSecond) - lost
	if n.have == 0 || !p.policy.CountCost {
		return gain > 0 || n.have == 0
	}
	cost := e.TokensPerSecond * n.model.LoadTime.Seconds()
	return gain*(paybackHorizon-n.model.LoadTime).Seconds() > cost
}
