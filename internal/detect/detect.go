// Package detect derives from observed gaps between tokens how long a stream
// may be silent before the node suspects that it is lost.
//
// A Detector serves all streams of one model. It may be used by any number of
// goroutines; a mutex guards its histogram.
package detect

import (
	"math"
	"sync"
	"time"
)

// Limits bounds the silence limit of a detector.
type Limits struct {
	// Minimum and Maximum bound the limit between two tokens.
	Minimum, Maximum time.Duration
	// GapMultiple is multiplied with the 99th percentile of observed gaps.
	GapMultiple float64
}

// DefaultLimits keeps detection below 1.5 s, which leaves 2.5 s of the 4 s for
// placement, queueing and prefill of a resume.
var DefaultLimits = Limits{
	Minimum:     250 * time.Millisecond,
	Maximum:     1500 * time.Millisecond,
	GapMultiple: 4,
}

const (
	// bucketsPerOctave gives a resolution of 19%, fine enough for a limit that
	// is a multiple of the percentile.
	bucketsPerOctave = 4
	// buckets covers gaps from 1 ms to 65 s.
	buckets = 16 * bucketsPerOctave
	// window is the number of observations after which all counts are halved,
	// so that the percentile follows a change of load within a few thousand
	// tokens.
	window = 4096
	// minObservations is how many gaps are needed before the percentile is
	// trusted; until then the limit is the maximum.
	minObservations = 64
	percentile      = 0.99
)

// Detector estimates the silence limit of the streams of one model.
type Detector struct {
	limits Limits

	mu sync.Mutex
	// counts, total and limit are guarded by mu.
	counts [buckets]float64
	total  float64
	since  int
	limit  time.Duration
}

// New returns a detector without observations. Its limit is the maximum.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, limit: limits.Maximum}
}

// Observe records the time between two tokens of one stream.
func (d *Detector) Observe(gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[bucketOf(gap)]++
	d.total++
	d.since++
	if d.since%minObservations == 0 {
		d.limit = d.computeLimit()
	}
	if d.since >= window {
		d.decay()
	}
}

// Silence returns how long a stream that has delivered a token may be silent.
func (d *Detector) Silence() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit
}

// FirstToken returns how long a stream may take to deliver its first token if
// its prefill is expected to take as long as given.
func (d *Detector) FirstToken(expectedPrefill time.Duration) time.Duration {
	return min(max(time.Second, 2*expectedPrefill), d.limits.Maximum)
}

// computeLimit requires mu.
func (d *Detector) computeLimit() time.Duration {
	rest := d.total * (1 - percentile)
	for i := buckets - 1; i >= 0; i-- {
		rest -= d.counts[i]
		if rest < 0 {
			limit := time.Duration(float64(upperBound(i)) * d.limits.GapMultiple)
			return min(max(limit, d.limits.Minimum), d.limits.Maximum)
		}
	}
	return d.limits.Maximum
}

// decay requires mu.
func (d *Detector) decay() {
	d.since = 0
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += d.counts[i]
	}
}

func bucketOf(gap time.Duration) int {
	milliseconds := float64(gap) / float64(time.Millisecond)
	if milliseconds <= 1 {
		return 0
	}
	return min(int(math.Log2(milliseconds)*bucketsPerOctave), buckets-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket+1)/bucketsPerOctave) * float64(time.Millisecond))
}
