package urgency

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant with which requests are forgotten.
	shareMemory = 5 * time.Second
	// minAsked is the number of requests of a kind from which on its share counts.
	minAsked = 4.0
	// starvedShare is the part of the best kind's share below which a kind is starved. It is
	// above the half that is promised, since the order acts on what comes next.
	starvedShare = 0.6
)

// Shares counts the requests of each kind and those that were served, so that no kind is
// starved by more urgent ones. The zero value is ready to use; it is not safe for concurrent
// use.
type Shares struct{ kinds map[string]*share }

type share struct{ asked, served Decaying }

func (s *Shares) of(kind string) *share {
	if s.kinds == nil {
		s.kinds = map[string]*share{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = &share{}
	}
	return s.kinds[kind]
}

// Asked counts a request, and Served one that is served.
func (s *Shares) Asked(now time.Time, kind string) { s.of(kind).asked.Add(now, 1) }

// Served counts a request that is served.
func (s *Shares) Served(now time.Time, kind string) { s.of(kind).served.Add(now, 1) }

// Starved returns the kinds whose share of served requests is far below that of the best one.
func (s *Shares) Starved(now time.Time) map[string]bool {
	best := 0.0
	served := map[string]float64{}
	for kind, x := range s.kinds {
		asked := x.asked.At(now)
		if asked < minAsked {
			continue
		}
		served[kind] = min(1, x.served.At(now)/asked)
		best = max(best, served[kind])
	}
	starved := map[string]bool{}
	for kind, x := range served {
		starved[kind] = x < starvedShare*best
	}
	return starved
}

// Decaying is a sum whose parts lose their weight over some seconds.
type Decaying struct {
	value float64
	at    time.Time
}

// Add adds to the sum.
func (d *Decaying) Add(now time.Time, x float64) { d.value, d.at = d.At(now)+x, now }

// At returns the sum at a time.
func (d *Decaying) At(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(shareMemory))
}
