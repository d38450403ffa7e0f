package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// View is one node's view of all nodes, itself included.
type View struct {
	config       Config
	self         *entry
	nodes        map[ident.HostID]*entry
	order        []*entry  // the entries of nodes, sorted by host
	last         time.Time // time of the last input
	jumpedAt     time.Time // time of the last clock jump, or the start
	jumped       bool      // a clock jump was found since the last TakeJump
	leavingSince time.Time // zero if this node does not leave
	haveList     bool
	listedAt     time.Time // time of the last host list
}

// New returns the view of a node that has just started and knows only itself.
func New(self Self, config Config, now time.Time) (*View, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	own := &entry{heard: true, silentSince: now, Node: Node{
		Host: self.Host, Incarnation: self.Incarnation, DataCentre: self.DataCentre,
		Address: self.Address, CallerAddress: self.CallerAddress, State: Alive,
	}}
	v := &View{config: config, self: own, last: now, jumpedAt: now, nodes: map[ident.HostID]*entry{}}
	v.add(own)
	return v, nil
}

// add puts a new entry into nodes and order.
func (v *View) add(e *entry) {
	v.nodes[e.Host] = e
	i, _ := slices.BinarySearchFunc(v.order, e.Host, func(e *entry, host ident.HostID) int {
		return strings.Compare(string(e.Host), string(host))
	})
	v.order = slices.Insert(v.order, i, e)
}

// ObserveList takes a snapshot of the host list. An empty snapshot is ignored:
// a deployment with this node in it has at least one host, so an empty list
// is a fault of the platform and must not declare every peer dead.
func (v *View) ObserveList(now time.Time, hosts []platformapi.Host) []Transition {
	out := v.Tick(now)
	if len(hosts) == 0 {
		return out
	}
	v.haveList, v.listedAt = true, now
	listed := make(map[ident.HostID]bool, len(hosts))
	for _, h := range hosts {
		listed[ident.HostID(h.HostID)] = true
		out = v.list(now, h, out)
	}
	for _, e := range v.order {
		if e.Listed && !listed[e.Host] {
			e.Listed = false
			e.removed = e != v.self
			// The mark was about the incarnation that is gone.
			e.announced, e.listLeaving = e.announced || e.listLeaving, false
			out = v.settle(now, e, ReasonUnlisted, out)
		}
	}
	return out
}

func (v *View) list(now time.Time, h platformapi.Host, out []Transition) []Transition {
	id := ident.HostID(h.HostID)
	e := v.nodes[id]
	if e == nil {
		e = &entry{silentSince: now, Node: Node{Host: id}}
		v.add(e)
	}
	if e.removed {
		// Listed again: it has to be heard before it is handed out.
		e.removed, e.heard, e.silentSince = false, false, now
	}
	e.Listed = true
	e.listLeaving = h.State == platformapi.HostLeaving
	if e == v.self {
		if e.listLeaving {
			return v.leave(now, ReasonListMark, out)
		}
		return out
	}
	e.DataCentre = ident.DataCentre(h.DataCentre)
	e.Address, e.CallerAddress = h.Address, h.CallerAddress
	reason := ReasonListed
	if e.listLeaving || e.State == Leaving {
		reason = ReasonListMark
	}
	return v.settle(now, e, reason, out)
}

// ObserveHeartbeat takes one heartbeat. Messages of an older incarnation and
// this node's own are ignored.
func (v *View) ObserveHeartbeat(now time.Time, h Heartbeat) []Transition {
	out := v.Tick(now)
	if h.Host == v.self.Host {
		return out
	}
	e := v.nodes[h.Host]
	if e == nil {
		e = &entry{Node: Node{Host: h.Host, DataCentre: h.DataCentre}}
		v.add(e)
	}
	if h.Incarnation < e.Incarnation {
		return out
	}
	reason := v.adopt(e, h.Incarnation, ReasonHeartbeat)
	e.announced = e.announced || h.Leaving
	e.Sequence = max(e.Sequence, h.Sequence)
	e.InFlight = h.InFlight
	e.sign(now)
	if v.valid(now, h.AskedAt) {
		e.ProvedAt = later(e.ProvedAt, h.AskedAt)
		if h.FreshAge >= 0 {
			e.FreshAt = later(e.FreshAt, h.AskedAt.Add(-h.FreshAge))
		}
	}
	return v.settle(now, e, reason, out)
}

// ObserveSummary takes what a relay heard from other nodes.
func (v *View) ObserveSummary(now time.Time, s Summary) []Transition {
	out := v.Tick(now)
	relay := v.nodes[s.From]
	if relay == nil || relay == v.self || s.Incarnation < relay.Incarnation ||
		!v.valid(now, s.AskedAt) {
		return out
	}
	for _, h := range s.Hosts {
		e := v.nodes[h.Host]
		if e == nil || e == v.self || h.Incarnation < e.Incarnation || h.Age < 0 {
			continue
		}
		proof := s.AskedAt.Add(-h.Age)
		if h.Incarnation == e.Incarnation && !proof.After(e.silentSince) && !h.Leaving {
			continue // nothing newer than what this node knows
		}
		reason := v.adopt(e, h.Incarnation, ReasonSummary)
		e.announced = e.announced || h.Leaving
		e.Sequence = max(e.Sequence, h.Sequence)
		e.sign(later(proof, e.silentSince))
		e.ProvedAt = later(e.ProvedAt, proof)
		out = v.settle(now, e, reason, out)
	}
	return out
}

// valid tells whether the age of an answer to a message sent at askedAt is
// known. After a clock jump the ages of earlier messages are not.
func (v *View) valid(now, askedAt time.Time) bool {
	return !askedAt.IsZero() && !askedAt.Before(v.jumpedAt) && !askedAt.After(now)
}

// adopt starts a node afresh if the message is of a newer incarnation. The
// list's leaving mark stays, since the list does not name an incarnation.
func (v *View) adopt(e *entry, incarnation ident.Incarnation, reason Reason) Reason {
	if incarnation == e.Incarnation {
		return reason
	}
	first := e.Incarnation == 0
	e.Incarnation = incarnation
	if first {
		// The marks may be about this very incarnation.
		return reason
	}
	reason = ReasonIncarnation
	e.announced, e.removed, e.failedAt = false, false, time.Time{}
	e.Sequence, e.InFlight = 0, 0
	e.ProvedAt, e.FreshAt, e.silentSince = time.Time{}, time.Time{}, time.Time{}
	return reason
}

// sign records a sign of life at a moment.
func (e *entry) sign(at time.Time) {
	e.heard = true
	e.HeardAt, e.silentSince = at, at
	if !at.Before(e.failedAt) {
		e.failedAt = time.Time{}
	}
}

// ConnectionFailed takes the failure of a connection to one incarnation of a
// node. The node is suspected until its next heartbeat; a failure alone does
// not show that it is dead.
func (v *View) ConnectionFailed(now time.Time, host ident.HostID, incarnation ident.Incarnation) []Transition {
	out := v.Tick(now)
	e := v.nodes[host]
	if e == nil || e == v.self || incarnation != e.Incarnation {
		return out
	}
	e.failedAt = now
	return v.settle(now, e, ReasonConnectionFailed, out)
}

// Leave starts the graceful shutdown of this node. It cannot be undone.
func (v *View) Leave(now time.Time) []Transition {
	return v.leave(now, ReasonLocalLeave, v.Tick(now))
}

func (v *View) leave(now time.Time, reason Reason, out []Transition) []Transition {
	if !v.leavingSince.IsZero() {
		return out
	}
	v.leavingSince = now
	v.self.announced = true
	return v.settle(now, v.self, reason, out)
}

// reorderLimit is how much older than the last input an input may be. Workers
// read the clock before they take the lock around the view; on a machine with a
// load of 25 on 10 cores the order was wrong about once a minute.
const reorderLimit = 500 * time.Millisecond

// Tick applies the passing of time. It also finds clock jumps: time that went
// back by more than reorderLimit, or more than Config.JumpLimit without any
// input.
func (v *View) Tick(now time.Time) []Transition {
	if now.Before(v.last) && v.last.Sub(now) <= reorderLimit {
		now = v.last
	}
	if now.Before(v.last) || now.Sub(v.last) > v.config.JumpLimit {
		return v.ClockJumped(now)
	}
	v.last = now
	var out []Transition
	forgotten := false
	for _, e := range v.order {
		out = v.settle(now, e, ReasonSilence, out)
		if !e.Listed && e != v.self && now.Sub(e.silentSince) >= v.config.ForgetAfter {
			delete(v.nodes, e.Host)
			forgotten = true
		}
	}
	if forgotten {
		v.order = slices.DeleteFunc(v.order, func(e *entry) bool { return v.nodes[e.Host] != e })
	}
	return out
}

// ClockJumped drops everything that was known by time: this node was paused or
// its clock was set. Proofs are void and peers are suspected until heard
// again; none is declared dead for a silence that was this node's own.
func (v *View) ClockJumped(now time.Time) []Transition {
	v.last, v.jumpedAt, v.jumped = now, now, true
	var out []Transition
	for _, e := range v.order {
		if e == v.self {
			continue
		}
		e.ProvedAt, e.FreshAt = time.Time{}, time.Time{}
		e.HeardAt = earlier(e.HeardAt, now)
		e.heard = false
		if e.State == Dead || e.State == Left {
			e.silentSince = earlier(e.silentSince, now.Add(-v.config.DeadAfter))
		} else {
			e.silentSince = now
		}
		out = v.settle(now, e, ReasonClockJump, out)
	}
	if v.leavingSince.After(now) {
		v.leavingSince = now
	}
	return out
}

// TakeJump tells whether a clock jump was found since the last call. The
// transitions do not always show it: a suspected peer stays suspected.
func (v *View) TakeJump() bool {
	jumped := v.jumped
	v.jumped = false
	return jumped
}

// settle recomputes the state of one node and records a transition.
func (v *View) settle(now time.Time, e *entry, reason Reason, out []Transition) []Transition {
	state := Alive
	if e != v.self {
		state = e.stateAt(now, v.config)
	} else if e.announced {
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
