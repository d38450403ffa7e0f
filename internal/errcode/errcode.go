// Package errcode extracts the typed codes that packages attach to their errors.
// It has no state; Of may be called from any goroutine.
package errcode

import (
	"errors"

	"github.com/samber/oops"
)

// Of returns the code of err if it has type C, and the empty code otherwise. An
// oops error reports the code of the innermost error that it wraps, so a package
// that replaces the code of a lower layer's error by its own must format that
// error into the new message instead of wrapping it.
func Of[C ~string](err error) C {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return ""
	}
	code, ok := e.Code().(C)
	if !ok {
		return ""
	}
	return code
}
