package placement

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies an error of this package.
type Code string

// Codes of placement errors.
const (
	// CodeUnknownModel: no listed backend server has the model or service.
	CodeUnknownModel Code = "placement_unknown_model"
	// CodeUnavailable: backend servers have it, but none can be used now.
	CodeUnavailable Code = "placement_unavailable"
	// CodeInvalidConfig: a setting is out of its range.
	CodeInvalidConfig Code = "placement_invalid_config"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("placement")
}
