package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/idempotent"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

const (
	// callTimeout limits one call to a plain service.
	callTimeout = 30 * time.Second
	// maxCallAttempts is the number of backend servers tried for an idempotent
	// call.
	maxCallAttempts = 2
)

// Call implements caller.Gateway.
func (n *Node) Call(ctx context.Context, access caller.Access, call *caller.ServiceCall) (caller.ServiceResponse, error) {
	n.runs.callStarted()
	defer n.runs.callEnded()
	refusal := n.checkAcceptsWork()
	inForce, err := n.authorizedContract(access)
	if err != nil {
		return caller.ServiceResponse{}, err
	}
	if refusal == nil {
		refusal = quietHoursFailure(inForce.Contract, "service:"+call.Service, time.Now())
	}
	if inForce.Contract.IsNonIdempotent(call.Service, call.Method, call.CleanPath) {
		return n.callOnce(ctx, access, call, refusal)
	}
	if refusal != nil {
		n.recordRefusal(access, call.Request, refusal)
		return caller.ServiceResponse{}, refusal
	}
	return n.callIdempotent(ctx, call)
}

// callOnce runs a non-idempotent call at most once. A retry receives the stored
// result of an earlier attempt even if the node currently refuses new work, so
// the refusal is passed on to the executor instead of being returned here.
func (n *Node) callOnce(ctx context.Context, access caller.Access, call *caller.ServiceCall, refusal error) (caller.ServiceResponse, error) {
	if call.IdempotencyKey == "" {
		return caller.ServiceResponse{}, &caller.Failure{
			Code:    callerapi.CodeKeyRequired,
			Param:   callerapi.HeaderIdempotencyKey,
			Message: fmt.Sprintf("the contract requires an Idempotency-Key for %s on service %q", call.Method, call.Service),
		}
	}
	request := idempotent.Call{
		Team:      access.Team,
		Key:       call.IdempotencyKey,
		RequestID: call.Request,
		Service:   call.Service,
		Method:    call.Method,
		Path:      pathAndQuery(call),
		Header:    call.Header,
		Body:      call.Body,
	}
	var refused *caller.Failure
	if errors.As(refusal, &refused) {
		request.Refusal = refused.Code
		request.RetryAfter = refused.RetryAfter
	}
	response, err := n.calls.Execute(ctx, request)
	if failure, ok := idempotent.FailureOf(err); ok {
		return caller.ServiceResponse{}, n.callFailure(access, call, failure, refused)
	}
	if err != nil {
		return caller.ServiceResponse{}, err
	}
	n.observer.explain.Add(time.Now(), access.Team, call.Request, "answered", fmt.Sprintf("status %d, stored by an earlier attempt: %t", response.Status, response.Replayed))
	return caller.ServiceResponse{
		Status:   response.Status,
		Header:   response.Header,
		Body:     response.Body,
		Replayed: response.Replayed,
	}, nil
}

// callFailure converts the failure of a non-idempotent call to the failure that
// the caller receives.
func (n *Node) callFailure(access caller.Access, call *caller.ServiceCall, failure idempotent.Failure, refused *caller.Failure) error {
	answer := &caller.Failure{
		Code:       failure.Code,
		Message:    "the call was not answered: " + string(failure.Code),
		Outcome:    failure.Outcome,
		RetryAfter: failure.RetryAfter,
	}
	if refused != nil && refused.Code == failure.Code {
		answer.Message = refused.Message
		answer.Addresses = refused.Addresses
	}
	n.recordRefusal(access, call.Request, answer)
	return answer
}

// callIdempotent sends a call to one backend server and, if that fails, to
// another one.
func (n *Node) callIdempotent(ctx context.Context, call *caller.ServiceCall) (caller.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var exclude []ident.BackendID
	for range maxCallAttempts {
		answer, id, err := n.sendCall(ctx, call.Service, backend.Call{
			Method: call.Method,
			Path:   pathAndQuery(call),
			Header: serviceHeader(call.Header, call.Request, call.IdempotencyKey),
			Body:   call.Body,
		}, exclude)
		if err == nil {
			return caller.ServiceResponse{Status: answer.Status, Header: answer.Header, Body: answer.Body}, nil
		}
		if placement.CodeOf(err) != "" {
			return caller.ServiceResponse{}, selectionFailure(err)
		}
		exclude = append(exclude, id)
	}
	return caller.ServiceResponse{}, &caller.Failure{
		Code:       callerapi.CodeBackendUnavailable,
		Message:    fmt.Sprintf("no backend server of service %q answered", call.Service),
		Outcome:    callerapi.OutcomeUnknown,
		RetryAfter: backendRetryAfter,
	}
}

// sendCall selects a backend server and sends the call to it once.
func (n *Node) sendCall(ctx context.Context, service string, call backend.Call, exclude []ident.BackendID) (backend.Response, ident.BackendID, error) {
	attempt := ident.NewAttemptID()
	chosen, err := n.backends.Choose(placement.Request{Service: service, Exclude: exclude}, attempt, nil)
	if err != nil {
		return backend.Response{}, "", err
	}
	answer, err := n.backends.Call(ctx, chosen.Backend, call)
	outcome := generation.OutcomeFinished
	if err != nil {
		outcome = generation.OutcomeLost
	} else {
		n.backends.Answered(chosen.Backend, attempt)
	}
	n.backends.Finished(chosen.Backend, attempt, outcome)
	return answer, chosen.Backend, err
}

// selectionFailure converts an error of backend selection to the failure that the
// caller receives. Nothing was sent at that point.
func selectionFailure(err error) error {
	if placement.CodeOf(err) == placement.CodeUnknownModel {
		return &caller.Failure{Code: callerapi.CodeUnknownService, Param: "service", Message: err.Error()}
	}
	return &caller.Failure{
		Code:       callerapi.CodeBackendUnavailable,
		Message:    err.Error(),
		RetryAfter: backendRetryAfter,
	}
}

func pathAndQuery(call *caller.ServiceCall) string {
	if call.Query == "" {
		return call.Path
	}
	return call.Path + "?" + call.Query
}

func serviceHeader(header http.Header, request ident.RequestID, key string) http.Header {
	h := header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(backendapi.HeaderRequestID, string(request))
	if key != "" {
		h.Set(backendapi.HeaderIdempotencyKey, key)
	}
	return h
}

// callSender sends non-idempotent calls on behalf of package idempotent.
type callSender struct{ node *Node }

var _ idempotent.Sender = callSender{}

// Send implements idempotent.Sender.
func (s callSender) Send(ctx context.Context, call idempotent.Call) (idempotent.Response, error) {
	answer, _, err := s.node.sendCall(ctx, call.Service, backend.Call{
		Method: call.Method,
		Path:   call.Path,
		Header: serviceHeader(call.Header, call.RequestID, call.Key),
		Body:   call.Body,
	}, nil)
	switch {
	case err == nil:
		return idempotent.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body}, nil
	case placement.CodeOf(err) != "" || backend.CodeOf(err) == backend.CodeConnect:
		return idempotent.Response{}, errors.Join(idempotent.ErrNotSent, err)
	}
	return idempotent.Response{}, errors.Join(idempotent.ErrMaybeSent, err)
}
