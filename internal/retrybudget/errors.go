package retrybudget

import (
	"errors"

	"github.com/samber/oops"
)

// Code classifies an error of this package.
type Code string

// CodeInvalidConfig: a setting is out of its range.
const CodeInvalidConfig Code = "retrybudget_invalid_config"

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return ""
	}
	code, _ := e.Code().(Code)
	return code
}

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("retrybudget")
}
