// Package ident defines the typed identifiers that the packages of the node
// share.
package ident

import (
	"crypto/rand"
	"encoding/base64"
)

type (
	// RequestID names one request of a caller. It is the caller's choice and
	// is unique within a team only.
	RequestID string
	// GenerationID names one answer; all attempts that contribute to the
	// answer share it.
	GenerationID string
	// AttemptID names one try to run a request on one backend server. For
	// engines it is also the stream id.
	AttemptID string
	// Team names the holder of a contract.
	Team string
	// HostID names a host, and so the node on it.
	HostID string
	// DataCentre names a data centre.
	DataCentre string
	// BackendID names a backend server.
	BackendID string
	// ContractVersion counts the versions of one contract from 1.
	ContractVersion int64
	// LogSequence is a position in the contract change log, from 1.
	LogSequence int64
	// FencingToken rises with every new holder of a lease.
	FencingToken int64
	// Incarnation tells apart the lives of a process: its start time in
	// nanoseconds since 1970.
	Incarnation int64
)

// idBytes is the length of a random identifier before encoding. 96 random bits
// make a collision among 43,000 identifiers a second unlikely for centuries,
// and the identifier stays short in cursors, which are sent with every token.
const idBytes = 12

// NewRequestID returns a random request id.
func NewRequestID() RequestID { return RequestID("req-" + randomID()) }

// NewGenerationID returns a random generation id.
func NewGenerationID() GenerationID { return GenerationID("gen-" + randomID()) }

// NewAttemptID returns a random attempt id.
func NewAttemptID() AttemptID { return AttemptID("att-" + randomID()) }

func randomID() string {
	var raw [idBytes]byte
	rand.Read(raw[:])
	return base64.RawURLEncoding.EncodeToString(raw[:])
}
