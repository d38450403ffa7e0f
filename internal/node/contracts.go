package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/membership"
	peernode "github.com/yuccahatch/yuccahatch/internal/peer/node"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// maxPollingNodes is the largest deployment in which every node polls the
	// change log: 256 of the table's 2,000 reads a second.
	maxPollingNodes = 128
	// pollWithoutProof is the age of the newest proof of freshness at which a
	// node polls the log although relays do. Proofs by relays are usually about
	// 1 s old; contracts.staleness_limit is 5 s.
	pollWithoutProof = 2 * time.Second
)

// pollsLog tells whether this node has to read the change log now. In large
// deployments only relays do; the others learn of changes, and that there are
// none, by the heartbeats of relays.
func (n *Node) pollsLog(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.listed) <= maxPollingNodes || n.view.IsRelay() {
		return true
	}
	_, age := n.freshness.Report(now, n.contracts)
	return age < 0 || age >= pollWithoutProof
}

// followContracts makes one step along the change log.
func (n *Node) followContracts(ctx context.Context) {
	sentAt := time.Now()
	if !n.pollsLog(sentAt) {
		telemetry.ContractSequence.Gauge(n.scope).Update(float64(n.contracts.Sequence()))
		return
	}
	applied, head, err := n.follower.Poll(ctx)
	if err != nil {
		n.events.LogError(logrus.WarnLevel, telemetry.EventContractPollFailed, err, nil, "read the contract log")
		return
	}
	n.contractsApplied(applied, "table")
	n.mu.Lock()
	n.freshness.HeadRead(sentAt, head, n.contracts.Sequence())
	n.mu.Unlock()
	telemetry.ContractSequence.Gauge(n.scope).Update(float64(n.contracts.Sequence()))
}

// fetchContracts reads the entries that this node lacks from a peer.
func (n *Node) fetchContracts(ctx context.Context, client peernode.Client) {
	after := n.contracts.Sequence()
	answer, err := client.FetchContracts(ctx, &nodepb.FetchContractsRequest{Sender: n.sender(), After: int64(after)})
	if err != nil {
		return
	}
	var entries []contractset.Entry
	for _, e := range answer.GetEntries() {
		entries = append(entries, entryOf(e))
	}
	n.contractsApplied(n.contracts.ApplyRange(after, ident.LogSequence(answer.GetSequence()), entries), "peer")
}

// contractsApplied records versions that came into force here.
func (n *Node) contractsApplied(entries []contractset.Entry, source string) {
	for _, e := range entries {
		n.events.Log(logrus.InfoLevel, telemetry.EventContractApplied, logrus.Fields{
			telemetry.FieldTeam: e.Team,
			"version":           e.Version,
			"sequence":          e.Sequence,
			"source":            source,
		}, "contract version is in force")
		n.trail.Record(operatorapi.AuditRecord{
			At:       time.Now(),
			Actor:    e.ChangedBy,
			HostID:   string(n.host),
			Action:   "contract_apply",
			Customer: string(e.Team),
			From:     int64(e.Version) - 1,
			To:       int64(e.Version),
			Outcome:  "applied",
		})
	}
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	n.freshness.Advance(n.contracts.Sequence())
	n.mu.Unlock()
	n.updateAdmission()
	n.gate.Update(func(now time.Time, c *admission.Controller) []admission.Outcome {
		return c.RecheckQueued(now)
	})
}

// pushTimeout bounds the acknowledgements of a change. Nodes that do not answer
// learn of it by the log or by a heartbeat.
const pushTimeout = 1500 * time.Millisecond

// push sends a version to all nodes and returns the hosts on which it is in
// force, this one included, and the listed ones on which it is not known to be.
func (n *Node) push(ctx context.Context, entry contractset.Entry) (inForce, pending []ident.HostID) {
	n.mu.Lock()
	nodes := n.view.Nodes()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var wait sync.WaitGroup
	var mu sync.Mutex // guards inForce and pending
	for _, peer := range nodes {
		if !peer.Listed {
			continue
		}
		wait.Go(func() {
			ok := n.acknowledgedBy(ctx, peer, entry)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				inForce = append(inForce, peer.Host)
			} else {
				pending = append(pending, peer.Host)
			}
		})
	}
	wait.Wait()
	return inForce, pending
}

func (n *Node) acknowledgedBy(ctx context.Context, peer membership.Node, entry contractset.Entry) bool {
	if peer.Host == n.host {
		return n.contracts.Acknowledges(entry)
	}
	return n.pushTo(ctx, peer, entry)
}

func (n *Node) pushTo(ctx context.Context, peer membership.Node, entry contractset.Entry) bool {
	client, err := n.peers.Client(peer.Address)
	if err != nil {
		return false
	}
	answer, err := client.PushContract(ctx, &nodepb.PushContractRequest{Sender: n.sender(), Entry: messageOf(entry)})
	return err == nil && answer.GetInForce()
}

func entryOf(m *nodepb.ContractEntry) contractset.Entry {
	return contractset.Entry{
		Sequence:  ident.LogSequence(m.GetSequence()),
		Team:      ident.Team(m.GetCustomer()),
		Version:   ident.ContractVersion(m.GetVersion()),
		Document:  m.GetDocument(),
		ChangedBy: m.GetChangedBy(),
		ChangedAt: time.UnixMilli(m.GetChangedAtMs()).UTC(),
		ChangeID:  m.GetChangeId(),
	}
}

func messageOf(e contractset.Entry) *nodepb.ContractEntry {
	return &nodepb.ContractEntry{
		Sequence:    int64(e.Sequence),
		Customer:    string(e.Team),
		Version:     int64(e.Version),
		Document:    e.Document,
		ChangedBy:   e.ChangedBy,
		ChangedAtMs: e.ChangedAt.UnixMilli(),
		ChangeId:    e.ChangeID,
	}
}
