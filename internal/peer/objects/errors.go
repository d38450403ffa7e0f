package objects

import (
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a failure of the object store or the weight store.
type Code string

// Codes of object and weight store errors.
const (
	// CodeNotFound: there is no object of this name.
	CodeNotFound Code = "objects_not_found"
	// CodeUnavailable: the store refused the call before it took effect.
	CodeUnavailable Code = "objects_unavailable"
	// CodeUnknown: the call may or may not have taken effect, because its
	// answer did not arrive.
	CodeUnknown Code = "objects_unknown"
	// CodeRejected: the call was malformed. It is a fault of the caller.
	CodeRejected Code = "objects_rejected"
	// CodeRateLimited: the weight store permits no load now; see RetryAfter.
	CodeRateLimited Code = "objects_rate_limited"
)

// retryAfterKey is the key of the wait in the context of an error.
const retryAfterKey = "retry_after"

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// RetryAfter returns the wait that the weight store asked for with
// CodeRateLimited, and 0 for any other error.
func RetryAfter(err error) time.Duration {
	var e oops.OopsError
	if !errors.As(err, &e) || CodeOf(err) != CodeRateLimited {
		return 0
	}
	wait, _ := e.Context()[retryAfterKey].(time.Duration)
	return wait
}

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("objects")
}
