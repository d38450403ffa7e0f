package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// status returns the state of this node and its view of other nodes and backend
// servers.
func (n *Node) status() operatorapi.Status {
	now := time.Now()
	status := operatorapi.Status{
		HostID:     string(n.host),
		DataCentre: string(n.dataCentre),
		Sequence:   int64(n.contracts.Sequence()),
	}
	n.mu.Lock()
	status.Admitting, status.Reason = n.freshness.Admission(now, n.listed)
	if !n.view.AcceptsNewWork(now) {
		status.Admitting, status.Reason = false, "node_leaving"
	}
	nodes := n.view.Nodes()
	n.mu.Unlock()
	for _, node := range nodes {
		s := operatorapi.NodeStatus{
			HostID:      string(node.Host),
			Address:     node.Address,
			DataCentre:  string(node.DataCentre),
			State:       node.State.String(),
			Incarnation: int64(node.Incarnation),
			Sequence:    int64(node.Sequence),
			InFlight:    node.InFlight,
		}
		if node.Host == n.host {
			s.Sequence, s.InFlight = status.Sequence, n.runs.inFlight()
		}
		status.Nodes = append(status.Nodes, s)
	}
	status.Backends = n.backendStatus()
	return status
}

func (n *Node) backendStatus() []operatorapi.BackendStatus {
	var backends []operatorapi.BackendStatus
	now := time.Now()
	n.backends.WithFleet(func(f *placement.Fleet) {
		for _, s := range f.Servers() {
			backends = append(backends, operatorapi.BackendStatus{
				BackendID:  string(s.ID),
				Kind:       s.Kind,
				DataCentre: string(s.DataCentre),
				State:      backendState(s, now),
				Models:     s.Load.Models,
				Running:    s.Load.Running,
				Waiting:    s.Load.Waiting,
			})
		}
	})
	slices.SortFunc(backends, func(a, b operatorapi.BackendStatus) int { return cmp.Compare(a.BackendID, b.BackendID) })
	return backends
}

func backendState(s *placement.Server, now time.Time) string {
	switch {
	case !s.Listed:
		return "unlisted"
	case s.ListLeaving || s.Load.Leaving:
		return "leaving"
	case s.Load.MeasuredAt.IsZero():
		return "unknown"
	case (placement.BreakerAllows{}).Refuse(nil, s, now) != "":
		return "failing"
	}
	return "live"
}
