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

// Process holds the samples of one watched process.
type Process struct {
	Name string `json:"name"`
	// CPUSeconds is the CPU time during the run, Cores its mean rate.
	CPUSeconds float64 `json:"cpu_seconds"`
	Cores      float64 `json:"cores"`
	// FirstMiB, LastMiB and MaxMiB are resident memory.
	FirstMiB float64  `json:"first_mib"`
	LastMiB  float64  `json:"last_mib"`
	MaxMiB   float64  `json:"max_mib"`
	Samples  []Sample `json:"samples"`
	Error    string   `json:"error,omitempty"`

	pid int
}

// Sample is the state of a process at one time.
type Sample struct {
	At         float64 `json:"at_seconds"`
	CPUSeconds float64 `json:"cpu_seconds"` // since the process started
	MiB        float64 `json:"mib"`
}

func watched(list []Watch, pidDir string) []Process {
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

// sample reads /proc. A process that is gone keeps its earlier samples.
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

// cpuSeconds reads user and system time of /proc/PID/stat. The process name in
// parentheses may hold spaces, so the fields are counted behind it.
func cpuSeconds(stat []byte) (float64, bool) {
	const userField, systemField = 11, 12 // behind the name
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

func (p *Process) close() {
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

// Extra holds the resources that resuming and copying took, summed over the
// nodes whose pages were read. What a node counted after the last reading
// before it died is lost.
type Extra struct {
	RecomputedPrompt float64 `json:"prompt_tokens_recomputed"`
	RecomputedAnswer float64 `json:"answer_tokens_recomputed"`
	Discarded        float64 `json:"tokens_discarded"`
	Accepted         float64 `json:"tokens_accepted"`
	Resumes          float64 `json:"resumes"` // inside nodes
	// ResumeMean is the mean of the nodes' own measurement, in milliseconds. Their
	// histogram adds up the upper bounds of its buckets, which double.
	ResumeMean       float64      `json:"resume_mean_ms"`
	CopyBytes        float64      `json:"copy_bytes"`
	CopyTokens       float64      `json:"copy_tokens"`
	CopyBytesByToken float64      `json:"copy_bytes_per_token"`
	Unread           int          `json:"pages_unread"` // failed readings
	Series           []ExtraPoint `json:"series"`
}

// ExtraPoint holds sums since the start of the run.
type ExtraPoint struct {
	At         float64 `json:"at_seconds"`
	Recomputed float64 `json:"tokens_recomputed"`
	Discarded  float64 `json:"tokens_discarded"`
	CopyBytes  float64 `json:"copy_bytes"`
}

// counters are the sums that are followed on each page.
var counters = []struct {
	name   string
	labels []string
	to     func(*Extra) *float64
}{
	{scrape.TokensRecomputed, []string{"part", "prompt"}, func(e *Extra) *float64 { return &e.RecomputedPrompt }},
	{scrape.TokensRecomputed, []string{"part", "answer"}, func(e *Extra) *float64 { return &e.RecomputedAnswer }},
	{scrape.TokensDiscarded, nil, func(e *Extra) *float64 { return &e.Discarded }},
	{scrape.TokensAccepted, nil, func(e *Extra) *float64 { return &e.Accepted }},
	{scrape.Resumes, nil, func(e *Extra) *float64 { return &e.Resumes }},
	{scrape.ResumeSeconds + "_sum", nil, func(e *Extra) *float64 { return &e.ResumeMean }},
	{scrape.CopyBytes, nil, func(e *Extra) *float64 { return &e.CopyBytes }},
	{scrape.CopyTokens, nil, func(e *Extra) *float64 { return &e.CopyTokens }},
}

// follower reads metrics pages and sums up the growth of their counters.
type follower struct {
	client *http.Client
	nodes  []string
	key    string
	last   map[string][]float64 // values of counters at each node
	extra  Extra
	count  float64 // of resume durations
}

func newFollower(client *http.Client, nodes []string, key string) *follower {
	return &follower{client: client, nodes: nodes, key: key, last: map[string][]float64{}, extra: Extra{Series: []ExtraPoint{}}}
}

func (f *follower) read(ctx context.Context, at time.Duration) {
	for _, node := range f.nodes {
		page, err := scrape.Read(ctx, f.client, node, f.key)
		if err != nil {
			f.extra.Unread++
			continue
		}
		f.add(node, page)
	}
	e := f.extra
	f.extra.Series = append(f.extra.Series, ExtraPoint{At: at.Seconds(), Discarded: e.Discarded,
		Recomputed: e.RecomputedPrompt + e.RecomputedAnswer, CopyBytes: e.CopyBytes})
}

// add takes one page. The first page of a node is the base; a counter that fell
// belongs to a process that restarted at 0.
func (f *follower) add(node string, page scrape.Page) {
	values := make([]float64, len(counters)+1)
	for i, c := range counters {
		values[i] = page.Sum(c.name, c.labels...)
	}
	values[len(counters)] = page.Sum(scrape.ResumeSeconds + "_count")
	last, known := f.last[node]
	f.last[node] = values
	if !known {
		return
	}
	for i := range values {
		growth := values[i] - last[i]
		if growth < 0 {
			growth = values[i]
		}
		if i == len(counters) {
			f.count += growth
		} else {
			*counters[i].to(&f.extra) += growth
		}
	}
}

func (f *follower) close() Extra {
	e := f.extra
	e.ResumeMean = ratio(e.ResumeMean*1000, f.count)
	e.CopyBytesByToken = ratio(e.CopyBytes, e.CopyTokens)
	return e
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
