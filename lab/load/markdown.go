package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Markdown returns the report in Markdown.
func (r Report) Markdown() string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("# %s\n", r.Experiment)
	p("Started %s, seed %d, %.1f s.", r.Started.UTC().Format("2006-01-02 15:04:05 UTC"), r.Seed, r.Elapsed)
	p("Machine: %d CPUs, load average %.1f before and %.1f after; this tool took %.1f s of CPU time and at most %.0f MiB.\n",
		r.Machine.CPUs, r.Machine.LoadBefore, r.Machine.LoadAfter, r.Machine.ToolCPUSeconds, r.Machine.ToolMaxMiB)
	for _, text := range r.Problems {
		p("**Problem:** %s\n", text)
	}
	r.Nodes.markdown(p, "Through nodes")
	if r.Direct != nil {
		r.Direct.markdown(p, "Directly from engines")
		p("## Difference\n\n| | p50 ms | p95 ms | p99 ms |\n| --- | --- | --- | --- |")
		p("| first token | %.3f | %.3f | |", r.Overhead.FirstTokenP50, r.Overhead.FirstTokenP95)
		p("| gap | %.3f | %.3f | %.3f |\n", r.Overhead.GapP50, r.Overhead.GapP95, r.Overhead.GapP99)
	}
	r.extraMarkdown(p)
	r.processMarkdown(p)
	if len(r.Faults) > 0 {
		p("## Faults\n\n| time s | fault | error |\n| --- | --- | --- |")
		for _, f := range r.Faults {
			p("| %.1f | `%s` | %s |", f.At, f.Fault, f.Error)
		}
		p("")
	}
	p("![first token](%s) ![gap](%s) ![resume latency](%s) ![extra resources](%s)", plotFirstToken, plotGap, plotResume, plotExtra)
	return b.String()
}

func (s TargetReport) markdown(p func(string, ...any), title string) {
	p("## %s\n", title)
	p("%d sent: %d complete and verified, %d incomplete or wrong, %d refused, %d cut off by the end; %d not sent.\n",
		s.Sent, s.Verified, s.Incomplete, s.Refused, s.CutOff, s.NotSent)
	p("%d tokens: %d missing, %d repeated, %d mixed. Goodput %.0f tokens/s. %d reconnections.\n",
		s.Tokens, s.Missing, s.Repeated, s.Mixed, s.Goodput, s.Reconnects)
	p("| ms | count | p50 | p90 | p95 | p99 | max |\n| --- | --- | --- | --- | --- | --- | --- |")
	row := func(name string, l Latency) {
		p("| %s | %d | %.2f | %.2f | %.2f | %.2f | %.2f |", name, l.Count, l.P50, l.P90, l.P95, l.P99, l.Max)
	}
	row("first token", s.FirstToken)
	row("gap between tokens", s.Gap)
	row("total", s.Total)
	row("resume latency", s.Resume)
	row("of these, with a new connection", s.Reconnect)
	p("")
	for _, code := range slices.Sorted(maps.Keys(s.Refusals)) {
		p("- refused with `%s`: %d", code, s.Refusals[code])
	}
	for _, text := range s.Wrong {
		p("- wrong: %s", text)
	}
	p("")
}

func (r Report) extraMarkdown(p func(string, ...any)) {
	e := r.Extra
	p("## Extra resources\n\n| | |\n| --- | --- |")
	p("| resumes inside nodes | %.0f, mean %.0f ms (histogram buckets rounded up) |", e.Resumes, e.ResumeMean)
	p("| prompt tokens computed again | %.0f |", e.RecomputedPrompt)
	p("| answer tokens computed again | %.0f |", e.RecomputedAnswer)
	p("| tokens discarded | %.0f of %.0f accepted |", e.Discarded, e.Accepted)
	p("| bytes copied | %.0f, %.1f for each of %.0f tokens |", e.CopyBytes, e.CopyBytesPerToken, e.CopyTokens)
	p("| metrics pages not read | %d |\n", e.UnreadPages)
	if b := r.Bookings; b != nil {
		p("## Bookings\n\n%d sent twice; %d ran exactly once, %d more than once; %d replays; %d without an answer, of which %d ran.\n",
			b.Sent, b.RanOnce, b.RanMultipleTimes, b.Replays, b.Unanswered, b.UnansweredRan)
	}
}

func (r Report) processMarkdown(p func(string, ...any)) {
	if len(r.Processes) == 0 {
		return
	}
	p("## Processes\n\n| | CPU s | cores | resident MiB at the start | at the end | maximum |\n| --- | --- | --- | --- | --- | --- |")
	for _, x := range r.Processes {
		p("| %s | %.1f | %.3f | %.1f | %.1f | %.1f | %s", x.Name, x.CPUSeconds, x.Cores, x.FirstMiB, x.LastMiB, x.MaxMiB, x.Error)
	}
	p("")
}
