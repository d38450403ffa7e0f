package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
	"github.com/yuccahatch/yuccahatch/internal/suspension"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// statePath is the HTTP path at which a node serves its state to peers.
	statePath = "/state"
	// storeStaleAfter is the age of the store data above which a node fetches the
	// state of a peer. maxPeerAge is the age of a peer's newest store answer below
	// which the peer counts as able to read the store.
	storeStaleAfter = 1200 * time.Millisecond
	maxPeerAge      = 1000 * time.Millisecond
	// sharedOutageAge is the age of this node's store data above which peers with
	// newer answers show that the outage does not affect all nodes: if it did, the
	// answers of all peers would be old by then too.
	sharedOutageAge = 2200 * time.Millisecond
	// storeRecoveredAge is the age of a peer's newest store answer below which a
	// heartbeat shows that an outage has ended.
	storeRecoveredAge = 500 * time.Millisecond
	// configFetchDelay is how long a node waits for the store to deliver a
	// configuration version that a peer already has before it fetches that version
	// from the peer.
	configFetchDelay = 150 * time.Millisecond
	// firstPeerWait is how long after its start a node waits for the first heartbeat of a
	// peer before it installs its first configuration. Peers answer within milliseconds.
	firstPeerWait = 150 * time.Millisecond
	// departedTimeout is the timeout of a starting node's question which servers have
	// left. Without an answer the node starts all the same.
	departedTimeout = 200 * time.Millisecond
	// stateTimeout is the timeout of a request for a peer's state.
	stateTimeout = 700 * time.Millisecond
	// maxStateBytes is the maximum number of bytes read of a peer's state.
	maxStateBytes = 4 << 20
	// maxStateHeaderBytes is the maximum size of the header of a peer's answer.
	maxStateHeaderBytes = 32 << 10
)

// stateDocument is what a node has read from the store, as sent to peers. Config
// is encoded as in the store.
type stateDocument struct {
	Config []byte `json:"config,omitempty"`
	// Servers, Leaving, Discovered and Lapsed are the parts of a fleet.List.
	Servers    []fleet.Entry             `json:"servers,omitempty"`
	Leaving    []ident.BackendID         `json:"leaving,omitempty"`
	Discovered []fleet.Entry             `json:"discovered,omitempty"`
	Lapsed     map[ident.BackendID]int64 `json:"lapsed,omitempty"`
	// ConfigEra is the era of the store in which Config was read.
	ConfigEra int64 `json:"config_era,omitempty"`
	// Departed lists the servers that were removed a short time ago.
	Departed []fleet.Departed `json:"departed,omitempty"`
	// Position is the position in the store up to which Servers has been read.
	Position ident.StorePosition `json:"position,omitzero"`
	// Versions are the versions that services had lately.
	Versions streamversion.Snapshot `json:"versions,omitempty"`
	// Crashes holds the crashes of servers and the content that may have caused them.
	Crashes crashcause.Evidence `json:"crashes,omitzero"`
}

// serveState serves this node's state to a peer: the list of servers that have left if the
// query has the key "departed", the crashes if it has the key "crashes", and otherwise
// the configuration, with the list of servers if it has the key "servers".
func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	var doc stateDocument
	if !r.URL.Query().Has("departed") && !r.URL.Query().Has("crashes") {
		n.mu.Lock()
		doc.Config, doc.ConfigEra = n.rawConfig, n.routes.Era()
		n.mu.Unlock()
	}
	if r.URL.Query().Has("servers") {
		n.describeState(&doc)
		if n.versions.Complete() {
			doc.Versions = n.versions.SnapshotOf(time.Now(), n.fleet.Versions())
		}
	}
	if r.URL.Query().Has("departed") {
		doc.Departed = n.fleet.Departed()
	}
	if r.URL.Query().Has("crashes") {
		doc.Crashes = n.crashes.Evidence(time.Now())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(doc) // the peer retries if it gets no answer
}

// describeState adds this node's list of servers to its state.
func (n *Node) describeState(doc *stateDocument) {
	n.servers.applyMu.Lock()
	defer n.servers.applyMu.Unlock()
	list := n.fleet.List(time.Now())
	doc.Servers, doc.Leaving, doc.Discovered, doc.Lapsed = list.Listed, list.Leaving, list.Discovered, list.Lapsed
	doc.Position = n.servers.position.Load()
}

// onHeartbeat handles a heartbeat of a peer. It retries failed store calls at once
// if the peer can read the store again, and fetches the changes that the peer has
// read and this node has not.
func (n *Node) onHeartbeat(m mesh.Member) {
	n.peerHeardOnce.Do(func() { close(n.peerHeard) })
	n.noteLapse(time.Now(), m)
	if m.StoreAgeMs < storeRecoveredAge.Milliseconds() && n.storeUnreachable.Swap(false) {
		n.config.retryNow()
		n.servers.retryNow()
	}
	if n.servers.position.Load().Before(m.ServersChanged) {
		n.servers.readNow()
		n.servers.retryOnPeerChange(time.Now())
	}
	n.advanceTo(m)
	n.compareLists(time.Now(), m)
	n.compareCrashes(m)
	for _, l := range m.Limits {
		n.mergeLimit(time.Now(), l, string(m.Host))
	}
	if n.hasOlderConfig(m) && n.fetchingState.CompareAndSwap(false, true) {
		go func() {
			defer n.fetchingState.Store(false)
			time.Sleep(n.configFetchDelay())
			if n.hasOlderConfig(m) {
				n.readPeerState(context.Background(), m, false)
			}
		}()
	}
}

// awaitPeer waits until a peer has been heard, at the latest until firstPeerWait after
// the start. A node without seeds does not wait.
func (n *Node) awaitPeer() {
	left := firstPeerWait - time.Since(n.started)
	if len(n.settings.Seeds) == 0 || left <= 0 {
		return
	}
	select {
	case <-n.peerHeard:
	case <-time.After(left):
	}
}

// readNewestConfig installs the newest configuration of the peers, if one has any.
func (n *Node) readNewestConfig() {
	var newest mesh.Member
	for _, m := range n.mesh.Alive(time.Now()) {
		if m.ConfigVersion > newest.ConfigVersion {
			newest = m
		}
	}
	if n.hasOlderConfig(newest) {
		n.readPeerState(context.Background(), newest, false)
	}
}

// readDeparted asks a peer which servers have left a short time ago. It is called before
// the first list of servers is installed: a restored store may still list them.
func (n *Node) readDeparted() {
	ctx, cancel := context.WithTimeout(context.Background(), departedTimeout)
	defer cancel()
	for _, m := range n.mesh.Alive(time.Now()) {
		if m.State != mesh.Ready {
			continue
		}
		doc, err := n.peerState(ctx, m.Mesh, "departed")
		if err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventPeerCallFailed, err, logrus.Fields{telemetry.FieldPeer: m.Host}, "cannot ask a peer for the servers that have left")
			return
		}
		n.fleet.AddDeparted(time.Now(), doc.Departed)
		return
	}
}

// configFetchDelay returns how long the node waits for the store to deliver a
// configuration that a peer already has. While the store answers, that includes the
// pause after the change before it.
func (n *Node) configFetchDelay() time.Duration {
	if n.config.failing.Load() || n.storeUnreachable.Load() {
		return configFetchDelay
	}
	return configFetchDelay + n.config.changePause
}

// hasOlderConfig reports whether a peer has a newer configuration than this node.
func (n *Node) hasOlderConfig(m mesh.Member) bool {
	version, era := n.routes.Version(), n.routes.Era()
	return m.ConfigVersion > version || m.ConfigVersion == version && m.ConfigEra > era
}

// readFreshestPeer fetches the state of the peer with the newest answer of the
// store if the data of this node is stale. It also updates storeUnreachable and
// peersReadStore.
func (n *Node) readFreshestPeer(ctx context.Context, now time.Time) {
	age := n.serversAge(now)
	if age < storeStaleAfter {
		return
	}
	n.storeUnreachable.Store(true)
	defer func() {
		if n.storeUnreachable.Load() {
			n.unreachableAt.Store(now)
		}
	}()
	// A node that is not ready, such as one that has read nothing yet, accepts the
	// state of any peer whose store data is newer than its own.
	limit := maxPeerAge
	if !n.Ready() {
		limit = age
	}
	var best *mesh.Member
	for _, m := range n.mesh.Alive(now) {
		if m.ConfigVersion > 0 && m.StoreAgeMs < limit.Milliseconds() && (best == nil || m.StoreAgeMs < best.StoreAgeMs) {
			best = &m
		}
	}
	if best != nil && best.StoreAgeMs < maxPeerAge.Milliseconds() {
		n.storeUnreachable.Store(false) // the store is unreachable for this node only
	}
	if best != nil {
		// Right after an outage that affected all nodes, some can read the store before
		// others.
		affectedAll := n.unreachableAt.since(now) < storeStaleAfter
		if age > sharedOutageAge && best.StoreAgeMs < maxPeerAge.Milliseconds() && !affectedAll {
			n.peersReadStore.Store(true)
		}
		n.readPeerState(ctx, *best, true)
	}
}

// readPeerState fetches the state of a peer and applies it: the configuration,
// and the list of servers if servers is true.
func (n *Node) readPeerState(ctx context.Context, m mesh.Member, servers bool) {
	query := ""
	if servers {
		query = "servers"
	}
	doc, err := n.peerState(ctx, m.Mesh, query)
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventPeerCallFailed, err, logrus.Fields{telemetry.FieldPeer: m.Host}, "cannot fetch the state of a peer")
		return
	}
	if len(doc.Config) > 0 {
		n.installConfig(doc.Config, doc.ConfigEra, string(m.Host))
	}
	if !servers || len(doc.Servers)+len(doc.Lapsed) == 0 {
		return
	}
	n.applyPeerServers(doc)
	if len(doc.Versions) > 0 {
		n.versions.Load(time.Now(), doc.Versions, 0)
	}
}

// applyPeerServers replaces the list of servers by that of a peer. A list older
// than this node's own is ignored, since it may hold servers that have left, which
// would be sent requests again.
func (n *Node) applyPeerServers(doc stateDocument) {
	n.servers.applyMu.Lock()
	defer n.servers.applyMu.Unlock()
	if doc.Position.Before(n.servers.position.Load()) {
		return
	}
	now := time.Now()
	known := n.putPeerServers(now, doc)
	for _, id := range n.fleet.IDs() {
		if known[id] {
			continue
		}
		ms, lapsed := doc.Lapsed[id]
		n.removeServer(now.Add(-time.Duration(ms)*time.Millisecond), id, lapsed)
	}
	n.servers.position.Store(doc.Position)
	n.servers.suspendedAtAnswer.Store(int64(suspension.Total()))
	n.lastChangePosition = doc.Position
	n.serversListed.Store(doc.Position)
	n.serversLoaded.Store(true)
}

// putPeerServers adds the servers of a peer's list, and returns their ids.
func (n *Node) putPeerServers(now time.Time, doc stateDocument) map[ident.BackendID]bool {
	known := make(map[ident.BackendID]bool, len(doc.Servers))
	for _, e := range doc.Servers {
		known[e.ID] = true
		// Some builds list servers that were found without the list among the others. They
		// have made no report yet.
		if e.Sequence == 0 && n.fleet.Server(e.ID) == nil {
			n.fleet.AddDiscovered(now, e)
			continue
		}
		n.fleet.Put(now, e)
		if slices.Contains(doc.Leaving, e.ID) {
			n.fleet.RecordLeaving(e.ID, e.Incarnation)
		}
	}
	for _, e := range doc.Discovered {
		known[e.ID] = true
		n.fleet.AddDiscovered(now, e)
	}
	return known
}

// stateClient is the HTTP client for requests to peers. They are too rare to keep
// connections open.
var stateClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxStateHeaderBytes}}

func fetchState(ctx context.Context, address, query string) (stateDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath+"?"+query, nil)
	if err != nil {
		return stateDocument{}, newError(CodePeerState).Errorf("peer %s: %v", address, err)
	}
	response, err := stateClient.Do(request)
	if err != nil {
		return stateDocument{}, newError(CodePeerState).Errorf("peer %s: %v", address, err)
	}
	defer response.Body.Close()
	var doc stateDocument
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&doc); err != nil {
		return stateDocument{}, newError(CodePeerState).Errorf("peer %s: %v", address, err)
	}
	return doc, nil
}
