package node

import (
	"context"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// maxRetryAfter limits, before jitter, the retry delay that a fully used node
// returns to callers. The capacity may be known to be in use for longer, but only
// because of a single burst.
const maxRetryAfter = 10 * time.Second

// Values of the setting copies.mode.
const (
	copiesAcknowledged = "acknowledged"
	copiesOff          = "off"
)

func (n *Node) continuationConfig() continuation.Config {
	config := continuation.DefaultConfig
	config.Weight = n.settings.Resume.Weight
	config.MaxAttempts = n.settings.Resume.MaxAttempts
	config.ReleaseAfterAck = n.settings.Copies.Mode == copiesAcknowledged
	return config
}

// backendUses returns this node's load on each backend server, for the
// heartbeats to peers.
func (n *Node) backendUses() []*nodepb.BackendUse {
	var uses []*nodepb.BackendUse
	n.backends.WithFleet(func(f *placement.Fleet) {
		for _, use := range f.OwnUsage() {
			uses = append(uses, &nodepb.BackendUse{
				BackendId:     string(use.Backend),
				Running:       int32(use.Running),
				WaitingTokens: use.WaitingTokens,
			})
		}
	})
	return uses
}

// observeUses records a peer's load on each backend server.
func (n *Node) observeUses(now time.Time, peer ident.HostID, messages []*nodepb.BackendUse) {
	uses := make([]placement.BackendUsage, 0, len(messages))
	for _, m := range messages {
		uses = append(uses, placement.BackendUsage{
			Backend:       ident.BackendID(m.GetBackendId()),
			Running:       int(m.GetRunning()),
			WaitingTokens: m.GetWaitingTokens(),
		})
	}
	n.backends.WithFleet(func(f *placement.Fleet) { f.ObservePeer(now, peer, uses) })
}

// ownCapacity returns the capacity that this node may use and the capacity of
// all backend servers. The own slots are all slots less those that other nodes
// use, but at least an equal part per listed host; both include capacityMargin.
// The rate is not divided.
func (n *Node) ownCapacity() (own, fleet admission.Capacity) {
	var slots, peers int
	var rate float64
	n.backends.WithFleet(func(f *placement.Fleet) {
		for _, s := range f.Servers() {
			if !s.Listed || s.Load.MaxRunning == 0 {
				continue
			}
			slots += s.Load.MaxRunning
			peers += max(s.Load.Running+s.Load.Waiting-s.OwnRunning(), 0)
			rate += float64(s.Load.MaxRunning) * s.Load.TokensPerSecond
		}
	})
	n.mu.Lock()
	nodes := max(len(n.listed), 1)
	n.mu.Unlock()
	free := float64(slots)*capacityMargin - float64(peers)
	equal := float64(slots) * capacityMargin / float64(nodes)
	mean := n.meanEstimateTokens()
	own = admission.Capacity{Slots: int64(max(free, equal) * mean), Rate: rate}
	fleet = admission.Capacity{Slots: int64(float64(slots) * mean), Rate: rate}
	return own, fleet
}

// meanEstimateWeight is the weight of one request in the moving average of
// estimates, which adapts to a change of load within about a hundred requests.
const meanEstimateWeight = 0.02

// meanEstimateTokens returns the mean estimate of a request in tokens, which
// converts engine slots to token slots. With a constant of 512 tokens and
// requests of 228 tokens, three nodes filled 64 slots with 180 requests.
func (n *Node) meanEstimateTokens() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.meanEstimate
}

// recordEstimate adds the estimate of a new request to the mean.
func (n *Node) recordEstimate(tokens int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meanEstimate += meanEstimateWeight * (float64(tokens) - n.meanEstimate)
}

// budgetStarted records in the retry budget that a generation begins or is
// taken over.
func (n *Node) budgetStarted() {
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	n.budget.Started(time.Now())
}

func (n *Node) budgetEnded() {
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	n.budget.Ended(time.Now())
}

// waitForRetryBudget waits until the retry budget permits a resume, or ctx
// ends.
func (n *Node) waitForRetryBudget(ctx context.Context) error {
	for {
		n.budgetMu.Lock()
		ok, wait := n.budget.Take(time.Now())
		n.budgetMu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}
