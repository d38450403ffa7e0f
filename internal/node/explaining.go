package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/explain"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/membership"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/peer/operator"
)

const (
	// explainTimeout limits the queries to other nodes and to the object store.
	explainTimeout = 2 * time.Second
	// maxAnswerTraceBytes limits the traces in the response to another node. It is
	// well below the message size limit.
	maxAnswerTraceBytes = 16 << 20
)

// Explain implements peernode.Handler.
func (h *peerHandler) Explain(_ context.Context, r *nodepb.ExplainRequest) (*nodepb.ExplainResponse, error) {
	answer := &nodepb.ExplainResponse{}
	request := ident.RequestID(r.GetRequestId())
	for _, record := range h.explain.Get(request) {
		answer.Customer = string(record.Team)
		for _, d := range record.Decisions {
			answer.Decisions = append(answer.Decisions, &nodepb.Decision{
				AtMs:   d.At.UnixMilli(),
				HostId: string(d.Host),
				Event:  d.Event,
				Detail: d.Detail,
			})
		}
	}
	if r.GetTraces() {
		bytes := 0
		for _, t := range h.traces.Get(request) {
			if bytes += len(t.Text); bytes > maxAnswerTraceBytes {
				break
			}
			answer.Traces = append(answer.Traces, t.Text)
		}
	}
	return answer, nil
}

// Explain implements operator.Backend. It queries all nodes, because another
// node may have continued the request, and the object store, because a node
// that served the request may no longer exist.
func (b operatorBackend) Explain(ctx context.Context, request ident.RequestID) (operatorapi.Explanation, error) {
	explanation := operatorapi.Explanation{RequestID: string(request)}
	answers, stored, err := b.node.queryAll(ctx, request, false)
	decisions := [][]explain.Decision{}
	for _, record := range stored.Records {
		explanation.Customer = string(record.Team)
		decisions = append(decisions, record.Decisions)
	}
	for _, answer := range answers {
		if answer.GetCustomer() != "" {
			explanation.Customer = answer.GetCustomer()
		}
		decisions = append(decisions, decisionsOf(answer))
	}
	for _, d := range explain.MergeDecisions(decisions...) {
		explanation.Decisions = append(explanation.Decisions, operatorapi.Decision{At: d.At, HostID: string(d.Host), Event: d.Event, Detail: d.Detail})
	}
	if len(explanation.Decisions) > 0 {
		return explanation, nil
	}
	return explanation, notFoundError(request, err)
}

// notFoundError returns the error for a request without any record. If the
// object store did not answer, the error says so, because the store may hold
// the record.
func notFoundError(request ident.RequestID, storeErr error) error {
	if storeErr != nil {
		return operator.NewError(operator.CodeStoreUnavailable, "no node remembers request %q and the object store did not answer", request)
	}
	return operator.NewError(operator.CodeNotFound, "nothing is known about request %q", request)
}

func decisionsOf(answer *nodepb.ExplainResponse) []explain.Decision {
	var decisions []explain.Decision
	for _, d := range answer.GetDecisions() {
		decisions = append(decisions, explain.Decision{
			At:     time.UnixMilli(d.GetAtMs()),
			Host:   ident.HostID(d.GetHostId()),
			Event:  d.GetEvent(),
			Detail: d.GetDetail(),
		})
	}
	return decisions
}

// Trace implements operator.Backend.
func (b operatorBackend) Trace(ctx context.Context, request ident.RequestID) ([]byte, error) {
	answers, stored, err := b.node.queryAll(ctx, request, true)
	var sources [][]explain.Trace
	for _, record := range stored.Records {
		sources = append(sources, record.Traces)
	}
	for _, answer := range answers {
		// Skip traces of a node of another version that cannot be parsed here.
		if traces, err := explain.ParseTraces(strings.Join(answer.GetTraces(), "")); err == nil {
			sources = append(sources, traces)
		}
	}
	var lines []byte
	for _, t := range explain.MergeTraces(sources...) {
		lines = append(lines, t.Text...)
	}
	if len(lines) == 0 {
		return nil, notFoundError(request, err)
	}
	return lines, nil
}

// queryAll queries all usable nodes and the object store concurrently. The
// error is that of the object store.
func (n *Node) queryAll(ctx context.Context, request ident.RequestID, traces bool) ([]*nodepb.ExplainResponse, explain.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	type loaded struct {
		document explain.Document
		err      error
	}
	stored := make(chan loaded, 1)
	go func() {
		document, err := n.archive.Load(ctx, request)
		stored <- loaded{document, err}
	}()
	query := &nodepb.ExplainRequest{Sender: n.sender(), RequestId: string(request), Traces: traces}
	answers := n.queryNodes(ctx, query)
	found := <-stored
	return answers, found.document, found.err
}

// queryNodes queries this node and, concurrently, all other usable nodes. An
// entry is nil if that node did not answer.
func (n *Node) queryNodes(ctx context.Context, query *nodepb.ExplainRequest) []*nodepb.ExplainResponse {
	n.mu.Lock()
	nodes := n.view.Nodes()
	n.mu.Unlock()
	nodes = slices.DeleteFunc(slices.Clone(nodes), func(peer membership.Node) bool {
		return peer.Host == n.host || peer.State == membership.Dead || peer.State == membership.Left
	})
	answers := make(chan *nodepb.ExplainResponse, len(nodes))
	for _, peer := range nodes {
		go func() { answers <- n.queryNode(ctx, peer.Address, query) }()
	}
	own, _ := (*peerHandler)(n).Explain(ctx, query)
	all := []*nodepb.ExplainResponse{own}
	for range nodes {
		all = append(all, <-answers)
	}
	return all
}

// queryNode returns nil if the node does not answer.
func (n *Node) queryNode(ctx context.Context, address string, query *nodepb.ExplainRequest) *nodepb.ExplainResponse {
	client, err := n.peers.Client(address)
	if err != nil {
		return nil
	}
	answer, err := client.Explain(ctx, query)
	if err != nil {
		return nil
	}
	return answer
}

// hostCount returns the number of listed hosts.
func (n *Node) hostCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.listed)
}
