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
	// fixed replaces the adaptive limit between tokens.
	fixed time.Duration
	// restart generates the whole answer again and skips the known part. The
	// product never does so: only the cost is modelled.
	restart bool
	chooser func(*placement.Chooser)
}

func (p policy) limits() detect.Limits { return detect.DefaultLimits }

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
