// Package rollout decides how the traffic of a service moves to a new version of its
// servers: how much new work the version gets while it is tested, when all new work moves
// to it, and whether it is accepted or rolled back.
//
// Load pattern: a service with three to several hundred servers is called from up to
// hundreds of hosts, each of which sees a small part of the answers. The servers of the new
// version run beside the old ones. A version may fail or be slow from the start, only later,
// only under load, or on one route; single servers of either version may fail meanwhile. A
// bad version must get few requests in all, and the order has a deadline.
//
// One host, the coordinator, holds a Controller for each order. Each host has a Host, which
// counts the answers of both versions and assigns its requests by the plan of the
// coordinator. Nothing here reads a clock or does input or output. A Host is safe for
// concurrent use; a Controller and its Evidence belong to the goroutine that coordinates.
package rollout

import (
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// ID identifies an order: the position in the store at which it was written.
type ID struct {
	Era      int64 `json:"e,omitempty"`
	Revision int64 `json:"r"`
}

// Before reports whether an order was written before another one.
func (a ID) Before(b ID) bool {
	return a.Era < b.Era || a.Era == b.Era && a.Revision < b.Revision
}

func (a ID) String() string { return fmt.Sprintf("%d.%d", a.Era, a.Revision) }

// Order is an operator's order to move the traffic of a service to the servers of a version.
type Order struct {
	ID       ID
	Service  string
	To       string        // the new version
	Duration time.Duration // time within which the order is to be completed
}

// SameAs reports whether two orders ask for the same. An order that the operator has written
// again after the store was restored has another ID.
func (o Order) SameAs(other Order) bool {
	return o.Service == other.Service && o.To == other.To && o.Duration == other.Duration
}

// Phase is the stage of a roll-out.
type Phase string

// Phases of a roll-out, in their order. The last two are final.
const (
	// Waiting: the new version has too few servers yet.
	Waiting Phase = "waiting"
	// Testing: some servers of the new version get a small share of the new requests.
	Testing Phase = "testing"
	// Moving: the new version gets all new requests, while those at the old one end.
	Moving Phase = "moving"
	// Done: the operator may stop the old servers.
	Done Phase = "done"
	// RolledBack: the new version gets no requests.
	RolledBack Phase = "rolled-back"
)

// Final reports whether a phase is a verdict, which never changes for an order.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

func (p Phase) rank() int {
	return map[Phase]int{Waiting: 1, Testing: 2, Moving: 3, Done: 4, RolledBack: 4}[p]
}

// Plan is what the coordinator asks of all hosts.
type Plan struct {
	// ID, To and DurationMs are those of the order, for hosts that cannot read it.
	ID         ID     `json:"i"`
	To         string `json:"v"`
	DurationMs int64  `json:"u,omitempty"`
	Phase      Phase  `json:"p"`
	// Share is the fraction of new requests, 0 to 1, that go to the new version.
	Share float64 `json:"s,omitempty"`
	// Servers is the number of servers of the new version that get them; 0 for all.
	Servers int `json:"n,omitempty"`
	// ElapsedMs is the time since the order, in milliseconds.
	ElapsedMs int64 `json:"t"`
	// PhaseMs is the time since the phase began, in milliseconds.
	PhaseMs int64 `json:"a,omitempty"`
	// Stored is set for a verdict that is in the store.
	Stored bool `json:"d,omitempty"`
	// Reason is the reason for the phase.
	Reason string `json:"w,omitempty"`
}

// order returns the order of the plan.
func (p Plan) order(service string) Order {
	return Order{ID: p.ID, Service: service, To: p.To, Duration: time.Duration(p.DurationMs) * time.Millisecond}
}

// firstPlan returns the plan for an order that has just come.
func (o Order) firstPlan() Plan {
	return Plan{ID: o.ID, To: o.To, DurationMs: o.Duration.Milliseconds(), Phase: Waiting}
}

// Supersedes reports whether a plan replaces another one of the same service. A verdict is
// replaced by another one of the same order only if that is stored and it is not.
func (p Plan) Supersedes(old Plan) bool {
	if p.ID != old.ID {
		return old.ID.Before(p.ID)
	}
	return !old.Phase.Final() || p.Phase == old.Phase && (p.Stored || !old.Stored) || p.Stored && !old.Stored
}

// Limits bound what a bad version may get.
type Limits struct {
	// Share and Slack: from the order until its deadline, a bad version may get Share of all
	// requests to the service and Slack requests in addition.
	Share, Slack float64
	// StopWithin is the time after which a version must get no requests once it has given
	// many bad answers.
	StopWithin time.Duration
}

// Enabled reports whether the deployment uses roll-outs.
func (l Limits) Enabled() bool { return l.Share > 0 || l.Slack > 0 }

// Key is what answers are counted by.
type Key struct {
	Route string
	// Server is a server of the new version, or empty for all servers of the old ones.
	Server ident.BackendID
}

// New reports whether the key is of the new version.
func (k Key) New() bool { return k.Server != "" }
