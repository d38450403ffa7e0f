package rollout

import (
	"math"
	"time"
)

const (
	// buckets is the number of buckets of a Histogram, and perOctave that of those in which
	// the time doubles.
	buckets   = 60
	perOctave = 4
	// unitBucket is the bucket of answers that take just as long as expected.
	unitBucket = 20
)

// Histogram counts answers by the ratio of their time to the expected one.
type Histogram [buckets]uint32

// bucketOf returns the bucket of an answer that took some time, or has not come after it.
func bucketOf(took, expected time.Duration) uint8 {
	ratio := float64(max(took, time.Millisecond)) / float64(max(expected, time.Millisecond))
	return uint8(min(max(unitBucket+math.Round(perOctave*math.Log2(ratio)), 0), buckets-1))
}

func (h *Histogram) total() (n uint32) {
	for _, x := range h {
		n += x
	}
	return n
}

// above returns the number of answers in a bucket and those above it.
func (h *Histogram) above(bucket int) (n uint32) {
	for _, x := range h[min(bucket, buckets):] {
		n += x
	}
	return n
}

// median returns the bucket of the median; the histogram must not be empty.
func (h *Histogram) median() int {
	half, n := h.total()/2, uint32(0)
	for i, x := range h {
		if n += x; n > half {
			return i
		}
	}
	return buckets - 1
}

func (h *Histogram) add(counts map[uint8]uint32) {
	for bucket, n := range counts {
		if int(bucket) < buckets {
			h[bucket] += n
		}
	}
}

// sparse returns the buckets that are not empty.
func (h *Histogram) sparse() map[uint8]uint32 {
	counts := map[uint8]uint32{}
	for i, n := range h {
		if n > 0 {
			counts[uint8(i)] = n
		}
	}
	return counts
}
