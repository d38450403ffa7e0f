package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// lapseWindow is the time after an outage of the store in which entries of live
// servers may still be missing.
const lapseWindow = 2 * time.Second

// noteOutage remembers when an outage of the store ended. Entries lapse only if
// the store itself was away: while peers could read it, servers could report.
func (n *Node) noteOutage(outage bool) {
	if !outage {
		return
	}
	now := time.Now().UnixNano()
	n.storeBackAt.Store(now)
	if !n.peersFresh.Swap(false) {
		n.lapsesAt.Store(now)
	}
}

// mayLapse reports whether an entry that has disappeared may have lapsed during
// an outage of the store.
func (n *Node) mayLapse(now time.Time) bool {
	return now.UnixNano()-n.lapsesAt.Load() < int64(lapseWindow)
}

// tellRead lets the other nodes know at once that the reader has read the list.
// The configuration is read again too if the store was away.
func (n *Node) tellRead() {
	if n.isReader(time.Now()) {
		n.mesh.Announce()
	}
	if n.config.failing.Load() {
		n.config.retryNow()
	}
}

// replaceServers takes over the whole list of servers.
func (n *Node) replaceServers(rows Rows, outage bool) {
	listed := make(map[ident.BackendID]bool, len(rows.Rows))
	for _, r := range rows.Rows {
		listed[ident.BackendID(r.Key)] = true
	}
	first := !n.listed.Load()
	now := time.Now()
	n.applyServers(rows, outage)
	lapsed := n.mayLapse(now)
	for _, id := range n.fleet.IDs() {
		if !listed[id] {
			n.removeServer(now, id, lapsed)
			n.serverChanged(rows.Revision, rows.Revision)
		}
	}
	if first {
		n.serversChanged.Store(0) // what a start reads is no change
	}
	n.listed.Store(true)
}

// applyServers takes over changes of the list of servers.
func (n *Node) applyServers(rows Rows, outage bool) {
	n.noteOutage(outage)
	now := time.Now()
	from := n.changesFrom
	var changed []mesh.Entry
	for _, r := range rows.Rows {
		if !n.applyServer(now, r) {
			continue
		}
		n.serverChanged(r.Version, rows.Revision)
		if s := n.fleet.Server(ident.BackendID(r.Key)); s != nil && !r.Removed {
			changed = append(changed, mesh.Entry{Server: s.Entry})
		} else {
			changed = append(changed, mesh.Entry{Removed: ident.BackendID(r.Key)})
		}
	}
	if len(changed) == 0 {
		return
	}
	n.changesFrom = rows.Revision
	if from > 0 && !outage && n.isReader(now) {
		n.mesh.Changed(from, rows.Revision, changed)
	}
}

// serverChanged notes the version of a change, or the revision by which it was
// read if the version is unknown.
func (n *Node) serverChanged(version, revision int64) {
	if version == 0 {
		version = revision
	}
	if version > n.serversChanged.Load() {
		n.serversChanged.Store(version)
	}
}

// applyServer takes over one row and reports whether it is more than a sign of
// life.
func (n *Node) applyServer(now time.Time, r Row) bool {
	id := ident.BackendID(r.Key)
	if r.Removed {
		return n.removeServer(now, id, n.mayLapse(now))
	}
	e, err := n.decoder.DecodeEntry(r.Key, r.Value)
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventBackendListed, err, nil, "entry names no usable server")
		return n.removeServer(now, id, false)
	}
	old := n.fleet.Server(e.ID)
	changed := old == nil || old.Born != e.Born || old.Draining != e.Draining
	if changed {
		n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
			telemetry.FieldBackend: e.ID, "address": e.Address, "service": e.Service, "leaving": e.Draining, "sequence": e.Sequence,
		}, "backend server listed")
	}
	n.fleet.Put(now, e)
	return changed
}

// removeServer takes a server off the list and reports whether it was on it.
func (n *Node) removeServer(now time.Time, id ident.BackendID, lapsed bool) bool {
	if n.fleet.Server(id) == nil {
		return false
	}
	n.fleet.Remove(now, id, lapsed)
	n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
		telemetry.FieldBackend: id, "lapsed": lapsed,
	}, "backend server off the list")
	return true
}
