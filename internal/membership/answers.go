package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// addressesElsewhere is how many places of a full answer go to other data
// centres, so that the caller keeps an address if its own is lost.
const addressesElsewhere = 4

// Addresses returns the nodes that a caller should use: alive ones, the
// caller's data centre first, rotated by the seed within each group so that
// callers spread. Staleness: at most one Tick beyond the given time.
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
	nearLimit := max(limit-min(len(far), addressesElsewhere), min(limit, 1))
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

// Heard returns the listed nodes, this one included, that certainly lived
// within the limit before now. Section 5.4 compares their number with
// Listed; the sequences of the nodes tell what has to be fetched first.
func (v *View) Heard(now time.Time, limit time.Duration) []Node {
	var out []Node
	for _, e := range v.order {
		recent := !e.ProvedAt.IsZero() && !e.ProvedAt.After(now) && now.Sub(e.ProvedAt) <= limit
		if e.Listed && (e == v.self || recent) {
			out = append(out, e.Node)
		}
	}
	return out
}

// Listed returns the number of hosts in the newest host list, dead and leaving
// ones included, and whether a list was ever read.
func (v *View) Listed() (int, bool) {
	n := 0
	for _, e := range v.nodes {
		if e.Listed {
			n++
		}
	}
	return n, v.haveList
}

// fullRateHosts is the largest host list that every node reads at the full
// rate. At 1,100 hosts and 10,000 backend servers one read is 1.3 MB and takes
// 59 ms of CPU on both ends, which 1,100 nodes cannot have each second.
const fullRateHosts = 32

// ListDue tells whether to read the host list again, for a worker that asks at
// each interval. Above fullRateHosts hosts the time between reads grows with
// their number, so that the reads of all nodes together do not.
func (v *View) ListDue(now time.Time, interval time.Duration) bool {
	listed, _ := v.Listed()
	wait := interval * time.Duration(listed) / fullRateHosts
	return listed <= fullRateHosts || now.Sub(v.listedAt) >= wait
}

// Nodes returns all known nodes in the order of their ids.
func (v *View) Nodes() []Node {
	out := make([]Node, len(v.order))
	for i, e := range v.order {
		out[i] = e.Node
	}
	return out
}

// Node returns the view of one node.
func (v *View) Node(host ident.HostID) (Node, bool) {
	e := v.nodes[host]
	if e == nil {
		return Node{}, false
	}
	return e.Node, true
}

// Leaving tells whether this node leaves, and since when.
func (v *View) Leaving() (time.Time, bool) {
	return v.leavingSince, !v.leavingSince.IsZero()
}

// AcceptsNewWork tells whether this node still takes new work: it does not
// leave, or announced it less than Config.LeaveGrace ago.
func (v *View) AcceptsNewWork(now time.Time) bool {
	return v.leavingSince.IsZero() || now.Sub(v.leavingSince) < v.config.LeaveGrace
}

// Summary returns what a relay tells other nodes: the nodes for which it has a
// proof, its own life excepted, since its heartbeat shows that.
func (v *View) Summary(now time.Time) []SummaryHost {
	var out []SummaryHost
	for _, e := range v.order {
		if e == v.self || e.ProvedAt.IsZero() || e.ProvedAt.After(now) {
			continue
		}
		out = append(out, SummaryHost{
			Host: e.Host, Incarnation: e.Incarnation, Sequence: e.Sequence,
			Leaving: e.announced, Age: now.Sub(e.ProvedAt),
		})
	}
	return out
}

// HeartbeatPeers returns the nodes to exchange heartbeats with. Up to
// Config.FullMeshHosts listed hosts these are all others. Above it they are
// Config.Peers usable nodes of the own data centre chosen by rendezvous
// hashing, the own data centre's relays and, for a relay, all relays. Dead
// nodes on the way are included up to twice Config.Peers, so that a recovered
// one is found.
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
	for _, dc := range v.relayCentres() {
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

// relayCentres returns the data centres whose relays this node talks to.
func (v *View) relayCentres() []ident.DataCentre {
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

// Relays returns the relays of a data centre: the first of its listed nodes by
// rendezvous hashing that are neither dead nor leaving. Suspected nodes stay
// relays, because a change of relay costs more than a late summary. Nodes with
// different views may choose different relays; that costs messages only.
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

// IsRelay tells whether this node is a relay of its data centre.
func (v *View) IsRelay() bool {
	return slices.ContainsFunc(v.Relays(v.self.DataCentre), func(n Node) bool {
		return n.Host == v.self.Host
	})
}

// rendezvous ranks the nodes of a data centre by their hash with a key.
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
