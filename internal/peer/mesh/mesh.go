package mesh

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/ring"
)

const (
	// heartbeatLeast is how often a node tells all others of itself among few
	// nodes. Each further node makes the interval longer by heartbeatPerNode, up
	// to heartbeatMost, so that what a node sends and reads grows slower.
	heartbeatLeast   = 300 * time.Millisecond
	heartbeatPerNode = 12 * time.Millisecond
	heartbeatMost    = time.Second
	// fullEvery is the number of heartbeats of which one says all of a node. A peer
	// that missed it asks.
	fullEvery = 8
	// batch is how long news of placements wait for others to share a datagram.
	batch = 5 * time.Millisecond
	// ringSize bounds the news that wait. The oldest lose their worth first, and
	// a refused one only makes the peers' estimates worse.
	ringSize = 512
	// eventsPerDatagram keeps a datagram below the size of one packet.
	eventsPerDatagram = 6
	// maxDatagram is the largest datagram that is read.
	maxDatagram = 4 << 10
)

// Mesh is this node's part in the exchange between nodes.
type Mesh struct {
	fleet   *fleet.Fleet
	conn    *net.UDPConn
	self    func(now time.Time) Member
	news    *ring.Ring[Event]
	pending chan struct{} // news wait that may share a datagram
	urgent  chan struct{} // news wait that peers need at once
	Handlers

	mu      sync.Mutex
	members *members // guarded by mu
}

// Handlers are called by the receiver for what peers tell.
type Handlers struct {
	// Heard gets each heartbeat of a peer.
	Heard func(Member)
	// Crash gets each crash that a peer saw.
	Crash func(time.Time, gateway.Crash)
	// Listed gets changes of the list of servers that a peer has read.
	Listed func(Listed)
}

// New opens the node's datagram socket. self describes the node.
func New(listen string, f *fleet.Fleet, self func(now time.Time) Member, h Handlers) (*Mesh, error) {
	address, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, newError(CodeAddress).Errorf("mesh address %q: %v", listen, err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, newError(CodeListen).Errorf("listening on %s: %v", listen, err)
	}
	return &Mesh{
		fleet:    f,
		conn:     conn,
		self:     self,
		news:     ring.New[Event](ringSize),
		pending:  make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
		Handlers: h,
		members:  newMembers(self(time.Now()).Host),
	}, nil
}

// rowsPerDatagram keeps a datagram with entries of servers below one packet.
const rowsPerDatagram = 7

// Changed tells peers of changes of the list of servers.
func (m *Mesh) Changed(from, to int64, rows []Entry) {
	parts := (len(rows) + rowsPerDatagram - 1) / rowsPerDatagram
	for part := range parts {
		first := part * rowsPerDatagram
		m.broadcast(message{Listed: &Listed{
			From: from, To: to, Part: part, Parts: parts, Rows: rows[first:min(len(rows), first+rowsPerDatagram)],
		}})
	}
}

// Run sends and receives until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { m.receive(ctx) })
	m.send(ctx)
	wg.Wait()
}

// Know adds nodes whose addresses were read from the platform's store.
func (m *Mesh) Know(now time.Time, list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range list {
		m.members.know(now, x)
	}
}

// Alive returns the other nodes that were heard a moment ago.
func (m *Mesh) Alive(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.alive(now)
}

// Silence is the time since a node was heard; long if it is not known.
func (m *Mesh) Silence(now time.Time, host ident.HostID) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.silence(now, host)
}

// Announce tells all peers of this node's state at once.
func (m *Mesh) Announce() {
	x := m.describe().brief()
	m.broadcast(message{Member: &x})
}

// Placed implements gateway.Announcer.
func (m *Mesh) Placed(p fleet.Placed) { m.push(Event{Kind: EventPlaced, Placed: &p}, false) }

// First implements gateway.Announcer.
func (m *Mesh) First(p fleet.Placed) {
	m.push(Event{Kind: EventFirst, Placed: &fleet.Placed{Run: p.Run, Server: p.Server}}, false)
}

// Ended implements gateway.Announcer.
func (m *Mesh) Ended(p fleet.Placed) {
	m.push(Event{Kind: EventEnded, Placed: &fleet.Placed{Run: p.Run, Server: p.Server, Backup: p.Backup}}, false)
}

// Copied implements gateway.Announcer.
func (m *Mesh) Copied(p fleet.Placed) { m.push(Event{Kind: EventCopied, Placed: &p}, false) }

// CopyDropped implements gateway.Announcer.
func (m *Mesh) CopyDropped(p fleet.Placed) {
	m.push(Event{Kind: EventCopyDropped, Placed: &fleet.Placed{Run: p.Run, Backup: p.Backup}}, false)
}

// Lost implements gateway.Announcer.
func (m *Mesh) Lost(server ident.BackendID, how fleet.Loss) {
	m.push(Event{Kind: EventLost, Server: server, Loss: how}, true)
}

// Found tells peers of a server that the list does not have yet.
func (m *Mesh) Found(e fleet.Entry) { m.push(Event{Kind: EventFound, Found: &e}, true) }

// Crashed implements gateway.Announcer.
func (m *Mesh) Crashed(x gateway.Crash) { m.push(Event{Kind: EventCrash, Crash: &x}, false) }

// Usage returns what the other nodes used of a service, and their number.
func (m *Mesh) Usage(now time.Time, service string) (total gateway.Usage, nodes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.usage(now, service)
}

func (m *Mesh) push(e Event, urgent bool) {
	m.news.TryPush(e)
	signal := m.pending
	if urgent {
		signal = m.urgent
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (m *Mesh) send(ctx context.Context) {
	beat := time.NewTimer(heartbeatLeast)
	defer beat.Stop()
	var due <-chan time.Time // set while news wait for the end of a batch
	m.broadcast(message{Member: m.describe(), Hello: true})
	for beats := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			x := m.describe()
			if beats++; beats%fullEvery != 0 {
				*x = x.brief()
			}
			m.broadcast(message{Member: x})
			m.expire(time.Now())
			beat.Reset(m.interval())
		case <-m.pending:
			if due == nil {
				due = time.After(batch)
			}
		case <-due:
			due = nil
			m.flush()
		case <-m.urgent:
			m.flush()
		}
	}
}

// interval is the time between heartbeats among the present number of nodes.
func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return heartbeatFor(len(m.members.peers))
}

func heartbeatFor(peers int) time.Duration {
	return min(heartbeatMost, max(heartbeatLeast, time.Duration(peers)*heartbeatPerNode))
}

func (m *Mesh) describe() *Member {
	x := m.self(time.Now())
	return &x
}

// flush sends the news that wait.
func (m *Mesh) flush() {
	events := m.news.TryPopAll(nil)
	for len(events) > 0 {
		n := min(len(events), eventsPerDatagram)
		m.broadcast(message{Events: events[:n]})
		events = events[n:]
	}
}

func (m *Mesh) expire(now time.Time) {
	m.mu.Lock()
	gone := m.members.expire(now)
	m.mu.Unlock()
	for _, host := range gone {
		m.fleet.ForgetHost(host)
	}
}

// broadcast sends a message to all peers.
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
	self := m.self(time.Now())
	msg.Host, msg.Incarnation = self.Host, self.Incarnation
	p, err := encode(msg)
	if err != nil {
		panic(err) // the types of a message always encode
	}
	return p
}

func (m *Mesh) sendTo(address string, p []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return // a peer that names no usable address gets no datagrams
	}
	// A datagram that cannot be sent is one that is lost.
	_, _ = m.conn.WriteToUDPAddrPort(p, to)
}

func (m *Mesh) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, source, err := m.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // an error of the socket, such as an unreachable port
			continue
		}
		msg, err := decode(buf[:n])
		if err != nil {
			continue // not a datagram of this protocol
		}
		m.take(time.Now(), source, msg)
	}
}

func (m *Mesh) take(now time.Time, source netip.AddrPort, msg message) {
	m.mu.Lock()
	unknown := m.members.unknown(msg)
	restarted, ok := m.members.accept(now, msg)
	m.mu.Unlock()
	if unknown {
		m.sendTo(source.String(), m.encoded(message{Member: m.describe(), Hello: true}))
	}
	if !ok {
		return
	}
	if restarted {
		m.fleet.ForgetHost(msg.Host)
	}
	for _, e := range msg.Events {
		m.apply(now, msg.Host, e)
	}
	if msg.Listed != nil {
		m.Listed(*msg.Listed)
	}
	if msg.Member == nil {
		return
	}
	if msg.Hello {
		m.sendTo(msg.Member.Mesh, m.encoded(message{Member: m.describe()}))
	}
	m.Heard(*msg.Member)
}

func (m *Mesh) apply(now time.Time, host ident.HostID, e Event) {
	switch {
	case e.Kind == EventFound && e.Found != nil:
		m.fleet.Found(now, *e.Found)
	case e.Kind == EventCrash && e.Crash != nil:
		m.Crash(now, *e.Crash)
	case e.Kind == EventLost:
		m.fleet.Lost(now, e.Server, e.Loss)
	case e.Placed == nil:
	case e.Kind == EventPlaced:
		m.fleet.Start(now, host, *e.Placed)
	case e.Kind == EventFirst:
		m.fleet.First(now, host, *e.Placed)
	case e.Kind == EventCopied:
		m.fleet.Copied(host, *e.Placed)
	case e.Kind == EventCopyDropped:
		m.fleet.CopyDropped(host, *e.Placed)
	case e.Kind == EventEnded:
		m.fleet.End(host, *e.Placed)
	}
}

// Hello tells all peers of this node and asks for an answer.
func (m *Mesh) Hello() { m.broadcast(message{Member: m.describe(), Hello: true}) }

// Seed asks nodes of which only the address is known to make themselves known.
func (m *Mesh) Seed(addresses []string) {
	p := m.encoded(message{Member: m.describe(), Hello: true})
	for _, address := range addresses {
		m.sendTo(address, p)
	}
}
