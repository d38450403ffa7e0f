// Package membership decides which nodes of the deployment are usable. Its
// inputs are the platform's host list, heartbeats and failed connections.
//
// All times are read from the observing node's own clock; ages are
// time.Duration. Inputs may be stale: the host list lags by seconds in both
// directions, so a listed host may be dead and an unlisted one may send
// heartbeats. Heartbeats may be lost, repeated or reordered.
//
// A View has no lock and must not be used by two goroutines at once.
package membership

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// State is the state of a node as seen by the node that owns the View.
type State int

// States of a node. A node is silent while no sign of life arrives from it.
const (
	// Alive means that a sign of life arrived within Config.SuspectAfter.
	Alive State = iota + 1
	// Suspected means listed without a sign of life yet, silent for
	// Config.SuspectAfter, or a connection to the node failed.
	Suspected
	// Dead means silent for Config.DeadAfter, or removed from the host list.
	Dead
	// Leaving means that the node announced its shutdown or is marked as
	// leaving in the host list. It takes no new work.
	Leaving
	// Left means that the node was leaving and then was silent for
	// Config.DeadAfter or was removed from the host list.
	Left
)

// String returns the name of the state for logs and status answers.
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

// Reason names the input that caused a transition.
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

// Transition is one change of a node's state. From is zero for a node that was
// not known before.
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

// Heartbeat is the state that a peer reports about itself, in a request or in the
// answer to one.
type Heartbeat struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Leaving     bool
	// Sequence is the highest contract log sequence in force on the peer.
	Sequence ident.LogSequence
	// FreshAge is the age of the peer's newest proof that Sequence is current,
	// as of the sending of the heartbeat. It is negative if there is none.
	FreshAge time.Duration
	InFlight int
	// RequestSentAt is the time at which this node sent the request that the
	// heartbeat answers. It is zero if the heartbeat is not an answer: such a
	// message may have been delayed for any time, so it counts as a sign of
	// life but proves no freshness.
	RequestSentAt time.Time
}

// Summary is a relay's report about other nodes.
type Summary struct {
	From        ident.HostID
	Incarnation ident.Incarnation
	// RequestSentAt is the time at which this node sent the request that the summary
	// answers. A summary without it is ignored, because its age is unbounded.
	RequestSentAt time.Time
	Hosts         []SummaryHost
}

// SummaryHost is the part of a Summary about one node.
type SummaryHost struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	Sequence    ident.LogSequence
	Leaving     bool
	// Age is the time since the node was last certainly alive, according to the
	// relay.
	Age time.Duration
}

// Node is the current record of one node in a View.
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
	// LastSeenAt is the time of the last sign of life.
	LastSeenAt time.Time
	// ConfirmedAliveAt is the latest time at which the node was certainly alive:
	// the time at which this node sent the request that the node answered last. It
	// is zero if there is none.
	ConfirmedAliveAt time.Time
	// FreshAt is the latest time at which Sequence was current, as proved by
	// the peer. It is zero if there is none.
	FreshAt time.Time
}

// entry is the record of one node with the flags and times that determine its
// state.
type entry struct {
	Node
	// silentSince is the time from which Config.SuspectAfter, DeadAfter and
	// ForgetAfter count: the last sign of life, or the first listing.
	silentSince      time.Time
	seen             bool      // sign of life since the first listing, incarnation or clock jump
	failedAt         time.Time // last failed connection, zero after a later sign of life
	listLeaving      bool      // marked as leaving in the host list
	announcedLeaving bool      // this incarnation announced that it leaves
	removed          bool      // was listed and is no longer listed
}

// stateAt returns the state of a peer at the given time. Leaving takes precedence
// over Suspected and Alive, so that a heartbeat never makes a leaving node
// available to callers again.
func (e *entry) stateAt(now time.Time, c Config) State {
	silence := now.Sub(e.silentSince)
	leaving := e.announcedLeaving || e.listLeaving
	switch {
	case leaving && (e.removed || silence >= c.DeadAfter):
		return Left
	case leaving:
		return Leaving
	case e.removed || silence >= c.DeadAfter:
		return Dead
	case !e.failedAt.IsZero() || !e.seen || silence >= c.SuspectAfter:
		return Suspected
	}
	return Alive
}
