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

// comeBack is when a caller may repeat a request for which no backend server
// was usable. A breaker that opened on a death half-opens after a second.
const comeBack = time.Second

// refusalCodes translates the reasons of admission.
var refusalCodes = map[admission.Reason]callerapi.Code{
	admission.ReasonOverShare:    callerapi.CodeOverShare,
	admission.ReasonOverloaded:   callerapi.CodeOverloaded,
	admission.ReasonContractGone: callerapi.CodeNoContract,
}

// placeFailure translates the error of a placement, which happened before
// anything was sent.
func placeFailure(err error) *caller.Failure {
	var refused *gate.Refused
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
		RetryAfter: comeBack,
	}
}

// resultFailure translates the result of a generation, nil if it is complete.
func resultFailure(result generation.Result) error {
	switch {
	case result.Failed == "":
		return nil
	case !result.Opened && result.Tokens == 0:
		return placeFailure(result.PlaceError)
	}
	outcome := callerapi.OutcomeUnknown
	if result.Tokens > 0 {
		outcome = callerapi.OutcomePartial
	}
	var failure *caller.Failure
	if errors.As(result.PlaceError, &failure) && failure.Final() {
		// The request ran before the reason to refuse it was known.
		return &caller.Failure{Code: failure.Code, Message: failure.Message, Outcome: outcome}
	}
	return &caller.Failure{
		Code:       callerapi.CodeGenerationFailed,
		Message:    fmt.Sprintf("the answer stopped after %d tokens: %s", result.Tokens, result.Failed),
		Outcome:    outcome,
		RetryAfter: comeBack,
	}
}
