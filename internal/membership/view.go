package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// View holds the states of all nodes as observed by one node, itself included.
type View struct {
	config       Config
	self         *entry
	nodes        map[ident.HostID]*entry
	order        []*entry  // the entries of nodes, sorted by host
	lastInputAt  time.Time // time of the last Tick or ClockJumped
	jumpedAt     time.Time // time of the last clock jump, initially the start time
	jumpPending  bool      // a clock jump was detected since the last TakeClockJump
	leavingSince time.Time // zero if this node is not leaving
	haveList     bool      // a non-empty host list has been read
	listReadAt   time.Time // time of the last host list
}

// New returns the view of a node that has just started; it contains only the node
// itself. New fails with CodeInvalidConfig if the configuration is invalid.
func New(self Self, config Config, now time.Time) (*View, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	own := &entry{seen: true, silentSince: now, Node: Node{
		Host: self.Host, Incarnation: self.Incarnation, DataCentre: self.DataCentre,
		Address: self.Address, CallerAddress: self.CallerAddress, State: Alive,
	}}
	v := &View{config: config, self: own, lastInputAt: now, jumpedAt: now, nodes: map[ident.HostID]*entry{}}
	v.insert(own)
	return v, nil
}

// insert adds a new entry to nodes and order.
func (v *View) insert(e *entry) {
	v.nodes[e.Host] = e
	i, _ := slices.BinarySearchFunc(v.order, e.Host, func(e *entry, host ident.HostID) int {
		return strings.Compare(string(e.Host), string(host))
	})
	v.order = slices.Insert(v.order, i, e)
}

// ObserveList applies a snapshot of the host list and returns the resulting
// transitions. An empty snapshot is ignored: a deployment that includes this node has
// at least one host, so an empty list is a fault of the platform. It must not cause
// all peers to be considered dead.
func (v *View) ObserveList(now time.Time, hosts []platformapi.Host) []Transition {
	out := v.Tick(now)
	if len(hosts) == 0 {
		return out
	}
	v.haveList, v.listReadAt = true, now
	listed := make(map[ident.HostID]bool, len(hosts))
	for _, h := range hosts {
		listed[ident.HostID(h.HostID)] = true
		out = v.applyListed(now, h, out)
	}
	for _, e := range v.order {
		if e.Listed && !listed[e.Host] {
			e.Listed = false
			e.removed = e != v.self
			// The list marks hosts, not incarnations, as leaving. The mark of a
			// host that was removed applied to its current incarnation, so it is
			// kept for that incarnation only.
			e.announcedLeaving, e.listLeaving = e.announcedLeaving || e.listLeaving, false
			out = v.updateState(now, e, ReasonUnlisted, out)
		}
	}
	return out
}

// applyListed applies the entry of one host in the host list.
func (v *View) applyListed(now time.Time, h platformapi.Host, out []Transition) []Transition {
	id := ident.HostID(h.HostID)
	e := v.nodes[id]
	if e == nil {
		e = &entry{silentSince: now, Node: Node{Host: id}}
		v.insert(e)
	}
	if e.removed {
		// The host is listed again. Callers are not sent to it before its next
		// sign of life, that is, a heartbeat or a report by a relay.
		e.removed, e.seen, e.silentSince = false, false, now
	}
	e.Listed = true
	e.listLeaving = h.State == platformapi.HostLeaving
	if e == v.self {
		if e.listLeaving {
			return v.startLeaving(now, ReasonListMark, out)
		}
		return out
	}
	e.DataCentre = ident.DataCentre(h.DataCentre)
	e.Address, e.CallerAddress = h.Address, h.CallerAddress
	reason := ReasonListed
	if e.listLeaving || e.State == Leaving {
		reason = ReasonListMark
	}
	return v.updateState(now, e, reason, out)
}

// ObserveHeartbeat applies one heartbeat and returns the resulting transitions.
// Heartbeats of an older incarnation and this node's own are ignored.
func (v *View) ObserveHeartbeat(now time.Time, h Heartbeat) []Transition {
	out := v.Tick(now)
	if h.Host == v.self.Host {
		return out
	}
	e := v.nodes[h.Host]
	if e == nil {
		e = &entry{Node: Node{Host: h.Host, DataCentre: h.DataCentre}}
		v.insert(e)
	}
	if h.Incarnation < e.Incarnation {
		return out
	}
	reason := v.adoptIncarnation(e, h.Incarnation, ReasonHeartbeat)
	e.announcedLeaving = e.announcedLeaving || h.Leaving
	e.Sequence = max(e.Sequence, h.Sequence)
	e.InFlight = h.InFlight
	e.recordSignOfLife(now)
	if v.ageKnown(now, h.RequestSentAt) {
		e.ConfirmedAliveAt = later(e.ConfirmedAliveAt, h.RequestSentAt)
		if h.FreshAge >= 0 {
			e.FreshAt = later(e.FreshAt, h.RequestSentAt.Add(-h.FreshAge))
		}
	}
	return v.updateState(now, e, reason, out)
}

// ObserveSummary applies a relay's report about other nodes and returns the
// resulting transitions.
func (v *View) ObserveSummary(now time.Time, s Summary) []Transition {
	out := v.Tick(now)
	relay := v.nodes[s.From]
	if relay == nil || relay == v.self || s.Incarnation < relay.Incarnation ||
		!v.ageKnown(now, s.RequestSentAt) {
		return out
	}
	for _, h := range s.Hosts {
		e := v.nodes[h.Host]
		if e == nil || e == v.self || h.Incarnation < e.Incarnation || h.Age < 0 {
			continue
		}
		aliveAt := s.RequestSentAt.Add(-h.Age)
		if h.Incarnation == e.Incarnation && !aliveAt.After(e.silentSince) && !h.Leaving {
			continue // not newer than this node's record
		}
		reason := v.adoptIncarnation(e, h.Incarnation, ReasonSummary)
		e.announcedLeaving = e.announcedLeaving || h.Leaving
		e.Sequence = max(e.Sequence, h.Sequence)
		e.recordSignOfLife(later(aliveAt, e.silentSince))
		e.ConfirmedAliveAt = later(e.ConfirmedAliveAt, aliveAt)
		out = v.updateState(now, e, reason, out)
	}
	return out
}

// ageKnown reports whether the age of an answer to a request sent at requestSentAt
// is known. The age is unknown if the request was sent before the last clock jump.
func (v *View) ageKnown(now, requestSentAt time.Time) bool {
	return !requestSentAt.IsZero() && !requestSentAt.Before(v.jumpedAt) && !requestSentAt.After(now)
}

// adoptIncarnation sets the incarnation of a node. If it replaces an older one, the
// record of the node is reset. The list's leaving mark is kept, since the list does not
// name an incarnation. It returns the reason to record for a transition.
func (v *View) adoptIncarnation(e *entry, incarnation ident.Incarnation, reason Reason) Reason {
	if incarnation == e.Incarnation {
		return reason
	}
	first := e.Incarnation == 0
	e.Incarnation = incarnation
	if first {
		// The flags set so far may apply to this incarnation.
		return reason
	}
	reason = ReasonIncarnation
	e.announcedLeaving, e.removed, e.failedAt = false, false, time.Time{}
	e.Sequence, e.InFlight = 0, 0
	e.ConfirmedAliveAt, e.FreshAt, e.silentSince = time.Time{}, time.Time{}, time.Time{}
	return reason
}

// recordSignOfLife records that the node was alive at the given time, as shown by a
// heartbeat or a report by a relay. It clears an earlier connection failure.
func (e *entry) recordSignOfLife(at time.Time) {
	e.seen = true
	e.LastSeenAt, e.silentSince = at, at
	if !at.Before(e.failedAt) {
		e.failedAt = time.Time{}
	}
}

// ConnectionFailed records a failed connection to one incarnation of a node and
// returns the resulting transitions. The node is suspected until its next
// heartbeat; a failed connection alone does not show that it is dead.
func (v *View) ConnectionFailed(now time.Time, host ident.HostID, incarnation ident.Incarnation) []Transition {
	out := v.Tick(now)
	e := v.nodes[host]
	if e == nil || e == v.self || incarnation != e.Incarnation {
		return out
	}
	e.failedAt = now
	return v.updateState(now, e, ReasonConnectionFailed, out)
}

// Leave starts the graceful shutdown of this node and returns the resulting
// transitions. It cannot be undone.
func (v *View) Leave(now time.Time) []Transition {
	return v.startLeaving(now, ReasonLocalLeave, v.Tick(now))
}

// startLeaving marks this node as leaving unless it already is.
func (v *View) startLeaving(now time.Time, reason Reason, out []Transition) []Transition {
	if !v.leavingSince.IsZero() {
		return out
	}
	v.leavingSince = now
	v.self.announcedLeaving = true
	return v.updateState(now, v.self, reason, out)
}

// reorderLimit is the largest amount by which the time of an input may precede
// that of the previous input without counting as a clock jump. Workers read the
// clock before they take the lock around the view, so inputs can be out of order: about
// once a minute on a busy host (load average 25 on 10 cores).
const reorderLimit = 500 * time.Millisecond

// Tick updates all states to the time now and returns the resulting transitions. It
// removes the records of unlisted nodes that have been silent for Config.ForgetAfter.
// It also detects clock jumps: the time went back by more than reorderLimit, or
// advanced by more than Config.JumpLimit without any input.
func (v *View) Tick(now time.Time) []Transition {
	if now.Before(v.lastInputAt) && v.lastInputAt.Sub(now) <= reorderLimit {
		now = v.lastInputAt
	}
	if now.Before(v.lastInputAt) || now.Sub(v.lastInputAt) > v.config.JumpLimit {
		return v.ClockJumped(now)
	}
	v.lastInputAt = now
	var out []Transition
	deleted := false
	for _, e := range v.order {
		out = v.updateState(now, e, ReasonSilence, out)
		if !e.Listed && e != v.self && now.Sub(e.silentSince) >= v.config.ForgetAfter {
			delete(v.nodes, e.Host)
			deleted = true
		}
	}
	if deleted {
		v.order = slices.DeleteFunc(v.order, func(e *entry) bool { return v.nodes[e.Host] != e })
	}
	return out
}

// ClockJumped resets everything that depends on elapsed time, because this node was
// paused or its clock was set, and returns the resulting transitions. It clears the
// times at which peers were last confirmed alive or up to date. Peers that are neither
// Dead nor Left are suspected until their next sign of life, so that no peer becomes
// dead because this node itself was paused.
func (v *View) ClockJumped(now time.Time) []Transition {
	v.lastInputAt, v.jumpedAt, v.jumpPending = now, now, true
	var out []Transition
	for _, e := range v.order {
		if e == v.self {
			continue
		}
		e.ConfirmedAliveAt, e.FreshAt = time.Time{}, time.Time{}
		e.LastSeenAt = earlier(e.LastSeenAt, now)
		e.seen = false
		if e.State == Dead || e.State == Left {
			e.silentSince = earlier(e.silentSince, now.Add(-v.config.DeadAfter))
		} else {
			e.silentSince = now
		}
		out = v.updateState(now, e, ReasonClockJump, out)
	}
	if v.leavingSince.After(now) {
		v.leavingSince = now
	}
	return out
}

// TakeClockJump reports whether a clock jump was detected since the last call, and
// clears the mark. The transitions do not always show a jump: a suspected peer stays
// suspected.
func (v *View) TakeClockJump() bool {
	jumped := v.jumpPending
	v.jumpPending = false
	return jumped
}

// updateState recomputes the state of one node and appends a transition to out if
// the state changed.
func (v *View) updateState(now time.Time, e *entry, reason Reason, out []Transition) []Transition {
	state := Alive
	if e != v.self {
		state = e.stateAt(now, v.config)
	} else if e.announcedLeaving {
		state = Leaving
	}
	if state == e.State {
		return out
	}
	t := Transition{Host: e.Host, Incarnation: e.Incarnation, From: e.State, To: state, Reason: reason}
	e.State = state
	return append(out, t)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
