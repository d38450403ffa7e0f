package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// Failure is an error as a caller sees it.
type Failure struct {
	Code    callerapi.Code
	Message string
	// Param names the field at fault.
	Param string
	// Outcome tells what the failure says about the request's execution. Empty:
	// OutcomeNotRun.
	Outcome callerapi.Outcome
	// RetryAfter is when to come back. Zero: repeating the request is no use.
	RetryAfter time.Duration
	Addresses  []callerapi.Address
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// Final tells that repeating the request is no use.
func (f *Failure) Final() bool { return f.RetryAfter <= 0 }

// invalid returns the failure of a request with a fault in a field.
func invalid(param, message string) *Failure {
	return &Failure{Code: callerapi.CodeInvalidRequest, Message: message, Param: param}
}

// httpStatus holds the status of each public error code.
var httpStatus = map[callerapi.Code]int{
	callerapi.CodeInvalidRequest:     http.StatusBadRequest,
	callerapi.CodeInvalidAPIKey:      http.StatusUnauthorized,
	callerapi.CodeNoContract:         http.StatusForbidden,
	callerapi.CodeUnknownModel:       http.StatusNotFound,
	callerapi.CodeUnknownService:     http.StatusNotFound,
	callerapi.CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	callerapi.CodeCursorInvalid:      http.StatusBadRequest,
	callerapi.CodeCursorNeedsText:    http.StatusConflict,
	callerapi.CodeKeyRequired:        http.StatusBadRequest,
	callerapi.CodeKeyReused:          http.StatusUnprocessableEntity,
	callerapi.CodeQuietHours:         http.StatusForbidden,
	callerapi.CodeOverShare:          http.StatusTooManyRequests,
	callerapi.CodeOverloaded:         http.StatusServiceUnavailable,
	callerapi.CodeNodeLeaving:        http.StatusServiceUnavailable,
	callerapi.CodeNodeIsolated:       http.StatusServiceUnavailable,
	callerapi.CodeStoreUnavailable:   http.StatusServiceUnavailable,
	callerapi.CodeOutcomeUnknown:     http.StatusConflict,
	callerapi.CodeRequestCrashes:     http.StatusUnprocessableEntity,
	callerapi.CodeBackendUnavailable: http.StatusServiceUnavailable,
	callerapi.CodeGenerationFailed:   http.StatusServiceUnavailable,
	callerapi.CodeNotFound:           http.StatusNotFound,
	callerapi.CodeInternal:           http.StatusInternalServerError,
}

// errorType groups statuses as the OpenAI interface does.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// failureOf translates any error. An error that is not a Failure is a fault of
// the node and says nothing about the request's execution.
func failureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{
		Code:    callerapi.CodeInternal,
		Message: "the node failed to process the request",
		Outcome: callerapi.OutcomeUnknown,
	}
}

func (f *Failure) status() int {
	if status, ok := httpStatus[f.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func (f *Failure) body() callerapi.Error {
	detail := callerapi.ErrorDetail{
		Message:          f.Message,
		Type:             errorType(f.status()),
		Code:             f.Code,
		Outcome:          f.Outcome,
		RetryAfterMillis: f.RetryAfter.Milliseconds(),
		Addresses:        f.Addresses,
	}
	if f.Param != "" {
		detail.Param = &f.Param
	}
	if detail.Outcome == "" {
		detail.Outcome = callerapi.OutcomeNotRun
	}
	return callerapi.Error{Error: detail}
}

// writeFailure answers a request that has no answer yet.
func writeFailure(w http.ResponseWriter, err error) {
	f := failureOf(err)
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, f.status(), f.body())
}

// refuse answers a request that was not passed on. An earlier attempt with its
// idempotency key may have run, and the row that would tell was not read, so
// that OutcomeNotRun would promise too much.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	f := *failureOf(err)
	if f.Outcome == "" && r.Header.Get(callerapi.HeaderIdempotencyKey) != "" && strings.HasPrefix(r.URL.Path, callerapi.RouteServices) {
		f.Outcome = callerapi.OutcomeAttemptNotRun
	}
	writeFailure(w, &f)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n'))
}
