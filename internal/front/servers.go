package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// lapseWindow is the time after an outage of the store during which the entries
// of servers that are alive may still be missing.
const lapseWindow = 2 * time.Second

// recordOutageEnd records that an outage of the store has ended, if outage is
// true. Entries can lapse only in an outage that affects all nodes: while peers
// could read the store, servers could report to it.
func (n *Node) recordOutageEnd(outage bool) {
	if !outage {
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

// afterServersRead runs after each answer for the list of servers. The reader
// sends a heartbeat at once, and a failing call for the configuration is retried.
func (n *Node) afterServersRead() {
	if n.isReader(time.Now()) {
		n.mesh.Announce()
	}
	if n.config.failing.Load() {
		n.config.retryNow()
	}
}

// replaceServers replaces the list of servers by a full listing.
func (n *Node) replaceServers(rows Rows, outage bool) {
	listed := make(map[ident.BackendID]bool, len(rows.Rows))
	for _, r := range rows.Rows {
		listed[ident.BackendID(r.Key)] = true
	}
	first := !n.serversLoaded.Load()
	now := time.Now()
	n.applyServers(rows, outage)
	lapsed := n.mayHaveLapsed(now)
	for _, id := range n.fleet.IDs() {
		if !listed[id] {
			n.removeServer(now, id, lapsed)
			n.recordServerChange(rows.Revision, rows.Revision)
		}
	}
	if first {
		n.serversChanged.Store(0) // the first listing after a start is not a change
	}
	n.serversLoaded.Store(true)
}

// applyServers applies changed rows to the list of servers. The reader also sends
// the changes to its peers.
func (n *Node) applyServers(rows Rows, outage bool) {
	n.recordOutageEnd(outage)
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
	if from > 0 && !outage && n.isReader(now) {
		n.mesh.AnnounceServerChanges(from, rows.Revision, changed)
	}
}

// recordServerChange records the version of a change, or, if the version is 0
// (unknown), the revision up to which the list was read.
func (n *Node) recordServerChange(version, revision int64) {
	if version == 0 {
		version = revision
	}
	if version > n.serversChanged.Load() {
		n.serversChanged.Store(version)
	}
}

// applyServer applies one row and reports whether it changed the server; a report
// that only shows that the server is alive does not.
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
	old := n.fleet.Server(e.ID)
	changed := old == nil || old.Incarnation != e.Incarnation || old.Draining != e.Draining
	if changed {
		n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
			telemetry.FieldBackend: e.ID, "address": e.Address, "service": e.Service, "leaving": e.Draining, "sequence": e.Sequence,
		}, "backend server listed")
	}
	n.fleet.Put(now, e)
	return changed
}

// removeServer removes a server from the list and reports whether it was listed.
// lapsed is true if its entry may have lapsed in an outage; see fleet.Fleet.Remove.
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
