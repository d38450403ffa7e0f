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

// Failure is an error that is reported to a caller.
type Failure struct {
	Code    callerapi.Code
	Message string
	// Param is the name of the invalid field, if any.
	Param string
	// Outcome states whether the request may have been executed. Empty means
	// OutcomeNotRun.
	Outcome callerapi.Outcome
	// RetryAfter is the time to wait before a retry. Zero means that a retry
	// cannot succeed.
	RetryAfter time.Duration
	Addresses  []callerapi.Address
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// Final reports whether a retry of the request cannot succeed.
func (f *Failure) Final() bool { return f.RetryAfter <= 0 }

// invalidRequest returns the failure of a request whose field param is invalid.
func invalidRequest(param, message string) *Failure {
	return &Failure{Code: callerapi.CodeInvalidRequest, Message: message, Param: param}
}

// httpStatus maps public error codes to HTTP statuses.
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

// errorType returns the error type that the OpenAI API uses for a status.
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

// failureOf returns the Failure in the chain of err. Any other error is an
// internal error of the node and leaves the outcome of the request unknown.
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

// writeFailure writes an error response. The response must not have been
// started.
func writeFailure(w http.ResponseWriter, err error) {
	f := failureOf(err)
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, f.status(), f.body())
}

// writeRejection writes the error response for a request that was not forwarded.
// For a service call with an idempotency key, OutcomeNotRun would be wrong: an
// earlier attempt with the same key may have run, and the row that records it
// was not read. OutcomeAttemptNotRun is reported instead.
func writeRejection(w http.ResponseWriter, r *http.Request, err error) {
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
