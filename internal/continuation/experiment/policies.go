package main

import (
	"math/rand/v2"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/detect"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// defaultWeight is used by the baselines.
const defaultWeight = 0.85

// policy is one way to detect losses and to resume.
type policy struct {
	name   string
	weight float64
	// choice is the weight for the choice of the server; nil: weight.
	choice *float64
	// fixed replaces the adaptive limit between tokens.
	fixed time.Duration
	// multiple replaces the multiple of the 99th percentile of gaps.
	multiple float64
	// restart generates the whole answer again and skips the known part. The
	// product never does so: only the cost is modelled.
	restart bool
	chooser func(*placement.Chooser)
}

// choiceWeight is the weight for the choice of the server.
func (p policy) choiceWeight() float64 {
	if p.choice != nil {
		return *p.choice
	}
	return p.weight
}

func (p policy) limits() detect.Limits {
	limits := detect.DefaultLimits
	if p.multiple > 0 {
		limits.GapMultiple = p.multiple
	}
	return limits
}

// anyOf picks at random.
type anyOf struct{}

// Pick implements placement.Picker.
func (anyOf) Pick(c []placement.Candidate, rng *rand.Rand) int { return rng.IntN(len(c)) }

func policies() []policy {
	return []policy{
		{name: "weight 0"},
		{name: "weight 0.5", weight: 0.5},
		{name: "weight 0.85", weight: 0.85},
		{name: "weight 1", weight: 1},
		{name: "weight 0, server chosen by 0.5", choice: new(0.5)},
		{name: "weight 0.85, server chosen by 1", weight: 0.85, choice: new(1.0)},
		{name: "weight 0.85, limit 3 gaps", weight: defaultWeight, multiple: 3},
		{name: "weight 0.85, limit 6 gaps", weight: defaultWeight, multiple: 6},
		{name: "restart from zero and skip", weight: defaultWeight, restart: true},
		{name: "random server", weight: defaultWeight, chooser: func(c *placement.Chooser) {
			c.Scorers, c.Picker = nil, anyOf{}
		}},
		{name: "no cache awareness", weight: defaultWeight, chooser: func(c *placement.Chooser) {
			c.Scorers = []placement.Scorer{c.Scorers[0], c.Scorers[2]}
		}},
		{name: "fixed limit 0.5 s", weight: defaultWeight, fixed: 500 * time.Millisecond},
		{name: "fixed limit 1.5 s", weight: defaultWeight, fixed: 1500 * time.Millisecond},
		{name: "fixed limit 5 s", weight: defaultWeight, fixed: 5 * time.Second},
	}
}
