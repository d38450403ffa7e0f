package mesh

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// A node is not named to clients after the silence of aliveBeats heartbeats
	// and aliveMargin, which covers the delay of the last one.
	aliveBeats  = 3
	aliveMargin = 200 * time.Millisecond
	// goneFor is the silence after which a node's runs are forgotten.
	goneFor = 4 * time.Second
	// forgetFor is the silence after which a node gets no heartbeats.
	forgetFor = 5 * time.Minute
)

type peer struct {
	Member
	heard time.Time // of the newest datagram; long ago if only its address is known
	told  time.Time // of the newest heartbeat
	gone  bool
}

// members is the view of all other nodes. It is a decision type: it holds no
// clock and does no I/O.
type members struct {
	self  ident.HostID
	peers map[ident.HostID]*peer
}

func newMembers(self ident.HostID) *members {
	return &members{self: self, peers: map[ident.HostID]*peer{}}
}

// know adds a node whose address was read from the platform's store.
func (m *members) know(now time.Time, x Member) {
	if x.Host == m.self || x.Host == "" || x.Mesh == "" {
		return
	}
	if m.peers[x.Host] == nil {
		m.peers[x.Host] = &peer{Member: x, heard: now.Add(-m.aliveFor()), gone: true}
	}
}

// aliveFor is the silence after which a node is not named to clients.
func (m *members) aliveFor() time.Duration {
	return aliveBeats*heartbeatFor(len(m.peers)) + aliveMargin
}

// unknown reports whether a datagram is of a life of a node that has not made
// itself known yet, and does not do so either.
func (m *members) unknown(msg message) bool {
	if msg.Host == m.self || msg.Member != nil && msg.Member.Mesh != "" {
		return false
	}
	p := m.peers[msg.Host]
	return p == nil || p.Incarnation < msg.Incarnation
}

// accept takes a datagram unless it is of this node, of an earlier life of its
// sender, or of a sender that is not known yet.
func (m *members) accept(now time.Time, msg message) (restarted, ok bool) {
	if msg.Member != nil {
		x := *msg.Member
		x.Host, x.Incarnation = msg.Host, msg.Incarnation
		restarted, ok = m.hear(now, x)
		if ok {
			*msg.Member = m.peers[x.Host].Member // whole, also if the datagram was brief
		}
		return restarted, ok
	}
	p := m.peers[msg.Host]
	if p == nil || p.Incarnation != msg.Incarnation {
		return false, false
	}
	p.heard = now
	return false, true
}

// hear takes over what a node says of itself. It reports whether the node has
// started anew since it was last heard, so that its earlier runs are void.
func (m *members) hear(now time.Time, x Member) (restarted, ok bool) {
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
		x = x.full(p.Member)
	}
	restarted = p != nil && x.Incarnation > p.Incarnation
	m.peers[x.Host] = &peer{Member: x, heard: now, told: now}
	return restarted, true
}

// silence is the time since a node was heard.
func (m *members) silence(now time.Time, host ident.HostID) time.Duration {
	p := m.peers[host]
	if p == nil {
		return math.MaxInt64
	}
	return now.Sub(p.heard)
}

// expire returns the nodes that have just been found gone.
func (m *members) expire(now time.Time) []ident.HostID {
	var gone []ident.HostID
	for id, p := range m.peers {
		silent := now.Sub(p.heard)
		if silent > forgetFor {
			delete(m.peers, id)
		}
		if silent > goneFor && !p.gone {
			p.gone = true
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// alive returns the nodes heard a moment ago, by host id.
func (m *members) alive(now time.Time) []Member {
	var list []Member
	for _, p := range m.peers {
		if now.Sub(p.heard) < m.aliveFor() {
			x := p.Member
			// The age has grown since the heartbeat.
			x.StoreAgeMs += now.Sub(p.told).Milliseconds()
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// usageFor is how long the usage of a node that is gone counts.
const usageFor = 10 * time.Second

// usage sums up what the nodes sent to a service in the last window.
func (m *members) usage(now time.Time, service string) (total gateway.Usage, nodes int) {
	for _, p := range m.peers {
		silent := now.Sub(p.heard)
		if silent < usageFor {
			total.Requests += p.Usage[service].Requests
			total.Repeats += p.Usage[service].Repeats
		}
		if silent < m.aliveFor() {
			nodes++
		}
	}
	return total, nodes
}

func (m *members) addresses() []string {
	list := make([]string, 0, len(m.peers))
	for _, p := range m.peers {
		list = append(list, p.Mesh)
	}
	return list
}
