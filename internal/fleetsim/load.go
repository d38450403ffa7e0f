// Package fleetsim simulates loads of long prompts against modelled engines in
// virtual time. Placement, copies and admission are those of the product (packages
// fleet and overload), with one instance per host and the delay of messages between
// hosts. Baseline policies place the same load by other rules.
//
// Load pattern: that of the gateway. Prompts have thousands of tokens and arrive at
// up to nine tenths of the rate that the engines can read, with bursts of several
// times that rate, single teams that send ten times as much, engines of different
// speed, and data centres of engines that are lost within milliseconds in the middle
// of generations.
//
// A simulation is deterministic: its result depends only on its Setup and its Load.
package fleetsim

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Arrival is one stream that a client requests.
type Arrival struct {
	At     time.Duration
	Host   int // index of the host that receives the request
	Team   string
	Tokens int // length of the prompt
	Output int // length of the answer
}

// Loss is the failure of a fraction of the engines of a data centre. They are
// replaced by empty engines with new ids after Duration.
type Loss struct {
	At         time.Duration
	DataCentre int
	Share      float64
	Duration   time.Duration
	// Silent engines stop sending instead of closing their connections.
	Silent bool
}

// Load is the input of a simulation.
type Load struct {
	Arrivals []Arrival
	Losses   []Loss
}

// Burst multiplies the arrival rate of all teams or of one team for a time.
type Burst struct {
	From, To time.Duration
	Team     string // empty for all teams
	Factor   float64
}

// Pattern describes a Load to be generated.
type Pattern struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	// Rate is the number of streams per second over all teams; Teams holds the
	// weight of each team in it.
	Rate   float64
	Teams  []float64
	Tokens int // mean length of a prompt; lengths vary by up to a quarter
	Output int
	Bursts []Burst
	Losses []Loss
}

// teamName returns the name of the team with index i.
func teamName(i int) string { return "team-" + strconv.Itoa(i) }

// Load generates the arrivals of a pattern at random from its seed.
func (p Pattern) Load() Load {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	load := Load{Losses: p.Losses}
	total := 0.0
	for _, share := range p.Teams {
		total += share
	}
	const tick = time.Millisecond
	for at := time.Duration(0); at < p.Duration; at += tick {
		for i, share := range p.Teams {
			rate := p.Rate * share / total * p.rateFactor(at, teamName(i))
			if rng.Float64() >= rate*tick.Seconds() {
				continue
			}
			load.Arrivals = append(load.Arrivals, Arrival{
				At: at, Host: rng.IntN(p.Hosts), Team: teamName(i),
				Tokens: int(float64(p.Tokens) * (0.75 + rng.Float64()/2)), Output: p.Output,
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
