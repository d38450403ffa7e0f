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
	// heartbeat is how often a node tells all others of itself.
	heartbeat = 300 * time.Millisecond
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
	onHeard func(Member)
	onCrash func(time.Time, gateway.Crash)

	mu      sync.Mutex
	members *members // guarded by mu
}

// New opens the node's datagram socket. self describes the node; onHeard is
// called for each heartbeat of a peer, onCrash for each crash that a peer saw.
func New(listen string, f *fleet.Fleet, self func(now time.Time) Member, onHeard func(Member), onCrash func(time.Time, gateway.Crash)) (*Mesh, error) {
	address, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, newError(CodeAddress).Errorf("mesh address %q: %v", listen, err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, newError(CodeListen).Errorf("listening on %s: %v", listen, err)
	}
	return &Mesh{
		fleet:   f,
		conn:    conn,
		self:    self,
		news:    ring.New[Event](ringSize),
		pending: make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
		onHeard: onHeard,
		onCrash: onCrash,
		members: newMembers(self(time.Now()).Host),
	}, nil
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

// Announce tells all peers of this node's state at once.
func (m *Mesh) Announce() { m.broadcast(time.Now(), nil, false) }

// Placed implements gateway.Announcer.
func (m *Mesh) Placed(p fleet.Placed) { m.push(Event{Kind: EventPlaced, Placed: &p}, false) }

// First implements gateway.Announcer.
func (m *Mesh) First(p fleet.Placed) { m.push(Event{Kind: EventFirst, Placed: &p}, false) }

// Ended implements gateway.Announcer.
func (m *Mesh) Ended(p fleet.Placed) { m.push(Event{Kind: EventEnded, Placed: &p}, false) }

// Copied implements gateway.Announcer.
func (m *Mesh) Copied(p fleet.Placed) { m.push(Event{Kind: EventCopied, Placed: &p}, false) }

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
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	var due <-chan time.Time // set while news wait for the end of a batch
	m.broadcast(time.Now(), nil, true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			now := time.Now()
			m.broadcast(now, m.news.TryPopAll(nil), false)
			m.expire(now)
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

func (m *Mesh) flush() {
	if m.news.Len() > 0 {
		m.broadcast(time.Now(), m.news.TryPopAll(nil), false)
	}
}

func (m *Mesh) expire(now time.Time) {
	m.mu.Lock()
	gone := m.members.expire(now)
	m.mu.Unlock()
	for _, host := range gone {
		m.fleet.ForgetHost(now, host)
	}
}

// broadcast sends events, and this node's state, to all peers.
func (m *Mesh) broadcast(now time.Time, events []Event, hello bool) {
	m.mu.Lock()
	addresses := m.members.addresses()
	m.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	for {
		n := min(len(events), eventsPerDatagram)
		p, err := encode(message{Member: m.self(now), Events: events[:n], Hello: hello})
		if err != nil {
			panic(err) // the types above always encode
		}
		for _, address := range addresses {
			m.sendTo(address, p)
		}
		events = events[n:]
		if len(events) == 0 {
			return
		}
	}
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
		n, _, err := m.conn.ReadFromUDPAddrPort(buf)
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
		m.take(time.Now(), msg)
	}
}

func (m *Mesh) take(now time.Time, msg message) {
	m.mu.Lock()
	restarted, ok := m.members.hear(now, msg.Member)
	m.mu.Unlock()
	if !ok {
		return
	}
	host := msg.Member.Host
	if restarted {
		m.fleet.ForgetHost(now, host)
	}
	for _, e := range msg.Events {
		m.apply(now, host, e)
	}
	if msg.Hello {
		m.reply(now, msg.Member.Mesh)
	}
	m.onHeard(msg.Member)
}

func (m *Mesh) apply(now time.Time, host ident.HostID, e Event) {
	switch {
	case e.Kind == EventFound && e.Found != nil:
		m.fleet.Found(now, *e.Found)
	case e.Kind == EventCrash && e.Crash != nil:
		m.onCrash(now, *e.Crash)
	case e.Kind == EventLost:
		m.fleet.Lost(now, e.Server, e.Loss)
	case e.Placed == nil:
	case e.Kind == EventPlaced:
		m.fleet.Start(now, host, *e.Placed)
	case e.Kind == EventFirst:
		m.fleet.First(now, host, *e.Placed)
	case e.Kind == EventCopied:
		m.fleet.Copied(host, *e.Placed)
	case e.Kind == EventEnded:
		m.fleet.End(now, host, *e.Placed)
	}
}

func (m *Mesh) reply(now time.Time, address string) {
	if p, err := encode(message{Member: m.self(now)}); err == nil {
		m.sendTo(address, p)
	}
}

// Hello tells all peers of this node and asks for an answer.
func (m *Mesh) Hello() { m.broadcast(time.Now(), nil, true) }

// Seed asks nodes of which only the address is known to make themselves known.
func (m *Mesh) Seed(addresses []string) {
	p, err := encode(message{Member: m.self(time.Now()), Hello: true})
	if err != nil {
		panic(err) // the types above always encode
	}
	for _, address := range addresses {
		m.sendTo(address, p)
	}
}
