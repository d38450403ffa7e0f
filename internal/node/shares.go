package node

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

func (n *Node) addShares(time.Time, ident.HostID, *nodepb.HeartbeatRequest) {}

func (n *Node) observeShares(time.Time, ident.HostID, *nodepb.HeartbeatRequest) {}

// customerRate returns this node's part of a customer's limit in tokens/s.
func (n *Node) customerRate(_ ident.Customer, sharePercent, fleetRate float64) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fleetRate * sharePercent / 100 / float64(max(len(n.listed), 1))
}
