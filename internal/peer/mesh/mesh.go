package mesh

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/ring"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
)

const (
	// heartbeatMin is the interval between a node's heartbeats to all others while
	// there are few nodes. With n other nodes the interval is n*heartbeatPerNode,
	// but at least heartbeatMin and at most heartbeatMax, so that the traffic of
	// each node grows more slowly than the number of nodes.
	heartbeatMin     = 300 * time.Millisecond
	heartbeatPerNode = 12 * time.Millisecond
	heartbeatMax     = time.Second
	// fullHeartbeatEvery is the number of heartbeats of which one is full; the
	// others are brief. A peer that missed the full one requests it with a hello.
	fullHeartbeatEvery = 8
	// batchDelay is how long an event that is not urgent waits for further events
	// that can be sent in the same datagram.
	batchDelay = 5 * time.Millisecond
	// lazyDelayPerNode is how long an event that only frees resources waits for a
	// datagram to go with, for each other node. The number of datagrams grows with the
	// square of the number of nodes.
	lazyDelayPerNode = 2 * time.Millisecond
	// eventQueueSize is the maximum number of events that wait to be sent. The
	// oldest events lose their value first, and an event that is rejected because
	// the queue is full only makes the peers' estimates less accurate.
	eventQueueSize = 512
	// eventsPerDatagram keeps a datagram below the size of one packet, but for reports of
	// crashes whose prompts have many parts: six of them have up to 1.5 kB.
	eventsPerDatagram = 6
	// maxDatagram is the maximum size in bytes of a received datagram.
	maxDatagram = 4 << 10
)

// Mesh exchanges heartbeats and events with the other nodes of a deployment.
type Mesh struct {
	fleet  *fleet.Fleet
	conn   *net.UDPConn
	self   func(now time.Time) Member
	events *ring.Ring[Event]
	host   ident.HostID
	// incarnation is an ident.Incarnation. It rises if a peer knows a later one.
	incarnation atomic.Int64
	pending     chan struct{} // signals queued events that may wait for a batch
	lazy        chan struct{} // signals queued events that only free resources
	urgent      chan struct{} // signals queued events that must be sent at once
	// flushedAt is the time at which events were last sent, and skipped is set if the
	// heartbeat of the latest tick was left out. Only the sending goroutine uses them.
	flushedAt time.Time
	skipped   bool
	Handlers

	mu      sync.Mutex
	members *members // guarded by mu
}

// Handlers are the functions that the receiving goroutine calls for the messages
// of peers.
type Handlers struct {
	// Heartbeat is called for each heartbeat of a peer.
	Heartbeat func(Member)
	// Crash is called for each crash that a peer reports.
	Crash func(time.Time, crashcause.Crash)
	// Answered is called for content that a peer reports to have been answered although
	// a crash counted against it.
	Answered func(time.Time, crashcause.Content)
	// ServerChanges is called for changes of the list of servers that a peer has
	// read.
	ServerChanges func(ServerChanges)
	// Lend returns how many of the requested retries to a service this node lends.
	Lend func(now time.Time, service string, requested int) int
	// Began is called for each stream of a peer that begins.
	Began func(time.Time, streamversion.Record)
	// VersionOf returns the version that began a stream, or nothing if it is not known.
	// OriginAnswered is called for each answer to such a question of this node.
	VersionOf      func(time.Time, streamversion.Key) string
	OriginAnswered func(OriginAnswer)
	// Lost is called for each loss of a server that a peer reports.
	Lost func(now time.Time, reporter ident.HostID, server ident.BackendID, how fleet.Loss)
	// Released is called for each request of a peer that has ended at a brittle server.
	Released func(now time.Time, host ident.HostID, x Release)
	// Rejected is called for each rejection by a brittle server that a peer reports.
	Rejected func(now time.Time, server ident.BackendID)
	// Limit is called for each change of the limit of a server that a peer reports.
	Limit func(time.Time, fleet.LimitNotice)
	// Permit is called for each request for permission to send, with the address to which
	// the answer is sent. It must not block.
	Permit func(now time.Time, sender string, x PermitRequest)
	// Permitted is called for each answer to a request for permission.
	Permitted func(time.Time, PermitAnswer)
	// Asked is called for each question for a server, with the address to which the answer is
	// sent, AssignedTo for each answer, and CallEnded for each end of a call.
	Asked      func(now time.Time, host ident.HostID, sender string, x AskServer)
	AssignedTo func(time.Time, Assigned)
	CallEnded  func(now time.Time, host ident.HostID, x CallEnd)
	// RolloutReported is called for each report of a roll-out, and RolloutPlanned for each
	// plan.
	RolloutReported func(time.Time, rollout.Report)
	RolloutPlanned  func(now time.Time, service string, p rollout.Plan)
	// Panicked is called when a datagram causes a panic.
	Panicked func(v any)
	// Lent is called for each answer to a request for a loan.
	Lent func(time.Time, Loan)
}

// New opens the UDP socket of the node. self returns the description of the node
// that is sent to its peers; it is called from several goroutines.
func New(listen string, f *fleet.Fleet, self func(now time.Time) Member, h Handlers) (*Mesh, error) {
	address, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, newError(CodeAddress).Errorf("mesh address %q: %v", listen, err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, newError(CodeListen).Errorf("listening on %s: %v", listen, err)
	}
	local := self(time.Now())
	mesh := &Mesh{
		host:     local.Host,
		lazy:     make(chan struct{}, 1),
		fleet:    f,
		conn:     conn,
		self:     self,
		events:   ring.New[Event](eventQueueSize),
		pending:  make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
		Handlers: h,
		members:  newMembers(local.Host),
	}
	mesh.incarnation.Store(int64(local.Incarnation))
	return mesh, nil
}

// changesPerDatagram keeps a datagram with server entries below the size of one
// packet.
const changesPerDatagram = 7

// AnnounceServerChanges sends the changes of the list of servers between two
// positions in the store to all peers.
func (m *Mesh) AnnounceServerChanges(from, to ident.StorePosition, rows []ServerChange) {
	parts := (len(rows) + changesPerDatagram - 1) / changesPerDatagram
	for part := range parts {
		first := part * changesPerDatagram
		m.broadcast(message{ServerChanges: &ServerChanges{
			From: from, To: to, Part: part, Parts: parts, Rows: rows[first:min(len(rows), first+changesPerDatagram)],
		}})
	}
}

// Run sends and receives datagrams until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { m.receive(ctx) })
	m.send(ctx)
	wg.Wait()
}

// AddKnown adds nodes whose addresses were read from the platform's store.
func (m *Mesh) AddKnown(now time.Time, list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range list {
		m.members.addKnown(now, x)
	}
}

// Alive returns the other nodes that have sent a datagram recently, sorted by host
// id.
func (m *Mesh) Alive(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.alive(now)
}

// Silence returns the time since the latest datagram of a node, or the maximum
// duration if the node is not known.
func (m *Mesh) Silence(now time.Time, host ident.HostID) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.silence(now, host)
}

// Announce sends a brief heartbeat to all peers at once.
func (m *Mesh) Announce() {
	x := m.localMember().brief()
	m.broadcast(message{Member: &x})
}

// CountAlive returns the number of other nodes that have sent a datagram recently.
func (m *Mesh) CountAlive(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.countAlive(now)
}

// CountKnown returns the number of other nodes that are known, including those that
// are silent.
func (m *Mesh) CountKnown() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members.peers)
}

// RequestLoan asks a node to lend retries. The answer, if there is one, is passed to
// Handlers.Lent.
func (m *Mesh) RequestLoan(to Member, x Loan) {
	m.sendTo(to.Mesh, m.encoded(message{LoanRequest: &x}))
}

// RequestPermit asks a node for permission to send a request to a server. The answer, if
// there is one, is passed to Handlers.Permitted.
func (m *Mesh) RequestPermit(to Member, x PermitRequest) {
	m.sendTo(to.Mesh, m.encoded(message{Permit: &x}))
}

// Release tells a node that a request has ended for which it gave permission. It is sent
// twice: while one is lost, the server has a slot less.
func (m *Mesh) Release(to Member, x Release) {
	p := m.encoded(message{Release: &x})
	m.sendTo(to.Mesh, p)
	m.sendTo(to.Mesh, p)
}

// AnswerPermit answers a request for permission of the node at an address.
func (m *Mesh) AnswerPermit(address string, x PermitAnswer) {
	m.sendTo(address, m.encoded(message{Permitted: &x}))
}

// AskServer asks a node for a server for a call.
func (m *Mesh) AskServer(to Member, x AskServer) { m.sendTo(to.Mesh, m.encoded(message{Ask: &x})) }

// AnswerAsk answers the question of the node at an address.
func (m *Mesh) AnswerAsk(address string, x Assigned) {
	m.sendTo(address, m.encoded(message{Assigned: &x}))
}

// EndCall tells a node that a call has ended.
func (m *Mesh) EndCall(to Member, x CallEnd) { m.sendTo(to.Mesh, m.encoded(message{CallEnd: &x})) }

// ReportRollout sends a report of a roll-out to the node that coordinates it.
func (m *Mesh) ReportRollout(to Member, x rollout.Report) {
	m.sendTo(to.Mesh, m.encoded(message{RolloutReport: &x}))
}

// PlanRollout sends the plan for a service to a node.
func (m *Mesh) PlanRollout(to Member, service string, p rollout.Plan) {
	m.sendTo(to.Mesh, m.encoded(message{RolloutPlan: &RolloutPlan{service, p}}))
}

// AskOrigin asks a node which version began a stream. The answer, if there is one, is passed
// to Handlers.OriginAnswered.
func (m *Mesh) AskOrigin(to Member, x OriginRequest) {
	m.sendTo(to.Mesh, m.encoded(message{Origin: &x}))
}

// Silent returns the other nodes that do not count as alive, but have sent a datagram
// within the given time.
func (m *Mesh) Silent(now time.Time, within time.Duration) []ident.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.silent(now, within)
}

func (m *Mesh) send(ctx context.Context) {
	heartbeat := time.NewTimer(heartbeatMin)
	defer heartbeat.Stop()
	var batchEnd, lazyEnd <-chan time.Time // set while queued events wait for the end of a batch
	m.broadcast(message{Member: m.localMember(), Hello: true})
	for count := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			if count++; m.heartbeatDue(time.Now(), count) {
				x := m.localMember()
				if count%fullHeartbeatEvery != 0 {
					*x = x.brief()
				}
				m.broadcast(message{Member: x})
			}
			m.expire(time.Now())
			heartbeat.Reset(m.heartbeatInterval())
		case <-m.pending:
			if batchEnd == nil {
				batchEnd = time.After(batchDelay)
			}
		case <-m.lazy:
			if lazyEnd == nil {
				lazyEnd = time.After(m.lazyDelay())
			}
		case <-lazyEnd:
			lazyEnd = nil
			m.flush()
		case <-batchEnd:
			batchEnd, lazyEnd = nil, nil
			m.flush()
		case <-m.urgent:
			lazyEnd = nil
			m.flush()
		}
	}
}

// lazyDelay returns how long an event that only frees resources may wait.
func (m *Mesh) lazyDelay() time.Duration {
	return max(batchDelay, time.Duration(m.CountKnown())*lazyDelayPerNode)
}

// heartbeatDue reports whether a heartbeat must be sent at a tick of its timer. Every
// datagram shows that this node is alive, so a brief heartbeat is left out once if there
// are many nodes and this one has sent events since the tick before. Full heartbeats are
// always sent. Only the sending goroutine calls it.
func (m *Mesh) heartbeatDue(now time.Time, count int) bool {
	interval := m.heartbeatInterval()
	recent := interval > heartbeatMin && now.Sub(m.flushedAt) < interval
	if recent && !m.skipped && count%fullHeartbeatEvery != 0 {
		m.skipped = true
		return false
	}
	m.skipped = false
	return true
}

// heartbeatInterval returns the interval between heartbeats for the current number
// of peers.
func (m *Mesh) heartbeatInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return intervalFor(len(m.members.peers))
}

func intervalFor(peers int) time.Duration {
	return min(heartbeatMax, max(heartbeatMin, time.Duration(peers)*heartbeatPerNode))
}

func (m *Mesh) localMember() *Member {
	x := m.self(time.Now())
	return &x
}

// flush sends all queued events.
func (m *Mesh) flush() {
	events := m.events.TryPopAll(nil)
	if len(events) > 0 {
		m.flushedAt = time.Now()
	}
	for len(events) > 0 {
		n := min(len(events), eventsPerDatagram)
		m.broadcast(message{Events: events[:n]})
		events = events[n:]
	}
}

func (m *Mesh) expire(now time.Time) {
	m.mu.Lock()
	dead := m.members.expire(now)
	m.mu.Unlock()
	for _, host := range dead {
		m.fleet.RemoveHost(host)
	}
}

// broadcast sends a message to all known peers.
func (m *Mesh) broadcast(msg message) {
	m.mu.Lock()
	addresses := m.members.addresses()
	m.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	p := m.encoded(msg)
	for _, address := range addresses {
		m.sendTo(address, p)
	}
}

func (m *Mesh) encoded(msg message) []byte {
	msg.Host, msg.Incarnation = m.host, ident.Incarnation(m.incarnation.Load())
	p, err := encode(msg)
	if err != nil {
		panic(err) // a message can always be encoded
	}
	return p
}

func (m *Mesh) sendTo(address string, p []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return // a peer without a valid address is sent no datagrams
	}
	// A failed send is equivalent to a lost datagram.
	_, _ = m.conn.WriteToUDPAddrPort(p, to)
}

// Hello sends a full heartbeat to all peers and requests one from each of them.
func (m *Mesh) Hello() { m.broadcast(message{Member: m.localMember(), Hello: true}) }

// Seed sends a hello to nodes of which only the address is known, so that they
// answer with a heartbeat.
func (m *Mesh) Seed(addresses []string) {
	p := m.encoded(message{Member: m.localMember(), Hello: true})
	for _, address := range addresses {
		m.sendTo(address, p)
	}
}
