package front

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
)

// One node, the reader, reads the servers' reports from the store for all nodes.
// Its heartbeats carry the revision at which a server last joined, left or changed
// its state. The other nodes read the list themselves only if that revision is
// newer than theirs, or if no peer shows that their list is current. Nearly all
// reports only show that a server is alive; these cost one store call for the
// whole deployment instead of one per node.

const (
	// readInterval is the interval at which the reader reads the list of servers.
	// No request may be sent to a server later than two seconds after it reported
	// that it is leaving.
	readInterval = 450 * time.Millisecond
	// maxFreshAge is the age below which the newest store answer of a node is fresh,
	// that is, shows that the list of servers is current.
	maxFreshAge = 900 * time.Millisecond
	// minRereadInterval is the minimum time between two reads by a node that is
	// not the reader. After an outage, entries reappear within milliseconds of each
	// other, and the reader announces them in the meantime.
	minRereadInterval = 300 * time.Millisecond
	// dueCheckInterval is the interval at which a node that is not the reader
	// checks whether it must read the list itself.
	dueCheckInterval = 150 * time.Millisecond
)

// serversDue reports whether this node should read the list of servers now and,
// if not, how long to wait before the next check.
func (n *Node) serversDue(now time.Time, revision int64) (bool, time.Duration) {
	own := n.servers.age(now)
	peers := n.mesh.Alive(now)
	if n.settings.Host == electReader(n.settings.Host, own, peers) {
		return own >= readInterval, readInterval - own
	}
	return readDue(own, revision, peers), dueCheckInterval
}

// readDue reports whether a node that is not the reader should read the list. own
// is the age of its newest store answer, revision the revision up to which it has
// read.
func readDue(own time.Duration, revision int64, peers []mesh.Member) bool {
	if own < minRereadInterval {
		return false
	}
	age := own
	for _, m := range peers {
		if m.ServersChanged > revision {
			return true
		}
		age = min(age, time.Duration(m.StoreAgeMs)*time.Millisecond)
	}
	return age > maxFreshAge
}

// electReader returns the reader: the node with the lowest host id among those
// that can read the store, or among all if none can. Peers that are leaving are
// not eligible. All nodes agree within one heartbeat; until then, some reads are
// made twice.
func electReader(self ident.HostID, own time.Duration, peers []mesh.Member) ident.HostID {
	reader, fresh := self, own < maxFreshAge
	for _, m := range peers {
		if m.State == mesh.Leaving {
			continue
		}
		peerFresh := time.Duration(m.StoreAgeMs)*time.Millisecond < maxFreshAge
		if peerFresh && !fresh || peerFresh == fresh && m.Host < reader {
			reader, fresh = m.Host, peerFresh
		}
	}
	return reader
}

// isReader reports whether this node is the reader, whose reads the other nodes
// wait for.
func (n *Node) isReader(now time.Time) bool {
	return n.settings.Host == electReader(n.settings.Host, n.servers.age(now), n.mesh.Alive(now))
}

// serversAge returns the age of this node's list of servers. It is the age of the
// newest store answer among those of this node and of the peers that have read no
// change newer than this node's revision.
func (n *Node) serversAge(now time.Time) time.Duration {
	age := n.servers.age(now)
	revision := n.servers.revision.Load()
	if revision == 0 {
		return age
	}
	for _, m := range n.mesh.Alive(now) {
		if m.ServersChanged <= revision {
			age = min(age, time.Duration(m.StoreAgeMs)*time.Millisecond)
		}
	}
	return age
}

// changeAssembler collects the parts of a set of changes that a peer has read and
// sent in several datagrams. Guarded by servers.applyMu of the node.
type changeAssembler struct {
	from  int64
	to    int64
	parts map[int]mesh.ServerChanges
}

// add stores a part. Once all parts have arrived, it returns their changes and
// true. A part of another set of changes discards the parts collected so far.
func (a *changeAssembler) add(x mesh.ServerChanges) ([]mesh.ServerChange, bool) {
	if a.parts == nil || a.from != x.From || a.to != x.To {
		a.from, a.to, a.parts = x.From, x.To, map[int]mesh.ServerChanges{}
	}
	a.parts[x.Part] = x
	if len(a.parts) < x.Parts {
		return nil, false
	}
	var rows []mesh.ServerChange
	for part := range x.Parts {
		rows = append(rows, a.parts[part].Rows...)
	}
	a.parts = nil
	return rows, true
}

// onServerChanges applies changes of the list that the reader has read and sent.
// If this node has not read up to the start of these changes, it ignores them. It
// reads the list itself when the reader's next heartbeat carries a revision that
// this node does not have.
func (n *Node) onServerChanges(x mesh.ServerChanges) {
	n.servers.applyMu.Lock()
	defer n.servers.applyMu.Unlock()
	revision := n.servers.revision.Load()
	if revision < x.From || revision >= x.To {
		return
	}
	rows, complete := n.assembler.add(x)
	if !complete {
		return
	}
	now := time.Now()
	for _, r := range rows {
		if r.Removed != "" {
			n.removeServer(now, r.Removed, n.mayHaveLapsed(now))
		} else {
			n.fleet.Put(now, r.Server)
		}
	}
	n.servers.revision.Store(x.To)
	n.lastChangeRevision = x.To
}

// IsReader reports whether this node is the one that reads the servers' reports
// from the store for all nodes.
func (n *Node) IsReader() bool { return n.isReader(time.Now()) }
