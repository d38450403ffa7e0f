// Package ident defines the typed identifiers that the packages of the node
// share.
package ident

import "github.com/google/uuid"

type (
	// RequestID names one request of a caller. It is the caller's choice and
	// is unique within a customer only.
	RequestID string
	// GenerationID names one answer; all attempts that contribute to the
	// answer share it.
	GenerationID string
	// AttemptID names one try to run a request on one backend server. For
	// engines it is also the stream id.
	AttemptID string
	// Customer names the holder of a contract.
	Customer string
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

// NewRequestID returns a random request id.
func NewRequestID() RequestID { return RequestID("req-" + uuid.NewString()) }

// NewGenerationID returns a random generation id.
func NewGenerationID() GenerationID { return GenerationID("gen-" + uuid.NewString()) }

// NewAttemptID returns a random attempt id.
func NewAttemptID() AttemptID { return AttemptID("att-" + uuid.NewString()) }
