package telemetry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is the stable code that identifies a kind of log line.
type Event string

// Events of a node. No code logs those marked as not logged.
const (
	EventNodeStarted Event = "node_started"
	EventNodeLeaving Event = "node_leaving"
	EventNodeStopped Event = "node_stopped"
	// EventClockJump: this node was paused, so it discards its proofs of freshness.
	EventClockJump           Event = "clock_jump"
	EventListenFailed        Event = "listen_failed"
	EventPeerState           Event = "peer_state"
	EventPeerCallFailed      Event = "peer_call_failed"
	EventPeerRefused         Event = "peer_refused" // not logged
	EventHostListFailed      Event = "host_list_failed"
	EventCertificateReloaded Event = "certificate_reloaded"
	EventCertificateFailed   Event = "certificate_failed"
	// EventContractApplied: this node applied a new version of a team's contract.
	EventContractApplied Event = "contract_applied"
	EventContractRefused Event = "contract_refused" // not logged
	// EventContractPollFailed: the contract log could not be read.
	EventContractPollFailed Event = "contract_poll_failed"
	EventNodeIsolated       Event = "node_isolated" // not logged
	EventAttemptLost        Event = "attempt_lost"
	EventAttemptResumed     Event = "attempt_resumed"
	EventGenerationFailed   Event = "generation_failed"
	EventCopyUnprotected    Event = "copy_unprotected" // not logged
	// EventCopyMoved: a replica did not acknowledge the journal of a generation, so
	// another host is chosen for the copy.
	EventCopyMoved Event = "copy_moved"
	// EventTakeover: this node continues an answer that another node began.
	EventTakeover     Event = "takeover"
	EventClaimUnknown Event = "claim_unknown" // not logged
	// EventRequestQuarantined: a request was refused because it crashes backend servers.
	EventRequestQuarantined Event = "request_quarantined"
	// EventBackendState: a backend server died, or the limit that it names has changed.
	EventBackendState Event = "backend_state"
	EventOrderSent    Event = "order_sent"    // not logged
	EventOrderFailed  Event = "order_failed"  // not logged
	EventLeaseChanged Event = "lease_changed" // not logged
	EventAuditFailed  Event = "audit_failed"  // not logged
	// EventExplainFailed: the explanation of a request could not be written to the object
	// store, or was dropped because the write queue was full.
	EventExplainFailed Event = "explain_failed"
	EventRingOverflow  Event = "ring_overflow" // not logged
	// EventRequestServed: a request was served and was sent only once.
	EventRequestServed Event = "request_served"
	// EventRequestTroubled: a request was refused, failed, was broken off, was abandoned
	// by its client, or was sent more than once.
	EventRequestTroubled Event = "request_troubled"
	// EventBackendLost: the first evidence that a backend server is lost.
	EventBackendLost Event = "backend_lost"
	// EventPathLost: this host has lost its network path to the servers of a service.
	EventPathLost Event = "path_lost"
	// EventPathBack: the path is back.
	EventPathBack Event = "path_back"
	// EventCrashEvidence: a backend server crashed while it ran a request that it had not
	// begun to answer. The line names the content that is suspected.
	EventCrashEvidence Event = "crash_evidence"
	// EventPanic is an unexpected error of which only the request or message that caused
	// it is affected.
	EventPanic Event = "panic"
	// EventBackendListed: a backend server was added to the list, changed, removed or
	// found without the list, or its entry is invalid.
	EventBackendListed Event = "backend_listed"
	// EventConfigApplied: a newer configuration from the store or a peer is in force.
	EventConfigApplied Event = "config_applied"
	// EventConfigFinding: a configuration in force has an error, or an entry without effect.
	EventConfigFinding Event = "config_finding"
	// EventConfigRefused: a configuration could not be decoded.
	EventConfigRefused Event = "config_refused"
	// EventConnectionClosed: a connection of a client was closed because connections or heads of
	// requests use up their room.
	EventConnectionClosed Event = "connection_closed"
	// EventRollout: an order for a roll-out was read or is invalid, or its phase has changed.
	EventRollout Event = "rollout"
	// EventStoreLost: the store did not answer or an operation on it failed.
	EventStoreLost Event = "store_lost"
	// EventStoreBack: the store answers again after an outage.
	EventStoreBack Event = "store_back"
	// EventSettingsReloaded: the settings file was read again. If it is invalid, the
	// settings in force are kept and the line has the level error.
	EventSettingsReloaded Event = "settings_reloaded"
)

// Limits on repeated events: at most defaultLineLimit lines of an event are written
// per eventWindow. An outage can repeat one event thousands of times per second, and
// the log must stay readable and cheap to write during an outage.
const (
	eventWindow      = time.Second
	defaultLineLimit = 10
	// flushLevel is the level of the lines that Flush writes.
	flushLevel = logrus.InfoLevel
)

// eventLineLimits overrides defaultLineLimit for events that are needed to explain a
// failed request. The loss of a data centre affects several dozen requests of a node
// at once.
var eventLineLimits = map[Event]int{
	EventRequestTroubled: 100,
	EventAttemptLost:     100,
	EventAttemptResumed:  100,
	EventBackendLost:     60,
	EventBackendListed:   60,
	EventCrashEvidence:   60,
}

// Limiter limits the number of lines of each event per eventWindow and counts the
// lines that it suppresses. It does not read a clock; callers pass the time. It is
// safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	counts map[Event]*eventCount // guarded by mu
}

type eventCount struct {
	windowStart time.Time
	lines       int
	suppressed  uint64
}

// NewLimiter returns a limiter without any counts.
func NewLimiter() *Limiter { return &Limiter{counts: map[Event]*eventCount{}} }

// Allow reports whether a line of the event may be written now, and returns how
// many lines of the event were suppressed since the last allowed one.
func (l *Limiter) Allow(now time.Time, event Event) (bool, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[event]
	if c == nil {
		c = &eventCount{windowStart: now}
		l.counts[event] = c
	}
	if now.Sub(c.windowStart) >= eventWindow {
		c.windowStart, c.lines = now, 0
	}
	limit, ok := eventLineLimits[event]
	if !ok {
		limit = defaultLineLimit
	}
	if c.lines >= limit {
		c.suppressed++
		return false, 0
	}
	c.lines++
	suppressed := c.suppressed
	c.suppressed = 0
	return true, suppressed
}

// Suppressed returns, for each event, the number of suppressed lines that were not
// reported yet, and resets these numbers.
func (l *Limiter) Suppressed() map[Event]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[Event]uint64{}
	for event, c := range l.counts {
		if c.suppressed > 0 {
			counts[event] = c.suppressed
			c.suppressed = 0
		}
	}
	return counts
}

// EventLog writes log lines of events, subject to a Limiter. It may be used by any
// number of goroutines.
type EventLog struct {
	entry   *logrus.Entry
	limiter *Limiter
}

// NewEventLog returns an event log that writes to entry.
func NewEventLog(entry *logrus.Entry) *EventLog {
	return &EventLog{entry: entry, limiter: NewLimiter()}
}

// Log writes one event unless the limiter suppresses it.
func (e *EventLog) Log(level logrus.Level, event Event, fields logrus.Fields, message string) {
	if !e.entry.Logger.IsLevelEnabled(level) {
		return
	}
	ok, suppressed := e.limiter.Allow(time.Now(), event)
	if !ok {
		return
	}
	line := e.entry.WithFields(fields).WithField(FieldEvent, event)
	if suppressed > 0 {
		line = line.WithField(FieldSuppressed, suppressed)
	}
	line.Log(level, message)
}

// LogError writes one event with the text and code of err.
func (e *EventLog) LogError(level logrus.Level, event Event, err error, fields logrus.Fields, message string) {
	all := ErrorFields(err)
	if all == nil {
		all = logrus.Fields{}
	}
	maps.Copy(all, fields)
	e.Log(level, event, all, message)
}

// Flush writes one line for each event that has suppressed lines that were not
// reported yet. It is called periodically and at the end of the process.
func (e *EventLog) Flush() {
	counts := e.limiter.Suppressed()
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		e.entry.WithFields(logrus.Fields{FieldEvent: event, FieldSuppressed: counts[event]}).
			Log(flushLevel, "repeated events were suppressed")
	}
}
