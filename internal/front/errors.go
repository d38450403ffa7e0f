package front

import (
	"io"
	"log"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies the errors of this package.
type Code string

const (
	// CodeListen: a listen address could not be opened.
	CodeListen Code = "front_listen"
	// CodePeerState: the state of a peer could not be fetched or decoded.
	CodePeerState Code = "front_peer_state"
	// CodeTuning: the tuning file could not be read or holds invalid settings.
	CodeTuning Code = "front_tuning"
)

func newError(code Code) oops.OopsErrorBuilder { return oops.In("front").Code(code) }

// CodeOf returns the code of an error of this package, or the empty code.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// discardLogger returns a logger that discards all output. It is set as the
// ErrorLog of the HTTP servers: net/http logs errors of single connections, which
// clients can cause at will, while the node's log records decisions.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
