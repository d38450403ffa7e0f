// Package ident defines the typed identifiers that the packages of the node
// share. It has no state; its functions may be called from any goroutine.
package ident

import (
	"crypto/rand"
	"encoding/base64"
)

type (
	// RequestID identifies one request of a caller. The caller chooses it; it
	// is unique only within a team.
	RequestID string
	// GenerationID identifies one answer. All attempts that contribute to the
	// answer share it.
	GenerationID string
	// AttemptID identifies one attempt to run a request on one backend server.
	// It is also the stream id in the exchange with the engine.
	AttemptID string
	// Team identifies the holder of a contract.
	Team string
	// HostID identifies a host and thereby the node that runs on it.
	HostID string
	// DataCentre identifies a data centre.
	DataCentre string
	// BackendID identifies a backend server.
	BackendID string
	// ContractVersion is the version number of one contract, starting at 1.
	ContractVersion int64
	// LogSequence is a position in the contract change log, starting at 1.
	LogSequence int64
	// FencingToken increases with every new holder of a lease.
	FencingToken int64
	// Incarnation distinguishes successive runs of a process. It is the start
	// time of the process in nanoseconds since 1970.
	Incarnation int64
)

// idBytes is the length of a random identifier in bytes before encoding. With 96
// random bits, a collision is unlikely for centuries at 43,000 identifiers per
// second, and the identifier stays short in cursors, which are sent with every
// token.
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
