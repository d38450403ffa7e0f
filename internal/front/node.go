package front

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/internal/connlimit"
	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/listsync"
	"github.com/yuccahatch/yuccahatch/internal/overload"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/reach"
	"github.com/yuccahatch/yuccahatch/internal/retryshare"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/serverlimit"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// configPollWait is how long the store may hold the call for configuration
	// changes open. A dead connection is detected when this time is over, or earlier
	// through the heartbeat of a peer.
	configPollWait = 25 * time.Second
	// After a change of the configuration, the next one is read configPauseDivisor times
	// earlier than it must be in force, at most maxConfigPause later.
	//
	// Load pattern: a dozen configurations follow each other three times a second, and
	// each would cost one call from every host.
	configPauseDivisor = 5
	maxConfigPause     = time.Second
	// housekeepingInterval is the interval at which expired state is removed.
	housekeepingInterval = 500 * time.Millisecond
	// logBuffer is the maximum number of log lines that are queued while the output
	// of the log is slow.
	logBuffer = 1024
	// memoryLimitShare is the fraction of the host's memory that is set as the
	// soft memory limit of the Go runtime; near it the garbage collector runs more
	// often.
	memoryLimitShare = 0.6
)

// Node is one node of a deployment. Its exported methods may be called from any
// goroutine; Run is called once.
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

	routes    routing.Holder
	fleet     *fleet.Fleet
	pool      *backendconn.Pool
	mesh      peerMesh
	peerState peerStateFunc
	gateway   *gateway.Gateway
	config    *follower
	servers   *follower
	assembler changeAssembler
	paths     reach.Tracker
	loans     loanTable
	permits   pendingAnswers[mesh.PermitAnswer]
	origins   pendingAnswers[mesh.OriginAnswer]
	limiter   serverlimit.Limiter // of the servers that this node owns
	// rejections grants requests to the brittle servers that this node owns.
	rejections  serverlimit.Rejections
	lastRelease atomic.Uint64 // number of the latest release; see releaseNumber
	// registerAgain signals register to write this node's row again.
	registerAgain chan struct{}
	// peerHeard is closed by peerHeardOnce at the first heartbeat of a peer.
	peerHeard     chan struct{}
	peerHeardOnce sync.Once
	// lastChangePosition is the position up to which this node's list of servers was
	// current when the node last applied changes to it, from the store or a peer. It
	// is the start of the next set of changes that the node sends as the reader: a
	// peer that has read up to it needs only that set. Unlike serversChanged, it is
	// not the position of a change itself. Guarded by servers.applyMu.
	lastChangePosition ident.StorePosition

	// Settings that Reload may change, in nanoseconds.
	addressTTL atomic.Int64
	grace      atomic.Int64 // Settings.Grace; 0 if there is no grace period

	leaving       atomic.Bool
	leavingSince  atomicTime
	serversLoaded atomic.Bool // the list of servers has been read at least once
	inFlight      atomic.Int64
	// storeRecoveredAt is the time at which the latest outage of the store, as
	// seen by this node, ended. sharedOutageEndedAt is the same for outages that
	// affected all nodes. Both are zero if there was none.
	storeRecoveredAt    atomicTime
	sharedOutageEndedAt atomicTime
	// storeUnreachable is true while neither this node nor any peer can read the
	// store.
	storeUnreachable atomic.Bool
	// serversChanged is the position of the newest change of a server, among the changes
	// that this node has read from the store itself; zero if it has read none since the
	// first listing. For a change of unknown version it is the position up to which the
	// list was read. Reports that only show that a server is alive are not changes.
	// Heartbeats carry it, and a peer that has not read up to it reads the list.
	serversChanged atomicPosition
	// serversListed is the position of the latest full list that this node has taken
	// over as it was, from the store at the start or from a peer. The node does not know
	// which changes were made before it. Heartbeats carry it.
	serversListed atomicPosition
	// peersReadStore is true if a peer has been able to read the store during the
	// current outage of the store as seen by this node.
	peersReadStore atomic.Bool
	// unreachableAt is the latest time at which storeUnreachable was found true.
	unreachableAt atomicTime
	// listMonitor compares the list of servers with those of peers, and listDiffers is set
	// while the list is to be read anew because it differs.
	listMonitor   listsync.Monitor
	listDiffers   atomic.Bool
	fetchingState atomic.Bool // a request for a peer's state is in progress
	connections   *connlimit.Book
	rollouts      rollouts
	dispatcher    dispatcher
	crashes       crashcause.Tracker
	streams       streamversion.Registry
	versions      streamversion.History
	streamReading streamReading
	// historyStored is the history of versions that this node wrote to the store or read
	// last; nil if there was none.
	historyStored atomic.Pointer[streamversion.Snapshot]
	// crashesStored is the digest of the row of crashes that this node wrote last; 0 if it
	// wrote none since it has read the row.
	crashesStored atomic.Uint64
	// fetchingCrashes is true while a request for a peer's crashes is in progress, and for
	// crashFetchInterval after it.
	fetchingCrashes atomic.Bool
	crashesRead     readIncarnations

	mu sync.Mutex
	// rawConfig is the configuration in force as encoded by the store, which is
	// served to peers. Guarded by mu.
	rawConfig []byte
}

// peerMesh is what a node uses of mesh.Mesh.
type peerMesh interface {
	Run(ctx context.Context)
	Seed(addresses []string)
	Hello()
	AddKnown(now time.Time, list []mesh.Member)
	Alive(now time.Time) []mesh.Member
	CountAlive(now time.Time) int
	CountKnown() int
	Silence(now time.Time, host ident.HostID) time.Duration
	Silent(now time.Time, within time.Duration) []ident.HostID
	Announce()
	AnnounceServerChanges(from, to ident.StorePosition, rows []mesh.ServerChange)
	Found(e fleet.Entry)
	AskOrigin(to mesh.Member, x mesh.OriginRequest)
	RequestLoan(to mesh.Member, x mesh.Loan)
	RequestPermit(to mesh.Member, x mesh.PermitRequest)
	AskServer(to mesh.Member, x mesh.AskServer)
	AnswerAsk(address string, x mesh.Assigned)
	EndCall(to mesh.Member, x mesh.CallEnd)
	ReportRollout(to mesh.Member, x rollout.Report)
	PlanRollout(to mesh.Member, service string, p rollout.Plan)
	AnswerPermit(address string, x mesh.PermitAnswer)
	Release(to mesh.Member, x mesh.Release)
}

// peerStateFunc requests the state of a peer; see serveState for the query.
type peerStateFunc func(ctx context.Context, address, query string) (stateDocument, error)

// New returns a node that is not running yet. Log lines are written to out.
func New(s Settings, store Store, codec interface {
	gateway.Codec
	Decoder
}, out io.Writer) (*Node, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
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
		fleet: fleet.New(s.Host, now), pool: backendconn.NewPool(s.Dial),
	}
	n.listMonitor.Place = rand.Float64()
	n.rollouts.host.Limits = s.Rollout
	n.connections = connlimit.NewBook(connlimit.LimitsFor(int64(s.MemoryMB)<<20, s.MaxFDs))
	n.addressTTL.Store(int64(s.AddressTTL))
	n.grace.Store(int64(s.Grace))
	nodeMesh, err := mesh.New(s.Mesh, n.fleet, n.member, mesh.Handlers{
		Heartbeat:     n.onHeartbeat,
		Crash:         func(now time.Time, x crashcause.Crash) { n.crashes.Add(now, x) },
		Answered:      func(now time.Time, c crashcause.Content) { n.crashes.Answered(now, c) },
		ServerChanges: n.onServerChanges,
		Lend: func(now time.Time, service string, requested int) int {
			return n.gateway.Budgets.Lend(now, service, requested)
		},
		Lent:            n.onLoan,
		Began:           n.Began,
		VersionOf:       n.knownVersion,
		OriginAnswered:  n.onOriginAnswer,
		Lost:            n.onLoss,
		Released:        n.onRelease,
		Rejected:        func(now time.Time, server ident.BackendID) { n.recordRejection(now, server) },
		Limit:           func(now time.Time, l fleet.LimitNotice) { n.mergeLimit(now, l, "peer") },
		Permit:          n.onPermit,
		Permitted:       n.onPermitted,
		Asked:           n.onAsk,
		AssignedTo:      n.onAssigned,
		CallEnded:       n.onCallEnd,
		RolloutReported: n.onRolloutReport,
		RolloutPlanned:  n.onRolloutPlan,
		Panicked:        n.logPanic,
	})
	if err != nil {
		return nil, err
	}
	n.mesh, n.peerState = nodeMesh, fetchState
	n.gateway = &gateway.Gateway{
		Codec: codec, Routes: &n.routes, Fleet: n.fleet, Pool: n.pool, Self: s.Host,
		Announce: nodeMesh, Log: log, Metrics: gateway.NewMetrics(scope),
		Budgets: retryshare.New(
			retryshare.Limits{Ratio: s.Retry.Ratio, Base: s.Retry.Slack, Window: s.Retry.Window},
			now, func() int { return n.mesh.CountKnown() + 1 }),
		Paths: &n.paths, PathChanged: n.mesh.Announce,
		Relays: &relays{node: n, sent: map[ident.HostID]int{}}, RelayPool: backendconn.NewPool(nil),
		Borrow:     n.borrow,
		Permit:     n.permit,
		Release:    n.release,
		Rejected:   n.recordRejection,
		AlivePeers: func() int { return n.mesh.CountAlive(time.Now()) },
		Overload:   &overload.Controller{},
		Crashes:    &n.crashes,
		Versions:   n,
		Rollouts:   &n.rollouts.host,
		Dispatch:   n,
		Leaving:    n.leaving.Load, AcceptsNew: n.acceptsNew, AnswerBy: n.answerBy,
	}
	n.gateway.Bodies.SetHostMemory(int64(s.MemoryMB) << 20)
	n.pool.Dialed = n.gateway.OnDialed
	n.Tune(DefaultTuning())
	n.config = n.newFollower(TableConfig, configPollWait, n.replaceConfig, n.applyConfig)
	n.config.changePause = min(maxConfigPause, s.ConfigDeadline/configPauseDivisor)
	n.registerAgain, n.peerHeard = make(chan struct{}, 1), make(chan struct{})
	n.streamReading.turn = make(chan struct{}, 1)
	// serversDue determines when the list of servers is read, so the store must
	// answer at once: the wait is 0.
	n.servers = n.newFollower(TableServers, 0, n.replaceServers, n.applyServers)
	n.servers.due, n.servers.prepare = n.serversDue, n.prepareServers
	// After an outage, the connection of the long poll for the configuration may be
	// dead without an error.
	n.servers.onRecovered = n.config.restartCall
	n.servers.onRead, n.servers.isReader, n.config.isReader = n.afterServersRead, n.isReader, n.isReader
	return n, nil
}

func (n *Node) newFollower(t Table, wait time.Duration, replace, apply func(Rows, readContext)) *follower {
	return &follower{
		store: n.store, table: t, log: n.log, pollWait: wait,
		replace: replace, apply: apply, wake: make(chan struct{}, 1), retry: make(chan struct{}, 1),
		invalidEras: telemetry.InvalidEras.Counter(n.scope),
	}
}

// logPanic logs an unexpected error in the handling of a datagram.
func (n *Node) logPanic(v any) {
	n.log.Log(logrus.ErrorLevel, telemetry.EventPanic, logrus.Fields{"work": "datagram", "error": fmt.Sprint(v), "stack": string(debug.Stack())}, "unexpected error, work given up")
}

// CountPeers returns the number of other nodes that are alive.
func (n *Node) CountPeers() int { return n.mesh.CountAlive(time.Now()) }

// Connections returns how many connections to servers are open, and how many of these carry
// no request.
func (n *Node) Connections() (open, idle int) { return n.pool.Open() }

// Ready reports whether the node can serve clients: it has a configuration and a
// list of servers, and is not leaving.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.routes.Current() != nil && n.serversLoaded.Load()
}

// maxAddressTTL is the maximum time for which clients may keep a list of
// addresses. It is short so that clients move away from a host that is about to
// stop before it stops.
const maxAddressTTL = time.Second

// Addresses returns the addresses that a client may use and how long it may keep
// them. If no node is known to be ready, it returns this node's own address.
func (n *Node) Addresses(client string) ([]string, time.Duration) {
	var hosts []clientHost
	if n.Ready() {
		hosts = append(hosts, clientHost{n.settings.Host, n.settings.Clients, n.settings.capacity(), len(n.paths.LostServices()) > 0})
	}
	for _, m := range n.mesh.Alive(time.Now()) {
		if m.State == mesh.Ready && m.Clients != "" {
			hosts = append(hosts, clientHost{m.Host, m.Clients, m.Capacity, len(m.LostPaths) > 0})
		}
	}
	hosts = withPath(hosts)
	ttl := min(maxAddressTTL, max(time.Duration(n.addressTTL.Load()), time.Millisecond))
	if len(hosts) == 0 {
		return []string{n.settings.Clients}, ttl
	}
	return addressesFor(client, hosts), ttl
}

// member returns the description of this node that is sent to its peers.
func (n *Node) member(now time.Time) mesh.Member {
	m := mesh.Member{
		Host: n.settings.Host, Incarnation: n.incarnation, DataCentre: n.settings.DataCentre,
		Mesh: n.settings.Mesh, Clients: n.settings.Clients, State: mesh.Starting,
		ConfigVersion: n.routes.Version(), ConfigEra: n.routes.Era(), Capacity: n.settings.capacity(),
		Coordinates: n.settings.Rollout.Enabled(), Dispatches: true,
	}
	if n.gateway != nil { // nil while New calls mesh.New, which calls member
		m.Usage = n.gateway.Budgets.Usage(now)
		m.Limits = n.ownedLimits(now)
		n.describeList(now, &m)
		m.Crashes, m.CrashesDigest = n.crashes.Len(now), n.crashes.Digest(now)
		m.LostPaths = n.paths.LostServices()
	}
	switch {
	case n.leaving.Load():
		m.State = mesh.Leaving
	case n.Ready():
		m.State = mesh.Ready
	}
	return m
}

// ConfigVersion returns the version of the configuration in force, or 0 if there
// is none yet.
func (n *Node) ConfigVersion() int64 { return n.routes.Version() }

// BodyBytes returns the number of bytes that the bodies of requests hold in memory.
func (n *Node) BodyBytes() int64 { return n.gateway.Bodies.Held() }
