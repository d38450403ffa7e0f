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
	// maxPollingNodes is the largest number of listed hosts with which every node
	// polls the change log. 128 nodes cause 256 reads per second, of the 2,000
	// that the table allows.
	maxPollingNodes = 128
	// maxProofAgeWithoutPoll is the age of the newest proof of freshness at which a
	// node that is not a relay polls the change log itself. Proofs obtained through
	// relays are usually about 1 s old; contracts.staleness_limit is 5 s.
	maxProofAgeWithoutPoll = 2 * time.Second
)

// shouldPollLog reports whether this node has to read the change log now. In
// large deployments only relays poll it; the heartbeats of relays show the other
// nodes whether the log has changed.
func (n *Node) shouldPollLog(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.listed) <= maxPollingNodes || n.view.IsRelay() {
		return true
	}
	_, age := n.freshness.Report(now, n.contracts)
	return age < 0 || age >= maxProofAgeWithoutPoll
}

// pollContracts reads the change log once, if this node has to, and applies new
// entries.
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

// fetchContracts reads the log entries that this node lacks from a peer.
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

// recordAppliedContracts logs and audits the contract versions that this node
// has applied, updates the admission limits and checks queued requests again.
// source is where the entries came from.
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

// pushTimeout limits the wait for acknowledgements of a contract change. Nodes
// that do not answer in time learn of the change from the change log or from a
// heartbeat.
const pushTimeout = 1500 * time.Millisecond

// pushContract sends a contract version to all listed nodes. It returns the
// hosts on which the version is in force, including this one, and the listed
// hosts that have not confirmed it.
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
