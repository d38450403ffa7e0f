package settings

import (
	"fmt"
	"strings"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a failure to load settings.
type Code string

// Codes of settings errors.
const (
	// CodeUnreadable: the settings file could not be read.
	CodeUnreadable Code = "settings_unreadable"
	// CodeInvalid: the document was read and refused. The error wraps Problems.
	CodeInvalid Code = "settings_invalid"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// Problem is one reason for which a settings document is refused.
type Problem struct {
	File string
	// Line counts from 1; 0 means that the key is missing from the document.
	Line int
	// Key is the full key, e.g. "listen.callers".
	Key string
	// Found is the refused text as it stands in the document.
	Found string
	// Allowed says what would be accepted.
	Allowed string
}

// String returns the problem in one line, starting with file and line.
func (p Problem) String() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	text := at + ": "
	if p.Key != "" {
		text += p.Key + ": "
	}
	return text + fmt.Sprintf("found %s, allowed is %s", p.Found, p.Allowed)
}

// Problems is the error that lists the reasons for a refusal in line order.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("settings")
}
