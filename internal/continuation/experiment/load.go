package main

import (
	"math/rand/v2"
	"time"
)

// Parameters of the load. About 330 answers run at once on 420 batch slots; after
// the loss of a rack 312 slots remain.
const (
	teams           = 20
	sharedBlocks    = 32 // blocks that the prompts of one team have in common
	blockTokens     = 16
	maxOwnBlocks    = 200
	followUp        = 0.4 // fraction of the requests that continue an earlier prompt
	followUpBlocks  = 40
	requestsPerSec  = 27.0
	minOutput       = 100
	maxOutput       = 300
	followUpWindow  = 200 // number of most recent prompts that a follow-up may continue
	acceptedTextBit = 1 << 63
)

// request is one entry of the generated load, which is the same for every
// policy.
type request struct {
	at           time.Duration
	number       int
	node         int
	prefixes     []uint64
	promptTokens int
	output       int
}

// generateLoad returns the random load of one seed.
func generateLoad(seed uint64, length time.Duration) []request {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []request
	for t := 0.0; t < length.Seconds(); t += rng.ExpFloat64() / requestsPerSec {
		prefixes := generatePrompt(rng, out)
		out = append(out, request{
			at: time.Duration(t * float64(time.Second)), number: len(out), node: rng.IntN(nodeCount),
			prefixes: prefixes, promptTokens: len(prefixes)*blockTokens + rng.IntN(blockTokens),
			output: minOutput + rng.IntN(maxOutput-minOutput+1),
		})
	}
	return out
}

func generatePrompt(rng *rand.Rand, earlier []request) []uint64 {
	var prefixes []uint64
	grow := maxOwnBlocks
	if len(earlier) > 0 && rng.Float64() < followUp {
		recent := earlier[max(0, len(earlier)-followUpWindow):]
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

// prefixesWithAnswer returns the prefixes of the prompt followed by the first
// tokens of the answer.
func (r *request) prefixesWithAnswer(tokens int) []uint64 {
	out := r.prefixes[:len(r.prefixes):len(r.prefixes)]
	for b := range tokens / blockTokens {
		out = append(out, acceptedTextBit|uint64(r.number)<<16|uint64(b))
	}
	return out
}
