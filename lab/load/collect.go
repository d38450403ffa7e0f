package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccahatch/yuccahatch/lab/caller"
)

// Range of the histograms in microseconds, and their precision in significant
// decimal digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// seriesDigits is the precision of the per-second series, which are only
	// plotted.
	seriesDigits = 2
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) //nolint:errcheck // inside the range
}

// Latency summarizes a distribution of durations in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func summarize(h *hdrhistogram.Histogram) Latency {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	l := Latency{Count: h.TotalCount()}
	if l.Count > 0 {
		l.P50, l.P90, l.P95, l.P99, l.Max = at(50), at(90), at(95), at(99), float64(h.Max())/1000
	}
	return l
}

// LatencyPoint summarizes the durations, in milliseconds, that were recorded in
// one second of the run.
type LatencyPoint struct {
	Second int     `json:"second"`
	Count  int64   `json:"count"`
	P50    float64 `json:"p50_ms"`
	P95    float64 `json:"p95_ms"`
	Max    float64 `json:"max_ms"`
}

// series summarizes durations per second of the run.
type series struct {
	second  int                     // second of the run that current covers
	current *hdrhistogram.Histogram // durations of this second
	points  []LatencyPoint          // earlier seconds
}

func (s *series) add(second int, d time.Duration) {
	if second != s.second {
		s.flush()
		s.second = second
	}
	record(s.current, d)
}

func (s *series) flush() {
	if s.current.TotalCount() > 0 {
		l := summarize(s.current)
		s.points = append(s.points, LatencyPoint{Second: s.second, Count: l.Count, P50: l.P50, P95: l.P95, Max: l.Max})
		s.current.Reset()
	}
}

// Resume is one interruption of an answer, as the caller observed it.
type Resume struct {
	// At is the time in the run at which the interruption ended.
	At      float64 `json:"at_seconds"`
	Silence float64 `json:"silence_ms"`
	// Reconnected reports whether the caller's connection had broken.
	Reconnected bool `json:"reconnected"`
}

// collector aggregates the results of the requests to one target, the nodes or
// the engines of the baseline. It is safe for concurrent use.
type collector struct {
	started      time.Time
	interruption time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	firstToken, gap, total, resume, reconnect *hdrhistogram.Histogram
	firstSeries, gapSeries                    series
	resumes                                   []Resume
	report                                    TargetReport
	tokens                                    int64
}

func newCollector(started time.Time, interruption time.Duration) *collector {
	return &collector{
		started: started, interruption: interruption,
		firstToken: newHistogram(significantDigits), gap: newHistogram(significantDigits), total: newHistogram(significantDigits), resume: newHistogram(significantDigits),
		reconnect:   newHistogram(significantDigits),
		firstSeries: series{current: newHistogram(seriesDigits)}, gapSeries: series{current: newHistogram(seriesDigits)},
		report: TargetReport{Refusals: map[string]int{}, Wrong: []string{}},
	}
}

// recordArrival records one event with tokens. It is the hot path of a run.
func (c *collector) recordArrival(a caller.TokenArrival) {
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

// maxWrong is the maximum number of wrong answers that a report describes.
const maxWrong = 20

// countSent counts a request that is about to be sent.
func (c *collector) countSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	c.report.inFlight++
}

// countNotSent counts a request that was skipped because max_in_flight requests
// were in flight.
func (c *collector) countNotSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.NotSent++
}

// recordResult records the result of a request. cutOff reports whether the run
// ended before the answer did.
func (c *collector) recordResult(r caller.Result, cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.report
	s.inFlight--
	s.Tokens += int64(r.Counts.Tokens)
	s.Missing += r.Counts.Missing
	s.Repeated += r.Counts.Repeated
	s.Mixed += r.Counts.Mixed
	s.Reconnects += max(0, r.Attempts-1)
	switch {
	case r.Complete && r.Clean:
		s.Verified++
		s.verifiedTokens += int64(r.Counts.Tokens)
		record(c.total, r.Total)
	case r.Error != nil && cutOff:
		s.CutOff++
	case r.Error != nil && r.Counts.Tokens == 0:
		s.Refused++
		s.Refusals[failureCode(r.Error)]++
	default:
		s.Incomplete++
	}
	if !r.Clean || !r.Complete && !cutOff && r.Counts.Tokens > 0 {
		if len(s.Wrong) < maxWrong {
			s.Wrong = append(s.Wrong, describe(r))
		}
	}
}

// failureCode returns the error code by which a report counts a failed request.
func failureCode(f *caller.Failure) string {
	if f.Code == "" {
		return "no_answer"
	}
	return string(f.Code)
}

// finish ends the series and returns the totals. elapsed is the duration of the
// run.
func (c *collector) finish(elapsed time.Duration) TargetReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstSeries.flush()
	c.gapSeries.flush()
	s := c.report
	s.FirstToken, s.Gap, s.Total, s.Resume = summarize(c.firstToken), summarize(c.gap), summarize(c.total), summarize(c.resume)
	s.Reconnect = summarize(c.reconnect)
	s.FirstTokenSeries, s.GapSeries, s.Resumes = c.firstSeries.points, c.gapSeries.points, slices.Clone(c.resumes)
	s.Goodput = float64(s.verifiedTokens) / elapsed.Seconds()
	return s
}

// snapshot returns the counts so far, and the 99th percentile of the gap between
// tokens in milliseconds, for the progress line.
func (c *collector) snapshot() (s TargetReport, tokens int64, gapP99 float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report, c.tokens, float64(c.gap.ValueAtPercentile(99)) / 1000
}
