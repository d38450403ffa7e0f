package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Metrics holds the metrics of a Gateway.
type Metrics struct {
	scope          tally.Scope
	probes         tally.Counter
	invalidHeaders tally.Counter
	resumes        map[string]tally.Counter
	resumeTime     tally.Histogram
	firstEventTime tally.Histogram
}

// Ways in which a stream resumes after a loss: from the copy of its run, or by
// reading the prompt again.
const (
	resumeFromCopy   = "copy"
	resumeFromPrompt = "prompt"
)

// NewMetrics registers the metrics of a Gateway.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope:          scope,
		probes:         telemetry.Probes.Counter(scope),
		invalidHeaders: telemetry.InvalidHeaders.Counter(scope),
		resumes: map[string]tally.Counter{
			resumeFromCopy:   telemetry.ResumesTotal.Counter(scope, resumeFromCopy),
			resumeFromPrompt: telemetry.ResumesTotal.Counter(scope, resumeFromPrompt),
		},
		resumeTime:     telemetry.ResumeSeconds.Histogram(scope),
		firstEventTime: telemetry.FirstTokenSeconds.Histogram(scope),
	}
}

func (m *Metrics) finished(kind routing.Kind, outcome string, d time.Duration) {
	telemetry.RoutedRequests.Counter(m.scope, kind.String(), outcome).Inc(1)
	telemetry.RoutedSeconds.Histogram(m.scope, kind.String()).RecordDuration(d)
}
