package node

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

// addressLifetime is how long callers may use a list of node addresses. It is
// longer than the time for which a leaving node still accepts work
// (leave.grace, 2 s by default), so the node refuses later callers and returns
// the addresses of other nodes.
const addressLifetime = 5 * time.Second

var _ caller.Gateway = (*Node)(nil)

// Authenticate implements caller.Gateway.
func (n *Node) Authenticate(key string) (caller.Access, error) {
	if key == "" {
		return caller.Access{}, &caller.Failure{Code: callerapi.CodeInvalidAPIKey, Message: "no bearer key was sent"}
	}
	hash := contract.HashKey(key)
	inForce, ok := n.contracts.ByKeyHash(hash)
	if !ok {
		// The key may belong to a contract that this node has not read yet, and a
		// caller whose key is reported as invalid does not retry. An isolated node
		// therefore reports its isolation instead.
		if err := n.isolationFailure(time.Now()); err != nil {
			return caller.Access{}, err
		}
		return caller.Access{}, unknownKeyFailure()
	}
	return caller.Access{Team: inForce.Entry.Team, KeyHash: hash}, nil
}

func unknownKeyFailure() error {
	return &caller.Failure{Code: callerapi.CodeInvalidAPIKey, Message: "the bearer key is not in any contract"}
}

// Addresses implements caller.Gateway.
func (n *Node) Addresses(remote string) callerapi.Addresses {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	// The seed varies by caller and over time, so that callers spread over the
	// nodes.
	seed := xxh3.HashString(host) + uint64(time.Now().UnixNano())
	answer := callerapi.Addresses{
		Addresses:       []callerapi.Address{},
		LifetimeSeconds: int(addressLifetime / time.Second),
	}
	n.mu.Lock()
	nodes := n.view.Addresses(time.Now(), n.dataCentre, seed)
	n.mu.Unlock()
	for _, node := range nodes {
		answer.Addresses = append(answer.Addresses, callerapi.Address{
			Address:    node.CallerAddress,
			DataCentre: string(node.DataCentre),
		})
	}
	return answer
}

// otherAddresses returns the addresses of other nodes, to be sent with a
// refusal.
func (n *Node) otherAddresses() []callerapi.Address {
	addresses := n.Addresses("").Addresses
	own := n.settings.Listen.Callers.String()
	return slices.DeleteFunc(addresses, func(a callerapi.Address) bool { return a.Address == own })
}

// Models implements caller.Gateway.
func (n *Node) Models(access caller.Access) []string {
	inForce, ok := n.contracts.Contract(access.Team)
	if !ok || inForce.Contract == nil {
		return nil
	}
	_, served := n.backends.Capacity()
	var models []string
	for model := range served {
		if inForce.Contract.AllowsModel(model) {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// checkAcceptsWork returns a failure if the node is shutting down and no longer
// accepts work, or is isolated.
func (n *Node) checkAcceptsWork() error {
	now := time.Now()
	n.mu.Lock()
	accepts := n.view.AcceptsNewWork(now)
	n.mu.Unlock()
	if !accepts {
		return &caller.Failure{
			Code:       callerapi.CodeNodeLeaving,
			Message:    "this node is shutting down",
			RetryAfter: time.Millisecond,
			Addresses:  n.otherAddresses(),
		}
	}
	return n.isolationFailure(now)
}

// isolationFailure returns a failure if the node cannot prove that its
// contracts are current.
func (n *Node) isolationFailure(now time.Time) error {
	n.mu.Lock()
	admitting, reason := n.freshness.Admission(now, n.listed)
	n.mu.Unlock()
	if admitting {
		return nil
	}
	return &caller.Failure{
		Code:       callerapi.CodeNodeIsolated,
		Message:    "this node cannot prove that its contracts are current: " + reason,
		RetryAfter: backendRetryAfter,
		Addresses:  n.otherAddresses(),
	}
}

// contractOf returns the team's contract in force.
func (n *Node) contractOf(team ident.Team) (*contractset.CurrentContract, error) {
	inForce, ok := n.contracts.Contract(team)
	if !ok || inForce.Contract == nil {
		return nil, &caller.Failure{
			Code:    callerapi.CodeNoContract,
			Message: fmt.Sprintf("customer %q has no contract that this node can apply", team),
		}
	}
	return inForce, nil
}

// authorizedContract returns the contract in force of an authenticated caller.
// It must be called after checkAcceptsWork, so that the contract is at least as
// new as the proof of freshness. It looks the key up again, because the key was
// accepted before that proof and the contract may have changed since.
func (n *Node) authorizedContract(access caller.Access) (*contractset.CurrentContract, error) {
	inForce, err := n.contractOf(access.Team)
	if err != nil {
		return nil, err
	}
	if holder, ok := n.contracts.ByKeyHash(access.KeyHash); !ok || holder.Entry.Team != access.Team {
		return nil, unknownKeyFailure()
	}
	return inForce, nil
}

// quietHoursFailure returns a failure if the contract has quiet hours for the
// target at the given time.
func quietHoursFailure(c *contract.Contract, target string, now time.Time) error {
	until, quiet := c.QuietUntil(target, now)
	if !quiet {
		return nil
	}
	return &caller.Failure{
		Code:       callerapi.CodeQuietHours,
		Message:    fmt.Sprintf("quiet hours for %s until %s", target, until.Format(time.RFC3339)),
		RetryAfter: until.Sub(now),
	}
}

// checkGeneration returns the contract for a new generation, or a failure if
// the generation must not run.
func (n *Node) checkGeneration(access caller.Access, request *caller.GenerationRequest) (*contractset.CurrentContract, error) {
	if err := n.checkAcceptsWork(); err != nil {
		return nil, err
	}
	inForce, err := n.authorizedContract(access)
	if err != nil {
		return nil, err
	}
	if !inForce.Contract.AllowsModel(request.Model) {
		return nil, &caller.Failure{
			Code:    callerapi.CodeUnknownModel,
			Param:   "model",
			Message: fmt.Sprintf("the contract does not allow model %q", request.Model),
		}
	}
	return inForce, quietHoursFailure(inForce.Contract, "model:"+request.Model, time.Now())
}

// Generate implements caller.Gateway.
func (n *Node) Generate(ctx context.Context, access caller.Access, request *caller.GenerationRequest, sink generation.Sink) (generation.Result, error) {
	inForce, err := n.checkGeneration(access, request)
	if err != nil {
		n.recordRefusal(access, request.Request, err)
		return generation.Result{}, err
	}
	run := n.newRequest(access, request, inForce.Contract.Priority)
	run.Generation = ident.NewGenerationID()
	return n.execute(ctx, run, generation.StartState{}, sink)
}

// newRequest converts a caller's request to a request of package generation.
// The generation ID is left empty.
func (n *Node) newRequest(access caller.Access, request *caller.GenerationRequest, priority contract.Priority) *generation.Request {
	return &generation.Request{
		Request:       request.Request,
		Team:          access.Team,
		Route:         request.Route,
		Body:          request.Body,
		RequestDigest: request.RequestDigest,
		Model:         request.Model,
		Prompt:        request.Prompt,
		MaxTokens:     request.MaxTokens,
		Priority:      enginePriority[priority],
		Fingerprint:   quarantine.FingerprintOf(access.Team, request.Body),
	}
}

// enginePriority maps contract priorities to the priorities that engines use to
// order requests.
var enginePriority = map[contract.Priority]int{
	contract.PriorityLow:    0,
	contract.PriorityNormal: 10,
	contract.PriorityHigh:   20,
}

// execute runs a generation until it ends and records the result.
func (n *Node) execute(ctx context.Context, request *generation.Request, start generation.StartState, sink generation.Sink) (generation.Result, error) {
	run := generation.New(n.generationDeps(), request, start, sink)
	n.runs.add(request.Generation, run)
	defer n.runs.remove(request.Generation, run)
	n.budgetStarted()
	defer n.budgetEnded()
	result := run.Execute(ctx)
	err := resultFailure(result)
	n.observer.recordEnd(request, result, err)
	return result, err
}
