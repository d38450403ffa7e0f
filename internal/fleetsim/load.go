// Package fleetsim simulates the serving of long prompts by modelled engines in virtual
// time. Placement, copies and admission use the production packages fleet and overload,
// with one instance per host and a delay for messages between hosts. Baseline policies
// place the same load by simpler rules.
//
// Load pattern: that of the gateway. Prompts have thousands of tokens and arrive at up
// to nine tenths of the rate at which the engines can read them, with bursts of several
// times that rate and with single teams that send ten times their usual load. Engines
// differ in speed, and the engines of a data centre are lost within milliseconds of each
// other while they generate.
//
// Simulate holds no state between calls and may be used by any number of goroutines. A
// simulation is deterministic: its result depends only on its Setup and its Load.
package fleetsim

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Arrival is the arrival of a client's request for one stream.
type Arrival struct {
	At           time.Duration
	Host         int // index of the host that receives the request
	Team         string
	PromptTokens int // length of the prompt
	OutputTokens int // length of the answer
}

// Loss is the failure of a fraction of the engines of a data centre. They are
// replaced by empty engines with new ids after Duration.
type Loss struct {
	At         time.Duration
	DataCentre int
	Share      float64 // fraction of the engines that are lost, 0 to 1
	Duration   time.Duration
	// Silent is set if the engines stop sending data instead of closing their
	// connections.
	Silent bool
}

// Load is the input of a simulation.
type Load struct {
	Arrivals []Arrival
	Losses   []Loss
}

// Burst is a period in which the arrival rate of all teams, or of one team, is multiplied
// by Factor.
type Burst struct {
	From, To time.Duration
	Team     string // empty for all teams
	Factor   float64
}

// Pattern holds the parameters from which a Load is generated.
type Pattern struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	// Rate is the number of streams per second of all teams together, outside bursts;
	// TeamWeights holds the weight of each team, whose share of the rate is its weight
	// divided by the sum of all weights.
	Rate         float64
	TeamWeights  []float64
	PromptTokens int // mean length of a prompt; lengths are within a quarter of it
	OutputTokens int // length of each answer
	Bursts       []Burst
	Losses       []Loss
}

// teamName returns the name of the team with index i.
func teamName(i int) string { return "team-" + strconv.Itoa(i) }

// Load generates a load with random arrivals that depend only on the pattern.
func (p Pattern) Load() Load {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	load := Load{Losses: p.Losses}
	total := 0.0
	for _, share := range p.TeamWeights {
		total += share
	}
	const tick = time.Millisecond
	for at := time.Duration(0); at < p.Duration; at += tick {
		for i, share := range p.TeamWeights {
			rate := p.Rate * share / total * p.rateFactor(at, teamName(i))
			if rng.Float64() >= rate*tick.Seconds() {
				continue
			}
			load.Arrivals = append(load.Arrivals, Arrival{
				At: at, Host: rng.IntN(p.Hosts), Team: teamName(i),
				PromptTokens: int(float64(p.PromptTokens) * (0.75 + rng.Float64()/2)), OutputTokens: p.OutputTokens,
			})
		}
	}
	return load
}

// rateFactor returns the factor by which bursts multiply the rate of a team at a time.
func (p Pattern) rateFactor(at time.Duration, team string) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		if at >= b.From && at < b.To && (b.Team == "" || b.Team == team) {
			factor *= b.Factor
		}
	}
	return factor
}
