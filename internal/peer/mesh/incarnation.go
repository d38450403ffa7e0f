package mesh

import (
	"math"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// The incarnation of a node is the time of day at the start of its process. A node whose clock
// was set back before it started again learns from its peers which incarnation they know.

// Incarnation returns the incarnation under which the node is known to its peers.
func (m *Mesh) Incarnation() ident.Incarnation { return ident.Incarnation(m.incarnation.Load()) }

// raiseIncarnation makes this node known again to peers that know a later incarnation of it.
// The incarnation is the time of day at the start of the process, so it is lower than that of
// the process before if the clock was set back meanwhile.
func (m *Mesh) raiseIncarnation(known ident.Incarnation) {
	for {
		current := m.incarnation.Load()
		if int64(known) < current || known == math.MaxInt64 {
			return
		}
		if m.incarnation.CompareAndSwap(current, int64(known)+1) {
			m.Hello()
			return
		}
	}
}

// supersededBy returns the incarnation of the sender of a heartbeat that is known, if that of
// the heartbeat is an earlier one; 0 otherwise.
func (m *members) supersededBy(msg message) ident.Incarnation {
	if p := m.peers[msg.Host]; msg.Member != nil && p != nil && msg.Incarnation < p.Incarnation {
		return p.Incarnation
	}
	return 0
}
