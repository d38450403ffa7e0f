package mesh

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies the errors of this package.
type Code string

const (
	// CodeAddress: the configured mesh address is invalid.
	CodeAddress Code = "mesh_address"
	// CodeListen: the socket for the mesh address could not be opened.
	CodeListen Code = "mesh_listen"
)

func newError(code Code) oops.OopsErrorBuilder { return oops.In("mesh").Code(code) }

// CodeOf returns the code of an error of this package, or the empty code.
func CodeOf(err error) Code { return errcode.Of[Code](err) }
