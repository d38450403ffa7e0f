package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/lab/scrape"
)

// ticksPerSecond is the unit of CPU times in /proc, USER_HZ, which Linux fixes
// at 100 on all architectures that the lab runs on.
const ticksPerSecond = 100

// Process holds the resource usage of one watched process.
type Process struct {
	Name string `json:"name"`
	// CPUSeconds is the CPU time during the run, Cores the mean number of CPU
	// cores in use.
	CPUSeconds float64 `json:"cpu_seconds"`
	Cores      float64 `json:"cores"`
	// FirstMiB, LastMiB and MaxMiB are the first, last and largest sample of
	// the resident memory.
	FirstMiB float64  `json:"first_mib"`
	LastMiB  float64  `json:"last_mib"`
	MaxMiB   float64  `json:"max_mib"`
	Samples  []Sample `json:"samples"`
	Error    string   `json:"error,omitempty"`

	pid int
}

// Sample is the resource usage of a process at one time.
type Sample struct {
	At         float64 `json:"at_seconds"`
	CPUSeconds float64 `json:"cpu_seconds"` // since the process started
	MiB        float64 `json:"mib"`
}

// watchedProcesses returns the processes of the list, with their process IDs.
func watchedProcesses(list []Watch, pidDir string) []Process {
	out := []Process{}
	for _, w := range list {
		p := Process{Name: w.Name}
		var err error
		if p.pid, err = readPID(pidDir, w.PIDFile); err != nil {
			p.Error = err.Error()
		}
		out = append(out, p)
	}
	return out
}

// sample adds a sample from /proc. A process that has exited keeps its earlier
// samples.
func (p *Process) sample(at time.Duration) {
	if p.pid == 0 {
		return
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	if err != nil {
		return
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return
	}
	cpu, ok := cpuSeconds(stat)
	if !ok {
		return
	}
	p.Samples = append(p.Samples, Sample{At: at.Seconds(), CPUSeconds: cpu, MiB: residentMiB(status)})
}

// cpuSeconds returns the sum of user and system time in /proc/PID/stat. The
// process name in parentheses may contain spaces, so fields are counted from the
// end of the name.
func cpuSeconds(stat []byte) (float64, bool) {
	const userField, systemField = 11, 12 // index after the name
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemField {
		return 0, false
	}
	user, errUser := strconv.ParseFloat(fields[userField], 64)
	system, errSystem := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / ticksPerSecond, errUser == nil && errSystem == nil
}

func residentMiB(status []byte) float64 {
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib / 1024
		}
	}
	return 0
}

// finish computes the figures of the run from the samples.
func (p *Process) finish() {
	if len(p.Samples) == 0 {
		return
	}
	first, last := p.Samples[0], p.Samples[len(p.Samples)-1]
	p.CPUSeconds = last.CPUSeconds - first.CPUSeconds
	if last.At > first.At {
		p.Cores = p.CPUSeconds / (last.At - first.At)
	}
	p.FirstMiB, p.LastMiB = first.MiB, last.MiB
	for _, s := range p.Samples {
		p.MaxMiB = max(p.MaxMiB, s.MiB)
	}
}

// ExtraResources holds the resources used for resuming answers and copying state,
// summed over the nodes whose metrics pages were read. Increases between the last
// read of a node's page and a crash of that node are missing.
type ExtraResources struct {
	RecomputedPrompt float64 `json:"prompt_tokens_recomputed"`
	RecomputedAnswer float64 `json:"answer_tokens_recomputed"`
	Discarded        float64 `json:"tokens_discarded"`
	Accepted         float64 `json:"tokens_accepted"`
	Resumes          float64 `json:"resumes"` // counted by the nodes
	// ResumeMean is the mean resume time that the nodes measured, in
	// milliseconds. It is rounded up: the nodes' histogram sums the upper bounds
	// of its buckets, each of which is twice the one before.
	ResumeMean        float64               `json:"resume_mean_ms"`
	CopyBytes         float64               `json:"copy_bytes"`
	CopyTokens        float64               `json:"copy_tokens"`
	CopyBytesPerToken float64               `json:"copy_bytes_per_token"`
	UnreadPages       int                   `json:"pages_unread"` // reads that failed
	Series            []ExtraResourcesPoint `json:"series"`
}

// ExtraResourcesPoint holds the totals since the start of the run at one time.
type ExtraResourcesPoint struct {
	At         float64 `json:"at_seconds"`
	Recomputed float64 `json:"tokens_recomputed"`
	Discarded  float64 `json:"tokens_discarded"`
	CopyBytes  float64 `json:"copy_bytes"`
}

// trackedCounters are the counters that are read from each metrics page, and the
// totals to which their increases are added.
var trackedCounters = []struct {
	name   string
	labels []string
	to     func(*ExtraResources) *float64
}{
	{scrape.TokensRecomputed, []string{"part", "prompt"}, func(e *ExtraResources) *float64 { return &e.RecomputedPrompt }},
	{scrape.TokensRecomputed, []string{"part", "answer"}, func(e *ExtraResources) *float64 { return &e.RecomputedAnswer }},
	{scrape.TokensDiscarded, nil, func(e *ExtraResources) *float64 { return &e.Discarded }},
	{scrape.TokensAccepted, nil, func(e *ExtraResources) *float64 { return &e.Accepted }},
	{scrape.Resumes, nil, func(e *ExtraResources) *float64 { return &e.Resumes }},
	{scrape.ResumeSeconds + "_sum", nil, func(e *ExtraResources) *float64 { return &e.ResumeMean }},
	{scrape.CopyBytes, nil, func(e *ExtraResources) *float64 { return &e.CopyBytes }},
	{scrape.CopyTokens, nil, func(e *ExtraResources) *float64 { return &e.CopyTokens }},
}

// counterTracker reads the nodes' metrics pages and sums the increases of their
// counters. It is not safe for concurrent use.
type counterTracker struct {
	client      *http.Client
	nodes       []string
	key         string
	last        map[string][]float64 // last values by node: trackedCounters, then the number of resume durations
	extra       ExtraResources
	resumeCount float64 // number of resume durations in extra.ResumeMean
}

func newCounterTracker(client *http.Client, nodes []string, key string) *counterTracker {
	return &counterTracker{client: client, nodes: nodes, key: key, last: map[string][]float64{}, extra: ExtraResources{Series: []ExtraResourcesPoint{}}}
}

func (t *counterTracker) read(ctx context.Context, at time.Duration) {
	for _, node := range t.nodes {
		page, err := scrape.Fetch(ctx, t.client, node, t.key)
		if err != nil {
			t.extra.UnreadPages++
			continue
		}
		t.add(node, page)
	}
	e := t.extra
	t.extra.Series = append(t.extra.Series, ExtraResourcesPoint{At: at.Seconds(), Discarded: e.Discarded,
		Recomputed: e.RecomputedPrompt + e.RecomputedAnswer, CopyBytes: e.CopyBytes})
}

// add adds the increases since the previous page of a node. The first page of a
// node is only the baseline. A counter that decreased belongs to a process that
// restarted, which resets its counters to 0.
func (t *counterTracker) add(node string, page scrape.Page) {
	values := make([]float64, len(trackedCounters)+1)
	for i, c := range trackedCounters {
		values[i] = page.Sum(c.name, c.labels...)
	}
	values[len(trackedCounters)] = page.Sum(scrape.ResumeSeconds + "_count")
	last, known := t.last[node]
	t.last[node] = values
	if !known {
		return
	}
	for i := range values {
		increase := values[i] - last[i]
		if increase < 0 {
			increase = values[i]
		}
		if i == len(trackedCounters) {
			t.resumeCount += increase
		} else {
			*trackedCounters[i].to(&t.extra) += increase
		}
	}
}

// finish returns the totals and the means computed from them.
func (t *counterTracker) finish() ExtraResources {
	e := t.extra
	e.ResumeMean = ratio(e.ResumeMean*1000, t.resumeCount)
	e.CopyBytesPerToken = ratio(e.CopyBytes, e.CopyTokens)
	return e
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
