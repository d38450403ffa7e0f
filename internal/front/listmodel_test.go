package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// The model plays nodes that follow the list of servers as in production: their followers,
// what they tell and take over, and their comparisons. The store, the servers, the datagrams
// and the requests for a peer's state are played in virtual time. The servers' entries lapse
// in outages of the store; servers join, change their state and leave; nodes are killed, cut
// off, frozen and turned away by the store.
const (
	modelReportInterval = 1200 * time.Millisecond // between two reports of a server
	modelLease          = 3 * time.Second         // after which an entry that is not renewed lapses
	modelDatagramLoss   = 0.03
	modelStoreDelay     = 2 * time.Millisecond
	modelAgreeWithin    = 2 * time.Second // after the end of all faults
	// modelRecentChange is the age up to which nodes need not have read a change.
	modelRecentChange = time.Second
	// modelCallsPerHost is the number of calls that each host may make in the three seconds
	// after an outage, on average.
	modelCallsPerHost = 8
)

var errModelStoreAway = errors.New("the store is away")

// listModel is a deployment in the model.
type listModel struct {
	t       *testing.T
	ctx     context.Context
	random  *rand.Rand // used by the goroutine of the test only
	hosts   []*listHost
	store   *listStore
	servers []*listServer
	joined  int

	lossMu sync.Mutex
	loss   *rand.Rand // guarded by lossMu
}

// listServer is a backend server that reports to the store.
type listServer struct {
	entry  fleet.Entry
	writes time.Time // next report
}

// listStore is a store with one table.
type listStore struct {
	mu       sync.Mutex
	revision int64
	rows     map[string]Row
	changed  map[string]time.Time // of rows that were added, removed or changed their state
	history  []Row
	away     bool
	calls    int
}

func (s *listStore) put(r Row, change bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r.Version = s.revision
	if r.Removed {
		delete(s.rows, r.Key)
	} else {
		s.rows[r.Key] = r
	}
	if change {
		s.changed[r.Key] = time.Now()
	}
	s.history = append(s.history, r)
}

func (s *listStore) after(revision int64) (rows []Row) {
	for _, r := range slices.Backward(s.history) {
		if r.Version <= revision {
			break
		}
		rows = append(rows, r)
	}
	slices.Reverse(rows)
	return rows
}

// listHost is one host. A node that is killed is replaced by another of a later incarnation.
type listHost struct {
	model *listModel
	index int

	mu      sync.Mutex
	node    *Node
	stop    context.CancelFunc
	refused bool          // the store refuses this host only
	cut     bool          // no datagrams and no calls
	frozen  chan struct{} // closed at the end of the suspension; nil if there is none
	inbox   chan func()
}

func (h *listHost) state() (refused, cut bool, frozen chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused, h.cut, h.frozen
}

// awaitEnd blocks while the host is frozen.
func (h *listHost) awaitEnd() {
	if _, _, frozen := h.state(); frozen != nil {
		<-frozen
	}
}

// modelView is the store as one host reaches it.
type modelView struct {
	Store
	host *listHost
}

func (v modelView) call() error {
	v.host.awaitEnd()
	time.Sleep(modelStoreDelay)
	v.host.awaitEnd()
	refused, cut, _ := v.host.state()
	s := v.host.model.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if refused || cut || s.away {
		return errModelStoreAway
	}
	return nil
}

func (v modelView) List(_ context.Context, t Table) (Rows, error) {
	if err := v.call(); err != nil || t != TableServers {
		return Rows{}, err
	}
	s := v.host.model.store
	s.mu.Lock()
	defer s.mu.Unlock()
	return Rows{Rows: slices.Collect(maps.Values(s.rows)), Position: position(1, s.revision)}, nil
}

func (v modelView) Follow(_ context.Context, _ Table, after ident.StorePosition, _ time.Duration) (Rows, error) {
	if err := v.call(); err != nil {
		return Rows{}, err
	}
	s := v.host.model.store
	s.mu.Lock()
	defer s.mu.Unlock()
	return Rows{Rows: s.after(after.Revision), Position: position(1, s.revision)}, nil
}

type modelDecoder struct{ Decoder }

func (modelDecoder) DecodeEntry(_ string, raw []byte) (e fleet.Entry, err error) {
	return e, json.Unmarshal(raw, &e)
}

// modelMesh delivers datagrams between the hosts.
type modelMesh struct {
	peerMesh
	host *listHost
	node *Node

	mu    sync.Mutex
	peers map[ident.HostID]modelPeer
}

type modelPeer struct {
	mesh.Member
	at time.Time
}

// interval returns the time between two heartbeats, as in package mesh.
func (m *listModel) interval() time.Duration {
	return min(time.Second, max(300*time.Millisecond, time.Duration(len(m.hosts))*12*time.Millisecond))
}

func (x *modelMesh) Alive(now time.Time) (list []mesh.Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		if age := now.Sub(p.at); age < 3*x.host.model.interval()+200*time.Millisecond {
			member := p.Member
			member.StoreAgeMs += age.Milliseconds()
			list = append(list, member)
		}
	}
	return list
}

func (x *modelMesh) CountAlive(now time.Time) int { return len(x.Alive(now)) }

func (x *modelMesh) CountKnown() int { return len(x.host.model.hosts) - 1 }

// broadcast sends a datagram to all other hosts.
func (x *modelMesh) broadcast(f func(n *Node, to *modelMesh)) {
	if _, cut, frozen := x.host.state(); cut || frozen != nil {
		return
	}
	for _, h := range x.host.model.hosts {
		if h == x.host || x.host.model.lost() {
			continue
		}
		h.deliver(f)
	}
}

// lost reports whether a datagram is lost.
func (m *listModel) lost() bool {
	m.lossMu.Lock()
	defer m.lossMu.Unlock()
	return m.loss.Float64() < modelDatagramLoss
}

// deliver queues a datagram. It is lost if the queue of the host is full.
func (h *listHost) deliver(f func(n *Node, to *modelMesh)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cut || h.node == nil {
		return
	}
	node := h.node
	select {
	case h.inbox <- func() { f(node, node.mesh.(*modelMesh)) }:
	default:
	}
}

func (x *modelMesh) Announce() {
	now := time.Now()
	m := mesh.Member{
		Host: x.node.settings.Host, Mesh: string(x.node.settings.Host), State: mesh.Starting,
		ConfigVersion: 1, Incarnation: x.node.incarnation,
	}
	x.node.describeList(now, &m)
	if x.node.Ready() {
		m.State = mesh.Ready
	}
	x.broadcast(func(n *Node, to *modelMesh) {
		to.mu.Lock()
		to.peers[m.Host] = modelPeer{m, time.Now()}
		to.mu.Unlock()
		n.onHeartbeat(m)
	})
}

func (x *modelMesh) AnnounceServerChanges(from, to ident.StorePosition, rows []mesh.ServerChange) {
	const perDatagram = 7
	parts := (len(rows) + perDatagram - 1) / perDatagram
	for part := range parts {
		changes := mesh.ServerChanges{
			From: from, To: to, Part: part, Parts: parts,
			Rows: rows[part*perDatagram : min(len(rows), (part+1)*perDatagram)],
		}
		x.broadcast(func(n *Node, _ *modelMesh) { n.onServerChanges(changes) })
	}
}

// fetchState is a request for the state of a peer.
func (m *listModel) fetchState(_ context.Context, address, query string) (stateDocument, error) {
	time.Sleep(modelStoreDelay)
	for _, h := range m.hosts {
		h.mu.Lock()
		node, reachable := h.node, !h.cut && h.frozen == nil
		h.mu.Unlock()
		if node == nil || string(node.settings.Host) != address {
			continue
		}
		if !reachable {
			break
		}
		var doc stateDocument
		if query == "servers" {
			node.describeState(&doc)
		}
		if query == "departed" {
			doc.Departed = node.fleet.Departed()
		}
		return doc, nil
	}
	return stateDocument{}, errors.New("the peer does not answer")
}

// start starts a node on a host.
func (h *listHost) start() {
	now := time.Now()
	n := &Node{
		settings: Settings{Host: ident.HostID(fmt.Sprintf("host-%03d", h.index))}, incarnation: ident.Incarnation(now.UnixNano()),
		store: modelView{host: h}, decoder: modelDecoder{}, started: now,
		log:   telemetry.NewEventLog(telemetry.NewLogger(io.Discard, "error", "h", "d")),
		fleet: fleet.New("self", now), peerState: h.model.fetchState, peerHeard: make(chan struct{}),
		registerAgain: make(chan struct{}, 1),
	}
	n.listMonitor.Place = rand.Float64()
	n.mesh = &modelMesh{host: h, node: n, peers: map[ident.HostID]modelPeer{}}
	n.routes.InstallIfNewer(routing.NewTable(routing.Config{Version: 1}))
	log, store := n.log, n.store
	newFollower := func(t Table, replace, apply func(Rows, readContext)) *follower {
		return &follower{
			store: store, table: t, log: log, replace: replace, apply: apply,
			wake: make(chan struct{}, 1), retry: make(chan struct{}, 1),
		}
	}
	n.config = newFollower(TableConfig, nil, nil)
	n.servers = newFollower(TableServers, n.replaceServers, n.applyServers)
	n.servers.due, n.servers.prepare = n.serversDue, n.prepareServers
	n.servers.onRead, n.servers.isReader = n.afterServersRead, n.isReader
	ctx, stop := context.WithCancel(h.model.ctx)
	h.mu.Lock()
	h.node, h.stop = n, stop
	h.mu.Unlock()
	go n.servers.run(ctx)
	go every(ctx, h.model.interval(), func(time.Time) { n.mesh.Announce() })
	go every(ctx, housekeepingInterval, func(now time.Time) {
		h.awaitEnd()
		n.fleet.Expire(time.Now())
		n.readFreshestPeer(ctx, time.Now())
	})
}

// receive passes datagrams to the node of the host.
func (h *listHost) receive(ctx context.Context) {
	for {
		select {
		case f := <-h.inbox:
			h.awaitEnd()
			f()
		case <-ctx.Done():
			return
		}
	}
}
