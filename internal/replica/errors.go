package replica

import (
	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code identifies the cause of the loss of a copy.
type Code string

// Codes of lost copies.
const (
	// CodeTimeout: the peer did not acknowledge within the time limit.
	CodeTimeout Code = "replica_timeout"
	// CodeUnreachable: the stream to the peer failed.
	CodeUnreachable Code = "replica_unreachable"
	// CodeNotStored: the peer did not store an update, because it does not have the
	// start of the copy, the update does not fit the copy present, or its memory
	// limit is reached.
	CodeNotStored Code = "replica_unknown"
	// CodeOverflow: the ring of the peer's worker was full.
	CodeOverflow Code = "replica_overflow"
	// CodeClosed: the worker for the peer was stopped.
	CodeClosed Code = "replica_closed"
)

// CodeOf returns the code of an error that this package created, and the empty
// code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("replica")
}
