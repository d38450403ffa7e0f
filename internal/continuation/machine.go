// Package continuation decides how one generation proceeds: which tokens are
// accepted, when an attempt is considered lost, what replaces it, and when
// tokens may be released to the caller.
//
// A Machine does no I/O and reads no clock. It is used only by the goroutine of
// its generation, which executes the actions that Step returns and feeds their
// results back as events. The same events at the same times produce the same
// actions.
package continuation

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Config holds the policy of a Machine.
type Config struct {
	// Weight balances resume latency against extra resource use, from 0 (least
	// extra resource use) to 1 (lowest latency).
	Weight float64 `json:"weight"`
	// MaxAttempts is the maximum number of streams opened for one generation.
	MaxAttempts int `json:"max_attempts"`
	// ReleaseAfterAck holds tokens back until a replica has acknowledged them.
	ReleaseAfterAck bool `json:"release_after_ack"`
	// Linger is how long a generation continues after its caller has
	// disconnected, so that the caller can reconnect to the same stream.
	Linger time.Duration `json:"linger_ns"`
}

// DefaultConfig is the policy for callers that wait at most a few seconds.
var DefaultConfig = Config{
	Weight:          0.85,
	MaxAttempts:     5,
	ReleaseAfterAck: true,
	Linger:          5 * time.Second,
}

const (
	// maxProbeWait is how long a probe of a suspected attempt may take at weight
	// 0 before a replacement is placed.
	maxProbeWait = time.Second
	// noAttemptTimeout is how long after a loss a generation without attempts
	// fails. Output must continue within 4 s of a loss; after that the caller
	// gets an error and has to retry later.
	noAttemptTimeout = 4 * time.Second
	// maxReconnects is the maximum number of new connections to one stream
	// without a new token in between.
	maxReconnects = 1
	// reconnectTimeout is how long a reconnected stream may take to deliver a
	// token before a replacement is placed. It is short because the engine
	// already has the tokens.
	reconnectTimeout = 250 * time.Millisecond
	// adoptTimeout is the same timeout for a stream that another node opened. It
	// is longer because the engine may not have produced further tokens yet.
	adoptTimeout = time.Second
	// maxStalledProbes is the number of consecutive probes that find a running
	// stream without progress after which a replacement is started in parallel.
	// Probes of a silent stream are half a silence limit apart.
	maxStalledProbes = 6
	// minQueueWait is how long after the loss a resume may wait in an engine's
	// queue at weight 1 before another server is tried in parallel. Load reports
	// lag, so the nodes that resume the answers of a lost rack overload the same
	// servers.
	minQueueWait = 500 * time.Millisecond
	// earlyProbeFraction is the fraction of the silence limit after which the
	// stream's engine is probed. The response arrives before the limit expires
	// unless the engine is lost.
	earlyProbeFraction = 0.5
)

// Machine is the state machine of one generation.
type Machine struct {
	config  Config
	journal *Journal
	// candidates are the attempts that may deliver the next token. More than
	// one exists only while a replacement runs in parallel with a suspected
	// attempt.
	candidates     []*attempt
	attemptsOpened int
	// attemptsRejected is the number of opened attempts that their backend
	// server refused to run.
	attemptsRejected int
	resuming         bool
	excluded         []ident.BackendID

	placementPending bool
	placementDueAt   time.Time // zero if no placement is due
	lostAt           time.Time // zero if no loss is being recovered from
	lastToken        time.Time
	callerGoneAt     time.Time // zero while the caller is connected

	replicaReachable bool
	acked            int
	released         int
	finishReason     string
	done             bool
}

// NewMachine returns a machine that continues the journal. released is the number
// of tokens of the journal that the caller already has. A replica is assumed to
// hold the whole journal.
func NewMachine(config Config, journal *Journal, released int) *Machine {
	return &Machine{
		config:           config,
		journal:          journal,
		replicaReachable: true,
		acked:            journal.Len(),
		released:         released,
		resuming:         journal.Len() > 0,
	}
}

// MarkComplete marks the journal as a complete answer with the given finish
// reason, so that only the tokens that the caller does not have yet remain to be
// released. It must be called before the Started event.
func (m *Machine) MarkComplete(reason string) { m.finishReason = reason }

// Adopt makes a stream that another node opened the first attempt. It must be
// called before the Started event.
func (m *Machine) Adopt(id ident.AttemptID, backend ident.BackendID) {
	m.resuming = true
	m.candidates = append(m.candidates, &attempt{id: id, backend: backend, disconnected: true})
}

// MayHaveRun reports whether a backend server may have run an attempt that this
// machine opened, that is, whether not all of them were rejected.
func (m *Machine) MayHaveRun() bool { return m.attemptsOpened > m.attemptsRejected }

// Journal returns the accepted tokens.
func (m *Machine) Journal() *Journal { return m.journal }

// CurrentAttempt returns the attempt that delivered the last token or is expected
// to deliver the first one, and its backend server. Both are empty if there is no
// attempt.
func (m *Machine) CurrentAttempt() (ident.AttemptID, ident.BackendID) {
	if len(m.candidates) == 0 {
		return "", ""
	}
	return m.candidates[0].id, m.candidates[0].backend
}

// Done reports whether the generation has ended.
func (m *Machine) Done() bool { return m.done }

// Step processes one event and returns the actions to execute.
func (m *Machine) Step(now time.Time, event Event) []Action {
	if m.done {
		return m.stepAfterEnd(event)
	}
	switch e := event.(type) {
	case Started:
		return m.handleStarted(now)
	case Placed:
		return m.handlePlaced(now, e)
	case PlacementFailed:
		return m.handlePlacementFailed(now, e)
	case Token:
		return m.handleToken(now, e)
	case Broken:
		return m.handleBroken(now, e)
	case Ended:
		return m.handleEnded(now, e)
	case Probed:
		return m.handleProbed(now, e)
	case Acknowledged:
		m.acked = max(m.acked, min(e.Tokens, m.journal.Len()))
		return m.release()
	case Protection:
		m.replicaReachable = e.Available
		return m.release()
	case Tick:
		return m.handleTick(now)
	case CallerGone:
		m.callerGoneAt = now
		return nil
	case TakenOver:
		return m.handleTakenOver()
	}
	return nil
}

// stepAfterEnd releases placements and discards tokens that arrive after the
// generation has ended.
func (m *Machine) stepAfterEnd(event Event) []Action {
	switch e := event.(type) {
	case Placed:
		return []Action{Drop{Attempt: e.Attempt, Backend: e.Backend}}
	case Token:
		return []Action{Discarded{Attempt: e.Attempt, Index: e.Index}}
	}
	return nil
}

func (m *Machine) handleStarted(now time.Time) []Action {
	m.lastToken = now
	actions := m.release()
	if m.done {
		return actions
	}
	if len(m.candidates) == 0 {
		return append(actions, m.place()...)
	}
	adopted := m.candidates[0]
	adopted.disconnected = false
	adopted.reconnects++
	adopted.suspectAt = now.Add(adoptTimeout)
	return append(actions, Reconnect{Attempt: adopted.id, Backend: adopted.backend, From: m.journal.Len()})
}

func (m *Machine) place() []Action {
	m.placementDueAt = time.Time{}
	if m.placementPending || m.healthy() || m.attemptsOpened >= m.config.MaxAttempts && len(m.candidates) > 0 {
		return nil
	}
	m.placementPending = true
	return []Action{Place{Resume: m.resuming, Exclude: m.excludedForPlacement()}}
}

// excludedForPlacement returns the backend servers that a new attempt must not
// use: those on which the generation failed and those of suspected attempts.
func (m *Machine) excludedForPlacement() []ident.BackendID {
	excluded := slices.Clone(m.excluded)
	for _, a := range m.candidates {
		if !slices.Contains(excluded, a.backend) {
			excluded = append(excluded, a.backend)
		}
	}
	return excluded
}

func (m *Machine) handlePlaced(now time.Time, e Placed) []Action {
	m.placementPending = false
	if m.finishReason != "" || m.healthy() {
		return []Action{Drop{Attempt: e.Attempt, Backend: e.Backend}}
	}
	if m.attemptsOpened >= m.config.MaxAttempts {
		actions := []Action{Drop{Attempt: e.Attempt, Backend: e.Backend}}
		return append(actions, m.fail("the limit of attempts was reached")...)
	}
	m.attemptsOpened++
	m.resuming = true
	opened := &attempt{id: e.Attempt, backend: e.Backend}
	opened.setDeadlines(now, e.FirstTokenLimit)
	m.candidates = append(m.candidates, opened)
	return []Action{Open{Attempt: e.Attempt, Backend: e.Backend, Tokens: m.journal.Len()}}
}

// healthy reports whether any attempt is connected and not suspected.
func (m *Machine) healthy() bool {
	return slices.ContainsFunc(m.candidates, func(a *attempt) bool {
		return !a.disconnected && !a.suspectProbePending && a.stalledProbes < maxStalledProbes
	})
}

func (m *Machine) handlePlacementFailed(now time.Time, e PlacementFailed) []Action {
	m.placementPending = false
	if len(m.candidates) == 0 && (e.RetryAfter <= 0 || !m.resuming) {
		return m.fail(e.Reason)
	}
	if m.lostAt.IsZero() {
		m.lostAt = now
	}
	if e.RetryAfter > 0 {
		m.placementDueAt = now.Add(e.RetryAfter)
	}
	return nil
}

func (m *Machine) handleToken(now time.Time, e Token) []Action {
	source := m.candidate(e.Attempt)
	if source == nil || m.finishReason != "" || e.Index != m.journal.Len() {
		return []Action{Discarded{Attempt: e.Attempt, Index: e.Index}}
	}
	actions := m.cancelOthers(source)
	actions = append(actions, m.reportResumed(now, source)...)
	m.journal.Append(e.Text)
	m.lastToken = now
	m.finishReason = e.Finish
	source.disconnected = false
	source.suspectProbePending = false
	source.earlyProbePending = false
	source.reconnects = 0
	source.stalledProbes = 0
	source.delivered = true
	source.setDeadlines(now, e.SilenceLimit)
	m.placementDueAt = time.Time{}
	actions = append(actions, Replicate{Index: e.Index, Finish: e.Finish})
	return append(actions, m.release()...)
}

// cancelOthers cancels all candidates except keep.
func (m *Machine) cancelOthers(keep *attempt) []Action {
	var actions []Action
	for _, a := range m.candidates {
		if a != keep {
			actions = append(actions, Cancel{Attempt: a.id, Backend: a.backend})
		}
	}
	m.candidates = append(m.candidates[:0], keep)
	return actions
}

// Deadline returns when the next Tick is due, or the zero time if none is due.
func (m *Machine) Deadline() time.Time {
	var deadline time.Time
	earliest := func(t time.Time) {
		if !t.IsZero() && (deadline.IsZero() || t.Before(deadline)) {
			deadline = t
		}
	}
	if m.done {
		return deadline
	}
	if !m.callerGoneAt.IsZero() {
		earliest(m.callerGoneAt.Add(m.config.Linger))
	}
	if m.finishReason != "" {
		return deadline
	}
	earliest(m.placementDueAt)
	for _, a := range m.candidates {
		if !a.disconnected && !a.suspectProbePending {
			earliest(a.suspectAt)
			if !a.earlyProbePending {
				earliest(a.earlyProbeAt)
			}
		}
	}
	if len(m.candidates) == 0 && !m.lostAt.IsZero() {
		earliest(m.lostAt.Add(noAttemptTimeout))
	}
	return deadline
}

// release releases the tokens that may be sent to the caller and finishes a
// complete answer.
func (m *Machine) release() []Action {
	var actions []Action
	limit := m.journal.Len()
	if m.config.ReleaseAfterAck && m.replicaReachable {
		limit = m.acked
	}
	if limit > m.released {
		actions = append(actions, Release{From: m.released, To: limit})
		m.released = limit
	}
	if m.finishReason != "" && m.released == m.journal.Len() {
		m.done = true
		actions = append(actions, Finish{Reason: m.finishReason})
	}
	return actions
}

func (m *Machine) fail(reason string) []Action {
	m.done = true
	return append(m.cancelAll(), Fail{Reason: reason})
}

func (m *Machine) endWithoutCaller() []Action {
	m.done = true
	return append(m.cancelAll(), End{})
}

func (m *Machine) cancelAll() []Action {
	var actions []Action
	for _, a := range m.candidates {
		actions = append(actions, Cancel{Attempt: a.id, Backend: a.backend})
	}
	m.candidates = nil
	return actions
}

// handleTakenOver closes the connections without cancelling the streams, because
// the node that continues the answer uses the current one.
func (m *Machine) handleTakenOver() []Action {
	m.done = true
	var actions []Action
	for _, a := range m.candidates {
		actions = append(actions, Detach{Attempt: a.id})
	}
	m.candidates = nil
	return append(actions, End{})
}

func (m *Machine) candidate(id ident.AttemptID) *attempt {
	for _, a := range m.candidates {
		if a.id == id {
			return a
		}
	}
	return nil
}
