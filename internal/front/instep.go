package front

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/suspension"
)

// A host may be out of step: cut off from the store and the other hosts, or suspended. Its
// list of servers then lacks those that have joined meanwhile. What it concludes from the
// list being complete, such as that a service has one version only, may be wrong.

// maxSuspension is the longest suspension after which the list still counts as current. It
// is above the noise between two readings of the clocks.
const maxSuspension = 100 * time.Millisecond

// inStep reports whether this node's list of servers is current: the store has answered
// lately, to this node or to a peer that knows of no change. While the store answers none of
// the hosts, servers may start with versions that none of them knows.
func (n *Node) inStep(now time.Time) bool {
	if n.suspendedSince() > maxSuspension {
		n.servers.readNow()
		return false
	}
	return n.serversAge(now) < storeStaleAfter
}

// suspendedSince returns the time for which the host was suspended since the store last
// answered a read of the list of servers.
func (n *Node) suspendedSince() time.Duration {
	return suspension.Total() - time.Duration(n.servers.suspendedAtAnswer.Load())
}
