package audit

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

// Code classifies a failure of this package.
type Code string

// Codes of audit errors.
const (
	// CodeUnavailable means that the table could not be read.
	CodeUnavailable Code = "audit_unavailable"
	// CodeCorrupt means that an audit record cannot be encoded or decoded.
	CodeCorrupt Code = "audit_corrupt"
)

// CodeOf returns the code of an error that this package returned, and the empty
// code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("audit")
}

// unavailableError converts an error of the table to CodeUnavailable. The cause is
// kept as text, because the code of an inner oops error would replace this one.
func unavailableError(err error, action string) error {
	return newError(CodeUnavailable).With("table_code", string(table.CodeOf(err))).Errorf("%s: %v", action, err)
}
