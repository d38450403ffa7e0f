package front

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// register keeps this node's row in the store: it writes the row at the start, and
// again after the store was restored from an older copy, which may lack it.
func (n *Node) register(ctx context.Context) {
	n.mesh.Seed(n.settings.Seeds)
	for {
		n.writeRow(ctx)
		select {
		case <-n.registerAgain:
		case <-ctx.Done():
			return
		}
	}
}

// writeRow writes this node's row to the store and reads the rows of the other nodes,
// the crashes and, if they were not read yet, the versions of streams that are kept there. It retries with backoff until all succeed or the
// context ends.
func (n *Node) writeRow(ctx context.Context) {
	raw, err := json.Marshal(n.member(time.Now()))
	if err != nil {
		panic(err) // mesh.Member can always be encoded
	}
	for backoff := retryInitial; ctx.Err() == nil; backoff = min(2*backoff, retryMax) {
		err := n.store.Put(ctx, TableNodes, string(n.settings.Host), raw)
		if err == nil {
			err = n.loadNodes(ctx)
		}
		if err == nil {
			err = n.loadCrashes(ctx)
		}
		if err == nil && n.streamsLoaded.CompareAndSwap(false, true) {
			if err = n.loadStreams(ctx); err != nil {
				n.streamsLoaded.Store(false)
			}
		}
		if err == nil {
			return
		}
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableNodes}, "cannot write this node's row to the store or read the rows of other nodes, the crashes or the versions of streams, retrying")
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
}

func (n *Node) loadNodes(ctx context.Context) error {
	rows, err := n.store.List(ctx, TableNodes)
	if err != nil {
		return err
	}
	var list []mesh.Member
	for _, r := range rows.Rows {
		var m mesh.Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventPeerState, err, logrus.Fields{telemetry.FieldPeer: r.Key}, "cannot decode the store row of a node")
			continue
		}
		m.Host = ident.HostID(r.Key)
		list = append(list, m)
	}
	n.mesh.AddKnown(time.Now(), list)
	n.mesh.Hello()
	return nil
}
