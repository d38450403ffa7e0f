package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Every node keeps all crashes of servers that requests may have caused. Peers announce
// new ones by datagram, and a node that keeps fewer than a peer fetches them.

const (
	// crashFetchDelay is how long a node that keeps fewer crashes than a peer waits for the
	// datagrams that report them, before it fetches them. Datagrams may be lost, and a node
	// that has just started has received none.
	crashFetchDelay = 100 * time.Millisecond
	// crashFetchInterval is the minimum time between two requests for crashes.
	crashFetchInterval = time.Second
)

// compareCrashes fetches the crashes of a peer if it keeps more of them than this node.
func (n *Node) compareCrashes(m mesh.Member) {
	if m.Crashes <= n.crashes.Len() || !n.fetchingCrashes.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetchingCrashes.Store(false)
		time.Sleep(crashFetchDelay)
		if m.Crashes <= n.crashes.Len() {
			return
		}
		n.readPeerCrashes(context.Background(), m)
		time.Sleep(crashFetchInterval)
	}()
}

// readPeerCrashes adds the crashes that a peer keeps to those of this node.
func (n *Node) readPeerCrashes(ctx context.Context, m mesh.Member) {
	doc, err := fetchState(ctx, m.Mesh, "crashes")
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventPeerCallFailed, err, logrus.Fields{telemetry.FieldPeer: m.Host}, "cannot fetch the crashes that a peer keeps")
		return
	}
	n.crashes.Merge(time.Now(), doc.Crashes)
}
