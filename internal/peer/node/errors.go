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

// Code classifies a failure of a call of another node.
type Code string

// Codes of node errors.
const (
	// CodeUnreachable: the connection could not be made or broke. The peer may
	// have processed the call.
	CodeUnreachable Code = "node_unreachable"
	// CodeTimeout: the peer did not answer within the deadline. It may have
	// processed the call.
	CodeTimeout Code = "node_timeout"
	// CodeCancelled: the caller of this package gave up.
	CodeCancelled Code = "node_cancelled"
	// CodeUntrusted: one side refused the certificate of the other.
	CodeUntrusted Code = "node_untrusted"
	// CodeRejected: the call was malformed or too large. It is a fault of the
	// sender.
	CodeRejected Code = "node_rejected"
	// CodeFailed: the peer's handler failed.
	CodeFailed Code = "node_failed"
	// CodeCertificates: the TLS files of this node could not be used.
	CodeCertificates Code = "node_certificates"
)

// CodeOf returns the code of an error that this package returned, and the
// empty code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("node")
}

// translate turns an error of gRPC into an error of this package.
func translate(err error, method, address string) error {
	if err == nil {
		return nil
	}
	return newError(codeOfStatus(err)).Wrapf(err, "call %s of node %s", method, address)
}

func codeOfStatus(err error) Code {
	if errors.Is(err, io.EOF) { // the peer ended a stream
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
		// gRPC reports a failed handshake as text only.
		if strings.Contains(s.Message(), handshakeMark) {
			return CodeUntrusted
		}
		return CodeUnreachable
	}
	return CodeFailed
}
