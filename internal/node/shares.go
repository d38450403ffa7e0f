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

// updateLedgerHosts passes the listed hosts, which divide each limit, to the
// ledger.
func (n *Node) updateLedgerHosts(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.SetHosts(now, n.listed)
}

// demandsFor returns the demands to send to each peer, in the order of peers.
func (n *Node) demandsFor(now time.Time, peers []membership.Node) [][]*nodepb.Demand {
	hosts := make([]ident.HostID, len(peers))
	for i, peer := range peers {
		hosts[i] = peer.Host
	}
	n.mu.Lock()
	demandsByPeer := n.ledger.Demands(now, hosts)
	n.mu.Unlock()
	messages := make([][]*nodepb.Demand, len(peers))
	for i, demands := range demandsByPeer {
		for _, d := range demands {
			messages[i] = append(messages[i], &nodepb.Demand{
				Customer:          string(d.Team),
				Want:              d.Requested,
				Keep:              d.Keep,
				LoanSequence:      d.LoanSequence,
				LenderIncarnation: int64(d.LenderIncarnation),
				StampNs:           int64(d.Stamp),
			})
		}
	}
	return messages
}

// answerDemands returns the loans granted for a peer's demands.
func (n *Node) answerDemands(now time.Time, r *nodepb.HeartbeatRequest) []*nodepb.Loan {
	peer := ident.HostID(r.GetSender().GetHostId())
	incarnation := ident.Incarnation(r.GetSender().GetIncarnation())
	var demands []share.Demand
	for _, d := range r.GetDemands() {
		demands = append(demands, share.Demand{
			Team:              ident.Team(d.GetCustomer()),
			Requested:         d.GetWant(),
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

// observeLoans records the loans in a peer's heartbeat response.
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
	// loanWait is how long a request waits for loans from other nodes, which
	// answer an early heartbeat within a few milliseconds.
	loanWait = 100 * time.Millisecond
	// loanInterval is the shortest time between two early requests for loans of
	// one team. Further loans arrive with the regular heartbeats.
	loanInterval = time.Second
)

// requestLoans sends heartbeats with the current demand and waits for the
// responses. It returns false without waiting if loans for the team were
// requested within the last loanInterval.
func (n *Node) requestLoans(ctx context.Context, team ident.Team) bool {
	now := time.Now()
	n.mu.Lock()
	recent := now.Sub(n.lastLoanRequest[team]) < loanInterval
	if !recent {
		n.lastLoanRequest[team] = now
	}
	n.mu.Unlock()
	if recent {
		return false
	}
	n.updateAdmission() // updates the demand in the ledger
	n.requestEarlyHeartbeat()
	select {
	case <-time.After(loanWait):
	case <-ctx.Done():
	}
	n.updateAdmission() // updates this node's part in the gate
	return true
}

// teamLimits returns this node's part of a team's limit, in tokens/s and in
// estimated tokens in flight, and records the team's current demand on this
// node in the ledger. Without load reports the limit is unknown and no limit
// applies; the lack of slots then holds work back, as it does for a team that
// may use all of the capacity.
func (n *Node) teamLimits(now time.Time, c *admission.Controller, team ident.Team, sharePercent float64, fleet admission.Capacity) (rate float64, slots int64) {
	limit := fleet.Rate * sharePercent / 100
	if limit <= 0 || sharePercent >= 100 {
		return math.Inf(1), 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.SetDemand(now, team, c.Demand(now, team)/limit)
	part := n.ledger.UsableFraction(now, team)
	// At least one token, because zero slots would mean no limit.
	return limit * part, max(1, int64(float64(fleet.Slots)*sharePercent/100*part))
}
