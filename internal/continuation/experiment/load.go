package main

import (
	"math/rand/v2"
	"time"
)

// Shape of the load. About 330 answers run at once on 420 places; without a
// rack 312 places are left.
const (
	teams           = 20
	sharedBlocks    = 32 // that the prompts of one team have in common
	blockTokens     = 16
	maxOwnBlocks    = 200
	followUp        = 0.4 // of the requests continue an earlier prompt
	followUpBlocks  = 40
	requestsPerSec  = 27.0
	minOutput       = 100
	maxOutput       = 300
	remembered      = 200 // prompts that a follow-up may continue
	acceptedTextBit = 1 << 63
)

// request is one entry of the recorded load, the same for every policy.
type request struct {
	at           time.Duration
	number       int
	node         int
	prefixes     []uint64
	promptTokens int
	output       int
}

// record draws the load of one seed.
func record(seed uint64, length time.Duration) []request {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []request
	for t := 0.0; t < length.Seconds(); t += rng.ExpFloat64() / requestsPerSec {
		prefixes := drawPrompt(rng, out)
		out = append(out, request{
			at: time.Duration(t * float64(time.Second)), number: len(out), node: rng.IntN(nodeCount),
			prefixes: prefixes, promptTokens: len(prefixes)*blockTokens + rng.IntN(blockTokens),
			output: minOutput + rng.IntN(maxOutput-minOutput+1),
		})
	}
	return out
}

func drawPrompt(rng *rand.Rand, earlier []request) []uint64 {
	var prefixes []uint64
	grow := maxOwnBlocks
	if len(earlier) > 0 && rng.Float64() < followUp {
		recent := earlier[max(0, len(earlier)-remembered):]
		prefixes = append(prefixes, recent[rng.IntN(len(recent))].prefixes...)
		grow = followUpBlocks
	} else {
		team := rng.IntN(teams)
		for b := range sharedBlocks {
			prefixes = append(prefixes, uint64(team)<<32|uint64(b))
		}
	}
	for range 1 + rng.IntN(grow) {
		prefixes = append(prefixes, rng.Uint64()>>1)
	}
	return prefixes
}

// continued returns the prefixes of the prompt followed by the first tokens of
// the answer.
func (r *request) continued(tokens int) []uint64 {
	out := r.prefixes[:len(r.prefixes):len(r.prefixes)]
	for b := range tokens / blockTokens {
		out = append(out, acceptedTextBit|uint64(r.number)<<16|uint64(b))
	}
	return out
}
