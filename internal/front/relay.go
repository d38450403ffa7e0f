package front

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/reach"
)

// A host that has lost its path to the servers of a service says so in its heartbeats,
// leaves the list of addresses for clients while others have a path, and sends its requests
// through one of them.

// pathProbeInterval is the mean interval at which a host without a path looks for the end of
// the loss. The interval is random, so that hosts that lost their paths together do not
// return at the same moment.
const pathProbeInterval = 200 * time.Millisecond

// relays implements gateway.Relays.
type relays struct {
	node *Node

	mu   sync.Mutex
	sent map[ident.HostID]int // guarded by mu; requests that go through each host now
}

// candidates returns the hosts that have a path to the servers of a service.
func (r *relays) candidates(service string) []mesh.Member {
	return slices.DeleteFunc(r.node.mesh.Alive(time.Now()), func(m mesh.Member) bool {
		return m.State != mesh.Ready || m.Mesh == "" || slices.Contains(m.LostPaths, service)
	})
}

// Available implements gateway.Relays.
func (r *relays) Available(service string) bool { return len(r.candidates(service)) > 0 }

// Choose implements gateway.Relays.
func (r *relays) Choose(service string, except []ident.HostID) (gateway.RelayHost, bool) {
	members := slices.DeleteFunc(r.candidates(service), func(m mesh.Member) bool { return slices.Contains(except, m.Host) })
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make([]reach.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, reach.Peer{
			Host: m.Host, SameDataCentre: m.DataCentre == r.node.settings.DataCentre, Capacity: m.Capacity, Sent: r.sent[m.Host],
		})
	}
	i := reach.Choose(peers, rand.Float64())
	if i < 0 {
		return gateway.RelayHost{}, false
	}
	r.sent[members[i].Host]++
	return gateway.RelayHost{Host: members[i].Host, Address: members[i].Mesh}, true
}

// Owner implements gateway.Relays. Hosts that know the same hosts agree on the owner.
func (r *relays) Owner(service, key string) (host gateway.RelayHost, self, ok bool) {
	members := r.candidates(service)
	var ids []ident.HostID
	for _, m := range members {
		ids = append(ids, m.Host)
	}
	if n := r.node; n.Ready() && !n.paths.Lost(service) {
		ids = append(ids, n.settings.Host)
	}
	if len(ids) == 0 {
		return gateway.RelayHost{}, false, false
	}
	owner := rendezvousHost(ids, key, 0)
	i := slices.IndexFunc(members, func(m mesh.Member) bool { return m.Host == owner })
	if i < 0 {
		return gateway.RelayHost{}, true, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[owner]++
	return gateway.RelayHost{Host: owner, Address: members[i].Mesh}, false, true
}

// End implements gateway.Relays.
func (r *relays) End(h gateway.RelayHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent[h.Host]--; r.sent[h.Host] <= 0 {
		delete(r.sent, h.Host)
	}
}

// Alive implements gateway.Relays.
func (r *relays) Alive(host ident.HostID) bool {
	return slices.ContainsFunc(r.node.mesh.Alive(time.Now()), func(m mesh.Member) bool { return m.Host == host })
}

// probePaths looks for the end of each loss of a path until the context ends.
func (n *Node) probePaths(ctx context.Context) {
	for number := 0; ; number++ {
		pause := pathProbeInterval/2 + rand.N(pathProbeInterval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		for _, service := range n.paths.LostServices() {
			n.gateway.ProbePath(service, number)
		}
	}
}
