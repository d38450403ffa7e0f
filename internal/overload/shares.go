package overload

import (
	"math"
	"time"
)

const (
	// usageDecay is the time constant of the exponential decay of past work: after this
	// time, work has lost about two thirds of its weight.
	usageDecay = 8 * time.Second
	// excessTolerance is the work of a team, as a multiple of an equal share, up to
	// which the team is not over its share. With few streams, chance alone can cause
	// such a difference.
	excessTolerance = 1.5
	// minPromptsOverShare is the amount of recent work, in prompts, below which a team
	// is never over its share: a host of a large deployment serves too few streams for a
	// reliable comparison.
	minPromptsOverShare = 5
	// maxExcess is the upper bound of excess, and thereby of the factor by which the
	// longest wait of a team's streams is reduced.
	maxExcess = 8.0
	// idleWork is the decayed work below which a team counts as idle.
	idleWork = 50 * time.Millisecond
)

// teamUsage holds the recent work of each team with exponential decay.
type teamUsage struct {
	work      map[string]time.Duration // expected prefill time by team, decayed to decayedAt
	decayedAt time.Time
}

func (s *teamUsage) decay(now time.Time) {
	if passed := now.Sub(s.decayedAt); passed > 0 {
		factor := math.Exp(-passed.Seconds() / usageDecay.Seconds())
		for team, work := range s.work {
			work = time.Duration(float64(work) * factor)
			if s.work[team] = work; work < idleWork {
				delete(s.work, team)
			}
		}
		s.decayedAt = now
	}
}

func (s *teamUsage) add(now time.Time, team string, work time.Duration) {
	s.decay(now)
	if s.work == nil {
		s.work = map[string]time.Duration{}
	}
	s.work[team] += work
}

// excess returns the factor by which a team's work exceeds excessTolerance times an
// equal share of the work of all active teams, between 1 and maxExcess. It returns 1
// if the team is not over its share. prompt is the expected time to read one prompt.
func (s *teamUsage) excess(now time.Time, team string, prompt time.Duration) float64 {
	s.decay(now)
	var total time.Duration
	for _, work := range s.work {
		total += work
	}
	if total == 0 || len(s.work) < 2 || s.work[team] < minPromptsOverShare*prompt {
		return 1
	}
	ratio := float64(s.work[team]) / float64(total) * float64(len(s.work)) / excessTolerance
	return min(max(ratio, 1), maxExcess)
}
