package node

import (
	"context"
	"errors"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/takeover"
)

// openCursor decodes a cursor sent by a caller and verifies that it belongs to
// the caller's team. The error is the same for a malformed cursor and for one
// of another team, so that it does not reveal whether another team's answer
// exists.
func (n *Node) openCursor(access caller.Access, presented string) (cursor.Cursor, error) {
	cur, err := n.cursors.Decode(presented)
	if err != nil || cur.Team != access.Team {
		return cursor.Cursor{}, &caller.Failure{
			Code:    callerapi.CodeCursorInvalid,
			Param:   callerapi.HeaderLastEventID,
			Message: "the cursor was altered or does not belong to this customer",
		}
	}
	return cur, nil
}

func needsTextFailure() error {
	return &caller.Failure{
		Code:    callerapi.CodeCursorNeedsText,
		Param:   "received_text",
		Outcome: callerapi.OutcomePartial,
		Message: "no copy of the answer is left; repeat the request with the text that you received",
	}
}

// OriginalRequest implements caller.Gateway.
func (n *Node) OriginalRequest(ctx context.Context, access caller.Access, presented string) (string, []byte, error) {
	cur, err := n.openCursor(access, presented)
	if err != nil {
		return "", nil, err
	}
	found, err := n.newFinder().FindCopy(ctx, cur)
	if err != nil || len(found.Body) == 0 {
		return "", nil, needsTextFailure()
	}
	return found.Route, found.Body, nil
}

// Continue implements caller.Gateway.
func (n *Node) Continue(ctx context.Context, access caller.Access, request *caller.GenerationRequest, sink generation.Sink) (generation.Result, error) {
	cur, err := n.openCursor(access, request.Cursor)
	if err != nil {
		return generation.Result{}, err
	}
	if cur.RequestDigest != request.RequestDigest {
		return generation.Result{}, &caller.Failure{
			Code:    callerapi.CodeCursorInvalid,
			Param:   callerapi.HeaderLastEventID,
			Message: "the cursor belongs to another request",
		}
	}
	// A continuation belongs to a generation that was admitted earlier, so quiet
	// hours and limits do not apply to it. A node that is shutting down or
	// isolated still refuses it and returns the addresses of other nodes.
	if err := n.checkAcceptsWork(); err != nil {
		return generation.Result{}, err
	}
	inForce, err := n.authorizedContract(access)
	if err != nil {
		return generation.Result{}, err
	}
	start, err := n.newFinder().Find(ctx, cur, request.ReceivedText)
	if errors.Is(err, takeover.ErrTextRequired) {
		return generation.Result{}, needsTextFailure()
	}
	if err != nil {
		return generation.Result{}, err
	}
	run := n.newRequest(access, request, inForce.Contract.Priority)
	run.Generation = cur.Generation
	run.Request = cur.Request
	n.observer.recordTakeover(run, cur, start)
	return n.execute(ctx, run, start, sink)
}

func (n *Node) newFinder() *takeover.Finder {
	return &takeover.Finder{Peers: (*journalSources)(n), Engines: n.backends}
}

// journalSources reads journals from this node and from its peers.
type journalSources Node

var _ takeover.Peers = (*journalSources)(nil)

// Release implements takeover.Peers.
func (s *journalSources) Release(ctx context.Context, owner ident.HostID, id ident.GenerationID) (takeover.Copy, error) {
	n := (*Node)(s)
	if owner == n.host {
		return n.releaseLocal(id)
	}
	client, err := n.clientOf(owner)
	if err != nil {
		return takeover.Copy{}, err
	}
	answer, err := client.Release(ctx, &nodepb.ReleaseRequest{Sender: n.sender(), GenerationId: string(id)})
	if err != nil {
		return takeover.Copy{}, err
	}
	if !answer.GetWasOwner() {
		return takeover.Copy{}, takeover.ErrTextRequired
	}
	return newCopy(answer.GetHead(), answer.GetTokens(), ""), nil
}

// releaseLocal ends a generation that runs on this node and returns its
// journal.
func (n *Node) releaseLocal(id ident.GenerationID) (takeover.Copy, error) {
	run := n.runs.get(id)
	if run == nil {
		return takeover.Copy{}, takeover.ErrTextRequired
	}
	tokens, ok := run.TakeOver()
	if !ok {
		return takeover.Copy{}, takeover.ErrTextRequired
	}
	request := run.Request()
	return takeover.Copy{Tokens: tokens, Route: request.Route, Body: request.Body}, nil
}

// Fetch implements takeover.Peers.
func (s *journalSources) Fetch(ctx context.Context, replica ident.HostID, id ident.GenerationID) (takeover.Copy, error) {
	n := (*Node)(s)
	request := &nodepb.FetchJournalRequest{Sender: n.sender(), GenerationId: string(id)}
	if replica == n.host {
		return copyFromResponse(n.copies.Fetch(request))
	}
	client, err := n.clientOf(replica)
	if err != nil {
		return takeover.Copy{}, err
	}
	answer, err := client.FetchJournal(ctx, request)
	if err != nil {
		return takeover.Copy{}, err
	}
	return copyFromResponse(answer)
}

func copyFromResponse(answer *nodepb.FetchJournalResponse) (takeover.Copy, error) {
	if !answer.GetFound() {
		return takeover.Copy{}, takeover.ErrTextRequired
	}
	finished := ""
	if answer.GetFinished() {
		finished = answer.GetFinishReason()
	}
	return newCopy(answer.GetHead(), answer.GetTokens(), finished), nil
}

func newCopy(head *nodepb.JournalHead, tokens []string, finished string) takeover.Copy {
	return takeover.Copy{
		Tokens:       tokens,
		FinishReason: finished,
		Route:        head.GetRoute(),
		Body:         head.GetBody(),
	}
}
