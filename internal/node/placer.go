package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/gate"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

const (
	// expectedOutputTokens is the assumed number of output tokens in estimates.
	// max_tokens is only an upper bound, which most callers leave at its default.
	expectedOutputTokens = 512
	// promptTokensPerOutput is the number of prompt tokens that an engine
	// processes in the time of one output token of a full batch: 8,000 against
	// 1,088 tokens/s. Limits and capacity are in output tokens. With prompt tokens
	// counted in full, long prompts were refused while only 8 to 42 of the 64
	// engine slots were used.
	promptTokensPerOutput = 8
	// limitBurst is the burst of a team's limit: the time that an answer of
	// expectedOutputTokens takes at 17 tokens/s. It lets a team with an unused
	// limit fill its part of all slots at once; a burst of 1 s would refuse a ramp
	// of new streams while the engines are idle.
	limitBurst = 30 * time.Second
	// capacityMargin is the factor by which the admitted work may exceed the
	// engine slots. The short queue in the engines prevents them from running idle
	// because of the delay of load reports.
	capacityMargin = 1.1
)

// placer admits requests and selects their backend servers.
type placer struct{ node *Node }

var _ generation.Placer = placer{}

// Place implements generation.Placer.
func (p placer) Place(ctx context.Context, request *generation.Request, ask generation.PlacementRequest) (generation.Placement, error) {
	n := p.node
	if err := n.checkCrashes(request); err != nil {
		return generation.Placement{}, err
	}
	prompt := newPromptCost(request, ask)
	ticket, err := n.admitAttempt(ctx, request, ask, prompt)
	if err != nil {
		return generation.Placement{}, err
	}
	placed, err := n.choose(request, ask, prompt, ticket)
	if err != nil {
		ticket.Finished(0)
		return generation.Placement{}, err
	}
	return placed, nil
}

// promptCost is the size of an attempt's prompt and its prefix hashes, for
// admission and placement. The prompt includes the text accepted so far.
type promptCost struct {
	prefixes []uint64
	tokens   int
}

func newPromptCost(request *generation.Request, ask generation.PlacementRequest) promptCost {
	prefixes, tokens := placement.PrefixHashes(request.Prompt + ask.AcceptedText)
	return promptCost{prefixes, tokens}
}

// outputTokens returns the cost of the prompt in output tokens.
func (c promptCost) outputTokens() int { return c.tokens / promptTokensPerOutput }

// estimate returns the expected cost of the whole attempt in output tokens.
func (c promptCost) estimate(request *generation.Request) int {
	return c.outputTokens() + min(request.MaxTokens, expectedOutputTokens)
}

// admitAttempt waits until the attempt is admitted. A resumed attempt also
// needs the retry budget.
func (n *Node) admitAttempt(ctx context.Context, request *generation.Request, ask generation.PlacementRequest, prompt promptCost) (*gate.Ticket, error) {
	if ask.Resume {
		if err := n.waitForRetryBudget(ctx); err != nil {
			return nil, err
		}
	}
	estimate := prompt.estimate(request)
	n.recordEstimate(estimate)
	ticket, err := n.admit(ctx, request.Team, estimate, ask.Resume)
	if err != nil {
		return nil, err
	}
	if err := n.recheckContract(request, ask); err != nil {
		ticket.Finished(0)
		return nil, err
	}
	n.observer.Decision(request, "admitted", fmt.Sprintf("%d estimated tokens after %d ms", estimate, ticket.Waited.Milliseconds()))
	return ticket, nil
}

// choose selects the backend server for an admitted attempt.
func (n *Node) choose(request *generation.Request, ask generation.PlacementRequest, prompt promptCost, ticket *gate.Ticket) (generation.Placement, error) {
	chosen, err := n.backends.Choose(placement.Request{
		Model:        request.Model,
		PromptTokens: prompt.tokens,
		Prefixes:     prompt.prefixes,
		Resume:       ask.Resume,
		Weight:       n.settings.Resume.Weight,
		Exclude:      ask.Exclude,
	}, ask.Attempt, n.excludedBackends(request))
	if err != nil {
		if placement.CodeOf(err) == placement.CodeUnknownModel {
			n.unmetDemand.add(request.Model, prompt.estimate(request))
		}
		return generation.Placement{}, err
	}
	n.recordAttemptStarted(request, chosen.Backend, ask.Attempt)
	return generation.Placement{
		Backend:         chosen.Backend,
		FirstTokenLimit: n.detector(request.Model).FirstTokenLimit(chosen.Prefill),
		Release:         n.releaseFunc(ask.Attempt, chosen.Backend, ticket, prompt.outputTokens()),
	}, nil
}

// admit waits for admission. If a team is over this node's part of its limit,
// other nodes may have unused parts: admit requests loans from them once before
// it refuses. Without that, a burst through one of three nodes was refused
// while 5 of 8 engine slots were free.
func (n *Node) admit(ctx context.Context, team ident.Team, tokens int, resume bool) (*gate.Ticket, error) {
	if slots, _ := n.backends.Capacity(); slots == 0 && !resume {
		return nil, n.noCapacityFailure()
	}
	ticket, err := n.gate.Admit(ctx, team, tokens, resume)
	var refused *gate.RefusedError
	if err == nil || !errors.As(err, &refused) || refused.Reason != admission.ReasonOverShare {
		return ticket, err
	}
	if !n.requestLoans(ctx, team) {
		return nil, err
	}
	return n.gate.Admit(ctx, team, tokens, resume)
}

// noCapacityFailure returns the failure for a request that arrives while no
// engine has reported its capacity, because no engine is left or this node has
// just started. Other nodes may have load reports, so their addresses are
// included.
func (n *Node) noCapacityFailure() error {
	return &caller.Failure{
		Code:       callerapi.CodeBackendUnavailable,
		Message:    "no backend server has reported that it can run requests",
		RetryAfter: backendRetryAfter,
		Addresses:  n.otherAddresses(),
	}
}

// releaseFunc returns a function that releases the resources of an attempt. Calls
// after the first one have no effect.
func (n *Node) releaseFunc(attempt ident.AttemptID, id ident.BackendID, ticket *gate.Ticket, prompt int) func(generation.Outcome, int) {
	var once sync.Once
	return func(outcome generation.Outcome, tokens int) {
		once.Do(func() {
			used := prompt + tokens
			if outcome == generation.OutcomeUnused || outcome == generation.OutcomeRejected {
				used = 0
			}
			ticket.Finished(used)
			if outcome == generation.OutcomeDied {
				// Record the death before the attempt counts as ended and before its
				// replacement is placed.
				n.backends.Died(id)
			}
			n.backends.Finished(id, attempt, outcome)
			n.recordAttemptEnded(attempt, outcome)
		})
	}
}

// recheckQueued returns a refusal for a queued request whose team no longer has a
// contract, and nil for any other request. The admission controller calls it at
// dispatch.
func (n *Node) recheckQueued(_ time.Time, item admission.Item) *admission.Refusal {
	if _, err := n.contractOf(item.Team); err != nil {
		return &admission.Refusal{Reason: admission.ReasonContractEnded}
	}
	return nil
}

// recheckContract refuses a new request if, while it was queued, its team lost
// its contract or quiet hours began. Resumed attempts are exempt.
func (n *Node) recheckContract(request *generation.Request, ask generation.PlacementRequest) error {
	if ask.Resume {
		return nil
	}
	inForce, err := n.contractOf(request.Team)
	if err != nil {
		return err
	}
	return quietHoursFailure(inForce.Contract, "model:"+request.Model, time.Now())
}

// admissionClass maps contract priorities to admission priorities.
var admissionClass = map[contract.Priority]admission.Priority{
	contract.PriorityHigh:   admission.High,
	contract.PriorityNormal: admission.Normal,
	contract.PriorityLow:    admission.Low,
}

// updateAdmission passes the current capacity and the limits of all contracts
// to the gate.
func (n *Node) updateAdmission() {
	capacity, fleet := n.ownCapacity()
	inForce := n.contracts.All()
	n.gate.Update(func(now time.Time, c *admission.Controller) []admission.Outcome {
		c.SetCapacity(capacity)
		for _, f := range inForce {
			if f.Contract == nil {
				continue
			}
			rate, slots := n.teamLimits(now, c, f.Entry.Team, f.Contract.SharePercent, fleet)
			limits := admission.Limits{
				Priority: admissionClass[f.Contract.Priority],
				Weight:   math.Max(f.Contract.SharePercent, 0.1),
				Rate:     rate,
				Slots:    slots,
			}
			// The limits come from a validated contract, so SetTeam does not fail.
			_ = c.SetTeam(now, f.Entry.Team, limits)
		}
		return nil
	})
}
