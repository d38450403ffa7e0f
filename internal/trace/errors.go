package trace

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a trace that cannot be read.
type Code string

// Codes of trace errors.
const (
	// CodeMalformed: a line is not in the form that Write produces.
	CodeMalformed Code = "trace_malformed"
	// CodeVersion: the format version is not supported.
	CodeVersion Code = "trace_version"
	// CodeTooLarge: the trace exceeds a size limit.
	CodeTooLarge Code = "trace_too_large"
	// CodeUnreadable: reading from the source of the trace failed.
	CodeUnreadable Code = "trace_unreadable"
)

// CodeOf returns the code of an error that this package returned, and the empty
// code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("trace")
}
