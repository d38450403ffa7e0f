package table

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a failed table call by what is known about its effect.
type Code string

// Codes of table errors.
const (
	// CodeConflict: a condition failed and nothing was applied.
	CodeConflict Code = "table_conflict"
	// CodeUnavailable: the table service was not reached or rejected the call
	// before it took effect.
	CodeUnavailable Code = "table_unavailable"
	// CodeUnknown: the call may or may not have taken effect, because no usable
	// response arrived.
	CodeUnknown Code = "table_unknown"
	// CodeRejected: the call was malformed, which is a bug in the caller.
	CodeRejected Code = "table_rejected"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("table")
}
