package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
)

// draw returns a random token count from the distribution, at least 1.
func (l Length) draw(rng *rand.Rand) int {
	var v float64
	switch l.Distribution {
	case "uniform":
		return max(1, l.Min+rng.IntN(l.Max-l.Min+1))
	case "exponential":
		v = l.Mean * rng.ExpFloat64()
	case "lognormal":
		v = l.Mean * math.Exp(l.Sigma*rng.NormFloat64())
	default:
		return int(l.Mean)
	}
	n := max(1, l.Min, int(v))
	if l.Max > 0 {
		n = min(n, l.Max)
	}
	return n
}

// plannedRequest is one request of a run.
type plannedRequest struct {
	request      caller.Request
	team         int
	answerTokens int // length of the answer
}

// planner generates the requests of a run. Apart from the run ID in the prompt, the
// request with a given number is the same in every run of the same file. It is
// safe for concurrent use.
type planner struct {
	file        File
	totalWeight float64 // sum of the teams' weights
	runID       string  // makes prompts differ from those of other runs
}

func newPlanner(f File, runID string) *planner {
	p := &planner{file: f, runID: runID}
	for _, team := range f.Teams {
		p.totalWeight += team.Weight
	}
	return p
}

// request returns the request with the given number. In a comparison with the
// baseline, both requests of a pair have the same lengths.
func (p *planner) request(number int) plannedRequest {
	draw := number
	if p.file.Compare != "" {
		draw /= 2
	}
	// Start at stream 2 of the seed: newSchedule uses stream 1.
	rng := rand.New(rand.NewPCG(p.file.Seed, uint64(draw)+2))
	r := p.file.Requests
	out := plannedRequest{team: p.team(rng), answerTokens: r.AnswerTokens.draw(rng)}
	out.request.Model = r.Models[rng.IntN(len(r.Models))]
	out.request.MaxTokens = r.MaxTokens
	prompt := p.prompt(rng, number, out.answerTokens)
	if r.Chat {
		out.request.Messages = []callerapi.Message{{Role: "user", Content: prompt}}
	} else {
		out.request.Prompt = prompt
	}
	return out
}

// team draws the index of a team by weight.
func (p *planner) team(rng *rand.Rand) int {
	remaining := rng.Float64() * p.totalWeight
	for i, team := range p.file.Teams {
		if remaining -= team.Weight; remaining < 0 {
			return i
		}
	}
	return len(p.file.Teams) - 1
}

// prompt returns a prompt whose tokens are its words: an optional shared prefix,
// the run ID and request number, which make it unique, the length of the answer,
// and filler words. The prefix is not counted in the drawn prompt length.
func (p *planner) prompt(rng *rand.Rand, number, length int) string {
	r := p.file.Requests
	tokens := r.PromptTokens.draw(rng)
	var out []byte
	if prefix := r.Prefix; rng.Float64() < prefix.Share {
		prefixIndex := rng.IntN(prefix.Count)
		for i := range prefix.Tokens {
			out = fmt.Appendf(out, "p%d-%d ", prefixIndex, i)
		}
	}
	out = fmt.Appendf(out, "%s-%d length=%d", p.runID, number, length)
	for i := 2; i < tokens; i++ { // the ID and the length are the first 2 tokens
		out = append(out, " f"...)
		out = strconv.AppendInt(out, int64(rng.IntN(100_000)), 10)
	}
	return string(out)
}
