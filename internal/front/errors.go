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
	// CodeListen: an address could not be listened on.
	CodeListen Code = "front_listen"
	// CodePeerState: a peer's state could not be read.
	CodePeerState Code = "front_peer_state"
	// CodeTuning: the tuning file cannot be used.
	CodeTuning Code = "front_tuning"
)

func newError(code Code) oops.OopsErrorBuilder { return oops.In("front").Code(code) }

// CodeOf returns the code of an error of this package, or the empty code.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// quietLog drops the lines of net/http about single connections, which clients
// cause at will. The log is of decisions.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
