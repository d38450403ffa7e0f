package idempotent

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// Errors that a Sender returns, possibly wrapped. Any other error is treated as
// ErrMaybeSent.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("request not sent")
	// ErrMaybeSent means that the service may have received the request.
	ErrMaybeSent = errors.New("request may have been sent")
)

// Code classifies an error of this package.
type Code string

// Codes of errors.
const (
	// CodeFailed means that there is no result for the caller. FailureOf returns
	// the failure to answer with.
	CodeFailed Code = "idempotent_failed"
	// CodeObject means that a large result cannot be stored or loaded.
	CodeObject Code = "idempotent_object"
)

// Failure is the answer to a caller that gets no result.
type Failure struct {
	Code       callerapi.Code
	Outcome    callerapi.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s)", f.Code, f.Outcome) }

// FailureOf returns the Failure in the chain of an error returned by Execute and
// reports whether there is one.
func FailureOf(err error) (Failure, bool) {
	var f *Failure
	if !errors.As(err, &f) {
		return Failure{}, false
	}
	return *f, true
}

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("idempotent")
}
