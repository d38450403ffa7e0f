package dispatch

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/urgency"
)

const (
	// excessTolerance is the work of a team, as a multiple of an equal share, up to which it
	// is within its share, and maxExcess the largest factor for one that is not.
	excessTolerance, maxExcess = 1.5, 8.0
	// idleWork is the work in seconds below which a team counts as idle.
	idleWork = 0.05
)

// teamWork is the recent work of each team, over all hosts.
type teamWork struct{ teams map[string]*urgency.Decaying }

func (t *teamWork) add(now time.Time, team string, work time.Duration) {
	if t.teams == nil {
		t.teams = map[string]*urgency.Decaying{}
	}
	if t.teams[team] == nil {
		t.teams[team] = &urgency.Decaying{}
	}
	t.teams[team].Add(now, work.Seconds())
}

// excess returns the factor by which the work of a team exceeds its share, at least 1.
func (t *teamWork) excess(now time.Time, team string) float64 {
	total, active := 0.0, 0
	for _, x := range t.teams {
		if w := x.At(now); w > idleWork {
			total += w
			active++
		}
	}
	own := t.teams[team]
	if own == nil || active < 2 || total == 0 {
		return 1
	}
	return min(max(own.At(now)/total*float64(active)/excessTolerance, 1), maxExcess)
}

// arrivals counts the calls of the last second.
type arrivals struct {
	second        int64 // in which current counts
	last, current float64
}

func (a *arrivals) roll(now time.Time) {
	switch second := now.Unix(); {
	case second == a.second:
	case second == a.second+1:
		a.second, a.last, a.current = second, a.current, 0
	default:
		a.second, a.last, a.current = second, 0, 0
	}
}

func (a *arrivals) add(now time.Time) {
	a.roll(now)
	a.current++
}

// perSecond returns the calls in the last second.
func (a *arrivals) perSecond(now time.Time) float64 {
	a.roll(now)
	part := float64(now.Nanosecond()) / float64(time.Second)
	return a.current + a.last*(1-part)
}
