package front

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/serverlimit"
)

// A server may limit the requests per second of all hosts together, or be brittle. One host,
// the owner of the server, grants each request; see package serverlimit. The owner sends the
// limit with its heartbeats, for hosts that have just started or have missed the datagram
// about its change.

const (
	// partitionMemory is how long a host that is silent is taken for one that may still
	// send, out of reach of this one.
	partitionMemory = 30 * time.Second
	// ownerRetryAfter is the time without requests to a server whose owner does not
	// answer. A host that has ended ceases to be the owner after about a second.
	ownerRetryAfter = 200 * time.Millisecond
	// maxLimitsPerHeartbeat keeps a heartbeat below the size of one packet.
	maxLimitsPerHeartbeat = 12
)

// permitTimeouts are how long a request for permission waits for its answer, which may
// come through other hosts. A round trip takes a few milliseconds; the second request
// follows one that was lost, or whose path is longer.
var permitTimeouts = [...]time.Duration{40 * time.Millisecond, 120 * time.Millisecond}

// permit implements gateway.Gateway.Permit.
func (n *Node) permit(ctx context.Context, s *fleet.Server, purpose gateway.Purpose) serverlimit.Decision {
	for _, timeout := range permitTimeouts {
		now := time.Now()
		x := mesh.PermitRequest{
			Limit: n.fleet.LimitOf(now, s), Host: n.settings.Host, Sent: n.sentTo(s),
			Own: purpose == gateway.PurposeOwn, Tight: purpose == gateway.PurposeTight,
		}
		owner, stage, remote := n.nextForPermit(now, s.ID, serverlimit.Asked)
		if !remote {
			decision, _ := n.grant(now, x)
			return decision
		}
		x.Stage = stage
		if answer, ok := n.requestPermit(ctx, owner, x, timeout); ok {
			n.mergeLimit(time.Now(), answer.Limit, string(owner.Host))
			return answer.Decision
		}
	}
	return serverlimit.Decision{Free: ownerRetryAfter, Turn: ownerRetryAfter}
}

// limitView returns what this node knows of the hosts that may own servers, and the
// members that can be reached.
func (n *Node) limitView(now time.Time) (serverlimit.View, []mesh.Member) {
	v := serverlimit.View{Self: n.settings.Host, Leaving: n.leaving.Load()}
	members := slices.DeleteFunc(n.mesh.Alive(now), func(m mesh.Member) bool { return m.State == mesh.Leaving || m.Mesh == "" })
	for _, m := range members {
		v.Reachable = append(v.Reachable, m.Host)
	}
	v.Silent = n.mesh.Silent(now, partitionMemory)
	return v, members
}

// nextForPermit returns the node that a request for permission goes to and its stage
// there. remote is false if this node decides on the request.
func (n *Node) nextForPermit(now time.Time, server ident.BackendID, stage serverlimit.Stage) (to mesh.Member, next serverlimit.Stage, remote bool) {
	v, members := n.limitView(now)
	host, next := v.Next(server, stage, rand.IntN)
	if host == "" {
		return to, next, false
	}
	i := slices.IndexFunc(members, func(m mesh.Member) bool { return m.Host == host })
	return members[i], next, true
}

// requestPermit asks a peer once. It returns false if there is no answer in time.
func (n *Node) requestPermit(ctx context.Context, peer mesh.Member, x mesh.PermitRequest, timeout time.Duration) (mesh.PermitAnswer, bool) {
	number, answer := n.permits.open()
	defer n.permits.close(number)
	x.Number = number
	n.mesh.RequestPermit(peer, x)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return mesh.PermitAnswer{}, false
}

// onPermitted handles the answer to a request for permission. An answer after the timeout
// is ignored.
func (n *Node) onPermitted(_ time.Time, x mesh.PermitAnswer) {
	if answer := n.permits.close(x.Number); answer != nil {
		answer <- x
	}
}

// onPermit decides on the request of a peer, or passes it on to another node and returns
// its answer.
func (n *Node) onPermit(now time.Time, sender string, x mesh.PermitRequest) {
	to, stage, remote := n.nextForPermit(now, x.Limit.Server, x.Stage)
	if !remote {
		decision, known := n.grant(now, x)
		n.mesh.AnswerPermit(sender, mesh.PermitAnswer{Number: x.Number, Decision: decision, Limit: known})
		return
	}
	go func() {
		number := x.Number
		x.Stage = stage
		if answer, ok := n.requestPermit(context.Background(), to, x, permitTimeouts[0]); ok {
			answer.Number = number
			n.mesh.AnswerPermit(sender, answer)
		}
	}()
}

// grant decides on a request to a server that this node owns, and returns the limit of the
// server. The request holds the limit that the sender knows; the one stated last holds.
func (n *Node) grant(now time.Time, x mesh.PermitRequest) (serverlimit.Decision, fleet.LimitNotice) {
	known := n.mergeLimit(now, x.Limit, "peer")
	v, _ := n.limitView(now)
	group := n.mesh.CountAlive(now) + 1
	share := serverlimit.Share(group, group+len(v.Silent))
	server := serverlimit.Server{ID: known.Server, Incarnation: known.Incarnation}
	decision := serverlimit.Decision{Granted: true}
	if known.Brittle && !x.Own {
		decision = n.grantBrittle(now, server, x, serverlimit.BrittleRequest{MaxRejected: float64(known.MaxRejected), Share: share})
	}
	if decision.Granted && known.PerSecond > 0 {
		decision = n.limiter.Take(now, server, known.PerSecond*share)
	}
	return decision, known
}

// grantBrittle decides on a request to a brittle server that this node owns.
func (n *Node) grantBrittle(now time.Time, server serverlimit.Server, x mesh.PermitRequest, r serverlimit.BrittleRequest) serverlimit.Decision {
	r.Host, r.Sent, r.Fits = x.Host, x.Sent, !x.Tight
	if s := n.fleet.Server(server.ID); s != nil {
		o := n.fleet.OccupancyOf(s)
		r.Slots, r.Runs = o.Slots, o.Runs
	}
	return n.rejections.Take(now, server, r)
}

// sentTo returns the number of requests of this node that run on a server.
func (n *Node) sentTo(s *fleet.Server) int { return n.fleet.OccupancyOf(s).Own }

// release implements gateway.Gateway.Release.
func (n *Node) release(s *fleet.Server) {
	now := time.Now()
	v, members := n.limitView(now)
	owner := serverlimit.Owner(s.ID, append(v.Reachable, v.Self))
	x := mesh.Release{Server: s.ID, Incarnation: s.Incarnation, Number: n.releaseNumber(now)}
	if owner == v.Self {
		n.onRelease(now, v.Self, x)
		return
	}
	i := slices.IndexFunc(members, func(m mesh.Member) bool { return m.Host == owner })
	n.mesh.Release(members[i], x)
}

// releaseNumber returns a number that is above those of all earlier releases, also of those
// of an earlier incarnation of this node.
func (n *Node) releaseNumber(now time.Time) uint64 {
	for {
		last := n.lastRelease.Load()
		next := max(last+1, uint64(now.UnixNano()))
		if n.lastRelease.CompareAndSwap(last, next) {
			return next
		}
	}
}

// onRelease ends a lease that this node has granted to a host.
func (n *Node) onRelease(now time.Time, host ident.HostID, x mesh.Release) {
	n.rejections.Release(now, serverlimit.Server{ID: x.Server, Incarnation: x.Incarnation}, host, x.Number)
}

// recordRejection counts a rejection by a server, and reports whether the server is brittle.
func (n *Node) recordRejection(now time.Time, id ident.BackendID) bool {
	incarnation, ok := n.fleet.RecordRejection(now, id)
	if ok {
		n.rejections.Record(now, serverlimit.Server{ID: id, Incarnation: incarnation})
	}
	return ok
}

// mergeLimit records the limit that a peer knows and returns what is known then.
func (n *Node) mergeLimit(now time.Time, limit fleet.LimitNotice, source string) fleet.LimitNotice {
	known, changed := n.fleet.MergeLimit(now, limit)
	if changed {
		n.gateway.LogLimit(known, source)
	}
	return known
}

// ownedLimits returns the limits of the servers that this node owns, for its heartbeats.
func (n *Node) ownedLimits(now time.Time) []fleet.LimitNotice {
	limits := n.fleet.Limits(now)
	if len(limits) == 0 {
		return nil
	}
	v, _ := n.limitView(now)
	limits = slices.DeleteFunc(limits, func(l fleet.LimitNotice) bool { return !v.Owns(l.Server) })
	return limits[:min(len(limits), maxLimitsPerHeartbeat)]
}
