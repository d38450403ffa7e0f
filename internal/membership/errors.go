package membership

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies the errors that this package returns.
type Code string

// CodeInvalidConfig means that a setting is out of range.
const CodeInvalidConfig Code = "membership_invalid_config"

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("membership")
}
