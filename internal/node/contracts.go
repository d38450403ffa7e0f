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
	// maxPollingNodes is the maximum number of listed hosts with which all nodes
	// poll the change log; with more, only relays do. By default a node polls twice per second, so 128 nodes
	// cause 256 reads per second. The table allows 2,000 per second.
	maxPollingNodes = 128
	// maxProofAgeWithoutPoll is the age of the newest proof of freshness from which on
	// a node that is not a relay polls the change log itself. A proof of freshness
	// shows that the node's contracts were current at a certain instant. Proofs
	// obtained through relays are usually about 1 s old; contracts.staleness_limit is
	// 5 s by default.
	maxProofAgeWithoutPoll = 2 * time.Second
)

// shouldPollLog reports whether this node has to read the change log now. In
// deployments of more than maxPollingNodes hosts, only relays poll it regularly;
// their heartbeats show the other nodes whether the log has changed.
func (n *Node) shouldPollLog(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.listed) <= maxPollingNodes || n.view.IsRelay() {
		return true
	}
	_, age := n.freshness.Report(now, n.contracts)
	// A negative age means that the node does not hold the contracts yet.
	return age < 0 || age >= maxProofAgeWithoutPoll
}

// pollContracts reads the change log once and applies new entries, unless
// shouldPollLog reports that this is not necessary.
func (n *Node) pollContracts(ctx context.Context) {
	sentAt := time.Now()
	if !n.shouldPollLog(sentAt) {
		telemetry.ContractSequence.Gauge(n.scope).Update(float64(n.contracts.Sequence()))
		return
	}
	applied, head, err := n.follower.Poll(ctx)
	if err != nil {
		n.events.LogError(logrus.WarnLevel, telemetry.EventContractPollFailed, err, nil, "read the contract log")
		return
	}
	n.recordAppliedContracts(applied, "table")
	n.mu.Lock()
	n.freshness.RecordHeadRead(sentAt, head, n.contracts.Sequence())
	n.mu.Unlock()
	telemetry.ContractSequence.Gauge(n.scope).Update(float64(n.contracts.Sequence()))
}

// fetchContracts requests from a peer the log entries that this node does not have,
// and applies them.
func (n *Node) fetchContracts(ctx context.Context, client peernode.Client) {
	after := n.contracts.Sequence()
	answer, err := client.FetchContracts(ctx, &nodepb.FetchContractsRequest{Sender: n.sender(), After: int64(after)})
	if err != nil {
		return
	}
	var entries []contractset.Entry
	for _, e := range answer.GetEntries() {
		entries = append(entries, entryFromProto(e))
	}
	n.recordAppliedContracts(n.contracts.ApplyRange(after, ident.LogSequence(answer.GetSequence()), entries), "peer")
}

// recordAppliedContracts logs and audits the contract versions that this node has
// applied. If there are any, it advances the freshness to the new sequence, updates
// the admission limits and checks queued requests again. The source, which is logged,
// is "table", "peer", "put" or "push".
func (n *Node) recordAppliedContracts(entries []contractset.Entry, source string) {
	for _, e := range entries {
		n.events.Log(logrus.InfoLevel, telemetry.EventContractApplied, logrus.Fields{
			telemetry.FieldTeam: e.Team,
			"version":           e.Version,
			"sequence":          e.Sequence,
			"source":            source,
		}, "contract version applied")
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

// pushTimeout is the maximum time that a push of a contract version waits for
// acknowledgements. Nodes that do not answer in time receive the change through the
// change log or after a heartbeat.
const pushTimeout = 1500 * time.Millisecond

// pushContract sends a contract version to all listed nodes. It returns the listed
// hosts that have confirmed that the version is in force, and those that have not.
// This host is in one of the two if it is listed.
func (n *Node) pushContract(ctx context.Context, entry contractset.Entry) (inForce, pending []ident.HostID) {
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
			ok := n.requestAcknowledgement(ctx, peer, entry)
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

// requestAcknowledgement reports whether a node confirms that a contract version is in
// force. It sends a request, unless the node is this one.
func (n *Node) requestAcknowledgement(ctx context.Context, peer membership.Node, entry contractset.Entry) bool {
	if peer.Host == n.host {
		return n.contracts.CanAcknowledge(entry)
	}
	return n.pushContractTo(ctx, peer, entry)
}

func (n *Node) pushContractTo(ctx context.Context, peer membership.Node, entry contractset.Entry) bool {
	client, err := n.peers.Client(peer.Address)
	if err != nil {
		return false
	}
	answer, err := client.PushContract(ctx, &nodepb.PushContractRequest{Sender: n.sender(), Entry: entryToProto(entry)})
	return err == nil && answer.GetInForce()
}

func entryFromProto(m *nodepb.ContractEntry) contractset.Entry {
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

func entryToProto(e contractset.Entry) *nodepb.ContractEntry {
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
