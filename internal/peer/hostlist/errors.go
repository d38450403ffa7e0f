package hostlist

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a failure to read the host list.
type Code string

// Codes of host list errors.
const (
	// CodeUnavailable: the platform did not respond, is rate limiting or reported
	// an outage.
	CodeUnavailable Code = "hostlist_unavailable"
	// CodeInvalid: the platform's response is not a valid host list.
	CodeInvalid Code = "hostlist_invalid"
	// CodeRejected: the platform rejected the call as invalid, which is a bug or
	// a misconfiguration of this node.
	CodeRejected Code = "hostlist_rejected"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("hostlist")
}
