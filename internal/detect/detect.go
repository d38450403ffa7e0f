// Package detect computes, from the observed gaps between tokens, how long a
// stream may be silent before the node suspects that it is lost.
//
// A Detector serves all streams of one model. It is safe for concurrent use;
// a mutex guards its histogram.
package detect

import (
	"math"
	"sync"
	"time"
)

// Limits configures the silence limit of a detector.
type Limits struct {
	// Minimum and Maximum bound the silence limit between two tokens. Maximum
	// also bounds the limit for the first token.
	Minimum, Maximum time.Duration
	// GapMultiple is the ratio of the silence limit to the 99th percentile of
	// observed gaps.
	GapMultiple float64
}

// DefaultLimits keeps the detection time at 1.5 s or less, which leaves 2.5 s of
// the 4 s within which an answer must resume for placement, queueing and
// prefill.
var DefaultLimits = Limits{
	Minimum:     250 * time.Millisecond,
	Maximum:     1500 * time.Millisecond,
	GapMultiple: 4,
}

const (
	// bucketsPerOctave is the number of histogram buckets per doubling of the
	// gap. The resolution of 19% is sufficient for a limit that is a multiple of
	// the percentile.
	bucketsPerOctave = 4
	// bucketCount is the number of histogram buckets. They cover gaps from 1 ms to
	// 65 s.
	bucketCount = 16 * bucketsPerOctave
	// decayInterval is the number of observations after which all counts are
	// halved, so that the percentile follows a change of load within a few
	// thousand tokens.
	decayInterval = 4096
	// minObservations is the number of gaps needed before the percentile is used;
	// until then the limit is the maximum. The limit is recomputed at every
	// multiple of it.
	minObservations = 64
	// percentile is the quantile of the gaps from which the limit is derived.
	percentile = 0.99
)

// Detector estimates the silence limit of the streams of one model.
type Detector struct {
	limits Limits

	mu sync.Mutex
	// The fields below are guarded by mu.
	counts     [bucketCount]float64
	total      float64
	sinceDecay int
	limit      time.Duration
}

// New returns a detector without observations. Its initial silence limit is
// limits.Maximum.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, limit: limits.Maximum}
}

// Observe records the time between two tokens of one stream.
func (d *Detector) Observe(gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[bucketOf(gap)]++
	d.total++
	d.sinceDecay++
	if d.sinceDecay%minObservations == 0 {
		d.limit = d.computeLimit()
	}
	if d.sinceDecay >= decayInterval {
		d.decay()
	}
}

// SilenceLimit returns the time between two tokens of a stream after which the
// stream is suspected.
func (d *Detector) SilenceLimit() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit
}

// FirstTokenLimit returns the time until the first token after which a stream is
// suspected: twice the expected duration of its prefill, but at least 1 s and at
// most Limits.Maximum.
func (d *Detector) FirstTokenLimit(expectedPrefill time.Duration) time.Duration {
	return min(max(time.Second, 2*expectedPrefill), d.limits.Maximum)
}

// computeLimit returns the silence limit for the current counts. The caller must
// hold mu.
func (d *Detector) computeLimit() time.Duration {
	remaining := d.total * (1 - percentile)
	for i := bucketCount - 1; i >= 0; i-- {
		remaining -= d.counts[i]
		if remaining < 0 {
			limit := time.Duration(float64(upperBound(i)) * d.limits.GapMultiple)
			return min(max(limit, d.limits.Minimum), d.limits.Maximum)
		}
	}
	return d.limits.Maximum
}

// decay halves all counts. The caller must hold mu.
func (d *Detector) decay() {
	d.sinceDecay = 0
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
	return min(int(math.Log2(milliseconds)*bucketsPerOctave), bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket+1)/bucketsPerOctave) * float64(time.Millisecond))
}
