package demo

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/engine"
	"github.com/yuccahatch/yuccahatch/lab/pipenet"
	"github.com/yuccahatch/yuccahatch/lab/scrape"
	"github.com/yuccahatch/yuccahatch/lab/service"
)

// fakeNode simulates nodes: it forwards completions to an engine and bookings to a
// service. If deduplicate is set, it runs each idempotency key once and replays the
// stored response.
type fakeNode struct {
	engine, service http.Handler
	deduplicate     bool

	mu        sync.Mutex
	responses map[string]*httptest.ResponseRecorder // guarded by mu
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route, ok := strings.CutPrefix(r.URL.Path, callerapi.RouteServices+"booking")
	switch {
	case r.URL.Path == scrape.Route && r.Header.Get("Authorization") != "Bearer operator":
		w.WriteHeader(http.StatusUnauthorized)
	case r.URL.Path == scrape.Route:
		w.Write([]byte(scrape.TokensRecomputed + `{part="prompt"} 12` + "\n")) //nolint:errcheck // memory
	case !ok:
		n.engine.ServeHTTP(w, r)
	default:
		r.URL.Path = route
		n.call(w, r)
	}
}

func (n *fakeNode) call(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := r.Header.Get(callerapi.HeaderIdempotencyKey)
	stored := n.responses[key]
	if stored == nil || !n.deduplicate {
		stored = httptest.NewRecorder()
		n.service.ServeHTTP(stored, r)
		n.responses[key] = stored
	} else {
		w.Header().Set(callerapi.HeaderReplayed, "true")
	}
	w.WriteHeader(stored.Code)
	w.Write(stored.Body.Bytes()) //nolint:errcheck // fails only if the client has disconnected
}

// Guards against a demo that reports success although bookings ran twice, and
// against one that reports a failure although none did.
func TestRun(t *testing.T) {
	for _, deduplicate := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			report := runOnce(t, deduplicate)
			var out bytes.Buffer
			if err := report.Print(&out); err != nil {
				t.Fatal(err)
			}
			if report.OK() != deduplicate || (report.Bookings.RanOnce == 30) != deduplicate || report.Verified != 30 {
				t.Errorf("deduplicate %t: report OK %t\n%s", deduplicate, report.OK(), &out)
			}
			if report.RecomputedPromptTokens != 24 || report.MetricsPagesRead != 2 || len(report.MetricsErrors) != 1 {
				t.Errorf("metrics: %g tokens of %d pages, %v", report.RecomputedPromptTokens, report.MetricsPagesRead, report.MetricsErrors)
			}
		})
	}
}

func runOnce(t *testing.T, deduplicate bool) Report {
	ecfg := engine.DefaultConfig()
	ecfg.Models = []backendapi.LoadedModel{{Model: "m", Version: "1"}}
	e, err := engine.New(ecfg)
	if err != nil {
		t.Fatal(err)
	}
	go e.Run(t.Context())
	s, err := service.New(service.Config{Faults: service.Faults{LatencyMillis: 20}})
	if err != nil {
		t.Fatal(err)
	}
	nodes := &fakeNode{engine: e.Handler(), service: s.Handler(), deduplicate: deduplicate, responses: map[string]*httptest.ResponseRecorder{}}
	network := pipenet.New()
	defer network.Serve("node:1", nodes)()
	defer network.Serve("node:2", nodes)()
	defer network.Serve("service:1", s.Handler())()
	cfg := DefaultConfig()
	cfg.Nodes, cfg.Model, cfg.ServiceURL, cfg.Client = []string{"node:1", "node:2"}, "m", "http://service:1", network.Client()
	cfg.OperatorKey = "operator"
	cfg.MetricsAddresses = []string{"node:1", "node:2", "node:3"}
	defer cfg.Client.CloseIdleConnections()
	report, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Guards against a report that names another request than the one that waited longest.
func TestSlowestResume(t *testing.T) {
	ms := time.Millisecond
	answers := []caller.Result{
		{RequestID: "a", Gaps: []time.Duration{120 * ms}},
		{RequestID: "b", Gaps: []time.Duration{300 * ms, 110 * ms}},
		{RequestID: "c", Breaks: []caller.Break{{Silence: 200 * ms}}},
		{RequestID: "d", Gaps: []time.Duration{90 * ms}},
	}
	cfg := Config{InterruptionThreshold: 100 * ms}
	if got := buildReport(cfg, answers, nil, service.Runs{}).SlowestResume; got != "b" {
		t.Errorf("slowest resume %q, want b", got)
	}
	if got := buildReport(cfg, answers[3:], nil, service.Runs{}).SlowestResume; got != "" {
		t.Errorf("slowest resume %q without an interruption", got)
	}
}

// Guards against interruptions that are counted twice or not at all.
func TestInterruptions(t *testing.T) {
	got := interruptions(caller.Result{
		Breaks: []caller.Break{{Silence: 90 * time.Millisecond}, {Silence: 90 * time.Millisecond}, {}},
		Gaps:   []time.Duration{90 * time.Millisecond, 200 * time.Millisecond, 50 * time.Millisecond},
	}, 100*time.Millisecond)
	if want := []time.Duration{90 * time.Millisecond, 200 * time.Millisecond}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
