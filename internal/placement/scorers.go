package placement

import (
	"math/rand/v2"
	"time"
)

// latencyFactor is the weight of latency in the cost. For new work latency is
// the whole cost. At weight 0 a resume ignores the queues of the servers; in the
// resume experiment 98.3% of the answers then went on within 4 s, against 100%
// at 0.5 and above.
func latencyFactor(r *Request) float64 {
	if r.Resume {
		return r.Weight
	}
	return 1
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Wait estimates the time until the server starts to read the prompt.
type Wait struct{ Config Config }

// Name implements Scorer.
func (Wait) Name() Cause { return CauseWait }

// Score implements Scorer.
func (w Wait) Score(r *Request, s *Server, now time.Time) float64 {
	u := s.usage(now)
	ms := 1000 * u.waitingTokens / s.prefillRate(w.Config)
	if s.Load.MaxRunning > 0 && u.requests >= float64(s.Load.MaxRunning) {
		// Each finished request frees one place of the batch.
		excess := u.requests + 1 - float64(s.Load.MaxRunning)
		perSlot := float64(w.Config.ExpectedOutputTokens) / s.outputRate(w.Config)
		ms += 1000 * excess * perSlot / float64(s.Load.MaxRunning)
	}
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > w.Config.StaleAfter {
		ms += milliseconds(w.Config.StalePenalty)
	}
	return ms * latencyFactor(r)
}

// Prefill estimates the time to read the prompt tokens that are not cached.
// For a resume the same tokens are also extra resources: they count again,
// multiplied by Config.ResourceFactor and by 1 - Request.Weight.
type Prefill struct{ Config Config }

// Name implements Scorer.
func (Prefill) Name() Cause { return CausePrefill }

// Score implements Scorer.
func (p Prefill) Score(r *Request, s *Server, _ time.Time) float64 {
	uncached := max(r.PromptTokens-r.cachedOn(s), 0)
	factor := 1.0
	if r.Resume {
		factor = r.Weight + (1-r.Weight)*p.Config.ResourceFactor
	}
	return 1000 * float64(uncached) / s.prefillRate(p.Config) * factor
}

// Distance is the round trip to the server's data centre.
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
	return milliseconds(rtt) * latencyFactor(r)
}

// TwoChoices takes the cheaper of two random candidates out of the better
// half. Of that half only candidates that cost at most Slack more than the
// cheapest take part: without that limit a request would miss the one server
// that holds its prefix in most draws. A negative Slack means no limit.
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
