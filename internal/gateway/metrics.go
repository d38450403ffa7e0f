package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Metrics are the counters of a Gateway.
type Metrics struct {
	scope   tally.Scope
	probes  tally.Counter
	resumes map[string]tally.Counter
	resume  tally.Histogram
	first   tally.Histogram
}

// Ways in which a stream goes on after a loss.
const (
	wayCopy  = "copy"
	wayAgain = "prompt"
)

// NewMetrics registers the metrics of a Gateway.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope:  scope,
		probes: telemetry.Probes.Counter(scope),
		resumes: map[string]tally.Counter{
			wayCopy:  telemetry.ResumesTotal.Counter(scope, wayCopy),
			wayAgain: telemetry.ResumesTotal.Counter(scope, wayAgain),
		},
		resume: telemetry.ResumeSeconds.Histogram(scope),
		first:  telemetry.FirstTokenSeconds.Histogram(scope),
	}
}

func (m *Metrics) finished(kind routing.Kind, outcome string, d time.Duration) {
	telemetry.RoutedRequests.Counter(m.scope, kind.String(), outcome).Inc(1)
	telemetry.RoutedSeconds.Histogram(m.scope, kind.String()).RecordDuration(d)
}
