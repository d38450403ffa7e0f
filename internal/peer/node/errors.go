package node

import (
	"errors"
	"io"
	"strings"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/yuccahatch/yuccahatch/internal/errcode"
)

// Code classifies a failed call to another node.
type Code string

// Codes of node errors.
const (
	// CodeUnreachable: the connection could not be established or was lost. The
	// peer may have processed the call.
	CodeUnreachable Code = "node_unreachable"
	// CodeTimeout: the peer did not respond within the deadline. It may have
	// processed the call.
	CodeTimeout Code = "node_timeout"
	// CodeCancelled: the context of the call was cancelled or the pool is closed.
	CodeCancelled Code = "node_cancelled"
	// CodeUntrusted: one side rejected the certificate of the other.
	CodeUntrusted Code = "node_untrusted"
	// CodeRejected: the call was malformed or too large, which is a bug in the
	// sender.
	CodeRejected Code = "node_rejected"
	// CodeFailed: the peer's handler returned an error.
	CodeFailed Code = "node_failed"
	// CodeCertificates: the TLS files of this node are missing or invalid.
	CodeCertificates Code = "node_certificates"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("node")
}

// translate converts an error of gRPC to an error of this package.
func translate(err error, method, address string) error {
	if err == nil {
		return nil
	}
	return newError(codeOfStatus(err)).Wrapf(err, "call %s of node %s", method, address)
}

func codeOfStatus(err error) Code {
	if errors.Is(err, io.EOF) { // the peer closed the stream
		return CodeUnreachable
	}
	s, ok := status.FromError(err)
	if !ok {
		s = status.FromContextError(err)
	}
	switch s.Code() {
	case codes.DeadlineExceeded:
		return CodeTimeout
	case codes.Canceled:
		return CodeCancelled
	case codes.InvalidArgument, codes.ResourceExhausted, codes.Unimplemented:
		return CodeRejected
	case codes.Unavailable:
		// gRPC keeps only the message of a handshake error.
		if strings.Contains(s.Message(), certificateRefusedText) {
			return CodeUntrusted
		}
		return CodeUnreachable
	}
	return CodeFailed
}
