package mesh

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// A node counts as alive, and its address is given to clients, until it has
	// been silent for aliveHeartbeats heartbeat intervals plus aliveMargin, which
	// covers the delay of the last heartbeat.
	aliveHeartbeats = 3
	aliveMargin     = 200 * time.Millisecond
	// deadAfter is the silence after which a node counts as dead and its runs are
	// removed.
	deadAfter = 4 * time.Second
	// removeAfter is the silence after which a node is removed and is sent no
	// more datagrams.
	removeAfter = 5 * time.Minute
)

// peer is another node and what this node has received from it. dead is set once
// expire has returned the node, and for a node from which no datagram has been
// accepted yet.
type peer struct {
	Member
	lastSeen      time.Time // arrival of the latest datagram; in the past if only the address is known
	lastHeartbeat time.Time // arrival of the latest heartbeat
	dead          bool
}

// members is this node's view of all other nodes. It reads no clock, does no I/O
// and is not safe for concurrent use.
type members struct {
	self  ident.HostID
	peers map[ident.HostID]*peer
}

func newMembers(self ident.HostID) *members {
	return &members{self: self, peers: map[ident.HostID]*peer{}}
}

// addKnown adds a node whose address was read from the platform's store. The node
// does not count as alive until a datagram from it has been accepted.
func (m *members) addKnown(now time.Time, x Member) {
	if x.Host == m.self || x.Host == "" || x.Mesh == "" {
		return
	}
	if m.peers[x.Host] == nil {
		m.peers[x.Host] = &peer{Member: x, lastSeen: now.Add(-m.aliveTimeout()), dead: true}
	}
}

// aliveTimeout returns the duration of silence from which on a node does not count
// as alive and its address is not given to clients.
func (m *members) aliveTimeout() time.Duration {
	return aliveHeartbeats*intervalFor(len(m.peers)) + aliveMargin
}

// needsHello reports whether the sender of a datagram should be sent a hello: its
// incarnation is not known yet, and the datagram does not carry its addresses.
func (m *members) needsHello(msg message) bool {
	if msg.Host == m.self || msg.Member != nil && msg.Member.Mesh != "" {
		return false
	}
	p := m.peers[msg.Host]
	return p == nil || p.Incarnation < msg.Incarnation
}

// accept records a datagram and reports whether it should be processed. Datagrams
// of this node, of an earlier incarnation of the sender, and of a sender that is
// not known yet are rejected. restarted is as for update.
func (m *members) accept(now time.Time, msg message) (restarted, ok bool) {
	if msg.Member != nil {
		x := *msg.Member
		x.Host, x.Incarnation = msg.Host, msg.Incarnation
		restarted, ok = m.update(now, x)
		if ok {
			*msg.Member = m.peers[x.Host].Member // with all fields, even if the datagram was brief
		}
		return restarted, ok
	}
	p := m.peers[msg.Host]
	if p == nil || p.Incarnation != msg.Incarnation {
		return false, false
	}
	p.lastSeen = now
	return false, true
}

// update records the contents of a heartbeat and reports whether it was accepted.
// restarted reports whether the node has restarted since its previous heartbeat,
// which invalidates the runs of its earlier incarnation.
func (m *members) update(now time.Time, x Member) (restarted, ok bool) {
	if x.Host == m.self || x.Host == "" {
		return false, false
	}
	p := m.peers[x.Host]
	if p != nil && x.Incarnation < p.Incarnation {
		return false, false
	}
	if x.Mesh == "" {
		if p == nil || p.Incarnation != x.Incarnation {
			return false, false
		}
		x = x.withStaticFields(p.Member)
	}
	restarted = p != nil && x.Incarnation > p.Incarnation
	m.peers[x.Host] = &peer{Member: x, lastSeen: now, lastHeartbeat: now}
	return restarted, true
}

// silence returns the time since the latest datagram of a node, or the maximum
// duration if the node is not known.
func (m *members) silence(now time.Time, host ident.HostID) time.Duration {
	p := m.peers[host]
	if p == nil {
		return math.MaxInt64
	}
	return now.Sub(p.lastSeen)
}

// expire returns the nodes that have become dead since the previous call, sorted
// by host id, and removes those that have been silent for more than removeAfter.
func (m *members) expire(now time.Time) []ident.HostID {
	var dead []ident.HostID
	for id, p := range m.peers {
		silent := now.Sub(p.lastSeen)
		if silent > removeAfter {
			delete(m.peers, id)
		}
		if silent > deadAfter && !p.dead {
			p.dead = true
			dead = append(dead, id)
		}
	}
	slices.Sort(dead)
	return dead
}

// alive returns the nodes that have been silent for less than aliveTimeout, sorted
// by host id.
func (m *members) alive(now time.Time) []Member {
	var list []Member
	for _, p := range m.peers {
		if now.Sub(p.lastSeen) < m.aliveTimeout() {
			x := p.Member
			// Add the time that has passed since the heartbeat that carried the age.
			x.StoreAgeMs += now.Sub(p.lastHeartbeat).Milliseconds()
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// countAlive returns the number of nodes that have been silent for less than
// aliveTimeout.
func (m *members) countAlive(now time.Time) int {
	count := 0
	for _, p := range m.peers {
		if now.Sub(p.lastSeen) < m.aliveTimeout() {
			count++
		}
	}
	return count
}

// silent returns the nodes that have been silent for at least aliveTimeout and less than
// within.
func (m *members) silent(now time.Time, within time.Duration) []ident.HostID {
	var hosts []ident.HostID
	for id, p := range m.peers {
		if silence := now.Sub(p.lastSeen); silence >= m.aliveTimeout() && silence < within {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

func (m *members) addresses() []string {
	list := make([]string, 0, len(m.peers))
	for _, p := range m.peers {
		list = append(list, p.Mesh)
	}
	return list
}
