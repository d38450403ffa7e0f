package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// factor returns the phases' factor at a time of the run.
func (a Arrivals) factor(at time.Duration) float64 {
	factor := 1.0
	for _, p := range a.Phases {
		if at >= time.Duration(p.At) {
			factor = p.Factor
		}
	}
	return factor
}

// nextPhase returns when the phase after a time begins.
func (a Arrivals) nextPhase(at time.Duration) (time.Duration, bool) {
	for _, p := range a.Phases {
		if time.Duration(p.At) > at {
			return time.Duration(p.At), true
		}
	}
	return 0, false
}

// schedule yields the times of an open process.
type schedule struct {
	arrivals Arrivals
	rng      *rand.Rand
	now      time.Duration
}

func newSchedule(a Arrivals, seed uint64) *schedule {
	return &schedule{arrivals: a, rng: rand.New(rand.NewPCG(seed, 1))}
}

// next returns the time of the next request, false if no further one comes. An
// interval that passes into another phase goes on at that phase's rate.
func (s *schedule) next() (time.Duration, bool) {
	work := 1.0 // in mean intervals
	if s.arrivals.Process == "poisson" {
		work = s.rng.ExpFloat64()
	}
	for {
		rate := s.arrivals.Rate * s.arrivals.factor(s.now)
		end, more := s.arrivals.nextPhase(s.now)
		until := math.Inf(1)
		if more {
			until = (end - s.now).Seconds()
		}
		if rate > 0 && work/rate <= until {
			s.now += time.Duration(work / rate * float64(time.Second))
			return s.now, true
		}
		if !more {
			return 0, false
		}
		work -= rate * until
		s.now = end
	}
}
