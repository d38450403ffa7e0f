// Package errcode reads the typed codes that the layers put on their errors.
package errcode

import (
	"errors"

	"github.com/samber/oops"
)

// Of returns the code of type C of an error, and the empty code for any other
// error. An oops error reports the code of the innermost error that it wraps,
// so a layer that turns an error from below must not wrap it with a code of its
// own but format it.
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
