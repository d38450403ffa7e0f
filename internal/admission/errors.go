package admission

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies an error of this package.
type Code string

// Codes of admission errors. A refused request is not an error; see Refusal.
const (
	// CodeUnknownTeam: no contract of the team is in force.
	CodeUnknownTeam Code = "admission_unknown_customer"
	// CodeInvalidConfig: a setting, limit or request is out of its range.
	CodeInvalidConfig Code = "admission_invalid_config"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("admission")
}
