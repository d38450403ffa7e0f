package node

import "github.com/samber/oops"

// Code classifies a failure of the node itself.
type Code string

// Codes of node errors.
const (
	// CodeStart: the node cannot start with the given settings.
	CodeStart Code = "node_start"
	// CodeUnknownHost: a host is not in the host list.
	CodeUnknownHost Code = "node_unknown_host"
)

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("node")
}
