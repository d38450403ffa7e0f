package claimwriter

import (
	"github.com/samber/oops"
)

// Code classifies an error of this package. Errors appear in logs only: callers
// of the writer get events of package claim.
type Code string

// Codes of errors.
const (
	// CodeRow: a row of the table is not a claim row.
	CodeRow Code = "claimwriter_row"
	// CodeTable: the table failed or rejected a call.
	CodeTable Code = "claimwriter_table"
)

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("claimwriter")
}
