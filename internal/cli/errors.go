package cli

import (
	"errors"
	"net/http"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
)

// Code classifies the error of a failed command and determines the exit status.
type Code string

// Error codes of failed commands.
const (
	CodeFailed      Code = "failed"
	CodeUsage       Code = "usage"
	CodeRefused     Code = "refused"
	CodeConflict    Code = "conflict"
	CodeUnreachable Code = "unreachable"
)

// Exit statuses of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnreachable = 5
)

var exitStatuses = map[Code]int{
	CodeFailed: ExitFailed, CodeUsage: ExitUsage, CodeRefused: ExitRefused,
	CodeConflict: ExitConflict, CodeUnreachable: ExitUnreachable,
}

// NewError returns an error for which Run returns the exit status of the code.
// Commands passed to New may use it; for their other errors Run returns
// ExitFailed.
func NewError(code Code, format string, args ...any) error {
	return oops.Code(code).In("cli").Errorf(format, args...)
}

// codeOf returns the code of an error, or CodeUsage if it has none: errors
// without a code come from cobra itself and are about usage.
func codeOf(err error) Code {
	var e oops.OopsError
	if errors.As(err, &e) {
		if code, ok := e.Code().(Code); ok {
			return code
		}
	}
	return CodeUsage
}

// responseError converts the error response of a node to an error with a code.
func responseError(status int, body operatorapi.Error) error {
	code := CodeFailed
	switch status {
	case http.StatusUnprocessableEntity:
		code = CodeRefused
	case http.StatusConflict:
		code = CodeConflict
	}
	if body.Message == "" {
		return NewError(code, "the node responded with status %d", status)
	}
	if body.Current != nil {
		return NewError(code, "%s\nnewest version: %d, changed by %s at %s; see: yuccahatch contract get %s", body.Message,
			body.Current.Version, body.Current.ChangedBy, body.Current.ChangedAt.Format(timeLayout), body.Current.Customer)
	}
	return NewError(code, "%s (%s)", body.Message, body.Code)
}

// hasCode reports whether an error carries a Code, as errors from NewError do.
func hasCode(err error) bool {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return false
	}
	_, ok := e.Code().(Code)
	return ok
}
