package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Servers renew their entries in the store. An entry that is not renewed in time,
// for example because the store cannot be reached, lapses: the store removes it.

// lapseWindow is the time after an outage of the store during which the entries
// of servers that are alive may still be missing.
const lapseWindow = 2 * time.Second

// recordOutageEnd records the end of an outage of the store. It does nothing
// unless afterOutage is set, that is, for the first answer after the outage. Entries
// can lapse only in an outage that affects all nodes: while peers could read the
// store, servers could report to it.
func (n *Node) recordOutageEnd(afterOutage bool) {
	if !afterOutage {
		return
	}
	now := time.Now().UnixNano()
	n.storeRecoveredAt.Store(now)
	if !n.peersReadStore.Swap(false) {
		n.sharedOutageEndedAt.Store(now)
	}
}

// mayHaveLapsed reports whether an entry that is missing now may have lapsed
// during an outage of the store, while its server is alive.
func (n *Node) mayHaveLapsed(now time.Time) bool {
	return now.UnixNano()-n.sharedOutageEndedAt.Load() < int64(lapseWindow)
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

// replaceServers replaces the list of servers with a full listing. afterOutage is
// true for the first answer after an outage of the store.
func (n *Node) replaceServers(rows Rows, afterOutage bool) {
	listed := make(map[ident.BackendID]bool, len(rows.Rows))
	for _, r := range rows.Rows {
		listed[ident.BackendID(r.Key)] = true
	}
	first := !n.serversLoaded.Load()
	now := time.Now()
	n.applyServers(rows, afterOutage)
	lapsed := n.mayHaveLapsed(now)
	for _, id := range n.fleet.IDs() {
		if !listed[id] {
			n.removeServer(now, id, lapsed)
			n.recordServerChange(rows.Revision, rows.Revision)
		}
	}
	if first {
		n.serverChangeRevision.Store(0) // the first listing after a start is not a change
	}
	n.serversLoaded.Store(true)
}

// applyServers applies changed rows to the list of servers. If this node is the
// reader, it also sends the changes to its peers. afterOutage is true for the first
// answer after an outage of the store; its changes are not sent.
func (n *Node) applyServers(rows Rows, afterOutage bool) {
	n.recordOutageEnd(afterOutage)
	now := time.Now()
	from := n.lastChangeRevision
	var changed []mesh.ServerChange
	for _, r := range rows.Rows {
		if !n.applyServer(now, r) {
			continue
		}
		n.recordServerChange(r.Version, rows.Revision)
		if s := n.fleet.Server(ident.BackendID(r.Key)); s != nil && !r.Removed {
			changed = append(changed, mesh.ServerChange{Server: s.Entry})
		} else {
			changed = append(changed, mesh.ServerChange{Removed: ident.BackendID(r.Key)})
		}
	}
	if len(changed) == 0 {
		return
	}
	n.lastChangeRevision = rows.Revision
	if from > 0 && !afterOutage && n.isReader(now) {
		n.mesh.AnnounceServerChanges(from, rows.Revision, changed)
	}
}

// recordServerChange advances serverChangeRevision to the version of a change, or,
// if the version is 0 (unknown), to the revision up to which the list was read.
func (n *Node) recordServerChange(version, revision int64) {
	if version == 0 {
		version = revision
	}
	if version > n.serverChangeRevision.Load() {
		n.serverChangeRevision.Store(version)
	}
}

// applyServer applies one row and reports whether the server was added, removed or
// changed. A row that only shows that the server is alive is not a change.
func (n *Node) applyServer(now time.Time, r Row) bool {
	id := ident.BackendID(r.Key)
	if r.Removed {
		return n.removeServer(now, id, n.mayHaveLapsed(now))
	}
	e, err := n.decoder.DecodeEntry(r.Key, r.Value)
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventBackendListed, err, nil, "invalid entry of a backend server")
		return n.removeServer(now, id, false)
	}
	changed := n.fleet.Put(now, e)
	if changed {
		n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
			telemetry.FieldBackend: e.ID, "address": e.Address, "service": e.Service, "leaving": e.Draining, "sequence": e.Sequence,
		}, "backend server listed")
	}
	return changed
}

// removeServer removes a server from the list and reports whether it was listed.
// lapsed is true if its entry may have lapsed during an outage of the store; see
// fleet.Fleet.Remove.
func (n *Node) removeServer(now time.Time, id ident.BackendID, lapsed bool) bool {
	if n.fleet.Server(id) == nil {
		return false
	}
	n.fleet.Remove(now, id, lapsed)
	n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
		telemetry.FieldBackend: id, "lapsed": lapsed,
	}, "backend server removed from the list")
	return true
}
