package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccahatch/yuccahatch/lab/caller"
)

// Range and precision of the histograms, in microseconds and digits.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
	// seriesDigits suffices for a plot.
	seriesDigits = 2
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros)) //nolint:errcheck // inside the range
}

// Latency sums up a distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func summary(h *hdrhistogram.Histogram) Latency {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	l := Latency{Count: h.TotalCount()}
	if l.Count > 0 {
		l.P50, l.P90, l.P95, l.P99, l.Max = at(50), at(90), at(95), at(99), float64(h.Max())/1000
	}
	return l
}

// Point is the distribution of one second of the run.
type Point struct {
	Second int     `json:"second"`
	Count  int64   `json:"count"`
	P50    float64 `json:"p50_ms"`
	P95    float64 `json:"p95_ms"`
	Max    float64 `json:"max_ms"`
}

// series sums up values second by second.
type series struct {
	second int
	now    *hdrhistogram.Histogram
	points []Point
}

func (s *series) add(second int, d time.Duration) {
	if second != s.second {
		s.close()
		s.second = second
	}
	record(s.now, d)
}

func (s *series) close() {
	if s.now.TotalCount() > 0 {
		l := summary(s.now)
		s.points = append(s.points, Point{Second: s.second, Count: l.Count, P50: l.P50, P95: l.P95, Max: l.Max})
		s.now.Reset()
	}
}

// Resume is one interruption that a caller saw.
type Resume struct {
	At      float64 `json:"at_seconds"` // of its end
	Silence float64 `json:"silence_ms"`
	// Reconnected reports that the caller's connection had broken.
	Reconnected bool `json:"reconnected"`
}

// collector gathers what callers saw of one target.
type collector struct {
	started      time.Time
	interruption time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	firstToken, gap, total, resume, reconnect *hdrhistogram.Histogram
	firstSeries, gapSeries                    series
	resumes                                   []Resume
	side                                      Side
	tokens                                    int64
}

func newCollector(started time.Time, interruption time.Duration) *collector {
	return &collector{
		started: started, interruption: interruption,
		firstToken: newHistogram(digits), gap: newHistogram(digits), total: newHistogram(digits), resume: newHistogram(digits),
		reconnect:   newHistogram(digits),
		firstSeries: series{now: newHistogram(seriesDigits)}, gapSeries: series{now: newHistogram(seriesDigits)},
		side: Side{Refusals: map[string]int{}, Wrong: []string{}},
	}
}

// arrival takes one event with tokens. It is the hot path of a run.
func (c *collector) arrival(a caller.Arrival) {
	at := a.At.Sub(c.started)
	second := int(at / time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens++
	if a.First {
		record(c.firstToken, a.Silence)
		c.firstSeries.add(second, a.Silence)
		return
	}
	record(c.gap, a.Silence)
	c.gapSeries.add(second, a.Silence)
	if a.AfterBreak || a.Silence > c.interruption {
		record(c.resume, a.Silence)
		if a.AfterBreak {
			record(c.reconnect, a.Silence)
		}
		c.resumes = append(c.resumes, Resume{At: at.Seconds(), Silence: float64(a.Silence.Microseconds()) / 1000, Reconnected: a.AfterBreak})
	}
}

// maxWrong bounds the wrong answers that a report describes.
const maxWrong = 20

// sent counts a request.
func (c *collector) sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.side.Sent++
	c.side.running++
}

// notSent counts a request that the bound on answers under way held back.
func (c *collector) notSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.side.NotSent++
}

// result takes the end of an answer. cutOff tells that the run ended first.
func (c *collector) result(r caller.Result, cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.side
	s.running--
	s.Tokens += int64(r.Counts.Tokens)
	s.Missing += r.Counts.Missing
	s.Repeated += r.Counts.Repeated
	s.Mixed += r.Counts.Mixed
	s.Reconnects += max(0, r.Attempts-1)
	switch {
	case r.Complete && r.Clean:
		s.Verified++
		s.goodTokens += int64(r.Counts.Tokens)
		record(c.total, r.Total)
	case r.Error != nil && cutOff:
		s.CutOff++
	case r.Error != nil && r.Counts.Tokens == 0:
		s.Refused++
		s.Refusals[reason(r.Error)]++
	default:
		s.Incomplete++
	}
	if !r.Clean || !r.Complete && !cutOff && r.Counts.Tokens > 0 {
		if len(s.Wrong) < maxWrong {
			s.Wrong = append(s.Wrong, describe(r))
		}
	}
}

func reason(f *caller.Failure) string {
	if f.Code == "" {
		return "no_answer"
	}
	return string(f.Code)
}

// close returns the sums.
func (c *collector) close(elapsed time.Duration) Side {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstSeries.close()
	c.gapSeries.close()
	s := c.side
	s.FirstToken, s.Gap, s.Total, s.Resume = summary(c.firstToken), summary(c.gap), summary(c.total), summary(c.resume)
	s.Reconnect = summary(c.reconnect)
	s.FirstTokenSeries, s.GapSeries, s.Resumes = c.firstSeries.points, c.gapSeries.points, slices.Clone(c.resumes)
	s.Goodput = float64(s.goodTokens) / elapsed.Seconds()
	return s
}

// live returns the counts for the progress line.
func (c *collector) live() (s Side, tokens int64, gapP99 float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.side, c.tokens, float64(c.gap.ValueAtPercentile(99)) / 1000
}
