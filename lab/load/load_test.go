package load

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/engine"
	"github.com/yuccahatch/yuccahatch/lab/pipenet"
	"github.com/yuccahatch/yuccahatch/lab/scrape"
)

const experiment = `
duration = "10s"
compare = "direct"
interruption = "300ms"
[arrivals]
process = "closed"
streams = 8
ramp = "1s"
[requests]
models = ["m"]
prompt_tokens = { distribution = "uniform", min = 5, max = 50 }
[requests.answer_tokens]
distribution = "fixed"
mean = 30
[requests.prefix]
count = 2
tokens = 40
share = 0.5
[[customers]]
name = "a"
key = "k"
weight = 1.0
[nodes]
callers = ["10.0.0.1:1", "10.0.0.2:1"]
silence = "1s"
[direct]
engines = ["10.0.0.1:1"]
[[faults]]
at = "4s"
method = "POST"
url = "http://10.0.0.1:1/admin/silence"
`

// Guards against invalid experiment files that are accepted, or whose errors are
// reported at the wrong line or key.
func TestParse(t *testing.T) {
	if _, err := Parse([]byte(experiment)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`ramp = "1s"`, `rampp = "1s"`, "line 8: arrivals.rampp: unknown key"},
		{`ramp = "1s"`, `ramp = "1x"`, "line 8: arrivals.ramp: "},
		{`streams = 8`, `streams = 0`, "line 7: arrivals.streams: "},
		{`compare = "direct"`, `compare = "no"`, "line 3: compare: "},
		{`min = 5`, `min = 60`, "line 11: requests.prompt_tokens.min: "},
		{`distribution = "fixed"`, `distribution = "normal"`, "line 13: requests.answer_tokens.distribution: "},
		{`weight = 1.0`, `weight = 0.0`, "line 22: customers[0].weight: "},
		{`"10.0.0.2:1"`, `"host:1"`, "line 24: nodes.callers: "},
		{`at = "4s"`, `at = "1h"`, "line 29: faults[0].at: "},
		{`url = `, `signal = "kill"` + "\nurl = ", "line 28: faults[0]: "},
	} {
		_, err := Parse([]byte(strings.Replace(experiment, c.from, c.to, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %s", c.to, err, c.want)
		}
	}
}

// Guards against shipped experiment files that are invalid.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no experiment files: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// Guards against a schedule that ignores the rate factors of the phases.
func TestSchedule(t *testing.T) {
	for _, process := range []string{"constant", "poisson"} {
		s := newSchedule(Arrivals{Process: process, Rate: 100, Phases: []Phase{
			{At: Duration(10 * time.Second), Factor: 0}, {At: Duration(20 * time.Second), Factor: 3}}}, 7)
		var counts [3]int
		for {
			at, ok := s.next()
			if !ok || at >= 30*time.Second {
				break
			}
			counts[at/(10*time.Second)]++
		}
		for i, want := range []float64{1000, 0, 3000} {
			if math.Abs(float64(counts[i])-want) > want/10+1 {
				t.Errorf("%s: %d requests in phase %d, want about %.0f", process, counts[i], i, want)
			}
		}
	}
}

// Guards against a run that loses requests, confuses the requests to the nodes with
// those sent directly to the engines, does not inject its faults or does not detect
// an interruption.
func TestRun(t *testing.T) {
	file, err := Parse([]byte(experiment))
	if err != nil {
		t.Fatal(err)
	}
	var report Report
	synctest.Test(t, func(t *testing.T) {
		cfg := engine.DefaultConfig()
		cfg.Models = []backendapi.LoadedModel{{Model: "m", Version: "1"}}
		cfg.TokenInterval = 50 * time.Millisecond
		e, err := engine.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		go e.Run(t.Context())
		network := pipenet.New()
		defer network.Serve("10.0.0.1:1", e.Handler())()
		defer network.Serve("10.0.0.2:1", e.Handler())()
		client := network.Client()
		defer client.CloseIdleConnections()
		if report, err = Run(t.Context(), file, Options{Name: "test", Client: client}); err != nil {
			t.Fatal(err)
		}
	})
	nodes, direct := report.Nodes, *report.Direct
	if nodes.Sent < 15 || direct.Sent < 15 || nodes.Sent-direct.Sent > 1 || direct.Sent-nodes.Sent > 1 {
		t.Errorf("%d requests to nodes, %d to the engine", nodes.Sent, direct.Sent)
	}
	for _, s := range []TargetReport{nodes, direct} {
		if s.Verified+s.Incomplete+s.Refused+s.CutOff != s.Sent || s.Missing+s.Mixed != 0 {
			t.Errorf("inconsistent counts: %+v", s)
		}
		if s.Gap.P50 < 49 || s.Gap.P50 > 52 {
			t.Errorf("gap %+v", s.Gap)
		}
	}
	// In this test, the addresses of the nodes belong to an engine, which cannot
	// continue an answer. When the injected silence makes the caller reconnect, the
	// engine starts the answer from the beginning. The answer then has repeated
	// tokens and is counted as incomplete, so there is one incomplete answer per
	// reconnect. A direct request does not reconnect: its answer ends at the
	// silence.
	if nodes.Repeated == 0 || nodes.Incomplete != nodes.Reconnects || nodes.Resume.P50 < 1000 ||
		direct.Incomplete == 0 || direct.Repeated != 0 || len(report.Problems) == 0 {
		t.Errorf("injected fault not visible in the results: %+v", report.Problems)
	}
	if len(report.Faults) != 1 || report.Faults[0].Error != "" || report.Faults[0].At != 4 {
		t.Errorf("faults %+v", report.Faults)
	}
	checkFiles(t, report)
}

// checkFiles checks that a report is written completely and that Compare can read
// it.
func checkFiles(t *testing.T, report Report) {
	dir := t.TempDir()
	if err := report.Write(dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{FileJSON, fileMarkdown, plotFirstToken, plotGap, plotResume, plotExtra} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	// Compare must skip the time series, whose JSON keys contain "series".
	var out bytes.Buffer
	if err := Compare(&out, filepath.Join(dir, FileJSON), filepath.Join(dir, FileJSON)); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "nodes.gap.p50_ms") || strings.Contains(out.String(), "series") {
		t.Errorf("comparison:\n%s", &out)
	}
}

// Guards against totals that are wrong because a node restarted, which resets its
// counters, or because its counters were not 0 when it was first read.
func TestCounterTrackerSumsIncreases(t *testing.T) {
	tracker := newCounterTracker(nil, nil, "")
	// 100 is the first value read, and the node restarts between 130 and 7: the
	// increases are 30, 7 and 2.
	for _, value := range []float64{100, 130, 7, 9} {
		tracker.add("n", scrape.Page{{Name: scrape.CopyBytes, Value: value}, {Name: scrape.CopyTokens, Value: value / 2}})
	}
	if e := tracker.finish(); e.CopyBytes != 39 || e.CopyBytesPerToken != 2 {
		t.Errorf("extra %+v", e)
	}
}

// Guards against CPU times read from the wrong field when the process name
// contains spaces and parentheses.
func TestCPUSeconds(t *testing.T) {
	got, ok := cpuSeconds([]byte("17 (a b) c) S 1 17 17 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 8 0 100 1 1\n"))
	if !ok || got != 2 {
		t.Errorf("got %g, %t", got, ok)
	}
}
