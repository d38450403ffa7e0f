package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// statePath is the path of a node's state on its mesh address.
	statePath = "/state"
	// storeStale is the age of the newest answer of the store after which a node
	// asks its peers, and peerFresh the greatest age that makes a peer worth
	// asking.
	storeStale = 1200 * time.Millisecond
	peerFresh  = 1000 * time.Millisecond
	// outageShared is the age above which an outage that all nodes see makes the
	// answers of all peers old too.
	outageShared = 2200 * time.Millisecond
	// storeBack is the age of a peer's answer that shows the end of an outage.
	storeBack = 500 * time.Millisecond
	// newerAfter is how long a node waits for a version from the store that a
	// peer already has.
	newerAfter = 150 * time.Millisecond
	// stateTimeout bounds the call of a peer.
	stateTimeout = 700 * time.Millisecond
	// maxState bounds a peer's answer.
	maxState = 16 << 20
)

// stateDocument is what a node knows from the store. The configuration is in the
// store's own form.
type stateDocument struct {
	Config  []byte        `json:"config,omitempty"`
	Servers []fleet.Entry `json:"servers,omitempty"`
	// Revision is how far the list of servers has been read.
	Revision int64 `json:"revision,omitempty"`
}

// serveState answers a peer that cannot read the store. The query says whether
// it needs the list of servers.
func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	doc := stateDocument{Config: n.rawConfig}
	n.mu.Unlock()
	if r.URL.Query().Has("servers") {
		n.servers.lock.Lock()
		doc.Servers, doc.Revision = n.fleet.Entries(), n.servers.revision.Load()
		n.servers.lock.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(doc) // the peer asks again if it gets no answer
}

// heard takes note of a peer's heartbeat.
func (n *Node) heard(m mesh.Member) {
	if m.StoreAgeMs < storeBack.Milliseconds() && n.storeAway.Swap(false) {
		n.config.retryNow()
		n.servers.retryNow()
	}
	if m.ServersChanged > n.servers.revision.Load() {
		n.servers.nudge()
		n.servers.retryForNews(time.Now())
	}
	if m.ConfigVersion > n.routes.Version() && n.fetching.CompareAndSwap(false, true) {
		go func() {
			defer n.fetching.Store(false)
			time.Sleep(newerAfter)
			if m.ConfigVersion > n.routes.Version() {
				n.readPeer(context.Background(), m, false)
			}
		}()
	}
}

// readPeers reads the list of servers from a peer while the store does not
// answer this node but does answer that one.
func (n *Node) readPeers(ctx context.Context, now time.Time) {
	age := n.serversAge(now)
	if age < storeStale {
		return
	}
	n.storeAway.Store(true)
	// A node that has read nothing yet takes what any peer has.
	limit := peerFresh
	if !n.Ready() {
		limit = age
	}
	var best *mesh.Member
	for _, m := range n.mesh.Alive(now) {
		if m.ConfigVersion > 0 && m.StoreAgeMs < limit.Milliseconds() && (best == nil || m.StoreAgeMs < best.StoreAgeMs) {
			best = &m
		}
	}
	if best != nil && best.StoreAgeMs < peerFresh.Milliseconds() {
		n.storeAway.Store(false) // only this node is turned away
	}
	if best != nil {
		if age > outageShared && best.StoreAgeMs < peerFresh.Milliseconds() {
			n.peersFresh.Store(true)
		}
		n.readPeer(ctx, *best, true)
	}
}

// readPeer takes over what a peer knows from the store.
func (n *Node) readPeer(ctx context.Context, m mesh.Member, servers bool) {
	doc, err := fetchState(ctx, m.Mesh, servers)
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventPeerCallFailed, err, logrus.Fields{telemetry.FieldPeer: m.Host}, "state of a peer not read")
		return
	}
	if len(doc.Config) > 0 {
		n.offerConfig(doc.Config, string(m.Host))
	}
	if !servers || len(doc.Servers) == 0 {
		return
	}
	n.takeServers(doc.Servers, doc.Revision)
}

// takeServers takes over a peer's list of servers, unless it is older than what
// this node knows: a server that left would get work again.
func (n *Node) takeServers(list []fleet.Entry, revision int64) {
	n.servers.lock.Lock()
	defer n.servers.lock.Unlock()
	if revision < n.servers.revision.Load() {
		return
	}
	now := time.Now()
	listed := make(map[ident.BackendID]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		n.fleet.Put(now, e)
	}
	for _, id := range n.fleet.IDs() {
		if !listed[id] {
			n.removeServer(now, id, false)
		}
	}
	n.servers.revision.Store(revision)
	n.changesFrom = revision
	n.listed.Store(true)
}

func fetchState(ctx context.Context, address string, servers bool) (stateDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	target := "http://" + address + statePath
	if servers {
		target += "?servers"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return stateDocument{}, newError(CodePeerState).Errorf("peer %s: %v", address, err)
	}
	request.Close = true // a connection to a peer is needed too rarely to be kept
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return stateDocument{}, newError(CodePeerState).Errorf("peer %s: %v", address, err)
	}
	defer response.Body.Close()
	var doc stateDocument
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&doc); err != nil {
		return stateDocument{}, newError(CodePeerState).Errorf("peer %s: %v", address, err)
	}
	return doc, nil
}
