package front

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
)

// One node, the reader, reads the servers' reports for all. Its heartbeats say at
// which revision a server last came, left or changed its state; the others read
// the list themselves only when that is newer than what they have, or when no
// peer proves that the list is current. The reports that only show that a server
// lives, which are nearly all, then cost one call for the whole deployment.

const (
	// readEvery is how often the reader reads. A server must get no work two
	// seconds after it reported that it leaves.
	readEvery = 450 * time.Millisecond
	// proofFor is the age up to which a peer's answer proves that the list is
	// current.
	proofFor = 900 * time.Millisecond
	// rereadAfter is the least time between two reads of a node that is not the
	// reader. After an outage entries come back within milliseconds of each other,
	// and the reader tells of them in the meantime.
	rereadAfter = 300 * time.Millisecond
	// dueCheck is how often a node that does not read looks whether it must.
	dueCheck = 150 * time.Millisecond
)

// serversDue decides whether this node reads the list of servers now.
func (n *Node) serversDue(now time.Time, revision int64) (bool, time.Duration) {
	own := n.servers.age(now)
	peers := n.mesh.Alive(now)
	if n.settings.Host == readerOf(n.settings.Host, own, peers) {
		return own >= readEvery, readEvery - own
	}
	return readDue(own, revision, peers), dueCheck
}

// readDue decides for a node that is not the reader. own is the age of its own
// newest answer, revision how far it has read.
func readDue(own time.Duration, revision int64, peers []mesh.Member) bool {
	if own < rereadAfter {
		return false
	}
	age := own
	for _, m := range peers {
		if m.ServersChanged > revision {
			return true
		}
		age = min(age, time.Duration(m.StoreAgeMs)*time.Millisecond)
	}
	return age > proofFor
}

// readerOf returns the reader: the first host by id of those that read the
// store, or of all when none does. All nodes come to the same result within a
// heartbeat; when they do not, some reads are made twice.
func readerOf(self ident.HostID, own time.Duration, peers []mesh.Member) ident.HostID {
	reader, fresh := self, own < proofFor
	for _, m := range peers {
		if m.State == mesh.Leaving {
			continue
		}
		peerFresh := time.Duration(m.StoreAgeMs)*time.Millisecond < proofFor
		if peerFresh && !fresh || peerFresh == fresh && m.Host < reader {
			reader, fresh = m.Host, peerFresh
		}
	}
	return reader
}

// isReader reports whether other nodes wait for what this one reads.
func (n *Node) isReader(now time.Time) bool {
	return n.settings.Host == readerOf(n.settings.Host, n.servers.age(now), n.mesh.Alive(now))
}

// serversAge is the age of what this node knows of the list of servers: of its
// own answer or of that of a peer that has read no change since.
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

// listing collects the parts of the changes that a peer has read. It is guarded
// by the lock of the follower of the servers.
type listing struct {
	from  int64
	to    int64
	parts map[int]mesh.Listed
}

// add returns all changes once every part has arrived.
func (l *listing) add(x mesh.Listed) ([]mesh.Entry, bool) {
	if l.parts == nil || l.from != x.From || l.to != x.To {
		l.from, l.to, l.parts = x.From, x.To, map[int]mesh.Listed{}
	}
	l.parts[x.Part] = x
	if len(l.parts) < x.Parts {
		return nil, false
	}
	var rows []mesh.Entry
	for part := range x.Parts {
		rows = append(rows, l.parts[part].Rows...)
	}
	l.parts = nil
	return rows, true
}

// peerListed takes over changes that the reader has read. A node that lacks what
// came before them reads the list itself, since the reader's next heartbeat tells
// of a change that it does not have.
func (n *Node) peerListed(x mesh.Listed) {
	n.servers.lock.Lock()
	defer n.servers.lock.Unlock()
	revision := n.servers.revision.Load()
	if revision < x.From || revision >= x.To {
		return
	}
	rows, whole := n.listing.add(x)
	if !whole {
		return
	}
	now := time.Now()
	for _, r := range rows {
		if r.Removed != "" {
			n.removeServer(now, r.Removed, n.mayLapse(now))
		} else {
			n.fleet.Put(now, r.Server)
		}
	}
	n.servers.revision.Store(x.To)
	n.changesFrom = x.To
}

// IsReader reports whether this node reads the servers' reports for all.
func (n *Node) IsReader() bool { return n.isReader(time.Now()) }
