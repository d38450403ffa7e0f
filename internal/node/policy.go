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

// maxRetryAfter bounds the time to come back that a full node states. Its
// capacity may be known for longer than that to be used up by one burst only.
const maxRetryAfter = 10 * time.Second

// Copy modes of the settings.
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

// backendUses tells peers what this node has on backend servers.
func (n *Node) backendUses() []*nodepb.BackendUse {
	var uses []*nodepb.BackendUse
	n.backends.Fleet(func(f *placement.Fleet) {
		for _, use := range f.Uses() {
			uses = append(uses, &nodepb.BackendUse{
				BackendId:     string(use.Backend),
				Running:       int32(use.Running),
				WaitingTokens: use.WaitingTokens,
			})
		}
	})
	return uses
}

// observeUses takes what a peer has on backend servers.
func (n *Node) observeUses(now time.Time, peer ident.HostID, messages []*nodepb.BackendUse) {
	uses := make([]placement.Use, 0, len(messages))
	for _, m := range messages {
		uses = append(uses, placement.Use{
			Backend:       ident.BackendID(m.GetBackendId()),
			Running:       int(m.GetRunning()),
			WaitingTokens: m.GetWaitingTokens(),
		})
	}
	n.backends.Fleet(func(f *placement.Fleet) { f.ObservePeer(now, peer, uses) })
}

// ownCapacity returns the capacity of all backend servers, and what they can take
// from this node: all slots less what other nodes use, at least an equal part.
func (n *Node) ownCapacity() (own, fleet admission.Capacity) {
	var slots, peers int
	var rate float64
	n.backends.Fleet(func(f *placement.Fleet) {
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
	mean := n.meanTokens()
	own = admission.Capacity{Slots: int64(max(free, equal) * mean), Rate: rate}
	fleet = admission.Capacity{Slots: int64(float64(slots) * mean), Rate: rate}
	return own, fleet
}

// meanEstimateWeight is the weight of one request in the mean estimate, which
// then follows a change of load within about a hundred requests.
const meanEstimateWeight = 0.02

// meanTokens is the mean estimate of a request in tokens, which turns engine
// slots into token slots. With a constant of 512 and requests of 228 tokens,
// three nodes filled 64 places with 180 requests.
func (n *Node) meanTokens() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.meanEstimate
}

// countEstimate takes a new request into the mean.
func (n *Node) countEstimate(tokens int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meanEstimate += meanEstimateWeight * (float64(tokens) - n.meanEstimate)
}

// budgetStarted records a generation that begins or is taken over.
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

// spendRetry waits until the retry budget permits a resume.
func (n *Node) spendRetry(ctx context.Context) error {
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
