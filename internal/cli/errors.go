package cli

import (
	"errors"
	"net/http"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
)

// Code classifies a failed command. It determines the exit status.
type Code string

// Codes of failed commands.
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

// NewError returns an error that ends the program with the status of its code.
// Commands passed to New may use it; their other errors exit with ExitFailed.
func NewError(code Code, format string, args ...any) error {
	return oops.Code(code).In("cli").Errorf(format, args...)
}

// codeOf returns the code of an error. Errors of cobra itself are about usage.
func codeOf(err error) Code {
	var e oops.OopsError
	if errors.As(err, &e) {
		if code, ok := e.Code().(Code); ok {
			return code
		}
	}
	return CodeUsage
}

// errorOf translates the answer of a node.
func errorOf(status int, body operatorapi.Error) error {
	code := CodeFailed
	switch status {
	case http.StatusUnprocessableEntity:
		code = CodeRefused
	case http.StatusConflict:
		code = CodeConflict
	}
	if body.Message == "" {
		return NewError(code, "the node answered with status %d", status)
	}
	if body.Current != nil {
		return NewError(code, "%s\nnewest version: %d, changed by %s at %s; see: yuccahatch contract get %s", body.Message,
			body.Current.Version, body.Current.ChangedBy, body.Current.ChangedAt.Format(timeLayout), body.Current.Customer)
	}
	return NewError(code, "%s (%s)", body.Message, body.Code)
}

// hasCode reports whether an error was made by NewError.
func hasCode(err error) bool {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return false
	}
	_, ok := e.Code().(Code)
	return ok
}
