package main

import (
	"math/rand/v2"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/detect"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// defaultWeight is the weight of the baseline policies.
const defaultWeight = 0.85

// policy is a way to detect losses and to resume answers.
type policy struct {
	name   string
	weight float64
	// placementWeight is the weight for the choice of the server. Nil means
	// weight.
	placementWeight *float64
	// fixedLimit replaces the adaptive silence limit between tokens if it is not
	// zero.
	fixedLimit time.Duration
	// gapMultiple replaces the default multiple of the 99th percentile of gaps
	// if it is not zero.
	gapMultiple float64
	// restart generates the whole answer again and skips the tokens already
	// delivered. yuccahatch never does so; only the cost is simulated.
	restart bool
	chooser func(*placement.Chooser)
}

// effectivePlacementWeight returns the weight for the choice of the server.
func (p policy) effectivePlacementWeight() float64 {
	if p.placementWeight != nil {
		return *p.placementWeight
	}
	return p.weight
}

func (p policy) limits() detect.Limits {
	limits := detect.DefaultLimits
	if p.gapMultiple > 0 {
		limits.GapMultiple = p.gapMultiple
	}
	return limits
}

// randomPicker is a placement.Picker that chooses uniformly at random.
type randomPicker struct{}

// Pick implements placement.Picker.
func (randomPicker) Pick(c []placement.Candidate, rng *rand.Rand) int { return rng.IntN(len(c)) }

func policies() []policy {
	return []policy{
		{name: "weight 0"},
		{name: "weight 0.5", weight: 0.5},
		{name: "weight 0.85", weight: 0.85},
		{name: "weight 1", weight: 1},
		{name: "weight 0, server chosen by 0.5", placementWeight: new(0.5)},
		{name: "weight 0.85, server chosen by 1", weight: 0.85, placementWeight: new(1.0)},
		{name: "weight 0.85, limit 3 gaps", weight: defaultWeight, gapMultiple: 3},
		{name: "weight 0.85, limit 6 gaps", weight: defaultWeight, gapMultiple: 6},
		{name: "restart from zero and skip", weight: defaultWeight, restart: true},
		{name: "random server", weight: defaultWeight, chooser: func(c *placement.Chooser) {
			c.Scorers, c.Picker = nil, randomPicker{}
		}},
		{name: "no cache awareness", weight: defaultWeight, chooser: func(c *placement.Chooser) {
			c.Scorers = []placement.Scorer{c.Scorers[0], c.Scorers[2]}
		}},
		{name: "fixed limit 0.5 s", weight: defaultWeight, fixedLimit: 500 * time.Millisecond},
		{name: "fixed limit 1.5 s", weight: defaultWeight, fixedLimit: 1500 * time.Millisecond},
		{name: "fixed limit 5 s", weight: defaultWeight, fixedLimit: 5 * time.Second},
	}
}
