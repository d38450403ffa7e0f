package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxResumeLatency is the time within which output must continue after a loss.
const maxResumeLatency = 4 * time.Second

// cost is the number of tokens computed for resumes in addition to those of a run
// without faults.
type cost struct {
	prompt    int // prompt tokens computed again
	prefilled int // answer tokens computed again in a prefill
	decoded   int // answer tokens generated again; only if policy.restart is set
	discarded int // tokens generated but not accepted
}

func (c *cost) add(o cost) {
	c.prompt += o.prompt
	c.prefilled += o.prefilled
	c.decoded += o.decoded
	c.discarded += o.discarded
}

func (c cost) total() int { return c.prompt + c.prefilled + c.decoded + c.discarded }

// faultReport is the result for one kind of fault.
type faultReport struct {
	latency     *hdrhistogram.Histogram // microseconds
	interrupted int
	inTime      int // resumed within maxResumeLatency
	unfinished  int // ended before they resumed
	falseAlarms int
	falseCost   int // tokens
	cost        cost
}

// report is the result of one or more runs of one policy.
type report struct {
	kinds     [faultKinds]faultReport
	faults    [faultKinds]int
	newWork   *hdrhistogram.Histogram // time to first token while the lost rack is down, microseconds
	probes    int
	answers   int
	failed    int
	reasons   map[string]int // of failed answers
	generated int            // tokens of all answers
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func newReport() *report {
	r := &report{newWork: newHistogram(), reasons: map[string]int{}}
	for i := range r.kinds {
		r.kinds[i].latency = newHistogram()
	}
	return r
}

func (r *report) resumed(kind faultKind, latency time.Duration) {
	k := &r.kinds[kind]
	k.interrupted++
	if latency <= maxResumeLatency {
		k.inTime++
	}
	_ = k.latency.RecordValue(max(latency.Microseconds(), 1)) // a run is shorter than the range of the histogram
}

func (r *report) lost(kind faultKind) {
	r.kinds[kind].interrupted++
	r.kinds[kind].unfinished++
}

func (r *report) firstToken(s *sim, took time.Duration) {
	began := s.now - took
	if s.rackAt > 0 && began >= s.rackAt && began < s.rackAt+restartAfter {
		_ = r.newWork.RecordValue(max(took.Microseconds(), 1))
	}
}

// merge adds the results of another run.
func (r *report) merge(o *report) {
	for i := range r.kinds {
		k, other := &r.kinds[i], &o.kinds[i]
		k.latency.Merge(other.latency)
		k.interrupted += other.interrupted
		k.inTime += other.inTime
		k.unfinished += other.unfinished
		k.falseAlarms += other.falseAlarms
		k.falseCost += other.falseCost
		k.cost.add(other.cost)
		r.faults[i] += o.faults[i]
	}
	r.newWork.Merge(o.newWork)
	r.probes += o.probes
	r.answers += o.answers
	r.failed += o.failed
	for reason, n := range o.reasons {
		r.reasons[reason] += n
	}
	r.generated += o.generated
}

// all returns the sum over all kinds of fault. Interruptions and latencies of
// slow engines are excluded because a slow engine does not interrupt answers.
func (r *report) all() faultReport {
	sum := faultReport{latency: newHistogram()}
	for i := range r.kinds {
		k := &r.kinds[i]
		sum.falseAlarms += k.falseAlarms
		sum.falseCost += k.falseCost
		sum.cost.add(k.cost)
		if faultKind(i) == engineSlow {
			continue
		}
		sum.latency.Merge(k.latency)
		sum.interrupted += k.interrupted
		sum.inTime += k.inTime
		sum.unfinished += k.unfinished
	}
	return sum
}

// check returns an error if an answer has a missing or repeated token or one of
// another text, or has not ended.
func (s *sim) check() error {
	for _, a := range s.answers {
		if !a.intact() {
			return fmt.Errorf("answer %d has %d of %d tokens, finished %t, failed %q: a token is missing, repeated or of another text, or the answer did not end",
				a.request.number, len(a.received), a.request.output, a.finished, a.failed)
		}
	}
	return nil
}

// accountTokens adds the tokens of all streams to the report.
func (s *sim) accountTokens() {
	r := s.report
	for _, a := range s.answers {
		r.answers++
		r.generated += len(a.received)
		if !a.finished {
			r.failed++
			r.reasons[a.failed]++
		}
		k := &r.kinds[a.lastFault]
		// One complete prefill of the prompt is needed without faults, too.
		neededPrefill := slices.IndexFunc(a.streams, func(st *stream) bool { return st.decoding })
		for i, st := range a.streams {
			c := cost{discarded: len(st.tokens) - st.used, decoded: st.repeated}
			if i != neededPrefill {
				// The prompt precedes the accepted text, so the tokens that
				// are cached and computed first belong to the prompt.
				uncachedPrompt := max(a.request.promptTokens-st.cached, 0)
				c.prompt = min(st.computed, uncachedPrompt)
				c.prefilled = st.computed - c.prompt
			}
			k.cost.add(c)
			if st.falseAlarm {
				k.falseAlarms++
				k.falseCost += c.total()
			}
		}
	}
}
