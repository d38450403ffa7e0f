// Package platformapi holds the JSON types of the HTTP protocols of the
// platform: transactional table, object store, host list and weight store.
// docs/platform-protocol.md describes them.
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

// TxnRequest is one atomic transaction: all conditions hold and all writes are
// applied, or nothing is.
type TxnRequest struct {
	// ID is chosen by the client and is only used in logs; a repeated id is not
	// recognised by the table.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Condition requires that a row has exactly this version. Version 0 requires
// that the row is absent.
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

// TxnResponse answers a transaction: status 200 with Versions when committed,
// status 409 with Conflicts when a condition failed.
type TxnResponse struct {
	Committed bool `json:"committed"`
	// Versions holds the new version of each written row.
	Versions map[string]int64 `json:"versions,omitempty"`
	// Conflicts holds the present state of each row whose condition failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Row is one row of the table. Version 0 means that it is absent. Versions of
// one key only rise, also across a delete.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// ReadRequest reads rows in one snapshot.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ReadResponse holds one row for each key of the request, in its order.
type ReadResponse struct {
	Rows []Row `json:"rows"`
}

// ScanResponse holds rows in key order. More tells that the limit cut it off.
type ScanResponse struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more"`
}

// Host is one entry of the host list. The list lags behind the truth.
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

// HostList answers RouteHosts.
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
	// Service is the name under which callers reach a plain service.
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
}

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// WeightFetch asks for permission to load a model's weights.
type WeightFetch struct {
	BackendID string `json:"backend_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
}

// Error is the body of an answer with a status of 400 or more other than a
// transaction's 409.
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
