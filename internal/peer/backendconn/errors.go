package backendconn

import (
	"time"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies the errors of this package by what is known about the request.
type Code string

const (
	// CodeConnect: no connection could be opened, so nothing was sent.
	CodeConnect Code = "backendconn_connect"
	// CodeBusy: the host has as many connections to the server as it may open, so nothing
	// was sent. That says nothing about the server.
	CodeBusy Code = "backendconn_busy"
	// CodeSend: the connection failed while the request was being written. The
	// server may have received all of it.
	CodeSend Code = "backendconn_send"
	// CodeReceive: the connection failed or ended before the response was complete.
	CodeReceive Code = "backendconn_receive"
	// CodeProtocol: the received bytes are not a valid response to the request.
	CodeProtocol Code = "backendconn_protocol"
	// CodeSilent: the server sent nothing for longer than the caller allows.
	CodeSilent Code = "backendconn_silent"
	// CodeStalled: the server answers other requests, but makes no progress with
	// this one.
	CodeStalled Code = "backendconn_stalled"
	// CodeCancelled: the caller cancelled the request.
	CodeCancelled Code = "backendconn_cancelled"
)

func newError(code Code) oops.OopsErrorBuilder { return oops.In("backendconn").Code(code) }

// CodeOf returns the code of an error of this package, or the empty code.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// NewSilentError returns the error with which a Watch ends a read because the server
// has been silent for too long.
func NewSilentError(idle time.Duration, why string) error {
	return newError(CodeSilent).Errorf("nothing received for %d ms: %s", idle.Milliseconds(), why)
}

// NewStalledError returns the error with which a Watch ends a request that makes no
// progress at a server that is alive.
func NewStalledError(idle time.Duration, why string) error {
	return newError(CodeStalled).Errorf("nothing received for %d ms: %s", idle.Milliseconds(), why)
}

// NewProtocolError returns the error for a response that must not be passed on.
func NewProtocolError(why string) error { return newError(CodeProtocol).Errorf("%s", why) }
