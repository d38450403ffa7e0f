package front

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// The operator orders a roll-out with a row of its table, which all nodes follow. Each node
// reports what it sees to the coordinator, one node that all elect, and follows the plan in
// its answer. A node without a recent answer sends nothing new to the new version. The
// coordinator stores its record and each verdict, in one transaction that expects its last
// record, so that two coordinators cannot write two verdicts; a successor continues from it.

const (
	// rolloutTick is the interval at which the coordinator decides, and rolloutIdleTick that
	// of a look for new orders and versions while there is no order.
	rolloutTick     = 50 * time.Millisecond
	rolloutIdleTick = 100 * time.Millisecond
	// reportInterval is the interval of the reports of each node, and reportPerHost its
	// minimum for each node of the deployment, which bounds the datagrams that the
	// coordinator receives.
	reportInterval = 200 * time.Millisecond
	reportPerHost  = time.Millisecond
	// reportRepeat is how long a count that has changed is reported again: datagrams may be
	// lost.
	reportRepeat = 1200 * time.Millisecond
	// countsPerReport keeps a datagram below the size of one packet.
	countsPerReport = 24
	// recordInterval is the interval at which the coordinator stores its record, and
	// recordTimeout bounds one call of the store.
	recordInterval = time.Second
	recordTimeout  = 1500 * time.Millisecond
	// informInterval is the interval at which nodes that do not report get the plan.
	informInterval = 1500 * time.Millisecond
	// conductorSilence is the time for which the requests of a silent host may still run.
	conductorSilence = 6 * time.Second
)

// rollouts is the state of a node's roll-outs.
type rollouts struct {
	host rollout.Host
	// reportedAt is the time of this node's latest reports, reportedTo the host that got them,
	// and fullUntil the time until which they hold all counts, since that host is a new
	// coordinator. Only conductRollouts uses them.
	reportedAt, fullUntil time.Time
	reportedTo            ident.HostID

	mu        sync.Mutex
	conducted map[string]*conducted // guarded by mu; the orders that this node coordinates
}

// conducted is an order that this node coordinates. Guarded by rollouts.mu.
type conducted struct {
	*rollout.Controller
	loaded  bool  // the record of the store was read once
	stale   bool  // the outcome of the last write is not known
	version int64 // of the record in the store
	stored  rollout.Phase
	writing bool
	savedAt time.Time
	// informedAt is the time of the latest plan to the nodes that do not report.
	informedAt time.Time
}

// applyOrders records the orders for roll-outs among changed rows.
func (n *Node) applyOrders(rows Rows) {
	if !n.settings.Rollout.Enabled() {
		return
	}
	now := time.Now()
	for _, r := range rows.Rows {
		service, ok := n.decoder.RolloutService(r.Key)
		switch {
		case !ok:
		case r.Removed:
			n.withdraw(service)
		default:
			n.addOrder(now, service, r, rows.Position.Era)
		}
	}
}

func (n *Node) addOrder(now time.Time, service string, r Row, era int64) {
	o, err := n.decoder.DecodeRollout(service, r.Value)
	if err != nil {
		n.log.LogError(logrus.ErrorLevel, telemetry.EventRollout, err, logrus.Fields{"service": service}, "cannot read an order for a roll-out, it has no effect")
		return
	}
	o.ID = rollout.ID{Era: era, Revision: r.Version}
	if !n.rollouts.host.SetOrder(now, o) {
		return
	}
	fields := logrus.Fields{"service": service, "to": o.To, "order": o.ID.String(), "duration_ms": o.Duration.Milliseconds()}
	if t := n.routes.Current(); t != nil && t.Service(service) == nil {
		n.log.Log(logrus.WarnLevel, telemetry.EventRollout, fields, "order for a roll-out of a service that the configuration does not have")
		return
	}
	n.log.Log(logrus.InfoLevel, telemetry.EventRollout, fields, "order for a roll-out")
}

func (n *Node) withdraw(service string) {
	n.rollouts.host.Withdraw(service)
	n.log.Log(logrus.InfoLevel, telemetry.EventRollout, logrus.Fields{"service": service}, "order for a roll-out was withdrawn")
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	if c := n.rollouts.conducted[service]; c != nil {
		c.Withdraw(time.Now())
	}
}

// withdrawMissing withdraws the orders that a full listing lacks.
func (n *Node) withdrawMissing(rows Rows) {
	listed := map[string]bool{}
	for _, r := range rows.Rows {
		if service, ok := n.decoder.RolloutService(r.Key); ok && !r.Removed {
			listed[service] = true
		}
	}
	for _, o := range n.rollouts.host.Orders(false) {
		if !listed[o.Service] {
			n.withdraw(o.Service)
		}
	}
}

// conductRollouts reports what this node sees of roll-outs, and coordinates them if it is
// elected.
func (n *Node) conductRollouts(ctx context.Context) {
	if !n.settings.Rollout.Enabled() {
		return
	}
	var observedAt time.Time
	every(ctx, rolloutTick, func(now time.Time) {
		if now.Sub(observedAt) >= rolloutIdleTick {
			observedAt = now
			n.rollouts.host.Observe(now, n.fleet.Versions())
		}
		orders := n.rollouts.host.Orders(true)
		coordinator, self := n.rolloutCoordinator(now)
		if len(orders) > 0 {
			n.reportRollouts(now, orders, coordinator, self)
		}
		n.stepRollouts(ctx, now, orders, self)
	})
}

// rolloutCoordinator returns the node that coordinates roll-outs; self is set if it is this
// one. Nodes of a build without roll-outs are not elected.
func (n *Node) rolloutCoordinator(now time.Time) (coordinator mesh.Member, self bool) {
	var peers []mesh.Member
	for _, m := range n.mesh.Alive(now) {
		if m.Coordinates && m.Mesh != "" {
			peers = append(peers, m)
		}
	}
	elected := electReader(n.readerCandidate(now), peers)
	for _, m := range peers {
		if m.Host == elected {
			return m, false
		}
	}
	return mesh.Member{}, true
}

// reportRollouts sends this node's reports to the coordinator, or takes them itself.
func (n *Node) reportRollouts(now time.Time, orders []rollout.Order, coordinator mesh.Member, self bool) {
	interval := max(reportInterval, time.Duration(n.mesh.CountKnown())*reportPerHost)
	if now.Sub(n.rollouts.reportedAt) < interval {
		return
	}
	n.rollouts.reportedAt = now
	repeat := max(reportRepeat, 3*interval)
	if coordinator.Host != n.rollouts.reportedTo {
		n.rollouts.reportedTo, n.rollouts.fullUntil = coordinator.Host, now.Add(repeat)
	}
	since := now.Add(-repeat)
	if now.Before(n.rollouts.fullUntil) {
		since = time.Time{}
	}
	for _, o := range orders {
		r, ok := n.rollouts.host.Report(now, o.Service, since)
		switch {
		case !ok:
		case self:
			r.Host, r.Incarnation = n.settings.Host, n.incarnation
			n.onRolloutReport(now, r)
		default:
			for _, part := range r.Split(countsPerReport) {
				n.mesh.ReportRollout(coordinator, part)
			}
		}
	}
}

// onRolloutReport handles a report of a node, this one included, and answers with the plan.
func (n *Node) onRolloutReport(now time.Time, r rollout.Report) {
	plan, ok := n.takeReport(now, r)
	if !ok {
		return
	}
	if r.Host == n.settings.Host {
		n.onRolloutPlan(now, r.Service, plan)
		return
	}
	for _, m := range n.mesh.Alive(now) {
		if m.Host == r.Host {
			n.mesh.PlanRollout(m, r.Service, plan)
		}
	}
}

// takeReport adds a report to the evidence and returns the plan for its host.
func (n *Node) takeReport(now time.Time, r rollout.Report) (rollout.Plan, bool) {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	c := n.rollouts.conducted[r.Service]
	if c == nil || c.Order.ID.Before(r.ID) {
		n.onRolloutPlan(now, r.Service, r.Plan) // the host has read an order that this one has not
	}
	if c == nil || c.Order.ID != r.ID {
		// A verdict that the host has missed.
		plan, ok := n.rollouts.host.PlanOf(now, r.Service)
		return plan, ok && plan.ID == r.ID && plan.Stored
	}
	if r.Host != n.settings.Host {
		c.Adopt(now, r.Plan)
	}
	c.Evidence.Add(now, r)
	return c.visible(now), true
}

// visible returns the plan for the hosts. The verdict that a version is good is in force once
// it is stored, since the operator stops the old servers for it. Without the record of an
// earlier coordinator it is not known how many requests the version got.
func (c *conducted) visible(now time.Time) rollout.Plan {
	p := c.Plan(now)
	switch {
	case p.Phase == rollout.Done && !p.Stored:
		p.Phase = rollout.Moving
	case p.Phase == rollout.Testing && !c.loaded:
		p.Share = 0
	}
	return p
}

// onRolloutPlan follows the plan of the coordinator.
func (n *Node) onRolloutPlan(now time.Time, service string, p rollout.Plan) {
	if n.rollouts.host.Follow(now, service, p) {
		telemetry.RolloutPhases.Counter(n.scope, string(p.Phase)).Inc(1)
		n.log.Log(logrus.InfoLevel, telemetry.EventRollout, logrus.Fields{
			"service": service, "to": p.To, "order": p.ID.String(), "phase": p.Phase, "share": p.Share, "reason": p.Reason, "elapsed_ms": p.ElapsedMs,
		}, "roll-out has a new phase")
	}
}

// stepRollouts takes a step of each order if this node is the coordinator, and drops the
// orders that it conducted if it is not.
func (n *Node) stepRollouts(ctx context.Context, now time.Time, orders []rollout.Order, self bool) {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	if !self {
		clear(n.rollouts.conducted)
		return
	}
	for _, o := range orders {
		c := n.conduct(now, o)
		if t := n.routes.Current(); t == nil || t.Service(o.Service) == nil {
			continue // the configuration may still come
		}
		if plan, changed := c.Step(now, n.situation(now, o)); changed {
			n.logStep(c, plan)
			n.broadcastPlan(now, o.Service, c.visible(now))
		}
		n.informSilent(now, o.Service, c)
		n.save(ctx, now, c)
	}
}

// conduct returns the state of an order that this node coordinates. The lock is held.
func (n *Node) conduct(now time.Time, o rollout.Order) *conducted {
	if n.rollouts.conducted == nil {
		n.rollouts.conducted = map[string]*conducted{}
	}
	c := n.rollouts.conducted[o.Service]
	if c == nil || c.Order.ID.Before(o.ID) {
		plan, _ := n.rollouts.host.PlanOf(now, o.Service)
		c = &conducted{Controller: rollout.NewController(now, o, n.settings.Rollout, plan)}
		n.rollouts.conducted[o.Service] = c
	}
	return c
}

func (n *Node) situation(now time.Time, o rollout.Order) rollout.Situation {
	s := rollout.Situation{Silent: n.mesh.Silent(now, conductorSilence)}
	s.New, s.Old = n.fleet.CountVersions(now, o.Service, o.To)
	for _, m := range n.mesh.Alive(now) {
		if m.Clients != "" {
			s.Hosts = append(s.Hosts, m.Host)
		}
	}
	return s
}

func (n *Node) broadcastPlan(now time.Time, service string, p rollout.Plan) {
	n.onRolloutPlan(now, service, p)
	for _, m := range n.mesh.Alive(now) {
		n.mesh.PlanRollout(m, service, p)
	}
}

// informSilent sends the plan to the nodes that do not report, once in informInterval: they
// may not have read the order.
func (n *Node) informSilent(now time.Time, service string, c *conducted) {
	if now.Sub(c.informedAt) < informInterval {
		return
	}
	c.informedAt = now
	for _, m := range n.mesh.Alive(now) {
		if !c.Evidence.Heard(now, m.Host, informInterval) {
			n.mesh.PlanRollout(m, service, c.visible(now))
		}
	}
}

func (n *Node) logStep(c *conducted, p rollout.Plan) {
	toNew, all := c.Exposed()
	routes, _ := json.Marshal(c.Judgement().Routes) // plain data always encodes
	n.log.Log(logrus.InfoLevel, telemetry.EventRollout, logrus.Fields{
		"service": c.Order.Service, "to": p.To, "order": p.ID.String(), "phase": p.Phase, "reason": p.Reason,
		"elapsed_ms": p.ElapsedMs, "sent_to_new": toNew, "sent": all, "evidence": string(routes),
	}, "coordinator decided on a roll-out")
}
