package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// remoteAddresses is the number of entries of a full answer that are reserved for
// other data centres, so that the caller has a usable address if its own data centre
// is lost.
const remoteAddresses = 4

// Addresses returns the nodes that a caller should use: the alive ones, those in
// the caller's data centre first. Each group is rotated by the seed, so that
// callers are spread over the nodes. The states are out of date by at most the
// interval between calls of Tick.
func (v *View) Addresses(now time.Time, caller ident.DataCentre, seed uint64) []Node {
	var near, far []Node
	for _, e := range v.order {
		if e.State != Alive || e.CallerAddress == "" || (e != v.self && e.stateAt(now, v.config) != Alive) {
			continue
		}
		if e.DataCentre == caller {
			near = append(near, e.Node)
		} else {
			far = append(far, e.Node)
		}
	}
	near, far = rotate(near, seed), rotate(far, seed)
	limit := v.config.MaxAddresses
	nearLimit := max(limit-min(len(far), remoteAddresses), min(limit, 1))
	near = near[:min(len(near), nearLimit)]
	return append(near, far[:min(len(far), limit-len(near))]...)
}

func rotate(nodes []Node, seed uint64) []Node {
	if len(nodes) == 0 {
		return nodes
	}
	k := int(seed % uint64(len(nodes)))
	return append(slices.Clone(nodes[k:]), nodes[:k]...)
}

// ConfirmedAlive returns the listed nodes, this one included, that were certainly
// alive at some time within the limit before now. The isolation rule (section 5.4
// of the design) compares their number with Listed. Their Sequence fields show
// which log entries have to be fetched first.
func (v *View) ConfirmedAlive(now time.Time, limit time.Duration) []Node {
	var out []Node
	for _, e := range v.order {
		recent := !e.ConfirmedAliveAt.IsZero() && !e.ConfirmedAliveAt.After(now) && now.Sub(e.ConfirmedAliveAt) <= limit
		if e.Listed && (e == v.self || recent) {
			out = append(out, e.Node)
		}
	}
	return out
}

// Listed returns the number of hosts in the newest host list, including dead and
// leaving ones, and whether a list was ever read.
func (v *View) Listed() (int, bool) {
	n := 0
	for _, e := range v.nodes {
		if e.Listed {
			n++
		}
	}
	return n, v.haveList
}

// fullRateHosts is the largest number of listed hosts at which every node reads
// the host list at the full rate. At 1,100 hosts and 10,000 backend servers one
// read is 1.3 MB and takes 59 ms of CPU on both ends, which is too much for 1,100
// nodes to do each second.
const fullRateHosts = 32

// ListDue reports whether to read the host list again. It is meant for a worker
// that calls it once per interval. Above fullRateHosts hosts the time between
// reads grows in proportion to the number of hosts, so that the total read rate
// of all nodes does not grow with it.
func (v *View) ListDue(now time.Time, interval time.Duration) bool {
	listed, _ := v.Listed()
	wait := interval * time.Duration(listed) / fullRateHosts
	return listed <= fullRateHosts || now.Sub(v.listReadAt) >= wait
}

// Nodes returns all known nodes, sorted by host id.
func (v *View) Nodes() []Node {
	out := make([]Node, len(v.order))
	for i, e := range v.order {
		out[i] = e.Node
	}
	return out
}

// Node returns what is known about one node, and whether the node is known.
func (v *View) Node(host ident.HostID) (Node, bool) {
	e := v.nodes[host]
	if e == nil {
		return Node{}, false
	}
	return e.Node, true
}

// Leaving returns the time at which this node started to leave, and whether it is
// leaving.
func (v *View) Leaving() (time.Time, bool) {
	return v.leavingSince, !v.leavingSince.IsZero()
}

// AcceptsNewWork reports whether this node still accepts new work: it is not
// leaving, or started to leave less than Config.LeaveGrace ago.
func (v *View) AcceptsNewWork(now time.Time) bool {
	return v.leavingSince.IsZero() || now.Sub(v.leavingSince) < v.config.LeaveGrace
}

// Summary returns a relay's report to other nodes: every node with a known
// ConfirmedAliveAt except this one, whose own heartbeat already shows that it is
// alive.
func (v *View) Summary(now time.Time) []SummaryHost {
	var out []SummaryHost
	for _, e := range v.order {
		if e == v.self || e.ConfirmedAliveAt.IsZero() || e.ConfirmedAliveAt.After(now) {
			continue
		}
		out = append(out, SummaryHost{
			Host: e.Host, Incarnation: e.Incarnation, Sequence: e.Sequence,
			Leaving: e.announcedLeaving, Age: now.Sub(e.ConfirmedAliveAt),
		})
	}
	return out
}

// HeartbeatPeers returns the nodes to exchange heartbeats with. Up to
// Config.FullMeshHosts listed hosts these are all other listed nodes. Above it
// they are Config.Peers usable nodes of this node's data centre, chosen by
// rendezvous hashing, the relays of this data centre and, for a relay, the relays
// of all data centres. Dead nodes that rank before the last usable one are
// included, up to twice Config.Peers nodes in all, so that a node that has
// recovered is detected.
func (v *View) HeartbeatPeers() []Node {
	listed := v.listedPeers()
	if len(listed) < v.config.FullMeshHosts {
		return listed
	}
	chosen := map[ident.HostID]Node{}
	usable := 0
	for _, n := range rendezvous(listed, string(v.self.Host), v.self.DataCentre) {
		if usable == v.config.Peers || len(chosen) == 2*v.config.Peers {
			break
		}
		chosen[n.Host] = n
		if n.State != Dead && n.State != Left {
			usable++
		}
	}
	for _, dc := range v.relayDataCentres() {
		for _, n := range v.Relays(dc) {
			chosen[n.Host] = n
		}
	}
	delete(chosen, v.self.Host)
	out := make([]Node, 0, len(chosen))
	for _, n := range listed {
		if _, ok := chosen[n.Host]; ok {
			out = append(out, n)
		}
	}
	return out
}

func (v *View) listedPeers() []Node {
	var out []Node
	for _, e := range v.order {
		if e.Listed && e != v.self {
			out = append(out, e.Node)
		}
	}
	return out
}

// relayDataCentres returns the data centres with whose relays this node exchanges
// heartbeats.
func (v *View) relayDataCentres() []ident.DataCentre {
	if !v.IsRelay() {
		return []ident.DataCentre{v.self.DataCentre}
	}
	return v.DataCentres()
}

// DataCentres returns the data centres of all listed hosts, sorted.
func (v *View) DataCentres() []ident.DataCentre {
	seen := map[ident.DataCentre]bool{}
	var out []ident.DataCentre
	for _, e := range v.nodes {
		if e.Listed && !seen[e.DataCentre] {
			seen[e.DataCentre] = true
			out = append(out, e.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// Relays returns the relays of a data centre: the first
// Config.RelaysPerDataCentre of its listed nodes, ranked by rendezvous hashing,
// that are neither dead nor leaving. Suspected nodes remain relays, because a
// change of relay costs more than a late summary. Nodes with different views may
// choose different relays; the only cost is additional messages.
func (v *View) Relays(dc ident.DataCentre) []Node {
	var usable []Node
	for _, e := range v.order {
		if e.Listed && (e.State == Alive || e.State == Suspected) {
			usable = append(usable, e.Node)
		}
	}
	ranked := rendezvous(usable, "relay/"+string(dc), dc)
	return ranked[:min(len(ranked), v.config.RelaysPerDataCentre)]
}

// IsRelay reports whether this node is a relay of its data centre.
func (v *View) IsRelay() bool {
	return slices.ContainsFunc(v.Relays(v.self.DataCentre), func(n Node) bool {
		return n.Host == v.self.Host
	})
}

// rendezvous returns the nodes of a data centre ranked by rendezvous hashing with
// the key.
func rendezvous(nodes []Node, key string, dc ident.DataCentre) []Node {
	type ranked struct {
		Node
		hash uint64
	}
	var all []ranked
	for _, n := range nodes {
		if n.DataCentre == dc {
			all = append(all, ranked{n, xxh3.HashString(key + "\x00" + string(n.Host))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), strings.Compare(string(a.Host), string(b.Host)))
	})
	out := make([]Node, len(all))
	for i, r := range all {
		out[i] = r.Node
	}
	return out
}
