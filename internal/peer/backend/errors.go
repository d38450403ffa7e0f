package backend

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a failure of a backend server by what it says about the
// request.
type Code string

// Codes of backend errors.
const (
	// CodeConnect: no connection was made, so nothing was sent.
	CodeConnect Code = "backend_connect"
	// CodeBroken: the connection ended before the answer did.
	CodeBroken Code = "backend_broken"
	// CodeSilent: no answer within the time limit.
	CodeSilent Code = "backend_silent"
	// CodeRejected: the backend server answered and refused.
	CodeRejected Code = "backend_rejected"
	// CodeUnknownStream: the engine does not know the stream.
	CodeUnknownStream Code = "backend_unknown_stream"
	// CodeProtocol: the answer does not follow the protocol.
	CodeProtocol Code = "backend_protocol"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("backend")
}
