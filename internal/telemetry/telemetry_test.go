package telemetry

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/oops"
	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against changes to the field names, times that are not in UTC, and events
// that span several lines, all of which break tools that read the log.
func TestLogLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := NewEventLog(NewLogger(&out, "info", "n1", "a"))
		err := oops.Code(CodeMetrics).Errorf("line 1\nline 2")
		log.LogError(logrus.WarnLevel, EventPeerState, err, logrus.Fields{FieldPeer: "n2"}, "peer is suspected")
		log.Log(logrus.DebugLevel, EventPeerState, nil, "not written")
		var got map[string]any
		if err := json.Unmarshal(out.Bytes(), &got); err != nil {
			t.Fatalf("%v in %q", err, out.String())
		}
		want := map[string]any{
			"time": "2000-01-01T00:00:00Z", "level": "warning", "event": "peer_state", "message": "peer is suspected",
			"host": "n1", "data_centre": "a", "peer_id": "n2", "error": "line 1\nline 2", "error_code": "telemetry_metrics",
		}
		if len(got) != len(want) {
			t.Fatalf("line %s has unexpected fields", out.String())
		}
		for field, value := range want {
			if got[field] != value {
				t.Errorf("field %s is %v, want %v", field, got[field], value)
			}
		}
	})
}

// Guards against a repeated event that floods the log, disappears without a count,
// or suppresses other events.
func TestRepeatedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := NewEventLog(NewLogger(&out, "info", "n1", "a"))
		for range 100 {
			log.Log(logrus.InfoLevel, EventPeerState, nil, "flood")
		}
		log.Log(logrus.InfoLevel, EventTakeover, nil, "other")
		if n := strings.Count(out.String(), "\n"); n != defaultLineLimit+1 || !strings.Contains(out.String(), "other") {
			t.Fatalf("%d lines were written:\n%s", n, out.String())
		}
		time.Sleep(eventWindow)
		log.Log(logrus.InfoLevel, EventPeerState, nil, "later")
		if !strings.Contains(out.String(), `"suppressed":90`) {
			t.Fatalf("suppressed lines are not reported:\n%s", out.String())
		}
		for range 15 {
			log.Log(logrus.InfoLevel, EventPeerState, nil, "flood")
		}
		log.Flush()
		log.Flush()
		if strings.Count(out.String(), `"suppressed":6`) != 1 {
			t.Fatalf("Flush did not report 6 suppressed lines once:\n%s", out.String())
		}
	})
}

// Guards against metrics that are shared by two nodes in one process, and against
// names or labels that differ between the served page and the documentation.
func TestMetricsPage(t *testing.T) {
	var pages []string
	for range 2 {
		scope, page, closer, err := NewMetrics()
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range Metrics() {
			labels := make([]string, len(m.Labels))
			for i := range labels {
				labels[i] = "pt-centro.a"
			}
			switch m.Kind {
			case Counter:
				m.Counter(scope, labels...).Inc(1)
			case Gauge:
				m.Gauge(scope, labels...).Update(1)
			case Histogram:
				m.Histogram(scope, labels...).RecordDuration(3 * time.Millisecond)
			}
		}
		_ = closer.Close() // reports the last values
		recorder := httptest.NewRecorder()
		page.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		pages = append(pages, recorder.Body.String())
	}
	for _, m := range Metrics() {
		want := "\nyuccahatch_" + m.Name
		switch {
		case m.Kind == Histogram && len(m.Labels) > 0:
			want += "_count{"
		case m.Kind == Histogram:
			want += "_count 1\n"
		case len(m.Labels) == 0:
			want += " 1\n"
		default:
			want += "{"
		}
		for _, page := range pages {
			if !strings.Contains(page, want) {
				t.Errorf("page lacks %q", want)
			}
		}
	}
	if want := `yuccahatch_ring_dropped_total{ring="pt-centro.a"} 1`; !strings.Contains(pages[1], want) {
		t.Errorf("page lacks %q", want)
	}
}

// Guards against a docs/metrics.md that does not list the current metrics.
func TestDocumentation(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "metrics", []byte(Markdown()))
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that wait for a stalled reader of the log.
func TestLogWriteDoesNotBlock(t *testing.T) {
	release := make(chan struct{})
	w := NewAsyncWriter(blockedWriter{release}, 4)
	for range 100 {
		if n, err := w.Write([]byte("line")); n != 4 || err != nil {
			t.Fatalf("write: %d, %v", n, err)
		}
	}
	if w.Dropped() < 90 {
		t.Errorf("%d lines dropped, want at least 90", w.Dropped())
	}
	close(release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}
