package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// pruneInterval is the interval at which the reader looks for store rows of
	// nodes that no longer exist.
	pruneInterval = time.Minute
	// staleRowAfter is the silence after which the row of a node is removed. A
	// node that returns writes its row again.
	staleRowAfter = 10 * time.Minute
)

// staleRows returns the rows of other nodes that have been silent for at least
// staleRowAfter. silence returns the time since this node received the latest
// datagram of a node, at most the time since this node started.
func staleRows(rows []Row, self ident.HostID, silence func(ident.HostID) time.Duration) []Row {
	var list []Row
	for _, r := range rows {
		if host := ident.HostID(r.Key); host != self && silence(host) >= staleRowAfter {
			list = append(list, r)
		}
	}
	return list
}

// prune removes the store rows of nodes that were replaced, so that new nodes do
// not try to contact them. Only the reader does this, and only after it has run
// for staleRowAfter. A row that its node has rewritten in the meantime has
// another version and is kept.
func (n *Node) prune(ctx context.Context, now time.Time) {
	if now.Sub(n.started) < staleRowAfter || !n.isReader(now) {
		return
	}
	rows, err := n.store.List(ctx, TableNodes)
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableNodes}, "cannot list the store rows of nodes")
		return
	}
	silence := func(host ident.HostID) time.Duration {
		return min(now.Sub(n.started), n.mesh.Silence(now, host))
	}
	for _, r := range staleRows(rows.Rows, n.settings.Host, silence) {
		if err := n.store.Remove(ctx, TableNodes, r.Key, r.Version); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableNodes, telemetry.FieldPeer: r.Key}, "cannot remove the stale store row of a node")
			continue
		}
		n.log.Log(logrus.InfoLevel, telemetry.EventPeerState, logrus.Fields{telemetry.FieldPeer: r.Key}, "removed the stale store row of a node")
	}
}

// pruneLoop calls prune every pruneInterval until the context ends.
func (n *Node) pruneLoop(ctx context.Context) {
	every(ctx, pruneInterval, func(now time.Time) { n.prune(ctx, now) })
}
