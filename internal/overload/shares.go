package overload

import (
	"math"
	"time"
)

const (
	// shareMemory is the time in which past work loses two thirds of its weight.
	shareMemory = 8 * time.Second
	// leastOver is the use of a team, as a multiple of an equal share, up to which
	// chance alone explains it among few streams.
	leastOver = 1.5
	// leastPrompts is the number of prompts up to which a team is not over its
	// share: a host of a large deployment sees too few streams to tell.
	leastPrompts = 5
	// mostOver bounds how far the limit of one team is lowered.
	mostOver = 8.0
	// forgottenWork is the weight of past work below which a team counts as idle.
	forgottenWork = 50 * time.Millisecond
)

// shares keeps how much work each team had of late.
type shares struct {
	work map[string]time.Duration // decayed
	at   time.Time                // to which the work is decayed
}

func (s *shares) decay(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / shareMemory.Seconds())
		for team, work := range s.work {
			work = time.Duration(float64(work) * factor)
			if s.work[team] = work; work < forgottenWork {
				delete(s.work, team)
			}
		}
		s.at = now
	}
}

func (s *shares) add(now time.Time, team string, work time.Duration) {
	s.decay(now)
	if s.work == nil {
		s.work = map[string]time.Duration{}
	}
	s.work[team] += work
}

// over returns by how much a team's work exceeds an equal share of the work of
// all active teams; 1 if it does not. prompt is the time to read one prompt.
func (s *shares) over(now time.Time, team string, prompt time.Duration) float64 {
	s.decay(now)
	var total time.Duration
	for _, work := range s.work {
		total += work
	}
	if total == 0 || len(s.work) < 2 || s.work[team] < leastPrompts*prompt {
		return 1
	}
	over := float64(s.work[team]) / float64(total) * float64(len(s.work)) / leastOver
	return min(max(over, 1), mostOver)
}
