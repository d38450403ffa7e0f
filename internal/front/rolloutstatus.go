package front

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
)

// serveRollouts answers an operator with the roll-outs that this node knows.
func (n *Node) serveRollouts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.describeRollouts(time.Now())) // fails only if the operator has disconnected
}

func (n *Node) describeRollouts(now time.Time) operatorapi.Rollouts {
	coordinator, self := n.rolloutCoordinator(now)
	if self {
		coordinator.Host = n.settings.Host
	}
	list := operatorapi.Rollouts{HostID: string(n.settings.Host), Coordinator: string(coordinator.Host), Rollouts: []operatorapi.Rollout{}}
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	for _, o := range n.rollouts.host.Orders(false) {
		plan, _ := n.rollouts.host.PlanOf(now, o.Service)
		r := operatorapi.Rollout{
			Service: o.Service, To: o.To, Order: o.ID.String(), Phase: string(plan.Phase), Share: plan.Share, Servers: plan.Servers,
			ElapsedMs: plan.ElapsedMs, DurationMs: o.Duration.Milliseconds(), Reason: plan.Reason,
		}
		if c := n.rollouts.conducted[o.Service]; c != nil && c.Order.ID == o.ID {
			c.describe(&r, now)
		}
		list.Rollouts = append(list.Rollouts, r)
	}
	return list
}

// describe adds what only the coordinator knows.
func (c *conducted) describe(r *operatorapi.Rollout, now time.Time) {
	r.SentNew, r.Sent = c.Exposed()
	r.Next = c.Next(now)
	for _, x := range c.Judgement().Routes {
		r.Evidence = append(r.Evidence, operatorapi.RolloutEvidence{
			Route: x.Route, OldAnswers: x.Old.Answers, OldBad: x.Old.Bad,
			NewAnswers: x.New.Answers, NewBad: x.New.Bad, NewFailed: x.Failed, Ratio: x.Ratio,
		})
	}
}
