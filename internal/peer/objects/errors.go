package objects

import (
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a failed call to the object store or the weight store.
type Code string

// Codes of object and weight store errors.
const (
	// CodeNotFound: there is no object with this name.
	CodeNotFound Code = "objects_not_found"
	// CodeUnavailable: the store was not reached or rejected the call before it
	// took effect.
	CodeUnavailable Code = "objects_unavailable"
	// CodeUnknown: the call may or may not have taken effect, because no usable
	// response arrived.
	CodeUnknown Code = "objects_unknown"
	// CodeRejected: the call was malformed, which is a bug in the caller.
	CodeRejected Code = "objects_rejected"
	// CodeRateLimited: the weight store does not permit a load yet; see
	// RetryAfter.
	CodeRateLimited Code = "objects_rate_limited"
)

// retryAfterKey is the key of the time to wait in the attributes of an error.
const retryAfterKey = "retry_after"

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// RetryAfter returns the time to wait that the weight store requested with
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
