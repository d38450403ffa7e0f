package front

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
)

// One node, the reader, reads the servers' reports from the store for all nodes.
// Its heartbeats carry the position in the store at which a server last joined, left or
// changed its state. The other nodes read the list themselves only if that position is
// later than theirs, or if no peer shows that their list is current. Nearly all
// reports only show that a server is alive; these cost one store call for the
// whole deployment instead of one per node.
//
// A node that has just started, or has taken over the list of a peer, does not know
// which changes were made before. Its heartbeats show a list to be current only if that
// list has been read up to the position at which the node began.

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
	// settledAfter is the uptime after which a node is preferred as the reader. By then
	// the other nodes have read past the position at which it began.
	settledAfter = 10 * time.Second
	// dueCheckInterval is the interval at which a node that is not the reader
	// checks whether it must read the list itself.
	dueCheckInterval = 150 * time.Millisecond
)

// serversDue reports whether this node should read the list of servers now and,
// if not, how long to wait before the next check.
func (n *Node) serversDue(now time.Time, position ident.StorePosition) (bool, time.Duration) {
	if n.suspendedSince() > maxSuspension {
		return true, 0
	}
	own := n.servers.age(now)
	peers := n.mesh.Alive(now)
	if n.settings.Host == electReader(n.readerCandidate(now), peers) {
		return own >= readInterval, readInterval - own
	}
	return readDue(own, position, peers), dueCheckInterval
}

// readDue reports whether a node that is not the reader should read the list. own
// is the age of its newest store answer, position the position up to which it has
// read.
func readDue(own time.Duration, position ident.StorePosition, peers []mesh.Member) bool {
	if own < minRereadInterval {
		return false
	}
	age := own
	for _, m := range peers {
		if position.Before(m.ServersChanged) {
			return true
		}
		if showsCurrent(m, position) {
			age = min(age, time.Duration(m.StoreAgeMs)*time.Millisecond)
		}
	}
	return age > maxFreshAge
}

// showsCurrent reports whether a list that has been read up to a position holds every
// change that a peer knows of or may have missed.
func showsCurrent(m mesh.Member, position ident.StorePosition) bool {
	return !position.Before(m.ServersChanged) && !position.Before(m.ServersListed)
}

// advanceTo moves the position of this node's list to that of a peer's, if the list
// already holds all changes up to there, and the same servers.
func (n *Node) advanceTo(m mesh.Member) {
	n.servers.applyMu.Lock()
	defer n.servers.applyMu.Unlock()
	if m.ServersDigest != 0 && m.ServersDigest != n.fleet.ListDigest() {
		return
	}
	position := n.servers.position.Load()
	if !position.IsZero() && position.Era == m.ServersRead.Era && showsCurrent(m, position) {
		n.servers.position.Advance(m.ServersRead)
	}
}

// readerCandidate is what decides whether a node is the reader.
type readerCandidate struct {
	host    ident.HostID
	leaving bool
	fresh   bool // it can read the store
	settled bool // see settledAfter
}

// precedes reports whether c is the reader rather than other.
func (c readerCandidate) precedes(other readerCandidate) bool {
	switch {
	case c.leaving != other.leaving:
		return other.leaving
	case c.fresh != other.fresh:
		return c.fresh
	case c.settled != other.settled:
		return c.settled
	}
	return c.host < other.host
}

// electReader returns the reader among this node and its peers: a node that is not
// leaving before one that is, one that can read the store before one that cannot, one
// that has run for some time before one that has just started, and then the one with
// the lowest host id. All nodes agree within one heartbeat; until then, some reads are
// made twice.
func electReader(self readerCandidate, peers []mesh.Member) ident.HostID {
	reader := self
	for _, m := range peers {
		age := time.Duration(m.StoreAgeMs) * time.Millisecond
		c := readerCandidate{host: m.Host, leaving: m.State == mesh.Leaving, fresh: age < maxFreshAge, settled: m.Settled}
		if c.precedes(reader) {
			reader = c
		}
	}
	return reader.host
}

// readerCandidate describes this node for electReader.
func (n *Node) readerCandidate(now time.Time) readerCandidate {
	return readerCandidate{
		host: n.settings.Host, leaving: n.leaving.Load(), fresh: n.servers.age(now) < maxFreshAge, settled: now.Sub(n.started) >= settledAfter,
	}
}

// isReader reports whether this node is the reader, whose reads the other nodes
// wait for.
func (n *Node) isReader(now time.Time) bool {
	return n.settings.Host == electReader(n.readerCandidate(now), n.mesh.Alive(now))
}

// serversAge returns the age of this node's list of servers. It is the age of the
// newest store answer among those of this node and of the peers that have read no
// change that this node's list lacks.
func (n *Node) serversAge(now time.Time) time.Duration {
	age := n.servers.age(now)
	position := n.servers.position.Load()
	if position.IsZero() {
		return age
	}
	for _, m := range n.mesh.Alive(now) {
		if showsCurrent(m, position) {
			age = min(age, time.Duration(m.StoreAgeMs)*time.Millisecond)
		}
	}
	return age
}

// changeAssembler collects the parts of a set of changes that a peer has read and
// sent in several datagrams. Guarded by servers.applyMu of the node.
type changeAssembler struct {
	from  ident.StorePosition
	to    ident.StorePosition
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
// reads the list itself when the reader's next heartbeat carries a position that
// this node has not reached.
func (n *Node) onServerChanges(x mesh.ServerChanges) {
	n.servers.applyMu.Lock()
	defer n.servers.applyMu.Unlock()
	position := n.servers.position.Load()
	if position.Before(x.From) || !position.Before(x.To) {
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
	n.servers.position.Store(x.To)
	n.lastChangePosition = x.To
	n.serversChanged.Advance(x.To)
}

// IsReader reports whether this node is the one that reads the servers' reports
// from the store for all nodes.
func (n *Node) IsReader() bool { return n.isReader(time.Now()) }
