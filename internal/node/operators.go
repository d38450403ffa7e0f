package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/audit"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/membership"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/peer/operator"
)

const (
	// historyLimit and auditPageLimit bound answers to operators.
	historyLimit   = 100
	auditPageLimit = 200
	// explainTimeout bounds the question to other nodes.
	explainTimeout = 2 * time.Second
	// keyNameDigits is how much of a key's hash names it in the audit trail.
	keyNameDigits = 8
)

// operatorBackend does what operators ask for.
type operatorBackend struct{ node *Node }

var _ operator.Backend = operatorBackend{}

func (n *Node) operatorConfig() operator.Config {
	config := operator.Config{
		Backend: operatorBackend{n},
		Metrics: n.metricsPage,
		Log:     n.logger,
		Ready: func() (bool, string) {
			status := n.status()
			return status.Admitting, status.Reason
		},
	}
	for _, text := range n.settings.Security.OperatorKeyHashes {
		digits := strings.TrimPrefix(text, "sha256:")
		raw, err := hex.DecodeString(digits)
		if err != nil || len(raw) != sha256.Size {
			continue // settings refuse such a hash
		}
		config.Keys = append(config.Keys, operator.Key{
			Name: "operator-" + digits[:keyNameDigits],
			Hash: [sha256.Size]byte(raw),
		})
	}
	return config
}

// PutContract implements operator.Backend.
func (b operatorBackend) PutContract(ctx context.Context, change operator.Change) (operatorapi.PutResult, error) {
	n := b.node
	entry, err := n.log.Put(ctx, change.Document, change.Base, change.ChangeID, change.Actor)
	if err != nil {
		return operatorapi.PutResult{}, err
	}
	n.contractsApplied(n.contracts.Apply(entry), "put")
	if !n.contracts.Acknowledges(entry) {
		// Earlier changes are missing here; without them the push would count
		// for nothing.
		n.followContracts(ctx)
	}
	inForce, pending := n.push(ctx, entry)
	accepted := n.acceptedBy(inForce)
	if accepted {
		n.trail.Record(operatorapi.AuditRecord{
			At: time.Now(), Actor: change.Actor, HostID: string(n.host), Action: audit.ActionPut, Customer: string(entry.Customer),
			From: int64(entry.Version) - 1, To: int64(entry.Version), Outcome: audit.OutcomeAccepted,
		})
	}
	return operatorapi.PutResult{
		Contract: contractOf(entry),
		Accepted: accepted,
		InForce:  hostNames(inForce),
		Pending:  hostNames(pending),
	}, nil
}

func hostNames(hosts []ident.HostID) []string {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, string(h))
	}
	slices.Sort(names)
	return names
}

func contractOf(e contractset.Entry) operatorapi.Contract {
	return operatorapi.Contract{
		Customer:  string(e.Customer),
		Version:   int64(e.Version),
		Sequence:  int64(e.Sequence),
		Document:  e.Document,
		ChangedBy: e.ChangedBy,
		ChangedAt: e.ChangedAt,
		ChangeID:  e.ChangeID,
	}
}

// Contract implements operator.Backend.
func (b operatorBackend) Contract(_ context.Context, customer ident.Customer) (operatorapi.Contract, error) {
	inForce, ok := b.node.contracts.Contract(customer)
	if !ok {
		return operatorapi.Contract{}, operator.NewError(operator.CodeNotFound, "customer %q has no contract", customer)
	}
	return contractOf(inForce.Entry), nil
}

// Contracts implements operator.Backend.
func (b operatorBackend) Contracts(context.Context) (operatorapi.ContractList, error) {
	list := operatorapi.ContractList{
		Sequence:  int64(b.node.contracts.Sequence()),
		Contracts: []operatorapi.Contract{},
	}
	for _, inForce := range b.node.contracts.All() {
		list.Contracts = append(list.Contracts, contractOf(inForce.Entry))
	}
	return list, nil
}

// History implements operator.Backend.
func (b operatorBackend) History(ctx context.Context, customer ident.Customer) (operatorapi.ContractList, error) {
	entries, err := b.node.log.History(ctx, customer, historyLimit)
	if err != nil {
		return operatorapi.ContractList{}, err
	}
	list := operatorapi.ContractList{
		Sequence:  int64(b.node.contracts.Sequence()),
		Contracts: []operatorapi.Contract{},
	}
	for _, e := range entries {
		list.Contracts = append(list.Contracts, contractOf(e))
	}
	return list, nil
}

// Status implements operator.Backend.
func (b operatorBackend) Status(context.Context) (operatorapi.Status, error) {
	return b.node.status(), nil
}

// Audit implements operator.Backend.
func (b operatorBackend) Audit(ctx context.Context, customer ident.Customer, after time.Time) (operatorapi.AuditPage, error) {
	return audit.Page(ctx, b.node.table, string(customer), after, auditPageLimit)
}

// Explain implements operator.Backend. It asks all nodes, since a request may
// have been continued by another one.
func (b operatorBackend) Explain(ctx context.Context, request ident.RequestID) (operatorapi.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	explanation := operatorapi.Explanation{RequestID: string(request)}
	for _, answer := range b.node.askExplain(ctx, request) {
		if answer.GetCustomer() != "" {
			explanation.Customer = answer.GetCustomer()
		}
		for _, d := range answer.GetDecisions() {
			explanation.Decisions = append(explanation.Decisions, operatorapi.Decision{
				At:     time.UnixMilli(d.GetAtMs()).UTC(),
				HostID: d.GetHostId(),
				Event:  d.GetEvent(),
				Detail: d.GetDetail(),
			})
		}
	}
	if len(explanation.Decisions) == 0 {
		return explanation, operator.NewError(operator.CodeNotFound, "no node remembers request %q", request)
	}
	slices.SortStableFunc(explanation.Decisions, func(a, c operatorapi.Decision) int { return a.At.Compare(c.At) })
	return explanation, nil
}

// askExplain asks all usable nodes at once.
func (n *Node) askExplain(ctx context.Context, request ident.RequestID) []*nodepb.ExplainResponse {
	n.mu.Lock()
	nodes := n.view.Nodes()
	n.mu.Unlock()
	question := &nodepb.ExplainRequest{Sender: n.sender(), RequestId: string(request)}
	own, _ := (*peerHandler)(n).Explain(ctx, question)
	answers := make(chan *nodepb.ExplainResponse, len(nodes))
	asked := 0
	for _, peer := range nodes {
		if peer.Host == n.host || peer.State == membership.Dead || peer.State == membership.Left {
			continue
		}
		asked++
		go func() { answers <- n.explainFrom(ctx, peer.Address, question) }()
	}
	all := []*nodepb.ExplainResponse{own}
	for range asked {
		all = append(all, <-answers)
	}
	return all
}

// explainFrom returns nil if the node does not answer.
func (n *Node) explainFrom(ctx context.Context, address string, question *nodepb.ExplainRequest) *nodepb.ExplainResponse {
	client, err := n.peers.Client(address)
	if err != nil {
		return nil
	}
	answer, err := client.Explain(ctx, question)
	if err != nil {
		return nil
	}
	return answer
}
