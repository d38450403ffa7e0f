package front

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Every node keeps all crashes of servers that requests may have caused. Peers announce
// new ones by datagram, and a node that keeps fewer than a peer fetches them. The reader
// writes those that may count against content to the store, since all nodes may end at
// once: each node reads them there at its start.

const (
	// crashFetchDelay is how long a node that keeps fewer crashes than a peer waits for the
	// datagrams that report them, before it fetches them. Datagrams may be lost, and a node
	// that has just started has received none.
	crashFetchDelay = 100 * time.Millisecond
	// crashFetchInterval is the minimum time between two requests for crashes.
	crashFetchInterval = time.Second
	// crashWriteInterval is the minimum time between two writes of the crashes to the
	// store, and crashWriteTimeout bounds one.
	crashWriteInterval = 500 * time.Millisecond
	crashWriteTimeout  = 2 * time.Second
	// crashesKey is the key of the row that holds the crashes.
	crashesKey = "crashes"
)

// crashRow is the value of the row that holds the crashes. Their ages count from
// WrittenMs, in Unix milliseconds. Clocks of hosts differ by seconds at most, and crashes
// count for minutes.
type crashRow struct {
	WrittenMs int64               `json:"written_ms"`
	Evidence  crashcause.Evidence `json:"evidence"`
}

// storeCrashes writes the crashes to the store when there are new ones, if this node is
// the reader.
func (n *Node) storeCrashes(ctx context.Context) {
	every(ctx, crashWriteInterval, func(now time.Time) {
		if n.crashes.Len(now) == 0 || !n.isReader(now) {
			return
		}
		e := n.crashes.Suspicious(now)
		if stored := n.crashesStored.Load(); stored != nil && e.SameCrashes(*stored) || stored == nil && len(e.Crashes) == 0 {
			return
		}
		if err := n.writeCrashes(ctx, now, e); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableCrashes}, "cannot write the crashes of servers to the store, retrying")
			return
		}
		n.crashesStored.Store(&e)
	})
}

func (n *Node) writeCrashes(ctx context.Context, now time.Time, e crashcause.Evidence) error {
	raw, err := json.Marshal(crashRow{WrittenMs: now.UnixMilli(), Evidence: e})
	if err != nil {
		panic(err) // the row always encodes
	}
	ctx, cancel := context.WithTimeout(ctx, crashWriteTimeout)
	defer cancel()
	return n.store.Put(ctx, TableCrashes, crashesKey, raw)
}

// loadCrashes adds the crashes that the store holds to those of this node.
func (n *Node) loadCrashes(ctx context.Context) error {
	rows, err := n.store.List(ctx, TableCrashes)
	if err != nil {
		return err
	}
	n.crashesStored.Store(nil)
	for _, r := range rows.Rows {
		var row crashRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventPeerState, err, logrus.Fields{"table": TableCrashes}, "cannot decode the crashes in the store")
			continue
		}
		now := time.Now()
		n.mergeCrashes(now, row.Evidence.Older(now.Sub(time.UnixMilli(row.WrittenMs))), "store")
		n.crashesStored.Store(&row.Evidence)
	}
	return nil
}

// compareCrashes fetches the crashes of a peer if it keeps more of them than this node.
func (n *Node) compareCrashes(m mesh.Member) {
	if m.Crashes <= n.crashes.Len(time.Now()) || !n.fetchingCrashes.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetchingCrashes.Store(false)
		time.Sleep(crashFetchDelay)
		if m.Crashes <= n.crashes.Len(time.Now()) {
			return
		}
		n.readPeerCrashes(context.Background(), m)
		time.Sleep(crashFetchInterval)
	}()
}

// readPeerCrashes adds the crashes that a peer keeps to those of this node.
func (n *Node) readPeerCrashes(ctx context.Context, m mesh.Member) {
	doc, err := n.peerState(ctx, m.Mesh, "crashes")
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventPeerCallFailed, err, logrus.Fields{telemetry.FieldPeer: m.Host}, "cannot fetch the crashes that a peer keeps")
		return
	}
	n.mergeCrashes(time.Now(), doc.Crashes, string(m.Host))
}

// mergeCrashes adds evidence from the store or a peer to that of this node.
func (n *Node) mergeCrashes(now time.Time, e crashcause.Evidence, from string) {
	before := n.crashes.Len(now)
	n.crashes.Merge(now, e)
	n.log.Log(logrus.InfoLevel, telemetry.EventCrashEvidence, logrus.Fields{
		"from": from, "crashes": len(e.Crashes), "answered": len(e.Answered), "new": n.crashes.Len(now) - before,
	}, "evidence on crashes of backend servers received")
}
