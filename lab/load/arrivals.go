package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// factor returns the rate factor of the phase that is active at the given time
// since the start of the run, 1 before the first phase.
func (a Arrivals) factor(at time.Duration) float64 {
	factor := 1.0
	for _, p := range a.Phases {
		if at >= time.Duration(p.At) {
			factor = p.Factor
		}
	}
	return factor
}

// nextPhase returns the start of the first phase that begins after at. It
// returns false if there is none.
func (a Arrivals) nextPhase(at time.Duration) (time.Duration, bool) {
	for _, p := range a.Phases {
		if time.Duration(p.At) > at {
			return time.Duration(p.At), true
		}
	}
	return 0, false
}

// schedule generates the send times of an open-loop arrival process (poisson or
// constant). It is not safe for concurrent use.
type schedule struct {
	arrivals Arrivals
	rng      *rand.Rand
	now      time.Duration
}

func newSchedule(a Arrivals, seed uint64) *schedule {
	return &schedule{arrivals: a, rng: rand.New(rand.NewPCG(seed, 1))}
}

// next returns the time of the next request since the start of the run, or false
// if there are no more requests. If an interval extends into the next phase, its
// remainder elapses at the rate of that phase.
func (s *schedule) next() (time.Duration, bool) {
	remaining := 1.0 // rest of the interval, as a multiple of the mean interval
	if s.arrivals.Process == "poisson" {
		remaining = s.rng.ExpFloat64()
	}
	for {
		rate := s.arrivals.Rate * s.arrivals.factor(s.now)
		end, more := s.arrivals.nextPhase(s.now)
		until := math.Inf(1)
		if more {
			until = (end - s.now).Seconds()
		}
		if rate > 0 && remaining/rate <= until {
			s.now += time.Duration(remaining / rate * float64(time.Second))
			return s.now, true
		}
		if !more {
			return 0, false
		}
		remaining -= rate * until
		s.now = end
	}
}
