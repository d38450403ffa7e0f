package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/listsync"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// The list of servers is told by its changes. A node that has missed one, or has judged a row
// otherwise than the reader, would differ for good: the changes after it do not show that.
// So heartbeats carry a digest of the list, and a node whose list differs from the reader's
// reads the whole list from the store. It does not take the reader's: that may be the one that
// is wrong. The reader reads it too if a difference lasts.

// listSummary describes this node's list of servers.
func (n *Node) listSummary() listsync.Summary {
	s := listsync.Summary{
		Read:    n.servers.position.Load(),
		Changed: ident.LaterOf(n.serversChanged.Load(), n.serversListed.Load()),
	}
	if n.serversLoaded.Load() {
		s.Digest = n.fleet.ListDigest()
	}
	return s
}

// describeList adds to the description of this node what it says of its list of servers.
func (n *Node) describeList(now time.Time, m *mesh.Member) {
	m.ServersChanged, m.ServersListed, m.ServersRead = n.serversChanged.Load(), n.serversListed.Load(), n.servers.position.Load()
	if n.serversLoaded.Load() {
		m.ServersDigest = n.fleet.ListDigest()
	}
	m.LapseMs = n.lapseMs(now)
	m.StoreAgeMs = n.servers.age(now).Milliseconds()
	m.Settled = now.Sub(n.started) >= settledAfter
}

// summaryOf describes the list of servers of a peer.
func summaryOf(m mesh.Member) listsync.Summary {
	return listsync.Summary{
		Read: m.ServersRead, Changed: ident.LaterOf(m.ServersChanged, m.ServersListed), Digest: m.ServersDigest,
	}
}

// compareLists compares this node's list of servers with that of a peer, and reads the whole
// list if they have differed for some time. Only comparisons with the reader count, and those
// of the reader itself.
func (n *Node) compareLists(now time.Time, m mesh.Member) {
	differs, known := n.listSummary().Differs(summaryOf(m))
	if !known {
		return
	}
	if !differs {
		n.listMonitor.Observe(now, m.Host, false, 0, false)
		return
	}
	reader := electReader(n.readerCandidate(now), n.mesh.Alive(now))
	isReader := reader == n.settings.Host
	if !isReader && reader != m.Host {
		return
	}
	if !n.listMonitor.Observe(now, m.Host, true, n.mesh.CountKnown()+1, isReader) {
		return
	}
	n.log.Log(logrus.WarnLevel, telemetry.EventBackendListed, logrus.Fields{
		telemetry.FieldPeer: m.Host, "reader": isReader, "position": n.servers.position.Load().Revision, "peer_position": m.ServersRead.Revision,
	}, "list of backend servers differs from a peer's, reading it anew")
	if n.servers.failing.Load() && !isReader {
		go n.readPeerState(context.Background(), m, true) // the store may refuse this node only
		return
	}
	n.listDiffers.Store(true)
	n.servers.listNext.Store(true)
	n.servers.readNow()
}
