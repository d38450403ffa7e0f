// Package platformapi defines the JSON types of the HTTP protocols of the
// platform: transactional table, object store, host list and weight store.
// docs/platform-protocol.md describes the protocols. The package keeps no state.
package platformapi

import "encoding/json"

// Routes of the platform.
const (
	RouteTxn     = "/table/txn"
	RouteRead    = "/table/read"
	RouteScan    = "/table/scan" // ?prefix=&after=&limit=
	RouteObjects = "/objects/"   // followed by the object's name
	RouteHosts   = "/hosts"
	RouteWeights = "/weights/fetch"
)

// TxnRequest is one atomic transaction: if all conditions hold, all writes are
// applied; otherwise none is.
type TxnRequest struct {
	// ID is chosen by the client and used only in logs; the table does not detect
	// a repeated id.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Condition requires that a row has exactly this version. Version 0 requires
// that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// TxnResponse is the response to a transaction: status 200 with Versions if it
// was committed, status 409 with Conflicts if a condition failed.
type TxnResponse struct {
	Committed bool `json:"committed"`
	// Versions holds the new version of each written row.
	Versions map[string]int64 `json:"versions,omitempty"`
	// Conflicts holds the current state of each row whose condition failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Row is one row of the table. Version 0 means that the row does not exist. The
// versions of a key only increase, even if the row is deleted in between.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// ReadRequest reads rows from one consistent snapshot.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ReadResponse holds one row for each requested key, in the order of the request.
type ReadResponse struct {
	Rows []Row `json:"rows"`
}

// ScanResponse holds rows in key order. More reports whether further rows were
// cut off by the limit.
type ScanResponse struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more"`
}

// Host is one entry of the host list. The list may lag behind the actual state.
type Host struct {
	HostID string `json:"host_id"`
	// Address is IP:port of the node's gRPC listener for other nodes.
	Address string `json:"address"`
	// CallerAddress is IP:port of the node's HTTP listener for callers.
	CallerAddress string `json:"caller_address"`
	DataCentre    string `json:"data_centre"`
	State         string `json:"state"` // HostLive or HostLeaving
}

// States of a listed host.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// HostList is the response body of RouteHosts.
type HostList struct {
	Hosts []Host `json:"hosts"`
	// Backends lists the backend servers of the deployment.
	Backends []Backend `json:"backends"`
}

// Backend is one backend server of the host list.
type Backend struct {
	BackendID  string `json:"backend_id"`
	URL        string `json:"url"` // http://IP:port
	DataCentre string `json:"data_centre"`
	Kind       string `json:"kind"` // KindEngine or KindService
	// Service is the name by which callers address a plain service.
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
}

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// WeightFetch requests permission to load the weights of a model.
type WeightFetch struct {
	BackendID string `json:"backend_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
}

// Error is the body of every response with a status of 400 or more, except the
// 409 of a transaction.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error codes of the platform.
const (
	CodeUnavailable = "unavailable"  // 503: outage; the change did not take effect
	CodeBadRequest  = "bad_request"  // 400
	CodeNotFound    = "not_found"    // 404
	CodeRateLimited = "rate_limited" // 429 with Retry-After
)
