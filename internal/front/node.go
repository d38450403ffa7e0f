package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/overload"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// configWait is how long the store holds the call for the configuration. A
	// connection that went silent is found by then, or by a peer's heartbeat.
	configWait = 15 * time.Second
	// housekeeping is how often expired state is dropped.
	housekeeping = 500 * time.Millisecond
	// logBuffer is the number of log lines that may wait for a slow reader.
	logBuffer = 1024
	// memoryShare is the part of the host's memory at which the collector works
	// harder.
	memoryShare = 0.6
)

// Node is one node of a deployment.
type Node struct {
	settings    Settings
	store       Store
	decoder     Decoder
	incarnation ident.Incarnation
	started     time.Time

	log     *telemetry.EventLog
	scope   tally.Scope
	metrics http.Handler
	closers []io.Closer

	routes  routing.Holder
	fleet   *fleet.Fleet
	pool    *backendconn.Pool
	mesh    *mesh.Mesh
	gateway *gateway.Gateway
	config  *follower
	servers *follower
	listing listing
	// changesFrom is the revision by which this node had read its newest change of
	// the list of servers. A peer that has read as far needs only what comes later.
	// It is guarded by the lock of servers.
	changesFrom int64

	// Settings that a reload may change, in nanoseconds.
	addressTTL atomic.Int64
	grace      atomic.Int64

	leaving      atomic.Bool
	leavingSince atomic.Int64 // Unix nanoseconds
	listed       atomic.Bool  // the servers have been read once
	inFlight     atomic.Int64
	// storeBackAt is the time at which this node's newest outage of the store
	// ended, and lapsesAt the same for outages that all nodes saw, in Unix
	// nanoseconds.
	storeBackAt atomic.Int64
	lapsesAt    atomic.Int64
	// storeAway is set while neither this node nor a peer reads the store.
	storeAway atomic.Bool
	// serversChanged is the revision of the newest change of a server that is
	// more than a sign of life.
	serversChanged atomic.Int64
	// peersFresh is set while peers read the store and this node does not.
	peersFresh atomic.Bool
	fetching   atomic.Bool // a peer's state is being read

	mu sync.Mutex
	// mu guards what peers may ask for.
	rawConfig []byte
}

// New prepares a node. Lines of the log go to out.
func New(s Settings, store Store, codec interface {
	gateway.Codec
	Decoder
}, out io.Writer) (*Node, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	now := time.Now()
	writer := telemetry.NewAsyncWriter(out, logBuffer)
	log := telemetry.NewEventLog(telemetry.NewLogger(writer, "info", string(s.Host), string(s.DataCentre)))
	scope, page, closer, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s, store: store, decoder: codec,
		incarnation: ident.Incarnation(now.UnixNano()), started: now,
		log: log, scope: scope, metrics: page, closers: []io.Closer{closer, writer},
		fleet: fleet.New(s.Host, now), pool: backendconn.NewPool(),
	}
	n.addressTTL.Store(int64(s.AddressTTL))
	n.grace.Store(int64(s.Grace))
	n.mesh, err = mesh.New(s.Mesh, n.fleet, n.member, mesh.Handlers{
		Heard:  n.heard,
		Crash:  func(now time.Time, x gateway.Crash) { n.gateway.Crashed(now, x) },
		Listed: n.peerListed,
	})
	if err != nil {
		return nil, err
	}
	n.gateway = &gateway.Gateway{
		Codec: codec, Routes: &n.routes, Fleet: n.fleet, Pool: n.pool, Self: s.Host,
		Announce: n.mesh, Log: log, Metrics: gateway.NewMetrics(scope),
		Budgets: &gateway.Budgets{
			Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window,
			Others: func(service string) (gateway.Usage, int) { return n.mesh.Usage(time.Now(), service) },
		},
		Overload: &overload.Controller{},
		Leaving:  n.leaving.Load, TakesStreams: n.takesStreams,
	}
	n.Tune(DefaultTuning())
	n.config = n.newFollower(TableConfig, configWait, n.applyConfig, n.applyConfig)
	n.servers = n.newFollower(TableServers, 0, n.replaceServers, n.applyServers)
	n.servers.due = n.serversDue
	n.servers.onBack = n.config.askAgain
	n.servers.onRead, n.servers.eager, n.config.eager = n.tellRead, n.isReader, n.isReader
	return n, nil
}

func (n *Node) newFollower(t Table, wait time.Duration, replace, apply func(Rows, bool)) *follower {
	return &follower{
		store: n.store, table: t, log: n.log, wait: wait,
		replace: replace, apply: apply, wake: make(chan struct{}, 1), retry: make(chan struct{}, 1),
	}
}

// Ready reports whether clients may be sent here.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.routes.Current() != nil && n.listed.Load()
}

// listTTL is how long clients keep a list of addresses. A short time lets
// them leave a host that is about to stop before it stops.
const listTTL = time.Second

// Addresses returns the addresses that a client may use, and for how long.
func (n *Node) Addresses(client string) ([]string, time.Duration) {
	var hosts []addressee
	if n.Ready() {
		hosts = append(hosts, addressee{n.settings.Host, n.settings.Clients, n.settings.carries()})
	}
	for _, m := range n.mesh.Alive(time.Now()) {
		if m.State == mesh.Ready && m.Clients != "" {
			hosts = append(hosts, addressee{m.Host, m.Clients, m.Carries})
		}
	}
	ttl := min(listTTL, max(time.Duration(n.addressTTL.Load()), time.Millisecond))
	if len(hosts) == 0 {
		return []string{n.settings.Clients}, ttl
	}
	return addressesFor(client, hosts), ttl
}

// member describes this node to its peers.
func (n *Node) member(now time.Time) mesh.Member {
	m := mesh.Member{
		Host: n.settings.Host, Incarnation: n.incarnation, DataCentre: n.settings.DataCentre,
		Mesh: n.settings.Mesh, Clients: n.settings.Clients, State: mesh.Starting,
		ConfigVersion: n.routes.Version(), Carries: n.settings.carries(),
	}
	if n.gateway != nil {
		m.Usage = n.gateway.Budgets.Own(now)
		m.ServersChanged = n.serversChanged.Load()
		m.StoreAgeMs = n.servers.age(now).Milliseconds()
	}
	switch {
	case n.leaving.Load():
		m.State = mesh.Leaving
	case n.Ready():
		m.State = mesh.Ready
	}
	return m
}

func (n *Node) applyConfig(rows Rows, _ bool) {
	for _, r := range rows.Rows {
		if r.Key == configKey && !r.Removed {
			n.offerConfig(r.Value, "store")
		}
	}
}

// offerConfig installs a configuration if it is newer than the present one.
func (n *Node) offerConfig(raw []byte, source string) {
	c, err := n.decoder.DecodeConfig(raw)
	if err != nil {
		n.log.LogError(logrus.ErrorLevel, telemetry.EventConfigRefused, err, logrus.Fields{"source": source}, "configuration cannot be read")
		return
	}
	if !n.routes.Offer(routing.NewTable(c)) {
		return
	}
	n.mu.Lock()
	n.rawConfig = raw
	n.mu.Unlock()
	n.log.Log(logrus.InfoLevel, telemetry.EventConfigApplied, logrus.Fields{
		"version": c.Version, "source": source, "routes": len(c.Routes), "teams": len(c.Teams),
	}, "configuration in force")
}

// register tells other nodes of this one through the store, and learns of them.
func (n *Node) register(ctx context.Context) {
	n.mesh.Seed(n.settings.Seeds)
	raw, err := json.Marshal(n.member(time.Now()))
	if err != nil {
		panic(err) // the type always encodes
	}
	for backoff := retryFirst; ctx.Err() == nil; backoff = min(2*backoff, retryMost) {
		err := n.store.Put(ctx, TableNodes, string(n.settings.Host), raw)
		if err == nil {
			if err = n.learnNodes(ctx); err == nil {
				return
			}
		}
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableNodes}, "node not registered yet")
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
}

func (n *Node) learnNodes(ctx context.Context) error {
	rows, err := n.store.List(ctx, TableNodes)
	if err != nil {
		return err
	}
	var list []mesh.Member
	for _, r := range rows.Rows {
		var m mesh.Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventPeerState, err, logrus.Fields{telemetry.FieldPeer: r.Key}, "row of a node cannot be read")
			continue
		}
		m.Host = ident.HostID(r.Key)
		list = append(list, m)
	}
	n.mesh.Know(time.Now(), list)
	n.mesh.Hello()
	return nil
}

// ConfigVersion returns the version of the configuration in force, 0 before the
// first.
func (n *Node) ConfigVersion() int64 { return n.routes.Version() }
