package node

import (
	"errors"
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/gate"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// backendRetryAfter is the retry delay sent to a caller if no backend server
// was usable. A circuit breaker that opened because of a dead server becomes
// half-open after one second.
const backendRetryAfter = time.Second

// refusalCodes maps the reasons of admission to the codes that callers receive.
var refusalCodes = map[admission.Reason]callerapi.Code{
	admission.ReasonOverShare:     callerapi.CodeOverShare,
	admission.ReasonOverloaded:    callerapi.CodeOverloaded,
	admission.ReasonContractEnded: callerapi.CodeNoContract,
}

// placementFailure converts a placement error to the failure that the caller
// receives. Nothing was sent at that point.
func placementFailure(err error) *caller.Failure {
	var refused *gate.RefusedError
	if errors.As(err, &refused) {
		code, ok := refusalCodes[refused.Reason]
		if !ok {
			code = callerapi.CodeOverloaded
		}
		return &caller.Failure{
			Code:       code,
			Message:    "the request was not admitted: " + string(refused.Reason),
			RetryAfter: refused.RetryAfter,
		}
	}
	var failure *caller.Failure
	if errors.As(err, &failure) {
		return failure
	}
	if placement.CodeOf(err) == placement.CodeUnknownModel {
		return &caller.Failure{Code: callerapi.CodeUnknownModel, Param: "model", Message: err.Error()}
	}
	return &caller.Failure{
		Code:       callerapi.CodeBackendUnavailable,
		Message:    "no backend server can run the request now",
		RetryAfter: backendRetryAfter,
	}
}

// resultFailure returns the failure that the caller receives for the result of
// a generation, or nil if the generation is complete.
func resultFailure(result generation.Result) error {
	switch {
	case result.FailureReason == "":
		return nil
	case !result.Opened && result.Tokens == 0:
		return placementFailure(result.PlacementError)
	}
	outcome := callerapi.OutcomeUnknown
	if result.Tokens > 0 {
		outcome = callerapi.OutcomePartial
	}
	var failure *caller.Failure
	if errors.As(result.PlacementError, &failure) && failure.Final() {
		// The request had already run when the reason to refuse it became known.
		return &caller.Failure{Code: failure.Code, Message: failure.Message, Outcome: outcome}
	}
	return &caller.Failure{
		Code:       callerapi.CodeGenerationFailed,
		Message:    fmt.Sprintf("the answer stopped after %d tokens: %s", result.Tokens, result.FailureReason),
		Outcome:    outcome,
		RetryAfter: backendRetryAfter,
	}
}
