package claimwriter

import (
	"github.com/samber/oops"
)

// Code classifies an error of this package. Errors appear in logs only; callers
// of Writer receive events of package claim.
type Code string

// Codes of errors.
const (
	// CodeRow means that a row of the table is not a valid claim row.
	CodeRow Code = "claimwriter_row"
	// CodeTable means that the table rejected a transaction or reported a
	// conflict without naming a row.
	CodeTable Code = "claimwriter_table"
)

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("claimwriter")
}
