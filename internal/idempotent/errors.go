package idempotent

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// Errors that a Sender returns, possibly wrapped. Any other error counts as
// ErrMaybeSent.
var (
	// ErrNotSent: no byte of the request was written.
	ErrNotSent = errors.New("request not sent")
	// ErrMaybeSent: the service may have received the request.
	ErrMaybeSent = errors.New("request may have been sent")
)

// Code classifies an error of this package.
type Code string

// Codes of errors.
const (
	// CodeFailed: the call has no result for the caller. FailureOf tells what
	// to answer.
	CodeFailed Code = "idempotent_failed"
	// CodeObject: a large result cannot be stored or loaded.
	CodeObject Code = "idempotent_object"
)

// Failure is what the caller is told instead of a result.
type Failure struct {
	Code       callerapi.Code
	Outcome    callerapi.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s)", f.Code, f.Outcome) }

// FailureOf returns the failure in an error of Execute.
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
