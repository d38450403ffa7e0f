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
	// CodeUnavailable: the table did not answer.
	CodeUnavailable Code = "audit_unavailable"
	// CodeCorrupt: a row of the trail cannot be read.
	CodeCorrupt Code = "audit_corrupt"
)

// CodeOf returns the code of an error that this package returned, and the empty
// code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("audit")
}

// translate turns an error of the table into one of this package. The cause is
// kept as text, since the code of an inner oops error would replace this one.
func translate(err error, action string) error {
	return newError(CodeUnavailable).With("table_code", string(table.CodeOf(err))).Errorf("%s: %v", action, err)
}
