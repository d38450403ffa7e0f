package node

import (
	"context"
	"math"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/membership"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/share"
)

// shareHosts tells the ledger how many hosts divide each limit.
func (n *Node) shareHosts(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.SetHosts(now, n.listed)
}

// demandsFor returns what to ask of each peer, in the order of the peers.
func (n *Node) demandsFor(now time.Time, peers []membership.Node) [][]*nodepb.Demand {
	hosts := make([]ident.HostID, len(peers))
	for i, peer := range peers {
		hosts[i] = peer.Host
	}
	n.mu.Lock()
	asked := n.ledger.Demands(now, hosts)
	n.mu.Unlock()
	messages := make([][]*nodepb.Demand, len(peers))
	for i, demands := range asked {
		for _, d := range demands {
			messages[i] = append(messages[i], &nodepb.Demand{
				Customer:          string(d.Team),
				Want:              d.Want,
				Keep:              d.Keep,
				LoanSequence:      d.LoanSequence,
				LenderIncarnation: int64(d.LenderIncarnation),
				StampNs:           int64(d.Stamp),
			})
		}
	}
	return messages
}

// answerDemands returns the loans that answer a peer's demands.
func (n *Node) answerDemands(now time.Time, r *nodepb.HeartbeatRequest) []*nodepb.Loan {
	peer := ident.HostID(r.GetSender().GetHostId())
	incarnation := ident.Incarnation(r.GetSender().GetIncarnation())
	var demands []share.Demand
	for _, d := range r.GetDemands() {
		demands = append(demands, share.Demand{
			Team:              ident.Team(d.GetCustomer()),
			Want:              d.GetWant(),
			Keep:              d.GetKeep(),
			LoanSequence:      d.GetLoanSequence(),
			LenderIncarnation: ident.Incarnation(d.GetLenderIncarnation()),
			Stamp:             time.Duration(d.GetStampNs()),
		})
	}
	n.mu.Lock()
	n.ledger.ObserveIncarnation(now, peer, incarnation)
	loans := n.ledger.ObserveDemands(now, peer, incarnation, demands)
	n.mu.Unlock()
	var messages []*nodepb.Loan
	for _, l := range loans {
		messages = append(messages, &nodepb.Loan{
			Customer:            string(l.Team),
			Sequence:            l.Sequence,
			Fraction:            l.Fraction,
			StampNs:             int64(l.Stamp),
			BorrowerIncarnation: int64(l.BorrowerIncarnation),
			ValidMs:             l.ValidFor.Milliseconds(),
		})
	}
	return messages
}

// observeLoans takes the loans in a peer's answer.
func (n *Node) observeLoans(now time.Time, answer *nodepb.HeartbeatResponse) {
	peer := ident.HostID(answer.GetSender().GetHostId())
	incarnation := ident.Incarnation(answer.GetSender().GetIncarnation())
	var loans []share.Loan
	for _, l := range answer.GetLoans() {
		loans = append(loans, share.Loan{
			Team:                ident.Team(l.GetCustomer()),
			Sequence:            l.GetSequence(),
			Fraction:            l.GetFraction(),
			Stamp:               time.Duration(l.GetStampNs()),
			BorrowerIncarnation: ident.Incarnation(l.GetBorrowerIncarnation()),
			ValidFor:            time.Duration(l.GetValidMs()) * time.Millisecond,
		})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.ObserveIncarnation(now, peer, incarnation)
	n.ledger.Acknowledged(now, peer)
	n.ledger.ObserveLoans(now, peer, incarnation, loans)
}

const (
	// loanWait is how long a request waits for loans of other nodes, which
	// answer an early heartbeat in a few milliseconds.
	loanWait = 100 * time.Millisecond
	// loanInterval is the time between two early requests for loans of one
	// team. What it does not bring comes with the regular heartbeats.
	loanInterval = time.Second
)

// askForLoans sends heartbeats with the present demand and waits for the
// answers. It returns false if that was done a moment ago.
func (n *Node) askForLoans(ctx context.Context, team ident.Team) bool {
	now := time.Now()
	n.mu.Lock()
	recent := now.Sub(n.askedLoans[team]) < loanInterval
	if !recent {
		n.askedLoans[team] = now
	}
	n.mu.Unlock()
	if recent {
		return false
	}
	n.updateAdmission() // tells the ledger the demand
	n.beatEarly()
	select {
	case <-time.After(loanWait):
	case <-ctx.Done():
	}
	n.updateAdmission() // tells the gate the new part
	return true
}

// teamPart returns this node's part of a team's limit in tokens/s and in
// estimated tokens in flight, and records what the team could use here now. Without load reports the limit
// is not known; the lack of slots then holds work back, as it does for a team
// that may use all of the capacity.
func (n *Node) teamPart(now time.Time, c *admission.Controller, team ident.Team, sharePercent float64, fleet admission.Capacity) (rate float64, slots int64) {
	limit := fleet.Rate * sharePercent / 100
	if limit <= 0 || sharePercent >= 100 {
		return math.Inf(1), 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.SetDemand(now, team, c.Demand(now, team)/limit)
	part := n.ledger.Part(now, team)
	// At least one token: no part at all must not read as no limit.
	return limit * part, max(1, int64(float64(fleet.Slots)*sharePercent/100*part))
}
