package continuation

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// attempt is one stream whose tokens may be appended to the journal.
type attempt struct {
	id      ident.AttemptID
	backend ident.BackendID
	// disconnected is set while the attempt has no connection.
	disconnected bool
	// reconnects is the number of new connections since its last token.
	reconnects int
	// stalledProbes is the number of probes without progress since its last
	// token. Setting it to maxStalledProbes makes the attempt unhealthy.
	stalledProbes int
	// earlyProbeAt is when the attempt is probed before it is suspected. Zero
	// means that no early probe is due.
	earlyProbeAt time.Time
	// suspectAt is when the attempt becomes suspected of being lost.
	suspectAt time.Time
	// earlyProbePending is set while a probe awaits its answer and the attempt is
	// not suspected.
	earlyProbePending bool
	// suspectProbePending is set while a probe awaits its answer and the attempt is
	// suspected.
	suspectProbePending bool
	// probedAt is when the most recent probe was sent.
	probedAt time.Time
	// delivered is set once the journal has accepted a token from the attempt.
	delivered bool
}

// setDeadlines sets the times at which the attempt is probed and suspected if no
// token arrives within limit.
func (a *attempt) setDeadlines(now time.Time, limit time.Duration) {
	a.earlyProbeAt = now.Add(time.Duration(earlyProbeFraction * float64(limit)))
	a.suspectAt = now.Add(limit)
}
