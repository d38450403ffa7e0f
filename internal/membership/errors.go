package membership

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies an error of this package.
type Code string

// CodeInvalidConfig: a setting is out of its range.
const CodeInvalidConfig Code = "membership_invalid_config"

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("membership")
}
