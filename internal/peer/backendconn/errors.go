package backendconn

import (
	"time"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies the errors of this package by what is known of the request.
type Code string

const (
	// CodeConnect: no connection could be opened, so nothing was sent.
	CodeConnect Code = "backendconn_connect"
	// CodeSend: the connection failed while the request was written. The server
	// may have read it whole.
	CodeSend Code = "backendconn_send"
	// CodeReceive: the connection failed or ended before the answer was whole.
	CodeReceive Code = "backendconn_receive"
	// CodeProtocol: bytes arrived that are no answer to the request.
	CodeProtocol Code = "backendconn_protocol"
	// CodeSilent: the server sent nothing for longer than the caller allows.
	CodeSilent Code = "backendconn_silent"
	// CodeStalled: the server answers other calls, but makes no progress with this
	// request.
	CodeStalled Code = "backendconn_stalled"
	// CodeCancelled: the caller gave the request up.
	CodeCancelled Code = "backendconn_cancelled"
)

func newError(code Code) oops.OopsErrorBuilder { return oops.In("backendconn").Code(code) }

// CodeOf returns the code of an error of this package, or the empty code.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// SilentError is the error of a Watch that gives a server up.
func SilentError(idle time.Duration, why string) error {
	return newError(CodeSilent).Errorf("nothing received for %d ms: %s", idle.Milliseconds(), why)
}

// StalledError is the error of a Watch that gives up one request at a server that
// lives.
func StalledError(idle time.Duration, why string) error {
	return newError(CodeStalled).Errorf("nothing received for %d ms: %s", idle.Milliseconds(), why)
}

// ProtocolError is the error of an answer that may not be passed on.
func ProtocolError(why string) error { return newError(CodeProtocol).Errorf("%s", why) }
