package explain

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a failure to store or load explanations.
type Code string

// Codes of explanation errors.
const (
	// CodeMalformed: an object is not in the form that this package writes.
	CodeMalformed Code = "explain_malformed"
	// CodeUnavailable: not all objects of a request could be read from the object
	// store.
	CodeUnavailable Code = "explain_unavailable"
	// CodeOverflow: the queue of requests for the object store is full.
	CodeOverflow Code = "explain_overflow"
)

// CodeOf returns the code of an error that this package returned, and the empty
// code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("explain")
}
