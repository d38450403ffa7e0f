package contract

import (
	"fmt"
	"strings"
)

// Code classifies why a document was rejected.
type Code string

// Codes of document errors.
const (
	CodeSyntax     Code = "document_syntax"
	CodeUnknownKey Code = "document_unknown_key"
	CodeMissingKey Code = "document_missing_key"
	CodeBadValue   Code = "document_bad_value"
	CodeOverlap    Code = "document_overlapping_quiet_hours"
	CodeTooLarge   Code = "document_too_large"
)

// DocumentError describes the first error of a rejected document: its position,
// what was found there and what is allowed.
type DocumentError struct {
	Code Code
	// Line and Column start at 1; both are 0 if the error has no position.
	Line, Column int
	// Key is the path of the key, e.g. "quiet_hours[1].start". Indexes start
	// at 0.
	Key string
	// Found is the invalid text; Allowed describes valid text.
	Found, Allowed string
}

// Error implements error.
func (e *DocumentError) Error() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "line %d, column %d: ", e.Line, e.Column)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	fmt.Fprintf(&b, "found %s; allowed: %s", e.Found, e.Allowed)
	return b.String()
}
