package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Code classifies an error of this package.
type Code string

// CodeMetrics: the metrics could not be set up.
const CodeMetrics Code = "telemetry_metrics"

// metricsInterval is the interval at which values are reported to the Prometheus
// registry.
const metricsInterval = time.Second

// metricsPrefix is the prefix of the names of the metrics that a Metric describes.
const metricsPrefix = "yuccahatch"

// Kind is the Prometheus type of a metric.
type Kind string

// Types of metrics that this package supports.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric describes one metric. Values are reported only through its methods, and the
// documentation is generated from the same descriptions, so that it lists every
// metric with its labels.
type Metric struct {
	Name   string
	Kind   Kind
	Unit   string
	Labels []string
	Doc    string
}

// NewMetrics returns a scope, the HTTP handler that serves its values in the
// Prometheus text format, and a closer that stops reporting. Each call creates its
// own registry, so that several nodes can run in one process in tests.
func NewMetrics() (tally.Scope, http.Handler, io.Closer, error) {
	registry := prom.NewRegistry()
	for _, c := range []prom.Collector{collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})} {
		if err := registry.Register(c); err != nil {
			return nil, nil, nil, oops.Code(CodeMetrics).In("telemetry").Wrapf(err, "register collector")
		}
	}
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		DefaultTimerType: prometheus.HistogramTimerType,
	})
	sanitize := prometheus.DefaultSanitizerOpts
	// Label values keep letters, digits and these characters; all others are
	// replaced. Names of hosts and data centres contain '-' and '.'.
	sanitize.ValueCharacters.Characters = []rune{'_', '-', '.', '/', ':'}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer, nil
}

// Counter returns the counter with the given label values. Code that runs for each
// token must keep the result, because the lookup takes locks.
func (m *Metric) Counter(scope tally.Scope, labels ...string) tally.Counter {
	return m.scope(scope, Counter, labels).Counter(m.Name)
}

// Gauge returns the gauge with the given label values.
func (m *Metric) Gauge(scope tally.Scope, labels ...string) tally.Gauge {
	return m.scope(scope, Gauge, labels).Gauge(m.Name)
}

// Histogram returns the histogram with the given label values. It records durations,
// which are served in seconds.
func (m *Metric) Histogram(scope tally.Scope, labels ...string) tally.Histogram {
	return m.scope(scope, Histogram, labels).Histogram(m.Name, durationBuckets)
}

// durationBuckets are 17 upper bounds from 250 µs to 16.384 s, each twice the one
// before. The range includes the targets that the histograms are compared with: 1 ms
// for the overhead of a node and 4 s for the latency of a resume.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 17)

func (m *Metric) scope(scope tally.Scope, kind Kind, values []string) tally.Scope {
	if m.Kind != kind || len(values) != len(m.Labels) {
		panic(fmt.Sprintf("telemetry: metric %s is a %s with labels %v", m.Name, m.Kind, m.Labels))
	}
	if len(values) == 0 {
		return scope
	}
	tags := make(map[string]string, len(values))
	for i, value := range values {
		tags[m.Labels[i]] = value
	}
	return scope.Tagged(tags)
}

// Markdown returns the content of docs/metrics.md, which lists the metrics that
// Metrics returns.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" +
		"Every node serves these metrics in the Prometheus text format on its operator address.\n" +
		"This page is generated: `go test ./internal/telemetry -update`.\n\n" +
		"| name | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, m := range Metrics() {
		labels := "-"
		if len(m.Labels) > 0 {
			labels = "`" + strings.Join(m.Labels, "`, `") + "`"
		}
		fmt.Fprintf(&b, "| `%s_%s` | %s | %s | %s | %s |\n", metricsPrefix, m.Name, m.Kind, m.Unit, labels, m.Doc)
	}
	return b.String()
}
