package node

import (
	"context"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	peernode "github.com/yuccahatch/yuccahatch/internal/peer/node"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// peerHandler handles the calls of other nodes.
type peerHandler Node

var _ peernode.Handler = (*peerHandler)(nil)

// Heartbeat implements peernode.Handler.
func (h *peerHandler) Heartbeat(_ context.Context, r *nodepb.HeartbeatRequest) (*nodepb.HeartbeatResponse, error) {
	n := (*Node)(h)
	n.observeHeartbeat(time.Time{}, r)
	loans := n.answerDemands(time.Now(), r)
	own := n.heartbeat(ident.HostID(r.GetSender().GetHostId()))
	return &nodepb.HeartbeatResponse{
		Sender:     own.GetSender(),
		Leaving:    own.GetLeaving(),
		Sequence:   own.GetSequence(),
		FreshAgeMs: own.GetFreshAgeMs(),
		InFlight:   own.GetInFlight(),
		Uses:       own.GetUses(),
		Loans:      loans,
		Evidence:   own.GetEvidence(),
	}, nil
}

// FetchContracts implements peernode.Handler.
func (h *peerHandler) FetchContracts(_ context.Context, r *nodepb.FetchContractsRequest) (*nodepb.FetchContractsResponse, error) {
	n := (*Node)(h)
	entries, through := n.contracts.Entries(ident.LogSequence(r.GetAfter()))
	answer := &nodepb.FetchContractsResponse{Sequence: int64(through)}
	for _, e := range entries {
		answer.Entries = append(answer.Entries, entryToProto(e))
	}
	return answer, nil
}

// PushContract implements peernode.Handler.
func (h *peerHandler) PushContract(_ context.Context, r *nodepb.PushContractRequest) (*nodepb.PushContractResponse, error) {
	n := (*Node)(h)
	entry := entryFromProto(r.GetEntry())
	n.recordAppliedContracts(n.contracts.Apply(entry), "push")
	return &nodepb.PushContractResponse{
		Sequence: int64(n.contracts.Sequence()),
		InForce:  n.contracts.CanAcknowledge(entry),
	}, nil
}

// FetchJournal implements peernode.Handler.
func (h *peerHandler) FetchJournal(_ context.Context, r *nodepb.FetchJournalRequest) (*nodepb.FetchJournalResponse, error) {
	return h.copies.Fetch(r), nil
}

// Release implements peernode.Handler.
func (h *peerHandler) Release(_ context.Context, r *nodepb.ReleaseRequest) (*nodepb.ReleaseResponse, error) {
	n := (*Node)(h)
	found, err := n.releaseLocal(ident.GenerationID(r.GetGenerationId()))
	if err != nil {
		return &nodepb.ReleaseResponse{}, nil
	}
	return &nodepb.ReleaseResponse{
		WasOwner: true,
		Head:     &nodepb.JournalHead{Route: found.Route, Body: found.Body},
		Tokens:   found.Tokens,
	}, nil
}

// ApplyJournals implements peernode.Handler.
func (h *peerHandler) ApplyJournals(batch *nodepb.JournalBatch) *nodepb.JournalAck {
	return h.copies.Apply(batch)
}

// acceptedBy reports whether a change is in force on a strict majority of the
// listed hosts.
func (n *Node) acceptedBy(inForce []ident.HostID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return contractset.Accepted(inForce, n.listed)
}
