package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// pruneEvery is how often the reader looks for rows of nodes that are gone.
	pruneEvery = time.Minute
	// rowSilentFor is the silence after which a node's row is removed. A node that
	// comes back writes its row again.
	rowSilentFor = 10 * time.Minute
)

// abandoned returns the rows of nodes that have been silent for rowSilentFor.
// silence returns how long a node has not been heard by this one, at most the
// time since this one started.
func abandoned(rows []Row, self ident.HostID, silence func(ident.HostID) time.Duration) []Row {
	var list []Row
	for _, r := range rows {
		if host := ident.HostID(r.Key); host != self && silence(host) >= rowSilentFor {
			list = append(list, r)
		}
	}
	return list
}

// prune removes the rows of nodes that were replaced, so that new nodes do not
// look for them. It runs on the reader only, and a row that its node has written
// again meanwhile stays.
func (n *Node) prune(ctx context.Context, now time.Time) {
	if now.Sub(n.started) < rowSilentFor || !n.isReader(now) {
		return
	}
	rows, err := n.store.List(ctx, TableNodes)
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableNodes}, "rows of nodes not read")
		return
	}
	silence := func(host ident.HostID) time.Duration {
		return min(now.Sub(n.started), n.mesh.Silence(now, host))
	}
	for _, r := range abandoned(rows.Rows, n.settings.Host, silence) {
		if err := n.store.Remove(ctx, TableNodes, r.Key, r.Version); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableNodes, telemetry.FieldPeer: r.Key}, "row of a node not removed")
			continue
		}
		n.log.Log(logrus.InfoLevel, telemetry.EventPeerState, logrus.Fields{telemetry.FieldPeer: r.Key}, "row of a node that is gone removed")
	}
}

// keepRows prunes at intervals.
func (n *Node) keepRows(ctx context.Context) {
	ticker := time.NewTicker(pruneEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.prune(ctx, now)
		}
	}
}
