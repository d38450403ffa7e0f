// Package mesh joins the nodes of a deployment by datagrams.
//
// Load pattern: what a node must know of its peers within milliseconds is small
// and loses its worth within seconds: that they live, which version of the
// configuration they have, which engine they gave a prompt, and which server
// they lost. A datagram needs no connection that could go silent, and one that
// is lost is made up for by the next heartbeat.
//
// A Mesh is used by any number of goroutines. Its sender and its receiver are
// one goroutine each, joined to the rest by a bounded ring.
package mesh

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// State is what a node says of itself.
type State string

// States of a node.
const (
	// Starting nodes have no configuration yet.
	Starting State = "starting"
	// Ready nodes take clients.
	Ready State = "ready"
	// Leaving nodes finish what they have.
	Leaving State = "leaving"
)

// Member is a node as its peers see it. A brief one leaves out what does not
// change in one life of the node; see Member.brief.
type Member struct {
	Host        ident.HostID      `json:"-"` // stands in the message
	Incarnation ident.Incarnation `json:"-"`
	DataCentre  ident.DataCentre  `json:"d,omitempty"`
	Mesh        string            `json:"m,omitempty"` // address for datagrams and state calls
	Clients     string            `json:"c,omitempty"` // address for clients
	State       State             `json:"s"`
	// Carries is the number of requests a second that the host can carry.
	Carries float64 `json:"w,omitempty"`
	// ConfigVersion is the newest version that the node has.
	ConfigVersion int64 `json:"v"`
	// StoreAgeMs is the age of the node's newest answer from the platform's
	// store in milliseconds.
	StoreAgeMs int64 `json:"a"`
	// ServersChanged is the newest revision at which a backend server came, left
	// or changed its state, among those that the node has read.
	ServersChanged int64 `json:"r"`
	// Usage is what the node sent to each service in the last window.
	Usage map[string]gateway.Usage `json:"u,omitempty"`
}

// brief returns what changes in one life of a node.
func (m Member) brief() Member {
	m.DataCentre, m.Mesh, m.Clients, m.Carries = "", "", "", 0
	return m
}

// full adds to a brief Member what an earlier one said.
func (m Member) full(earlier Member) Member {
	m.DataCentre, m.Mesh, m.Clients, m.Carries = earlier.DataCentre, earlier.Mesh, earlier.Clients, earlier.Carries
	return m
}

// EventKind says what an Event is about.
type EventKind string

// Kinds of events.
const (
	EventPlaced EventKind = "placed"
	EventFirst  EventKind = "first"
	EventEnded  EventKind = "ended"
	EventCopied EventKind = "copied"
	// EventCopyDropped takes a copy back that was ordered.
	EventCopyDropped EventKind = "dropped"
	EventLost        EventKind = "lost"
	EventFound       EventKind = "found"
	EventCrash       EventKind = "crash"
)

// Event is news of one node for the placement of its peers.
type Event struct {
	Kind   EventKind       `json:"k"`
	Placed *fleet.Placed   `json:"p,omitempty"`
	Server ident.BackendID `json:"b,omitempty"`
	Loss   fleet.Loss      `json:"l,omitempty"`
	// Found is a server that was found at the address of one that was lost.
	Found *fleet.Entry   `json:"f,omitempty"`
	Crash *gateway.Crash `json:"c,omitempty"`
}

// message is the content of one datagram. A heartbeat carries a Member; news are
// sent without it, since they are many more.
type message struct {
	Host        ident.HostID      `json:"h"`
	Incarnation ident.Incarnation `json:"i"`
	Member      *Member           `json:"m,omitempty"`
	Events      []Event           `json:"e,omitempty"`
	// Hello asks the receiver to answer, as a node does that has just started.
	Hello bool `json:"q,omitempty"`
	// Listed are changes of the list of servers that the sender has read.
	Listed *Listed `json:"l,omitempty"`
}

// Listed is a part of the changes of the list of servers between two revisions.
type Listed struct {
	From  int64   `json:"f"`
	To    int64   `json:"t"`
	Part  int     `json:"p"` // from 0
	Parts int     `json:"n"`
	Rows  []Entry `json:"r"`
}

// Entry is a server that came, changed its state or left.
type Entry struct {
	Server  fleet.Entry     `json:"s,omitzero"`
	Removed ident.BackendID `json:"x,omitempty"`
}

// Datagrams are CBOR, with the names of the json tags as keys: among hundreds of
// nodes most of what hosts send each other are heartbeats, and the binary form is
// little more than half as long.
func encode(m message) ([]byte, error) { return cbor.Marshal(m) }

func decode(p []byte) (message, error) {
	var m message
	err := cbor.Unmarshal(p, &m)
	return m, err
}
