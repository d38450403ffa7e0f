// Package operatorapi defines the JSON types of the HTTP interface for
// operators. The contracts themselves are transferred as TOML documents. The
// package keeps no state.
package operatorapi

import "time"

// Routes for operators, served on the node's operator listener.
const (
	RouteContracts = "/operator/v1/contracts" // GET list; /{customer} GET, PUT; /{customer}/history GET
	RouteStatus    = "/operator/v1/status"
	RouteAudit     = "/operator/v1/audit"
	RouteExplain   = "/operator/v1/explain/" // followed by the request id
	RouteTrace     = "/operator/v1/trace/"   // followed by the request id; the response is JSON lines
	RouteRollouts  = "/operator/v1/rollouts"
	RouteMetrics   = "/metrics"
	RouteHealth    = "/healthz"
	RouteReady     = "/readyz"
)

// Headers for operators.
const (
	// HeaderBaseVersion on PUT is the version that the change is based on; 0
	// means that the contract must not exist yet. If the header is absent, the
	// change is based on the newest version.
	HeaderBaseVersion = "Contract-Base-Version"
	// HeaderChangeID on PUT makes a repeated change idempotent.
	HeaderChangeID = "Contract-Change-Id"
)

// Contract is one version of a contract.
type Contract struct {
	Customer  string    `json:"customer"`
	Version   int64     `json:"version"`
	Sequence  int64     `json:"sequence"` // position in the change log
	Document  string    `json:"document"` // TOML
	ChangedBy string    `json:"changed_by"`
	ChangedAt time.Time `json:"changed_at"`
	ChangeID  string    `json:"change_id"`
}

// ContractList is the response body of GET RouteContracts.
type ContractList struct {
	Sequence  int64      `json:"sequence"`
	Contracts []Contract `json:"contracts"`
}

// PutResult is the response body of a contract PUT. Status 200 means accepted:
// in force on a strict majority of the listed hosts. Status 202 means recorded
// but not yet in force on a majority.
type PutResult struct {
	Contract Contract `json:"contract"`
	Accepted bool     `json:"accepted"`
	InForce  []string `json:"in_force"` // host ids
	Pending  []string `json:"pending"`  // host ids
}

// Status is the response body of RouteStatus.
type Status struct {
	HostID     string          `json:"host_id"`
	DataCentre string          `json:"data_centre"`
	Sequence   int64           `json:"sequence"` // newest change log entry in force on the node
	Admitting  bool            `json:"admitting"`
	Reason     string          `json:"reason,omitempty"`
	Nodes      []NodeStatus    `json:"nodes"`
	Backends   []BackendStatus `json:"backends"`
}

// NodeStatus is the state of one node as seen by the responding node.
type NodeStatus struct {
	HostID      string `json:"host_id"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	State       string `json:"state"`
	Incarnation int64  `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
	InFlight    int    `json:"in_flight"`
}

// BackendStatus is the state of one backend server as seen by the responding
// node.
type BackendStatus struct {
	BackendID  string   `json:"backend_id"`
	Kind       string   `json:"kind"`
	DataCentre string   `json:"data_centre"`
	State      string   `json:"state"`
	Models     []string `json:"models"`
	Running    int      `json:"running"`
	Waiting    int      `json:"waiting"`
}

// AuditRecord is one entry of the audit trail.
type AuditRecord struct {
	At       time.Time `json:"at"`
	Actor    string    `json:"actor"`
	HostID   string    `json:"host_id"`
	Action   string    `json:"action"`
	Customer string    `json:"customer,omitempty"`
	From     int64     `json:"from_version"`
	To       int64     `json:"to_version"`
	Outcome  string    `json:"outcome"` // accepted, recorded, refused, applied
	Reason   string    `json:"reason,omitempty"`
}

// AuditPage is the response body of RouteAudit.
type AuditPage struct {
	Records []AuditRecord `json:"records"`
}

// Explanation is the response body of RouteExplain: the decisions made for one
// request.
type Explanation struct {
	RequestID string     `json:"request_id"`
	Customer  string     `json:"customer"`
	Decisions []Decision `json:"decisions"`
}

// Decision is one step in the handling of a request.
type Decision struct {
	At     time.Time `json:"at"`
	HostID string    `json:"host_id"`
	Event  string    `json:"event"`
	Detail string    `json:"detail"`
}

// Error is the body of a response with a status of 400 or more.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Line and Key locate an error in a contract document.
	Line int    `json:"line,omitempty"`
	Key  string `json:"key,omitempty"`
	// Current is the newest version of the contract; set on a version conflict.
	Current *Contract `json:"current,omitempty"`
}
