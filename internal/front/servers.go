package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Servers renew their entries in the store. An entry that is not renewed in time,
// for example because the store cannot be reached, lapses: the store removes it.

// lapseWindow is the time after an outage of the store during which the entries
// of servers that are alive may still be missing.
const lapseWindow = 2 * time.Second

// recordOutageEnd records the end of an outage of the store. Entries can lapse only in
// an outage that affects all nodes: while peers could read the store, servers could
// report to it. A store that was restored from an older copy may lack entries too, and
// the servers write them again.
func (n *Node) recordOutageEnd(c readContext) {
	if !c.outage && !c.restored {
		return
	}
	now := time.Now()
	n.storeRecoveredAt.Store(now)
	if othersRead := n.peersReadStore.Swap(false); !othersRead || c.restored {
		n.sharedOutageEndedAt.Store(now)
	}
	if c.restored {
		n.onRestored()
	}
}

// onRestored reads the configuration again, and writes this node's row and the versions of
// streams again, after the store was restored from an older copy. The call for the
// configuration may wait at a revision that the store has not reached again.
func (n *Node) onRestored() {
	n.streams.MarkUnstored()
	n.historyStored.Store(nil)
	n.config.restartCall()
	select {
	case n.registerAgain <- struct{}{}:
	default:
	}
}

// mayHaveLapsed reports whether an entry that is missing now may have lapsed
// during an outage of the store, while its server is alive.
func (n *Node) mayHaveLapsed(now time.Time) bool {
	return n.sharedOutageEndedAt.since(now) < lapseWindow
}

// lapseMs returns Member.LapseMs of this node.
func (n *Node) lapseMs(now time.Time) int64 {
	if !n.mayHaveLapsed(now) {
		return 0
	}
	return max(1, n.sharedOutageEndedAt.since(now).Milliseconds())
}

// noteLapse records that a peer has seen the end of an outage in which entries may have
// lapsed. This node may have called the store too rarely to notice the outage.
func (n *Node) noteLapse(now time.Time, m mesh.Member) {
	if m.LapseMs <= 0 {
		return
	}
	if ended := now.Add(-time.Duration(m.LapseMs) * time.Millisecond); ended.After(n.sharedOutageEndedAt.Load()) {
		n.sharedOutageEndedAt.Store(ended)
	}
}

// afterServersRead runs after each answer of the store to a read of the list of
// servers. If this node is the reader, which reads the list for all nodes, it sends
// a heartbeat at once. If calls for the configuration are failing, the next one is
// made without waiting for the backoff.
func (n *Node) afterServersRead() {
	if n.isReader(time.Now()) {
		n.mesh.Announce()
	}
	if n.config.failing.Load() {
		n.config.retryNow()
	}
}

// prepareServers asks for what must be known before the first list of servers is installed.
func (n *Node) prepareServers() {
	n.awaitPeer()
	n.readDeparted()
	n.loadStreamsAtStart()
}

// replaceServers replaces the list of servers with a full listing.
func (n *Node) replaceServers(rows Rows, c readContext) {
	listed := make(map[ident.BackendID]bool, len(rows.Rows))
	for _, r := range rows.Rows {
		listed[ident.BackendID(r.Key)] = true
	}
	first := !n.serversLoaded.Load()
	n.recordOutageEnd(c)
	now := time.Now()
	n.installRows(now, rows)
	lapsed := n.mayHaveLapsed(now)
	// Peers need not read a list that was read only because it differed from theirs.
	differed := n.listDiffers.Swap(false)
	for _, id := range n.fleet.IDs() {
		if listed[id] {
			continue
		}
		n.removeServer(now, id, lapsed)
		if !differed {
			n.serversChanged.Advance(rows.Position)
		}
	}
	switch {
	case first: // not a change, but this node does not know what was changed before
		n.serversChanged.Store(ident.StorePosition{})
		n.serversListed.Store(rows.Position)
	case c.restored: // peers must read the list of the new era too
		n.serversChanged.Advance(rows.Position)
	}
	n.serversLoaded.Store(true)
}

// applyServers applies changed rows to the list of servers. If this node is the
// reader, it also sends the changes to its peers, except those of the first answer
// after an outage of the store or a restore. A full listing is not sent: it does not tell
// which servers were removed.
func (n *Node) applyServers(rows Rows, c readContext) {
	n.recordOutageEnd(c)
	now := time.Now()
	from := n.lastChangePosition
	changed := n.installRows(now, rows)
	if len(changed) > 0 && !from.IsZero() && !c.outage && !c.restored && n.isReader(now) {
		n.mesh.AnnounceServerChanges(from, rows.Position, changed)
	}
}

// installRows applies rows to the list of servers and returns the changes.
func (n *Node) installRows(now time.Time, rows Rows) (changed []mesh.ServerChange) {
	for _, r := range rows.Rows {
		if change, ok := n.applyServer(now, r); ok {
			n.serversChanged.Advance(changePosition(r, rows.Position))
			changed = append(changed, change)
		}
	}
	if len(changed) > 0 {
		n.lastChangePosition = rows.Position
	}
	return changed
}

// changePosition returns the position at which a row was changed, or, if its version is
// unknown, the position up to which the list was read.
func changePosition(r Row, read ident.StorePosition) ident.StorePosition {
	if r.Version == 0 {
		return read
	}
	return ident.StorePosition{Era: read.Era, Revision: r.Version}
}

// applyServer applies one row. It returns the change of the list if the server was added,
// removed or changed. A row that only shows that the server is alive is not a change. A
// removal is one also if this node did not know the server: others may list it.
func (n *Node) applyServer(now time.Time, r Row) (change mesh.ServerChange, ok bool) {
	id := ident.BackendID(r.Key)
	if r.Removed {
		n.removeServer(now, id, n.mayHaveLapsed(now))
		return mesh.ServerChange{Removed: id}, true
	}
	e, err := n.decoder.DecodeEntry(r.Key, r.Value)
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventBackendListed, err, nil, "invalid entry of a backend server")
		return mesh.ServerChange{Removed: id}, n.removeServer(now, id, false)
	}
	if !n.fleet.Put(now, e) {
		return mesh.ServerChange{}, false
	}
	n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
		telemetry.FieldBackend: e.ID, "address": e.Address, "service": e.Service, "version": e.Version, "leaving": e.Draining, "sequence": e.Sequence,
	}, "backend server listed")
	return mesh.ServerChange{Server: e}, true
}

// removeServer removes a server from the list and reports whether it was known.
// lapsed is true if its entry may have lapsed during an outage of the store; see
// fleet.Fleet.Remove.
func (n *Node) removeServer(now time.Time, id ident.BackendID, lapsed bool) bool {
	if !n.fleet.Remove(now, id, lapsed) {
		return false
	}
	n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
		telemetry.FieldBackend: id, "lapsed": lapsed,
	}, "backend server removed from the list")
	return true
}

// onLoss records the loss of a server that a peer reports.
func (n *Node) onLoss(now time.Time, reporter ident.HostID, server ident.BackendID, how fleet.Loss) {
	if n.fleet.RecordReport(now, server, how) {
		n.log.Log(logrus.WarnLevel, telemetry.EventBackendLost, logrus.Fields{
			telemetry.FieldBackend: server, telemetry.FieldPeer: reporter, "how": how.String(),
		}, "backend server reported lost by a peer")
	}
}
