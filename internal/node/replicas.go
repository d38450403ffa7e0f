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

// replicaRetry is how often a generation without a replica looks for one.
const replicaRetry = time.Second

// replicaFanout is the number of nodes among which a node spreads its copies.
// The cost of a copy is mostly that of its message; by the measured slopes a
// node at the target spends 0.4 cores with few replica nodes and 3.5 with all.
const replicaFanout = 4

// replicas returns the replication of journals, nil if it is off.
func (n *Node) replicas() generation.Replicas {
	if n.settings.Copies.Mode == copiesOff {
		return nil
	}
	return replicaSet{n}
}

type replicaSet struct{ node *Node }

// Open implements generation.Replicas.
func (s replicaSet) Open(request *generation.Request, start *generation.Start, callbacks generation.ReplicaCallbacks) generation.Replica {
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

// journalCopy keeps a copy of one journal on another node and moves it when
// that node does not acknowledge.
type journalCopy struct {
	node       *Node
	generation ident.GenerationID
	head       *nodepb.JournalHead
	callbacks  generation.ReplicaCallbacks

	// mu guards the fields below. It is never held while the replicator calls
	// back, so the replicator's own locks may be taken under it.
	mu       sync.Mutex
	tokens   []string
	finish   string
	copy     *replica.Copy
	host     ident.HostID
	failed   []ident.HostID
	missing  bool // no replica could be found
	lookedAt time.Time
	closed   bool
}

var _ generation.Replica = (*journalCopy)(nil)

// copySink ties the callbacks of one copy to it, so that those of an earlier
// copy are not taken for those of the present one.
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

// place starts the whole journal on the next node. It requires mu.
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
			j.host, j.missing = host, false
			if j.finish != "" {
				j.copy.Finish(j.finish)
			}
			return
		}
		j.failed = append(j.failed, host)
	}
}

// unavailable requires mu. All nodes may be tried again after a while.
func (j *journalCopy) unavailable() {
	j.missing = true
	j.lookedAt = time.Now()
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
	if j.missing && time.Since(j.lookedAt) >= replicaRetry {
		j.place()
		return
	}
	if j.copy == nil {
		return
	}
	// A false result means that the copy is lost; the sink has been told.
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

// chooseReplica returns the node for a copy.
func (n *Node) chooseReplica(id ident.GenerationID, except []ident.HostID) (ident.HostID, bool) {
	n.mu.Lock()
	nodes := n.view.Nodes()
	n.mu.Unlock()
	candidates := make([]replica.Candidate, 0, len(nodes))
	now := time.Now()
	for _, node := range nodes {
		candidates = append(candidates, replica.Candidate{
			Site:     n.siteOf(node.Host, node.DataCentre),
			Eligible: node.State == membership.Alive && !n.avoided(now, node.Host),
		})
	}
	self := n.siteOf(n.host, n.dataCentre)
	near := replica.Preselect(self, n.settings.Host.NearRegions, candidates, replicaFanout)
	if host, ok := replica.Choose(id, self, n.settings.Host.NearRegions, near, except...); ok {
		return host, true
	}
	return replica.Choose(id, self, n.settings.Host.NearRegions, candidates, except...)
}

func (n *Node) siteOf(host ident.HostID, dataCentre ident.DataCentre) replica.Site {
	return replica.Site{Host: host, DataCentre: dataCentre, Region: n.settings.RegionOf(string(dataCentre))}
}

// setUpCopies prepares sending journals and holding those of others.
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

// retainPeers ends the connections and copy workers of nodes that are gone.
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

// avoidReplica is how long a node that did not acknowledge is not chosen. On a
// connection that went silent each further copy would lose another time limit
// until the connection is replaced.
const avoidReplica = 2 * time.Second

// copyFailed is told by the replicator that a node did not acknowledge.
func (n *Node) copyFailed(host ident.HostID, _ error) {
	n.avoidMu.Lock()
	defer n.avoidMu.Unlock()
	n.avoid[host] = time.Now().Add(avoidReplica)
}

func (n *Node) avoided(now time.Time, host ident.HostID) bool {
	n.avoidMu.Lock()
	defer n.avoidMu.Unlock()
	return now.Before(n.avoid[host])
}

// reportCopies publishes what was copied since the last report.
func (n *Node) reportCopies(context.Context) {
	stats := n.replicator.Stats()
	last := n.copyStats
	n.copyStats = stats
	telemetry.CopyBatches.Counter(n.scope).Inc(int64(stats.Batches - last.Batches))
	telemetry.CopyTokens.Counter(n.scope).Inc(int64(stats.Tokens - last.Tokens))
	telemetry.CopyBytes.Counter(n.scope).Inc(int64(stats.Bytes - last.Bytes))
	telemetry.CopiesHeldBytes.Gauge(n.scope).Update(float64(n.copies.store.Stats().Bytes))
}

// copyStore answers other nodes from the copies held for them.
type copyStore struct{ store *replica.Store }

// Apply stores one batch.
func (c *copyStore) Apply(batch *nodepb.JournalBatch) *nodepb.JournalAck {
	return c.store.Apply(time.Now(), batch)
}

// Fetch returns one journal.
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
