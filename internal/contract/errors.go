package contract

import (
	"fmt"
	"strings"
)

// Code classifies why a document was refused.
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

// DocumentError says where a document was refused and what is allowed there.
type DocumentError struct {
	Code Code
	// Line and Column count from 1; 0 if the fault has no position.
	Line, Column int
	// Key is the path of the key, e.g. "quiet_hours[1].start", from 0.
	Key string
	// Found is the offending text and Allowed describes valid text.
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
