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

// registration is one of the calls by which a node registers.
type registration struct {
	table Table
	call  func(context.Context) error
}

// writeRow writes this node's row to the store and reads the rows of the other nodes, the
// crashes and, as far as they were not read yet, the versions of streams that are kept there.
// It repeats the call that fails, with backoff, until all have succeeded or the context ends.
func (n *Node) writeRow(ctx context.Context) {
	raw, err := json.Marshal(n.member(time.Now()))
	if err != nil {
		panic(err) // mesh.Member can always be encoded
	}
	left := []registration{
		{TableNodes, func(ctx context.Context) error { return n.store.Put(ctx, TableNodes, string(n.settings.Host), raw) }},
		{TableNodes, n.loadNodes},
		{TableCrashes, n.loadCrashes},
		{TableStreams, n.loadStreams},
	}
	backoff := retryInitial
	for len(left) > 0 && ctx.Err() == nil {
		err := left[0].call(ctx)
		if err == nil {
			left = left[1:]
			continue
		}
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": left[0].table}, "cannot register in the store, or read what it keeps for nodes that start, retrying")
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, retryMax)
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
