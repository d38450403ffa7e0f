package continuation

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// attempt is one stream that may feed the journal.
type attempt struct {
	id      ident.AttemptID
	backend ident.BackendID
	// broken tells that it has no connection.
	broken bool
	// reconnects counts new connections since its last token.
	reconnects int
	// stalls counts probes without progress since its last token.
	stalls int
	// probeAt is when it is probed although it is not suspected yet; zero: not.
	probeAt time.Time
	// silentAt is when it becomes suspected.
	silentAt time.Time
	// checking tells that a probe is out and that it is not suspected.
	checking bool
	// probing tells that a probe is out and that it is suspected.
	probing bool
	// probedAt is when the newest probe was sent.
	probedAt time.Time
	// delivered tells that the journal accepted a token from it.
	delivered bool
}

// expect sets the times at which the attempt is probed and suspected.
func (a *attempt) expect(now time.Time, limit time.Duration) {
	a.probeAt = now.Add(time.Duration(earlyProbe * float64(limit)))
	a.silentAt = now.Add(limit)
}
