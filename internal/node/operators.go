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
	"github.com/yuccahatch/yuccahatch/internal/peer/operator"
)

const (
	// historyLimit and auditPageLimit are the maximum numbers of entries in an
	// answer to an operator.
	historyLimit   = 100
	auditPageLimit = 200
	// keyNameHexDigits is the number of leading hex digits of a key's hash that
	// identify the key in the audit trail.
	keyNameHexDigits = 8
)

// operatorBackend implements the operations of the operator API.
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
			continue // rejected by the validation of the settings
		}
		config.Keys = append(config.Keys, operator.Key{
			Name: "operator-" + digits[:keyNameHexDigits],
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
	n.recordAppliedContracts(n.contracts.Apply(entry), "put")
	if !n.contracts.CanAcknowledge(entry) {
		// This node lacks earlier changes. It has to apply them first, or its own
		// acknowledgement would not count.
		n.pollContracts(ctx)
	}
	inForce, pending := n.pushContract(ctx, entry)
	accepted := n.acceptedBy(inForce)
	if accepted {
		n.trail.Record(operatorapi.AuditRecord{
			At: time.Now(), Actor: change.Actor, HostID: string(n.host), Action: audit.ActionPut, Customer: string(entry.Team),
			From: int64(entry.Version) - 1, To: int64(entry.Version), Outcome: audit.OutcomeAccepted,
		})
	}
	return operatorapi.PutResult{
		Contract: contractResponse(entry),
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

func contractResponse(e contractset.Entry) operatorapi.Contract {
	return operatorapi.Contract{
		Customer:  string(e.Team),
		Version:   int64(e.Version),
		Sequence:  int64(e.Sequence),
		Document:  e.Document,
		ChangedBy: e.ChangedBy,
		ChangedAt: e.ChangedAt,
		ChangeID:  e.ChangeID,
	}
}

// Contract implements operator.Backend.
func (b operatorBackend) Contract(_ context.Context, team ident.Team) (operatorapi.Contract, error) {
	inForce, ok := b.node.contracts.Contract(team)
	if !ok {
		return operatorapi.Contract{}, operator.NewError(operator.CodeNotFound, "customer %q has no contract", team)
	}
	return contractResponse(inForce.Entry), nil
}

// Contracts implements operator.Backend.
func (b operatorBackend) Contracts(context.Context) (operatorapi.ContractList, error) {
	list := operatorapi.ContractList{
		Sequence:  int64(b.node.contracts.Sequence()),
		Contracts: []operatorapi.Contract{},
	}
	for _, inForce := range b.node.contracts.All() {
		list.Contracts = append(list.Contracts, contractResponse(inForce.Entry))
	}
	return list, nil
}

// History implements operator.Backend.
func (b operatorBackend) History(ctx context.Context, team ident.Team) (operatorapi.ContractList, error) {
	entries, err := b.node.log.History(ctx, team, historyLimit)
	if err != nil {
		return operatorapi.ContractList{}, err
	}
	list := operatorapi.ContractList{
		Sequence:  int64(b.node.contracts.Sequence()),
		Contracts: []operatorapi.Contract{},
	}
	for _, e := range entries {
		list.Contracts = append(list.Contracts, contractResponse(e))
	}
	return list, nil
}

// Status implements operator.Backend.
func (b operatorBackend) Status(context.Context) (operatorapi.Status, error) {
	return b.node.status(), nil
}

// Audit implements operator.Backend.
func (b operatorBackend) Audit(ctx context.Context, team ident.Team, after time.Time) (operatorapi.AuditPage, error) {
	return audit.Page(ctx, b.node.table, string(team), after, auditPageLimit)
}
