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

// Events of a node.
const (
	EventNodeStarted         Event = "node_started"
	EventNodeLeaving         Event = "node_leaving"
	EventNodeStopped         Event = "node_stopped"
	EventClockJump           Event = "clock_jump"
	EventListenFailed        Event = "listen_failed"
	EventPeerState           Event = "peer_state"
	EventPeerCallFailed      Event = "peer_call_failed"
	EventPeerRefused         Event = "peer_refused"
	EventHostListFailed      Event = "host_list_failed"
	EventCertificateReloaded Event = "certificate_reloaded"
	EventCertificateFailed   Event = "certificate_failed"
	EventContractApplied     Event = "contract_applied"
	EventContractRefused     Event = "contract_refused"
	EventContractPollFailed  Event = "contract_poll_failed"
	EventNodeIsolated        Event = "node_isolated"
	EventAttemptLost         Event = "attempt_lost"
	EventAttemptResumed      Event = "attempt_resumed"
	EventGenerationFailed    Event = "generation_failed"
	EventCopyUnprotected     Event = "copy_unprotected"
	EventCopyMoved           Event = "copy_moved"
	EventTakeover            Event = "takeover"
	EventClaimUnknown        Event = "claim_unknown"
	EventRequestQuarantined  Event = "request_quarantined"
	EventBackendState        Event = "backend_state"
	EventOrderSent           Event = "order_sent"
	EventOrderFailed         Event = "order_failed"
	EventLeaseChanged        Event = "lease_changed"
	EventAuditFailed         Event = "audit_failed"
	EventExplainFailed       Event = "explain_failed"
	EventRingOverflow        Event = "ring_overflow"
	EventRequestServed       Event = "request_served"
	EventRequestTroubled     Event = "request_troubled"
	EventBackendLost         Event = "backend_lost"
	EventBackendListed       Event = "backend_listed"
	EventConfigApplied       Event = "config_applied"
	EventConfigRefused       Event = "config_refused"
	EventStoreLost           Event = "store_lost"
	EventStoreBack           Event = "store_back"
	EventSettingsReloaded    Event = "settings_reloaded"
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
