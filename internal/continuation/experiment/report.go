package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// resumeBound is the time within which output must go on after a loss.
const resumeBound = 4 * time.Second

// cost is what resuming consumed beyond an undisturbed run, in tokens.
type cost struct {
	prompt    int // prompt tokens computed again
	prefilled int // answer tokens read again as a part of a prompt
	decoded   int // answer tokens generated again; restart from zero only
	discarded int // tokens produced and thrown away
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
	inTime      int // went on within resumeBound
	unfinished  int // ended before they went on
	falseAlarms int
	falseCost   int // tokens
	cost        cost
}

// report is the result of one or more runs of one policy.
type report struct {
	kinds     [faultKinds]faultReport
	faults    [faultKinds]int
	newWork   *hdrhistogram.Histogram // first token during the loss of the rack, microseconds
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
	if latency <= resumeBound {
		k.inTime++
	}
	_ = k.latency.RecordValue(max(latency.Microseconds(), 1)) // a run is shorter than the range
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

// all sums up the faults that interrupt answers: a slow engine does not, and
// its latencies are left out.
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

// check verifies that no answer has a missing, repeated or mixed token.
func (s *sim) check() error {
	for _, a := range s.answers {
		if !a.intact() {
			return fmt.Errorf("answer %d has %d of %d tokens, finished %t, failed %q: a token is missing, repeated or mixed, or the answer has no end",
				a.request.number, len(a.received), a.request.output, a.finished, a.failed)
		}
	}
	return nil
}

// sum accounts for the tokens of all streams.
func (s *sim) sum() {
	r := s.report
	for _, a := range s.answers {
		r.answers++
		r.generated += len(a.received)
		if !a.finished {
			r.failed++
			r.reasons[a.failed]++
		}
		k := &r.kinds[a.lastFault]
		// One complete reading of the prompt belongs to an undisturbed run.
		undisturbed := slices.IndexFunc(a.streams, func(st *stream) bool { return st.decoding })
		for i, st := range a.streams {
			c := cost{discarded: len(st.tokens) - st.used, decoded: st.repeated}
			if i != undisturbed {
				// The prompt comes before the accepted text, so what is
				// cached and read first is prompt.
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
