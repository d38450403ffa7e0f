package placement

import (
	"math/rand/v2"
	"time"
)

// latencyWeight returns the weight of latency in the cost. For a new generation
// latency is the whole cost. At weight 0 a resume ignores the servers' queues; in
// the resume experiment 98.3% of the answers then continued within 4 s, against
// 100% at weights of 0.5 and above.
func latencyWeight(r *Request) float64 {
	if r.Resume {
		return r.Weight
	}
	return 1
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Wait estimates the time until the server starts the prefill of the prompt.
type Wait struct{ Config Config }

// Name implements Scorer.
func (Wait) Name() Cause { return CauseWait }

// Score implements Scorer.
func (w Wait) Score(r *Request, s *Server, now time.Time) float64 {
	u := s.usage(now)
	ms := 1000 * u.waitingTokens / s.prefillRate(w.Config)
	if s.Load.MaxRunning > 0 && u.requests >= float64(s.Load.MaxRunning) {
		// Each finished request frees one slot of the batch.
		excess := u.requests + 1 - float64(s.Load.MaxRunning)
		perSlot := float64(w.Config.ExpectedOutputTokens) / s.outputRate(w.Config)
		ms += 1000 * excess * perSlot / float64(s.Load.MaxRunning)
	}
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > w.Config.StaleAfter {
		ms += milliseconds(w.Config.StalePenalty)
	}
	return ms * latencyWeight(r)
}

// Prefill estimates the time to prefill the prompt tokens that are not cached.
// For a resume that time counts both as latency, weighted by Request.Weight, and
// as recomputation, weighted by 1 - Request.Weight and multiplied by
// Config.ResourceFactor.
type Prefill struct{ Config Config }

// Name implements Scorer.
func (Prefill) Name() Cause { return CausePrefill }

// Score implements Scorer.
func (p Prefill) Score(r *Request, s *Server, _ time.Time) float64 {
	uncached := max(r.PromptTokens-r.cachedTokensOn(s), 0)
	factor := 1.0
	if r.Resume {
		factor = r.Weight + (1-r.Weight)*p.Config.ResourceFactor
	}
	return 1000 * float64(uncached) / s.prefillRate(p.Config) * factor
}

// Distance scores the round-trip time to the server's data centre.
type Distance struct{ Config Config }

// Name implements Scorer.
func (Distance) Name() Cause { return CauseDistance }

// Score implements Scorer.
func (d Distance) Score(r *Request, s *Server, _ time.Time) float64 {
	if s.DataCentre == d.Config.DataCentre {
		return 0
	}
	rtt, ok := d.Config.RoundTrips[s.DataCentre]
	if !ok {
		rtt = d.Config.OtherRoundTrip
	}
	return milliseconds(rtt) * latencyWeight(r)
}

// TwoChoices picks the cheaper of two candidates drawn at random from the
// cheaper half. Candidates of that half that cost over Slack more than the
// cheapest are left out: without that limit most draws would miss the one server
// that has the request's prefix cached. A negative Slack means no limit.
type TwoChoices struct{ Slack time.Duration }

// Pick implements Picker.
func (p TwoChoices) Pick(candidates []Candidate, rng *rand.Rand) int {
	n := (len(candidates) + 1) / 2
	if p.Slack >= 0 {
		limit := candidates[0].CostMS + milliseconds(p.Slack)
		for n > 1 && candidates[n-1].CostMS > limit {
			n--
		}
	}
	if n == 1 {
		return 0
	}
	// The candidates are sorted, so the cheaper one has the lower index.
	a, b := rng.IntN(n), rng.IntN(n-1)
	if b >= a {
		b++
	}
	return min(a, b)
}
