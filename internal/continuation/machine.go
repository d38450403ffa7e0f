// Package continuation decides how one generation goes on: which tokens are
// accepted, when an attempt is lost, what replaces it, and when tokens may be
// released to the caller.
//
// A Machine does no I/O and reads no clock. It belongs to the goroutine of its
// generation, which executes the actions that Step returns and feeds their
// results back as events. The same events at the same times give the same
// actions.
package continuation

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Config holds the policy of a Machine.
type Config struct {
	// Weight trades resume latency (1) against extra resources (0).
	Weight float64 `json:"weight"`
	// MaxAttempts bounds the streams opened for one generation.
	MaxAttempts int `json:"max_attempts"`
	// ReleaseAfterAck holds tokens back until a replica acknowledged them.
	ReleaseAfterAck bool `json:"release_after_ack"`
	// Linger is how long a generation goes on after its caller is gone, so that
	// the caller can come back to the same stream.
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
	// maxProbeWait is how long a probe may take at weight 0 before a replacement
	// is placed.
	maxProbeWait = time.Second
	// giveUpAfter bounds the time without any live attempt. Output must go on
	// within 4 s of a loss; later the caller is told to come back.
	giveUpAfter = 4 * time.Second
	// maxReconnects bounds new connections to one stream without a new token in
	// between.
	maxReconnects = 1
	// reconnectWait is how long a reconnected stream may take to deliver before
	// a replacement is placed. The engine has the tokens already.
	reconnectWait = 250 * time.Millisecond
	// adoptWait is the same for a stream that another node opened, of which this
	// node does not know whether the engine has further tokens.
	adoptWait = time.Second
	// maxStalls is how many probes in a row may find a running stream without
	// progress before a replacement races it. Probes of a silent stream are half
	// a silence limit apart.
	maxStalls = 6
	// minQueueWait is how long after the loss a resume may wait in an engine's
	// queue at weight 1 before another server races it. Load reports lag, so the
	// nodes that resume the answers of a lost rack crowd the same servers.
	minQueueWait = 500 * time.Millisecond
	// earlyProbe is the part of the silence limit after which the stream's engine
	// is probed. The answer is there before the limit unless the engine is lost.
	earlyProbe = 0.5
)

// Machine is the state machine of one generation.
type Machine struct {
	config  Config
	journal *Journal
	// candidates are the attempts that may deliver the next token. More than
	// one exists only while a replacement races a suspected attempt.
	candidates []*attempt
	opened     int
	// rejected counts opened attempts that their server refused to run.
	rejected int
	resume   bool
	excluded []ident.BackendID

	placing   bool
	placeAt   time.Time // zero: no placement is due
	lostAt    time.Time // zero: no loss is being repaired
	lastToken time.Time
	goneAt    time.Time // zero: the caller is connected

	protected bool
	acked     int
	released  int
	finish    string
	done      bool
}

// NewMachine returns a machine that continues the journal. The caller has the
// first released tokens of it; a replica holds all of them.
func NewMachine(config Config, journal *Journal, released int) *Machine {
	return &Machine{
		config:    config,
		journal:   journal,
		protected: true,
		acked:     journal.Len(),
		released:  released,
		resume:    journal.Len() > 0,
	}
}

// Complete makes the journal a whole answer, of which only tokens that the
// caller lacks remain to be released. It is called before Started.
func (m *Machine) Complete(reason string) { m.finish = reason }

// Adopt makes a stream that another node opened the first attempt. It is
// called before Started.
func (m *Machine) Adopt(id ident.AttemptID, backend ident.BackendID) {
	m.resume = true
	m.candidates = append(m.candidates, &attempt{id: id, backend: backend, broken: true})
}

// MayHaveRun tells that some backend server may have run an attempt that this
// machine opened: not all of them were rejected.
func (m *Machine) MayHaveRun() bool { return m.opened > m.rejected }

// Journal returns the accepted tokens.
func (m *Machine) Journal() *Journal { return m.journal }

// Current returns the attempt that delivered last or will deliver first.
func (m *Machine) Current() (ident.AttemptID, ident.BackendID) {
	if len(m.candidates) == 0 {
		return "", ""
	}
	return m.candidates[0].id, m.candidates[0].backend
}

// Done tells that the generation has ended.
func (m *Machine) Done() bool { return m.done }

// Step processes one event.
func (m *Machine) Step(now time.Time, event Event) []Action {
	if m.done {
		return m.stepDone(event)
	}
	switch e := event.(type) {
	case Started:
		return m.start(now)
	case Placed:
		return m.placed(now, e)
	case PlacementFailed:
		return m.placementFailed(now, e)
	case Token:
		return m.token(now, e)
	case Broken:
		return m.brokenStream(now, e)
	case Ended:
		return m.ended(now, e)
	case Probed:
		return m.probed(now, e)
	case Acknowledged:
		m.acked = max(m.acked, min(e.Tokens, m.journal.Len()))
		return m.release()
	case Protection:
		m.protected = e.Available
		return m.release()
	case Tick:
		return m.tick(now)
	case CallerGone:
		m.goneAt = now
		return nil
	case TakenOver:
		return m.takenOver()
	}
	return nil
}

// stepDone returns resources that arrive after the end.
func (m *Machine) stepDone(event Event) []Action {
	switch e := event.(type) {
	case Placed:
		return []Action{Drop{Attempt: e.Attempt, Backend: e.Backend}}
	case Token:
		return []Action{Discarded{Attempt: e.Attempt, Index: e.Index}}
	}
	return nil
}

func (m *Machine) start(now time.Time) []Action {
	m.lastToken = now
	actions := m.release()
	if m.done {
		return actions
	}
	if len(m.candidates) == 0 {
		return append(actions, m.place()...)
	}
	adopted := m.candidates[0]
	adopted.broken = false
	adopted.reconnects++
	adopted.silentAt = now.Add(adoptWait)
	return append(actions, Reconnect{Attempt: adopted.id, Backend: adopted.backend, From: m.journal.Len()})
}

func (m *Machine) place() []Action {
	m.placeAt = time.Time{}
	if m.placing || m.healthy() || m.opened >= m.config.MaxAttempts && len(m.candidates) > 0 {
		return nil
	}
	m.placing = true
	return []Action{Place{Resume: m.resume, Exclude: m.unwanted()}}
}

// unwanted returns the backend servers on which the generation failed and
// those of suspected attempts, which a replacement must not share.
func (m *Machine) unwanted() []ident.BackendID {
	unwanted := slices.Clone(m.excluded)
	for _, a := range m.candidates {
		if !slices.Contains(unwanted, a.backend) {
			unwanted = append(unwanted, a.backend)
		}
	}
	return unwanted
}

func (m *Machine) placed(now time.Time, e Placed) []Action {
	m.placing = false
	if m.finish != "" || m.healthy() {
		return []Action{Drop{Attempt: e.Attempt, Backend: e.Backend}}
	}
	if m.opened >= m.config.MaxAttempts {
		actions := []Action{Drop{Attempt: e.Attempt, Backend: e.Backend}}
		return append(actions, m.fail("the limit of attempts was reached")...)
	}
	m.opened++
	m.resume = true
	opened := &attempt{id: e.Attempt, backend: e.Backend}
	opened.expect(now, e.FirstTokenLimit)
	m.candidates = append(m.candidates, opened)
	return []Action{Open{Attempt: e.Attempt, Backend: e.Backend, Tokens: m.journal.Len()}}
}

// healthy tells that an attempt is connected and not suspected.
func (m *Machine) healthy() bool {
	return slices.ContainsFunc(m.candidates, func(a *attempt) bool {
		return !a.broken && !a.probing && a.stalls < maxStalls
	})
}

func (m *Machine) placementFailed(now time.Time, e PlacementFailed) []Action {
	m.placing = false
	if len(m.candidates) == 0 && (e.RetryAfter <= 0 || !m.resume) {
		return m.fail(e.Reason)
	}
	if m.lostAt.IsZero() {
		m.lostAt = now
	}
	if e.RetryAfter > 0 {
		m.placeAt = now.Add(e.RetryAfter)
	}
	return nil
}

func (m *Machine) token(now time.Time, e Token) []Action {
	source := m.candidate(e.Attempt)
	if source == nil || m.finish != "" || e.Index != m.journal.Len() {
		return []Action{Discarded{Attempt: e.Attempt, Index: e.Index}}
	}
	actions := m.cancelOthers(source)
	actions = append(actions, m.repaired(now, source)...)
	m.journal.Append(e.Text)
	m.lastToken = now
	m.finish = e.Finish
	source.broken = false
	source.probing = false
	source.checking = false
	source.reconnects = 0
	source.stalls = 0
	source.delivered = true
	source.expect(now, e.SilenceLimit)
	m.placeAt = time.Time{}
	actions = append(actions, Replicate{Index: e.Index, Finish: e.Finish})
	return append(actions, m.release()...)
}

// cancelOthers makes the attempt the only candidate.
func (m *Machine) cancelOthers(winner *attempt) []Action {
	var actions []Action
	for _, a := range m.candidates {
		if a != winner {
			actions = append(actions, Cancel{Attempt: a.id, Backend: a.backend})
		}
	}
	m.candidates = append(m.candidates[:0], winner)
	return actions
}

// Deadline returns when the next Tick is due, or the zero time for never.
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
	if !m.goneAt.IsZero() {
		earliest(m.goneAt.Add(m.config.Linger))
	}
	if m.finish != "" {
		return deadline
	}
	earliest(m.placeAt)
	for _, a := range m.candidates {
		if !a.broken && !a.probing {
			earliest(a.silentAt)
			if !a.checking {
				earliest(a.probeAt)
			}
		}
	}
	if len(m.candidates) == 0 && !m.lostAt.IsZero() {
		earliest(m.lostAt.Add(giveUpAfter))
	}
	return deadline
}

// release releases the tokens that may go to the caller and ends a complete
// answer.
func (m *Machine) release() []Action {
	var actions []Action
	limit := m.journal.Len()
	if m.config.ReleaseAfterAck && m.protected {
		limit = m.acked
	}
	if limit > m.released {
		actions = append(actions, Release{From: m.released, To: limit})
		m.released = limit
	}
	if m.finish != "" && m.released == m.journal.Len() {
		m.done = true
		actions = append(actions, Finish{Reason: m.finish})
	}
	return actions
}

func (m *Machine) fail(reason string) []Action {
	m.done = true
	return append(m.cancelAll(), Fail{Reason: reason})
}

func (m *Machine) end() []Action {
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

// takenOver leaves the stream to the node that continues the answer.
func (m *Machine) takenOver() []Action {
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
