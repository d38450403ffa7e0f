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
	denied         tally.Counter
	skipped        tally.Counter
	// assignmentsDeclined counts servers that were assigned and to which the call is not sent.
	assignmentsDeclined tally.Counter
	pathsLost           tally.Counter
	sends               map[sendPurpose]tally.Counter
	resumes             map[string]tally.Counter
	resumeTime          tally.Histogram
	firstEventTime      tally.Histogram
}

// Ways in which a stream resumes after a loss: from the copy of its run, or by
// reading the prompt again.
const (
	resumeFromCopy   = "copy"
	resumeFromPrompt = "prompt"
)

// sendPurpose is the reason for which a request is sent to a backend server.
type sendPurpose string

const (
	sendFirst  sendPurpose = "first"  // the first attempt of a client's request
	sendRepeat sendPurpose = "repeat" // a further attempt of a client's request
	sendOwn    sendPurpose = "own"    // a call of the node's own, such as a probe
)

// NewMetrics registers the metrics of a Gateway.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope:               scope,
		probes:              telemetry.Probes.Counter(scope),
		invalidHeaders:      telemetry.InvalidHeaders.Counter(scope),
		denied:              telemetry.BackendDenied.Counter(scope),
		skipped:             telemetry.BackendSkipped.Counter(scope),
		assignmentsDeclined: telemetry.AssignmentsDeclined.Counter(scope),
		pathsLost:           telemetry.PathsLost.Counter(scope),
		sends: map[sendPurpose]tally.Counter{
			sendFirst:  telemetry.BackendSends.Counter(scope, string(sendFirst)),
			sendRepeat: telemetry.BackendSends.Counter(scope, string(sendRepeat)),
			sendOwn:    telemetry.BackendSends.Counter(scope, string(sendOwn)),
		},
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

// relayed counts a request that went through a second host.
func (m *Metrics) relayed(side, outcome string) {
	telemetry.Relayed.Counter(m.scope, side, outcome).Inc(1)
}
