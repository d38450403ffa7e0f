package reach

import (
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Peer is a host that has a path to the servers of a service.
type Peer struct {
	Host           ident.HostID
	SameDataCentre bool
	Capacity       float64 // requests per second; 0 if unknown
	// Sent is the number of requests that go through the host now, from this one.
	Sent int
}

// sameDataCentreFactor is how much more often a host of the same data centre is chosen, at
// equal capacity: traffic between data centres is slower and costs more.
const sameDataCentreFactor = 2.0

// Choose returns the index of the host through which the next request goes, or -1 if there
// is none. Hosts are weighted by their capacity and by what already goes through them;
// point is a random number in [0, 1).
//
// Load pattern: half of the hosts lose their path at the same moment and send all their
// requests through the others, without knowing of each other's choices.
func Choose(peers []Peer, point float64) int {
	total := 0.0
	for _, p := range peers {
		total += p.weight()
	}
	point *= total
	for i, p := range peers {
		if point < p.weight() {
			return i
		}
		point -= p.weight()
	}
	return len(peers) - 1
}

func (p Peer) weight() float64 {
	w := max(p.Capacity, 1) / float64(1+p.Sent)
	if p.SameDataCentre {
		w *= sameDataCentreFactor
	}
	return w
}
