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
	// CodeUnreadable means that the settings file could not be read.
	CodeUnreadable Code = "settings_unreadable"
	// CodeInvalid means that the document was read but is not valid. The error
	// wraps Problems.
	CodeInvalid Code = "settings_invalid"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// Problem is one reason why a settings document is rejected.
type Problem struct {
	File string
	// Line starts at 1; 0 means that the key is missing from the document.
	Line int
	// Key is the full key, e.g. "listen.callers".
	Key string
	// Found is the rejected text as written in the document.
	Found string
	// Allowed describes the accepted values.
	Allowed string
}

// String returns the problem as one line that starts with the file and line.
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

// Problems is an error that lists why a document is rejected, in line order.
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
