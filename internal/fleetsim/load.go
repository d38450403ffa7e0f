// Package fleetsim plays loads of long prompts against modelled engines in
// virtual time. Placement, copies and admission are those of the product
// (packages fleet and overload), one instance for each host, with the delay of
// the news between hosts; baselines place by other rules on the same load.
//
// Load pattern: what the gateway meets: prompts of thousands of tokens at up to
// nine tenths of what the engines read, bursts of several times that, single
// teams that send ten times as much, engines of unlike speed, and data centres
// of engines that are lost within milliseconds in the middle of generations.
//
// A play is deterministic: it depends on its Setup and its Load alone.
package fleetsim

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Arrival is one stream that a client asks for.
type Arrival struct {
	At     time.Duration
	Host   int // index of the host that the client asks
	Team   string
	Tokens int // prompt
	Output int // answer
}

// Loss takes a share of the engines of a data centre away; they come back empty
// under new ids.
type Loss struct {
	At         time.Duration
	DataCentre int
	Share      float64
	For        time.Duration
	// Silent engines stop sending instead of closing their connections.
	Silent bool
}

// Load is what a play is given.
type Load struct {
	Arrivals []Arrival
	Losses   []Loss
}

// Burst multiplies the rate of some arrivals for a time.
type Burst struct {
	From, To time.Duration
	Team     string // empty for all
	Factor   float64
}

// Pattern generates a Load.
type Pattern struct {
	Seed   uint64
	Length time.Duration
	Hosts  int
	// PerSecond is the rate of all streams together, and Teams the share of each
	// team in it.
	PerSecond float64
	Teams     []float64
	Tokens    int // mean length of a prompt; lengths vary by a quarter
	Output    int
	Bursts    []Burst
	Losses    []Loss
}

// teamName is the name of the team of an index.
func teamName(i int) string { return "team-" + strconv.Itoa(i) }

// Load draws the arrivals of a pattern.
func (p Pattern) Load() Load {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	load := Load{Losses: p.Losses}
	total := 0.0
	for _, share := range p.Teams {
		total += share
	}
	const tick = time.Millisecond
	for at := time.Duration(0); at < p.Length; at += tick {
		for i, share := range p.Teams {
			rate := p.PerSecond * share / total * p.factor(at, teamName(i))
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

func (p Pattern) factor(at time.Duration, team string) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		if at >= b.From && at < b.To && (b.Team == "" || b.Team == team) {
			factor *= b.Factor
		}
	}
	return factor
}
