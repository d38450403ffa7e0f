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

// openCursor decodes a presented cursor and checks whose it is. The error does
// not tell whether another team's answer exists.
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

func needsText() error {
	return &caller.Failure{
		Code:    callerapi.CodeCursorNeedsText,
		Param:   "received_text",
		Outcome: callerapi.OutcomePartial,
		Message: "no copy of the answer is left; repeat the request with the text that you received",
	}
}

// Recall implements caller.Gateway.
func (n *Node) Recall(ctx context.Context, access caller.Access, presented string) (string, []byte, error) {
	cur, err := n.openCursor(access, presented)
	if err != nil {
		return "", nil, err
	}
	found, err := n.finder().FindCopy(ctx, cur)
	if err != nil || len(found.Body) == 0 {
		return "", nil, needsText()
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
	// The rest of an answer is work that was admitted before: quiet hours and
	// limits do not cut it off. A node that leaves still sends the caller on.
	if err := n.mayTakeWork(); err != nil {
		return generation.Result{}, err
	}
	inForce, err := n.contractFor(access)
	if err != nil {
		return generation.Result{}, err
	}
	start, err := n.finder().Find(ctx, cur, request.ReceivedText)
	if errors.Is(err, takeover.ErrNeedsText) {
		return generation.Result{}, needsText()
	}
	if err != nil {
		return generation.Result{}, err
	}
	run := n.newRequest(access, request, inForce.Contract.Priority)
	run.Generation = cur.Generation
	run.Request = cur.Request
	n.observer.takenOver(run, cur, start)
	return n.execute(ctx, run, start, sink)
}

func (n *Node) finder() *takeover.Finder {
	return &takeover.Finder{Peers: (*copySources)(n), Engines: n.backends}
}

// copySources reads journals from this node and from others.
type copySources Node

var _ takeover.Peers = (*copySources)(nil)

// Release implements takeover.Peers.
func (s *copySources) Release(ctx context.Context, owner ident.HostID, id ident.GenerationID) (takeover.Copy, error) {
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
		return takeover.Copy{}, takeover.ErrNeedsText
	}
	return copyOf(answer.GetHead(), answer.GetTokens(), ""), nil
}

// releaseLocal ends a generation of this node and returns its journal.
func (n *Node) releaseLocal(id ident.GenerationID) (takeover.Copy, error) {
	run := n.runs.get(id)
	if run == nil {
		return takeover.Copy{}, takeover.ErrNeedsText
	}
	tokens, ok := run.TakeOver()
	if !ok {
		return takeover.Copy{}, takeover.ErrNeedsText
	}
	request := run.Request()
	return takeover.Copy{Tokens: tokens, Route: request.Route, Body: request.Body}, nil
}

// Fetch implements takeover.Peers.
func (s *copySources) Fetch(ctx context.Context, replica ident.HostID, id ident.GenerationID) (takeover.Copy, error) {
	n := (*Node)(s)
	request := &nodepb.FetchJournalRequest{Sender: n.sender(), GenerationId: string(id)}
	if replica == n.host {
		return copyOfAnswer(n.copies.Fetch(request))
	}
	client, err := n.clientOf(replica)
	if err != nil {
		return takeover.Copy{}, err
	}
	answer, err := client.FetchJournal(ctx, request)
	if err != nil {
		return takeover.Copy{}, err
	}
	return copyOfAnswer(answer)
}

func copyOfAnswer(answer *nodepb.FetchJournalResponse) (takeover.Copy, error) {
	if !answer.GetFound() {
		return takeover.Copy{}, takeover.ErrNeedsText
	}
	finished := ""
	if answer.GetFinished() {
		finished = answer.GetFinishReason()
	}
	return copyOf(answer.GetHead(), answer.GetTokens(), finished), nil
}

func copyOf(head *nodepb.JournalHead, tokens []string, finished string) takeover.Copy {
	return takeover.Copy{
		Tokens:   tokens,
		Finished: finished,
		Route:    head.GetRoute(),
		Body:     head.GetBody(),
	}
}
