package main

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// Parameters of the generated load. A session is a conversation whose prompts
// grow; the sessions of one team share a prompt prefix.
const (
	teams          = 20
	sharedBlocks   = 32 // 512 tokens
	firstBlocks    = 12 // about the mean number of further blocks in the first prompt
	turnBlocks     = 20 // about the mean number of blocks that each turn adds
	meanTurns      = 6
	meanThinkTime  = 15 * time.Second
	maxOutput      = 400 // largest output of a request, in tokens
	minOutput      = 100 // smallest output of a request, in tokens
	blockTokens    = backendapi.CacheBlockTokens
	runLength      = 5 * time.Minute
	overloadLength = 4 * time.Minute
	warmUp         = time.Minute // not measured
	abandonAfter   = 4 * time.Second
	// baseRequestRate is the rate of requests/s that load factor 1 approaches as
	// sessions build up; the tables give the rate that was offered.
	baseRequestRate = 22.0
)

// request is one request of the generated load, which is the same for every
// policy.
type request struct {
	at     time.Duration
	team   int
	node   float64 // selects the node: its index as a fraction of the number of nodes
	place  placement.Request
	output int // output tokens of the answer
}

// generateLoad returns the load of one seed, sorted by time.
func generateLoad(seed uint64, factor float64, length time.Duration) []request {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []request
	rate := baseRequestRate * factor / meanTurns
	for t := 0.0; t < length.Seconds(); t += rng.ExpFloat64() / rate {
		out = append(out, session(rng, time.Duration(t*float64(time.Second)))...)
	}
	slices.SortStableFunc(out, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	return slices.DeleteFunc(out, func(r request) bool { return r.at >= length })
}

func session(rng *rand.Rand, at time.Duration) []request {
	// The cube of a uniform number gives the first teams most of the sessions; a
	// square root would be too even.
	team := int(math.Pow(rng.Float64(), 3) * teams)
	var prefixes []uint64
	for b := range sharedBlocks {
		prefixes = append(prefixes, uint64(team)<<32|uint64(b))
	}
	grow := func(blocks int) {
		for range blocks {
			prefixes = append(prefixes, rng.Uint64())
		}
	}
	grow(1 + rng.IntN(2*firstBlocks))
	var out []request
	for {
		out = append(out, request{
			at: at, team: team, node: rng.Float64(),
			place: placement.Request{
				Model: model, PromptTokens: len(prefixes)*blockTokens + rng.IntN(blockTokens),
				Prefixes: slices.Clone(prefixes),
			},
			output: minOutput + rng.IntN(maxOutput-minOutput+1),
		})
		if rng.Float64() < 1.0/meanTurns {
			return out
		}
		grow(1 + rng.IntN(2*turnBlocks))
		at += 5*time.Second + time.Duration(rng.ExpFloat64()*float64(meanThinkTime))
	}
}
