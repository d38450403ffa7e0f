package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/ledger"
	"github.com/yuccahatch/yuccahatch/lab/scrape"
	"github.com/yuccahatch/yuccahatch/lab/service"
)

// Report is the result of a run.
type Report struct {
	Answers  int
	Verified int // complete, with no token missing, repeated or mixed
	Counts   caller.Counts
	// Reconnects is the number of callers' connections beyond the first of each
	// answer.
	Reconnects int
	// Interruptions holds the times without tokens that callers observed: those
	// around broken connections and gaps longer than
	// Config.InterruptionThreshold, sorted.
	Interruptions []time.Duration
	// SlowestResume is the answer with the longest of the Interruptions; empty if there are none.
	SlowestResume string
	LongestGap    time.Duration // between tokens

	Bookings ledger.Summary

	MetricsPagesRead int // number of nodes whose metrics were read
	NodeResumes      float64
	// NodeResumeMean is the mean resume latency as measured by the nodes.
	NodeResumeMean         time.Duration
	RecomputedPromptTokens float64
	DiscardedTokens        float64
	MetricsErrors          []string // one for each node whose metrics could not be read
	Problems               []string // violated guarantees

	interruptionThreshold time.Duration
}

// buildReport compares what the callers received with the calls that the service
// executed. It does not fill in the metrics.
func buildReport(cfg Config, answers []caller.Result, bookings []ledger.Booking, runs service.Runs) Report {
	r := Report{Answers: len(answers), interruptionThreshold: cfg.InterruptionThreshold}
	for _, a := range answers {
		r.addAnswer(a)
	}
	slices.Sort(r.Interruptions)
	r.Bookings = ledger.Check(bookings, runs)
	r.Problems = append(r.Problems, r.Bookings.Problems...)
	return r
}

func (r *Report) addProblem(format string, args ...any) {
	r.Problems = append(r.Problems, fmt.Sprintf(format, args...))
}

func (r *Report) addAnswer(a caller.Result) {
	r.Counts.Tokens += a.Counts.Tokens
	r.Counts.Missing += a.Counts.Missing
	r.Counts.Repeated += a.Counts.Repeated
	r.Counts.Mixed += a.Counts.Mixed
	if a.Complete && a.Clean {
		r.Verified++
	} else {
		reason := "length or finish reason is wrong"
		if a.Error != nil {
			reason = fmt.Sprintf("%s %s", a.Error.Code, a.Error.Message)
		}
		r.addProblem("answer %s: complete %t, %+v, %d connections: %s", a.RequestID, a.Complete, a.Counts, a.Attempts, reason)
	}
	r.Reconnects += max(0, a.Attempts-1)
	r.LongestGap = max(r.LongestGap, a.MaxGap)
	for _, d := range interruptions(a, r.interruptionThreshold) {
		if r.SlowestResume == "" || d > slices.Max(r.Interruptions) {
			r.SlowestResume = a.RequestID
		}
		r.Interruptions = append(r.Interruptions, d)
	}
}

// interruptions returns the times without tokens around broken connections,
// each counted once, and the other gaps that are longer than the limit.
func interruptions(a caller.Result, limit time.Duration) []time.Duration {
	var out []time.Duration
	atBreak := map[time.Duration]bool{}
	for _, b := range a.Breaks {
		// Successive breaks without a token between them have the same Silence.
		if b.Silence > 0 && !atBreak[b.Silence] {
			atBreak[b.Silence] = true
			out = append(out, b.Silence)
		}
	}
	for _, gap := range a.Gaps {
		if gap > limit && !atBreak[gap] {
			out = append(out, gap)
		}
	}
	return out
}

func (r *Report) addMetrics(page scrape.Page, read int, fetchErrors []string) {
	r.MetricsPagesRead, r.MetricsErrors = read, fetchErrors
	r.NodeResumes = page.Sum(scrape.Resumes)
	if n := page.Sum(scrape.ResumeSeconds + "_count"); n > 0 {
		r.NodeResumeMean = time.Duration(page.Sum(scrape.ResumeSeconds+"_sum") / n * float64(time.Second))
	}
	r.RecomputedPromptTokens = page.Sum(scrape.TokensRecomputed, "part", "prompt")
	r.DiscardedTokens = page.Sum(scrape.TokensDiscarded)
}

// OK reports whether no guarantee was violated.
func (r Report) OK() bool { return len(r.Problems) == 0 }

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("answers complete and verified", "%d of %d", r.Verified, r.Answers)
	row("tokens missing", "%d", r.Counts.Missing)
	row("tokens repeated", "%d", r.Counts.Repeated)
	row("tokens mixed", "%d", r.Counts.Mixed)
	row("resumes inside nodes", "%.0f, mean latency %s (of %d nodes whose metrics were read)",
		r.NodeResumes, r.NodeResumeMean.Round(time.Millisecond), r.MetricsPagesRead)
	row("reconnections of callers", "%d", r.Reconnects)
	row("interruptions seen by callers", "%d (broken connections, gaps over %s)", len(r.Interruptions), r.interruptionThreshold)
	if n := len(r.Interruptions); n > 0 {
		row("resume latency, median", "%s", r.Interruptions[n/2].Round(time.Millisecond))
		row("resume latency, maximum", "%s", r.Interruptions[n-1].Round(time.Millisecond))
		row("slowest resume", "%s", r.SlowestResume)
	}
	row("longest gap between tokens", "%s", r.LongestGap.Round(time.Millisecond))
	row("prompt tokens computed again", "%.0f", r.RecomputedPromptTokens)
	row("tokens discarded", "%.0f", r.DiscardedTokens)
	row("bookings sent", "%d, each again through another node; %d first connections dropped", r.Bookings.Sent, r.Bookings.Dropped)
	row("bookings run exactly once", "%d of %d", r.Bookings.RanOnce, r.Bookings.Sent)
	row("bookings run more than once", "%d", r.Bookings.RanMultipleTimes)
	row("replays", "%d", r.Bookings.Replays)
	if r.Bookings.Unanswered > 0 {
		row("bookings without an answer", "%d, of which %d ran", r.Bookings.Unanswered, r.Bookings.UnansweredRan)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, text := range r.MetricsErrors {
		fmt.Fprintf(w, "metrics page not read: %s\n", text)
	}
	for _, text := range r.Problems {
		fmt.Fprintf(w, "BROKEN: %s\n", text)
	}
	return nil
}
