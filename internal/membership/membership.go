// Package membership decides which nodes of the deployment are usable, from
// the platform's host list, from heartbeats and from failed connections.
//
// All times are the observing node's own clock; ages are time.Duration. Inputs
// are stale by nature: the host list lags by seconds in both directions, so a
// listed host may be dead and an unlisted one may send heartbeats. Heartbeats
// may be lost, repeated or reordered.
//
// A View is owned by one goroutine and has no lock.
package membership

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// State is what this node believes about another node.
type State int

// States of a node.
const (
	// Alive: heard within Config.SuspectAfter.
	Alive State = iota + 1
	// Suspected: listed but not heard yet, silent, or a connection failed.
	Suspected
	// Dead: silent for Config.DeadAfter, or removed from the host list.
	Dead
	// Leaving: announces or is marked to leave; takes no new work.
	Leaving
	// Left: was leaving, and then fell silent or was removed from the list.
	Left
)

// String returns the state's name as used in logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	case Left:
		return "left"
	}
	return "unknown"
}

// Reason tells which input caused a transition.
type Reason string

// Reasons of transitions.
const (
	ReasonListed           Reason = "listed"
	ReasonUnlisted         Reason = "removed_from_list"
	ReasonListMark         Reason = "list_mark"
	ReasonHeartbeat        Reason = "heartbeat"
	ReasonSummary          Reason = "relay_summary"
	ReasonIncarnation      Reason = "new_incarnation"
	ReasonSilence          Reason = "silence"
	ReasonConnectionFailed Reason = "connection_failed"
	ReasonLocalLeave       Reason = "local_leave"
	ReasonClockJump        Reason = "clock_jump"
)

// Transition is one change of a node's state. From is zero for a node that
// was not known before.
type Transition struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	From, To    State
	Reason      Reason
}

// Self describes the node that owns a View.
type Self struct {
	Host          ident.HostID
	Incarnation   ident.Incarnation
	DataCentre    ident.DataCentre
	Address       string // IP:port for other nodes
	CallerAddress string // IP:port for callers
}

// Heartbeat is what a peer tells about itself, in either direction of an
// exchange.
type Heartbeat struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Leaving     bool
	// Sequence is the newest contract log sequence in force on the peer.
	Sequence ident.LogSequence
	// FreshAge is the age of the peer's newest proof that Sequence is current,
	// when it sent the heartbeat; negative if it has none.
	FreshAge time.Duration
	InFlight int
	// AskedAt is when this node sent the message that the heartbeat answers.
	// It is zero if the heartbeat answers nothing: such a message may have
	// been delayed for any time, so it shows life but proves no freshness.
	AskedAt time.Time
}

// Summary is what a relay tells about other nodes.
type Summary struct {
	From        ident.HostID
	Incarnation ident.Incarnation
	// AskedAt is when this node sent the request that the summary answers.
	// A summary without it is ignored, because its age is unbounded.
	AskedAt time.Time
	Hosts   []SummaryHost
}

// SummaryHost is one node of a Summary.
type SummaryHost struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	Sequence    ident.LogSequence
	Leaving     bool
	// Age is the time since the relay's proof that the node lived.
	Age time.Duration
}

// Node is the present view of one node.
type Node struct {
	Host          ident.HostID
	Incarnation   ident.Incarnation // zero until the first heartbeat
	DataCentre    ident.DataCentre
	Address       string // empty if the node was never listed
	CallerAddress string
	State         State
	Listed        bool
	InFlight      int
	Sequence      ident.LogSequence
	// HeardAt is the receipt of the last sign of life.
	HeardAt time.Time
	// ProvedAt is a moment at which the node certainly lived: when this node
	// sent the message that its newest answer belongs to. Zero if none.
	ProvedAt time.Time
	// FreshAt is the moment for which the peer proved Sequence to be current.
	// Zero if none.
	FreshAt time.Time
}

// entry is the record of one node and the marks its state follows from.
type entry struct {
	Node
	// silentSince starts the silence limits: the last sign of life, or the
	// first listing.
	silentSince time.Time
	heard       bool      // since the first listing, incarnation or clock jump
	failedAt    time.Time // last failed connection, zero after a later sign of life
	listLeaving bool
	announced   bool // this incarnation announced that it leaves
	removed     bool // was listed and is no longer
}

// stateAt derives the state of a peer from its marks. Leaving outranks
// suspicion, so that a leaving node is never handed out again by a heartbeat.
func (e *entry) stateAt(now time.Time, c Config) State {
	silence := now.Sub(e.silentSince)
	leaving := e.announced || e.listLeaving
	switch {
	case leaving && (e.removed || silence >= c.DeadAfter):
		return Left
	case leaving:
		return Leaving
	case e.removed || silence >= c.DeadAfter:
		return Dead
	case !e.failedAt.IsZero() || !e.heard || silence >= c.SuspectAfter:
		return Suspected
	}
	return Alive
}
