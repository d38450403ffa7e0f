// Package mesh exchanges membership, events and changes of the list of servers
// between the nodes of a deployment, in UDP datagrams.
//
// Load pattern: the exchanged state is small, must arrive within milliseconds and
// is outdated within seconds: whether a node is alive, which version of the
// configuration it has, which engine it sent a prompt to, and which server it
// lost. Datagrams need no connection that could fail unnoticed, and the next
// heartbeat replaces a lost one.
//
// A Mesh is safe for concurrent use. It has one sending and one receiving
// goroutine; other goroutines pass events to the sender through a bounded ring.
package mesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/dispatch"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/retryshare"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/serverlimit"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
)

// State is the state of a node as announced in its heartbeats.
type State string

// States of a node.
const (
	// Starting nodes still lack a configuration or the list of servers.
	Starting State = "starting"
	// Ready nodes accept client requests.
	Ready State = "ready"
	// Leaving nodes finish the requests in flight.
	Leaving State = "leaving"
)

// Member describes a node to its peers. A brief Member leaves out the fields that
// do not change during one incarnation; see Member.brief.
type Member struct {
	Host        ident.HostID      `json:"-"` // sent in the message itself
	Incarnation ident.Incarnation `json:"-"`
	DataCentre  ident.DataCentre  `json:"d,omitempty"`
	Mesh        string            `json:"m,omitempty"` // address for datagrams and state requests
	Clients     string            `json:"c,omitempty"` // address for clients
	State       State             `json:"s"`
	// Capacity is the number of requests per second that the host can serve.
	Capacity float64 `json:"w,omitempty"`
	// ConfigVersion is the version of the configuration in force at the node.
	ConfigVersion int64 `json:"v"`
	// ConfigEra is the era of the store in which the node read that configuration.
	ConfigEra int64 `json:"e,omitempty"`
	// StoreAgeMs is the time in milliseconds since the node's newest answer from
	// the platform's store.
	StoreAgeMs int64 `json:"a"`
	// ServersChanged is the newest position in the store, among those that the node has
	// read, at which a backend server joined, left or changed its state. The node does
	// not know of the changes before ServersListed. ServersRead is the position up to
	// which it has read the list.
	ServersChanged ident.StorePosition `json:"r,omitzero"`
	ServersListed  ident.StorePosition `json:"b,omitzero"`
	ServersRead    ident.StorePosition `json:"p,omitzero"`
	// ServersDigest is a hash of the list of servers; 0 if the node does not tell it. See
	// fleet.Fleet.ListDigest.
	ServersDigest uint64 `json:"t,omitempty"`
	// LapseMs is the time in milliseconds, at least 1, since the end of an outage of the
	// store in which entries may have lapsed; 0 if there was none lately.
	LapseMs int64 `json:"g,omitempty"`
	// LostPaths lists the services to whose servers the node has no network path.
	LostPaths []string `json:"x,omitempty"`
	// Crashes is the number of crashes that the node keeps.
	Crashes int `json:"k,omitempty"`
	// CrashesDigest is a hash of the crashes and of the answers to their content; 0 if there
	// are none, or if the node is of a build that does not tell it. See
	// crashcause.Tracker.Digest.
	CrashesDigest uint64 `json:"q,omitempty"`
	// Settled reports whether the node has run for some time.
	Settled bool `json:"o,omitempty"`
	// Limits are the limits of the servers that the node owns; see package serverlimit.
	Limits []fleet.LimitNotice `json:"l,omitempty"`
	// Dispatches reports whether the node can assign the calls of all hosts to servers.
	Dispatches bool `json:"z,omitempty"`
	// Coordinates reports whether the node can conduct roll-outs.
	Coordinates bool `json:"y,omitempty"`
	// Usage is the use of each service by the node in the last window.
	Usage map[string]retryshare.Usage `json:"u,omitempty"`
}

// brief returns m without the fields that do not change during one incarnation.
func (m Member) brief() Member {
	m.DataCentre, m.Mesh, m.Clients, m.Capacity = "", "", "", 0
	return m
}

// withStaticFields returns m with the fields that brief leaves out, taken from an
// earlier Member of the same incarnation.
func (m Member) withStaticFields(earlier Member) Member {
	m.DataCentre, m.Mesh, m.Clients, m.Capacity = earlier.DataCentre, earlier.Mesh, earlier.Clients, earlier.Capacity
	return m
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventPlaced EventKind = "placed"
	EventFirst  EventKind = "first"
	EventEnded  EventKind = "ended"
	EventCopied EventKind = "copied"
	// EventCopyDropped cancels a copy that was announced.
	EventCopyDropped EventKind = "dropped"
	EventLost        EventKind = "lost"
	// EventLeaving reports a server that said in an answer that it is leaving.
	EventLeaving EventKind = "leaving"
	EventFound   EventKind = "found"
	// EventLimit reports a change of the limit that a server names.
	EventLimit EventKind = "limit"
	// EventRejected reports that a brittle server has rejected a request.
	EventRejected EventKind = "rejected"
	EventCrash    EventKind = "crash"
	// EventAnswered reports that suspected content was answered.
	EventAnswered EventKind = "answered"
)

// Event is an observation or action of one node that its peers take into account
// when they choose servers.
type Event struct {
	Kind   EventKind        `json:"k"`
	Placed *fleet.Placement `json:"p,omitempty"`
	Server ident.BackendID  `json:"b,omitempty"`
	Loss   fleet.Loss       `json:"l,omitempty"`
	// Incarnation is that of Server; it is set for EventLeaving.
	Incarnation int64 `json:"i,omitempty"`
	// Found is a server that was found at the address of a lost one.
	Found *fleet.Entry       `json:"f,omitempty"`
	Crash *crashcause.Crash  `json:"c,omitempty"`
	Limit *fleet.LimitNotice `json:"r,omitempty"`
	// Answered is content that was answered although a crash counted against it.
	Answered *crashcause.Content `json:"a,omitempty"`
}

// message is the content of one datagram. A heartbeat has a Member; events are
// sent without one, since they are far more frequent.
type message struct {
	Host        ident.HostID      `json:"h"`
	Incarnation ident.Incarnation `json:"i"`
	// Superseded is set in the answer to a heartbeat of an earlier incarnation of the receiver
	// than the sender knows: the one that it knows.
	Superseded ident.Incarnation `json:"su,omitempty"`
	Member     *Member           `json:"m,omitempty"`
	Events     []Event           `json:"e,omitempty"`
	// Hello requests a heartbeat in reply.
	Hello bool `json:"q,omitempty"`
	// ServerChanges are changes of the list of servers that the sender has read.
	ServerChanges *ServerChanges `json:"l,omitempty"`
	// LoanRequest asks the receiver to lend retries; Loan is the answer.
	LoanRequest *Loan `json:"b,omitempty"`
	Loan        *Loan `json:"g,omitempty"`
	// Origin asks the receiver which version began a stream; OriginAnswer is the answer.
	Origin       *OriginRequest `json:"o,omitempty"`
	OriginAnswer *OriginAnswer  `json:"w,omitempty"`
	// Permit asks the receiver for permission to send a request to a server that limits
	// them; Permitted is the answer.
	Permit    *PermitRequest `json:"y,omitempty"`
	Permitted *PermitAnswer  `json:"z,omitempty"`
	// Release ends a permission.
	Release *Release `json:"x,omitempty"`
	// Ask asks the dispatcher of a service for a server for a call, Assigned is its answer, and
	// CallEnd tells it the end of a call.
	Ask      *AskServer `json:"as,omitempty"`
	Assigned *Assigned  `json:"ad,omitempty"`
	CallEnd  *CallEnd   `json:"ae,omitempty"`
	// RolloutReport is what the sender has seen of a roll-out, and RolloutPlan what the
	// coordinator of one asks of the receiver.
	RolloutReport *rollout.Report `json:"ro,omitempty"`
	RolloutPlan   *RolloutPlan    `json:"rp,omitempty"`
}

// AskServer asks for a server for a call. The times are those left for the caller.
type AskServer struct {
	Service     string            `json:"s"`
	Number      uint64            `json:"n"` // unique for the host
	Route       string            `json:"r"`
	Team        string            `json:"t,omitempty"`
	Priority    int               `json:"p,omitempty"`
	ObjectiveMs int64             `json:"o,omitempty"` // 0 if the route has no objective
	DeadlineMs  int64             `json:"d"`
	Except      []ident.BackendID `json:"x,omitempty"`
	Optional    bool              `json:"y,omitempty"`
}

// Assigned is the answer to an AskServer with the same number. It has neither a server nor a
// refusal for a call that waits.
type Assigned struct {
	Number uint64          `json:"n"`
	Server ident.BackendID `json:"s,omitempty"`
	// NoServer is set if the call must not be sent to any of the servers.
	NoServer bool   `json:"o,omitempty"`
	Refused  bool   `json:"r,omitempty"`
	RoomMs   int64  `json:"m,omitempty"`
	Reason   string `json:"w,omitempty"`
}

// Decided reports whether the answer ends the wait of its call.
func (a Assigned) Decided() bool { return a.Server != "" || a.NoServer || a.Refused }

// CallEnd tells the end of a call that was assigned to a server, or that it is not sent.
type CallEnd struct {
	Service string         `json:"s"`
	Number  uint64         `json:"n"`
	NotSent bool           `json:"x,omitempty"`
	Took    time.Duration  `json:"t,omitempty"`
	Full    bool           `json:"f,omitempty"`
	Lost    bool           `json:"l,omitempty"`
	Load    *dispatch.Load `json:"o,omitempty"`
}

// RolloutPlan is the plan for a service.
type RolloutPlan struct {
	Service string       `json:"v"`
	Plan    rollout.Plan `json:"p"`
}

// OriginRequest asks which version began a stream.
type OriginRequest struct {
	Number uint64            `json:"n"` // unique within one incarnation of the sender
	Key    streamversion.Key `json:"k"`
}

// OriginAnswer is the answer to an OriginRequest with the same number. Version is empty if
// the sender does not know it.
type OriginAnswer struct {
	Number  uint64 `json:"n"`
	Version string `json:"v,omitempty"`
}

// PermitRequest asks the owner of a server for permission to send one request to it.
type PermitRequest struct {
	Number uint64            `json:"n"` // unique within one incarnation of the sender
	Limit  fleet.LimitNotice `json:"l"` // the limit that the sender knows
	// Own is set for a call of the sender's own, which needs no room. Tight is set if the
	// server may lack the memory for the request.
	Own   bool `json:"o,omitempty"`
	Tight bool `json:"t,omitempty"`
	// Host is the host that is about to send, and Sent the number of its requests that run
	// on the server.
	Host ident.HostID `json:"h,omitempty"`
	Sent int          `json:"s,omitempty"`
	// Stage is the stage of the request at its receiver.
	Stage serverlimit.Stage `json:"g,omitempty"`
}

// Release tells the owner of a brittle server that a request of the sender has ended there.
type Release struct {
	Server      ident.BackendID `json:"s"`
	Incarnation int64           `json:"i,omitempty"`
	Number      uint64          `json:"n"` // increases with each release of the sender
}

// PermitAnswer is the answer to a PermitRequest with the same number.
type PermitAnswer struct {
	Number   uint64               `json:"n"`
	Decision serverlimit.Decision `json:"d"`
	// Limit is the limit that the owner knows.
	Limit fleet.LimitNotice `json:"l"`
}

// Loan is a number of retries to a service that one host lends to another. In a
// request it is the number that the sender needs. The answer has the Number of the
// request; its Retries are 0 if the receiver has none to spare.
type Loan struct {
	Service string `json:"v"`
	Number  uint64 `json:"n"` // unique within one incarnation of the borrower
	Retries int    `json:"r"`
}

// ServerChanges is one part of the changes of the list of servers between two
// positions in the store.
type ServerChanges struct {
	From  ident.StorePosition `json:"f"`
	To    ident.StorePosition `json:"t"`
	Part  int                 `json:"p"` // counted from 0
	Parts int                 `json:"n"`
	Rows  []ServerChange      `json:"r"`
}

// ServerChange is a server that joined or changed its state, or the id of one that
// left.
type ServerChange struct {
	Server  fleet.Entry     `json:"s,omitzero"`
	Removed ident.BackendID `json:"x,omitempty"`
}

// encode encodes a datagram as CBOR with the names of the json tags as keys. With
// hundreds of nodes most of the traffic between hosts is heartbeats, and the
// binary form is little more than half as long as JSON.
func encode(m message) ([]byte, error) { return cbor.Marshal(m) }

func decode(p []byte) (message, error) {
	var m message
	err := cbor.Unmarshal(p, &m)
	return m, err
}
