package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/membership"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/replica"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// replicaSearchInterval is the shortest time between two searches for a replica
// by a generation without one.
const replicaSearchInterval = time.Second

// replicaFanout is the number of nodes over which a node spreads its copies.
// Most of the cost of a copy is the cost of its message: by the measured marginal
// costs, a node at the target load spends 0.4 cores with few replica nodes and
// 3.5 cores with all of them.
const replicaFanout = 4

// replicas returns the replication of journals, or nil if it is disabled.
func (n *Node) replicas() generation.Replicas {
	if n.settings.Copies.Mode == copiesOff {
		return nil
	}
	return replicaSet{n}
}

type replicaSet struct{ node *Node }

// Open implements generation.Replicas.
func (s replicaSet) Open(request *generation.Request, start *generation.StartState, callbacks generation.ReplicaCallbacks) generation.Replica {
	journal := start.Journal
	j := &journalCopy{
		node:       s.node,
		generation: request.Generation,
		head: &nodepb.JournalHead{
			RequestId: string(request.Request),
			Customer:  string(request.Team),
			Route:     request.Route,
			Body:      request.Body,
		},
		callbacks: callbacks,
		tokens:    journal.Tokens(0, journal.Len()),
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.place()
	return j
}

// journalCopy keeps a copy of one journal on another node and moves it to a
// different node if that node does not acknowledge.
type journalCopy struct {
	node       *Node
	generation ident.GenerationID
	head       *nodepb.JournalHead
	callbacks  generation.ReplicaCallbacks

	// mu guards the fields below. The replicator calls back only from the workers
	// of its peers and holds none of its own locks then, so these may be taken
	// while mu is held.
	mu         sync.Mutex
	tokens     []string
	finish     string
	copy       *replica.Copy
	host       ident.HostID
	failed     []ident.HostID
	unplaced   bool // no replica was found
	lastSearch time.Time
	closed     bool
}

var _ generation.Replica = (*journalCopy)(nil)

// copySink binds callbacks to one copy, so that callbacks of an earlier copy
// are not attributed to the current one.
type copySink struct {
	journal *journalCopy
	host    ident.HostID
}

// Acknowledged implements replica.Sink.
func (s copySink) Acknowledged(through int64) {
	s.journal.callbacks.Acknowledged(int(through))
	s.journal.callbacks.Available(true)
}

// Lost implements replica.Sink.
func (s copySink) Lost(code replica.Code) { s.journal.lost(s.host, code) }

// place starts a copy of the whole journal on the next eligible node. The
// caller must hold mu.
func (j *journalCopy) place() {
	j.copy, j.host = nil, ""
	for {
		host, ok := j.node.chooseReplica(j.generation, j.failed)
		if !ok {
			j.unavailable()
			return
		}
		j.copy = j.node.replicator.Start(j.generation, j.head, slices.Clone(j.tokens), host, copySink{j, host})
		if j.copy != nil {
			j.host, j.unplaced = host, false
			if j.finish != "" {
				j.copy.Finish(j.finish)
			}
			return
		}
		j.failed = append(j.failed, host)
	}
}

// unavailable records that no replica was found. Nodes that failed become
// eligible again for the next search. The caller must hold mu.
func (j *journalCopy) unavailable() {
	j.unplaced = true
	j.lastSearch = time.Now()
	j.failed = nil
	j.callbacks.Available(false)
}

func (j *journalCopy) lost(host ident.HostID, code replica.Code) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed || j.host != host {
		return
	}
	j.node.events.Log(logrus.WarnLevel, telemetry.EventCopyMoved, logrus.Fields{
		telemetry.FieldGeneration: j.generation,
		telemetry.FieldPeer:       host,
		telemetry.FieldErrorCode:  code,
	}, "replica did not acknowledge; the journal moves")
	telemetry.CopiesMoved.Counter(j.node.scope).Inc(1)
	j.failed = append(j.failed, host)
	j.place()
}

// Append implements generation.Replica.
func (j *journalCopy) Append(token, finish string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tokens = append(j.tokens, token)
	j.finish = finish
	if j.unplaced && time.Since(j.lastSearch) >= replicaSearchInterval {
		j.place()
		return
	}
	if j.copy == nil {
		return
	}
	// A false result means that the copy is lost; its sink has been notified.
	if j.copy.Append(token) && finish != "" {
		j.copy.Finish(finish)
	}
}

// Hosts implements generation.Replica.
func (j *journalCopy) Hosts() []ident.HostID {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.host == "" {
		return nil
	}
	return []ident.HostID{j.host}
}

// Close implements generation.Replica.
func (j *journalCopy) Close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
	if j.copy != nil && j.finish == "" {
		j.copy.Abandon()
	}
}

// chooseReplica returns the node for a copy. It prefers the replicaFanout
// preselected nodes and falls back to all eligible ones.
func (n *Node) chooseReplica(id ident.GenerationID, except []ident.HostID) (ident.HostID, bool) {
	n.mu.Lock()
	nodes := n.view.Nodes()
	n.mu.Unlock()
	candidates := make([]replica.Candidate, 0, len(nodes))
	now := time.Now()
	for _, node := range nodes {
		candidates = append(candidates, replica.Candidate{
			Site:     n.replicaSite(node.Host, node.DataCentre),
			Eligible: node.State == membership.Alive && !n.isAvoidedReplica(now, node.Host),
		})
	}
	self := n.replicaSite(n.host, n.dataCentre)
	near := replica.Preselect(self, n.settings.Host.NearRegions, candidates, replicaFanout)
	if host, ok := replica.Choose(id, self, n.settings.Host.NearRegions, near, except...); ok {
		return host, true
	}
	return replica.Choose(id, self, n.settings.Host.NearRegions, candidates, except...)
}

func (n *Node) replicaSite(host ident.HostID, dataCentre ident.DataCentre) replica.Site {
	return replica.Site{Host: host, DataCentre: dataCentre, Region: n.settings.RegionOf(string(dataCentre))}
}

// setUpCopies sets up sending journals to replicas and holding the journals of
// other nodes.
func (n *Node) setUpCopies() {
	copies := n.settings.Copies
	n.replicator = replica.NewReplicator(replica.Options{
		Self:               n.sender(),
		FlushInterval:      copies.FlushInterval.Duration,
		AcknowledgeTimeout: copies.AcknowledgeTimeout.Duration,
		Open:               n.openCopyStream,
		Report:             n.copyFailed,
	})
	limit := int64(copies.MemoryLimitMiB) << 20
	n.copies = &copyStore{replica.NewStore(limit, copies.Retention.Duration)}
}

func (n *Node) openCopyStream(ctx context.Context, peer ident.HostID) (replica.Stream, error) {
	client, err := n.clientOf(peer)
	if err != nil {
		return nil, err
	}
	return client.CopyJournals(ctx)
}

// retainPeers closes the connections and copy workers of nodes that are dead,
// have left or are no longer known.
func (n *Node) retainPeers(context.Context) {
	n.mu.Lock()
	nodes := n.view.Nodes()
	n.mu.Unlock()
	hosts := map[ident.HostID]bool{}
	var addresses []string
	for _, node := range nodes {
		if node.Address == "" || node.State == membership.Dead || node.State == membership.Left {
			continue
		}
		hosts[node.Host] = true
		addresses = append(addresses, node.Address)
	}
	n.replicator.Retain(hosts)
	n.peers.Retain(addresses)
}

// replicaAvoidTime is how long a node that did not acknowledge is not chosen as
// a replica. While its connection is unresponsive and not yet replaced, each
// further copy would wait for another acknowledgement timeout.
const replicaAvoidTime = 2 * time.Second

// copyFailed is called by the replicator when a node did not acknowledge.
func (n *Node) copyFailed(host ident.HostID, _ error) {
	n.avoidMu.Lock()
	defer n.avoidMu.Unlock()
	n.avoidReplicaUntil[host] = time.Now().Add(replicaAvoidTime)
}

func (n *Node) isAvoidedReplica(now time.Time, host ident.HostID) bool {
	n.avoidMu.Lock()
	defer n.avoidMu.Unlock()
	return now.Before(n.avoidReplicaUntil[host])
}

// reportCopies adds what was copied since the last report to the metrics.
func (n *Node) reportCopies(context.Context) {
	stats := n.replicator.Stats()
	last := n.lastCopyStats
	n.lastCopyStats = stats
	telemetry.CopyBatches.Counter(n.scope).Inc(int64(stats.Batches - last.Batches))
	telemetry.CopyTokens.Counter(n.scope).Inc(int64(stats.Tokens - last.Tokens))
	telemetry.CopyBytes.Counter(n.scope).Inc(int64(stats.Bytes - last.Bytes))
	telemetry.CopiesHeldBytes.Gauge(n.scope).Update(float64(n.copies.store.Stats().Bytes))
}

// copyStore serves the journal copies that this node holds for other nodes.
type copyStore struct{ store *replica.Store }

// Apply stores one batch of journal entries.
func (c *copyStore) Apply(batch *nodepb.JournalBatch) *nodepb.JournalAck {
	return c.store.Apply(time.Now(), batch)
}

// Fetch returns the copy of a journal; Found is false if this node has none.
func (c *copyStore) Fetch(request *nodepb.FetchJournalRequest) *nodepb.FetchJournalResponse {
	journal, ok := c.store.Fetch(time.Now(), ident.GenerationID(request.GetGenerationId()))
	if !ok {
		return &nodepb.FetchJournalResponse{}
	}
	return &nodepb.FetchJournalResponse{
		Found:        true,
		Head:         journal.Head,
		Tokens:       journal.Tokens,
		Finished:     journal.Finished,
		FinishReason: journal.FinishReason,
	}
}
