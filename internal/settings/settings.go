// Package settings decodes and validates the static settings of a node.
//
// The struct tags of Settings are the only definition of each key: the defaults,
// the limits and docs/settings.md are derived from them. The package has no mutable
// state and may be used by any number of goroutines.
package settings

import (
	"errors"
	"net/netip"
	"time"
)

// Settings is a complete, validated settings document. The tags of a key are
// `default` (a key without it is required, unless `optional` is set), `min` and
// `max` (both inclusive), `oneof` (the allowed words, separated by spaces), `form`
// (a key of stringRules), `unit` and `doc`.
type Settings struct {
	Host        Host         `toml:"host"`
	DataCentres []DataCentre `toml:"data_centres" doc:"Data centres of the deployment; at least one."`
	Listen      Listen       `toml:"listen"`
	Platform    Platform     `toml:"platform"`
	Security    Security     `toml:"security"`
	Contracts   Contracts    `toml:"contracts"`
	Membership  Membership   `toml:"membership"`
	Copies      Copies       `toml:"copies"`
	Resume      Resume       `toml:"resume"`
	Detection   Detection    `toml:"detection"`
	Admission   Admission    `toml:"admission"`
	Limits      Limits       `toml:"limits"`
	Orders      Orders       `toml:"orders"`
	Leave       Leave        `toml:"leave"`
	Log         Log          `toml:"log"`
}

// Host identifies the host that the node runs on.
type Host struct {
	ID          string   `toml:"id" form:"name" doc:"Id of this host as in the host list."`
	DataCentre  string   `toml:"data_centre" form:"name" doc:"Data centre of this host; one of data_centres."`
	NearRegions []string `toml:"near_regions" optional:"true" form:"name" doc:"Other regions, nearest first; used when this region has no other data centre. Regions not named here come last, by name."`
}

// DataCentre is one data centre of the deployment.
type DataCentre struct {
	Name   string `toml:"name" form:"name" doc:"Name of the data centre."`
	Region string `toml:"region" form:"name" doc:"Region; data centres of one region are close to each other."`
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	Callers   Address `toml:"callers" doc:"HTTP address for callers."`
	Operators Address `toml:"operators" doc:"HTTP address for operators and metrics."`
	Nodes     Address `toml:"nodes" doc:"gRPC address for other nodes."`
}

// Platform configures the access to the platform's services.
type Platform struct {
	URL     string   `toml:"url" form:"url" doc:"Base URL of table, object store, host list and weight store."`
	Timeout Duration `toml:"timeout" default:"2s" min:"10ms" max:"60s" doc:"Limit of one call of the platform."`
}

// Security holds keys and certificates.
type Security struct {
	CursorKeyFile     string   `toml:"cursor_key_file" form:"text" doc:"File with the deployment's key that authenticates cursors."`
	OperatorKeyHashes []string `toml:"operator_key_hashes" optional:"true" form:"sha256" doc:"SHA-256 hashes of the bearer keys of operators; none means that no operator is let in."`
	CAFile            string   `toml:"ca_file" optional:"true" doc:"PEM file with the deployment authority for connections between nodes."`
	CertificateFile   string   `toml:"certificate_file" optional:"true" doc:"PEM file with this node's certificate."`
	PrivateKeyFile    string   `toml:"private_key_file" optional:"true" doc:"PEM file with this node's private key."`
	Insecure          bool     `toml:"insecure" default:"false" doc:"Plaintext between nodes. Required to be true when the three TLS files are empty, and false when they are set."`
	ReloadInterval    Duration `toml:"reload_interval" default:"10s" min:"100ms" max:"1h" doc:"How often the TLS files are read again."`
}

// Contracts configures how a node receives contract changes.
type Contracts struct {
	PollInterval   Duration `toml:"poll_interval" default:"500ms" min:"10ms" max:"60s" doc:"How often the contract log is polled."`
	StalenessLimit Duration `toml:"staleness_limit" default:"5s" min:"100ms" max:"60s" doc:"Age of the last proof of freshness at which the node counts as isolated."`
}

// Membership configures how the states of nodes are determined.
type Membership struct {
	HeartbeatInterval Duration `toml:"heartbeat_interval" default:"500ms" min:"10ms" max:"10s" doc:"Time between heartbeats to a peer."`
	SuspectAfter      Duration `toml:"suspect_after" default:"2s" min:"50ms" max:"60s" doc:"Silence after which a node is suspected; above heartbeat_interval."`
	DeadAfter         Duration `toml:"dead_after" default:"10s" min:"100ms" max:"10m" doc:"Silence after which a node is dead; above suspect_after."`
	HostListInterval  Duration `toml:"host_list_interval" default:"1s" min:"10ms" max:"60s" doc:"How often the host list is polled."`
}

// Copies configures the replication of journals.
type Copies struct {
	Mode               string   `toml:"mode" default:"acknowledged" oneof:"acknowledged behind off" doc:"acknowledged: tokens are released after a copy is acknowledged; behind: copies follow; off: no copies."`
	FlushInterval      Duration `toml:"flush_interval" default:"2ms" min:"100us" max:"1s" doc:"Shortest time between two messages to one replica node."`
	AcknowledgeTimeout Duration `toml:"acknowledge_timeout" default:"200ms" min:"1ms" max:"10s" doc:"Time without acknowledgement after which another replica node is chosen."`
	MemoryLimitMiB     int      `toml:"memory_limit_mib" default:"256" min:"1" max:"1048576" unit:"MiB" doc:"Memory for copies held for other nodes."`
	Retention          Duration `toml:"retention" default:"2m" min:"1s" max:"24h" doc:"How long a copy is kept after its last change."`
}

// Resume configures how interrupted generations are resumed.
type Resume struct {
	Weight        float64 `toml:"weight" default:"0.85" min:"0" max:"1" unit:"fraction" doc:"0 saves resources, 1 saves latency."`
	MaxAttempts   int     `toml:"max_attempts" default:"5" min:"1" max:"100" unit:"attempts" doc:"Attempts of one generation, the first included."`
	BudgetRatio   float64 `toml:"budget_ratio" default:"0.2" min:"0" max:"1" unit:"resumes per new generation" doc:"Resumes that each new generation adds to the retry budget."`
	BudgetMinimum int     `toml:"budget_minimum" default:"10" min:"0" max:"100000" unit:"resumes" doc:"Capacity of the retry budget of an idle node."`
}

// Detection configures the silence timeout of a stream.
type Detection struct {
	Minimum     Duration `toml:"minimum" default:"250ms" min:"1ms" max:"60s" doc:"Lower limit of the silence timeout."`
	Maximum     Duration `toml:"maximum" default:"1.5s" min:"1ms" max:"60s" doc:"Upper limit of the silence timeout; at least minimum."`
	GapMultiple float64  `toml:"gap_multiple" default:"4" min:"1" max:"100" unit:"multiple" doc:"Silence timeout as a multiple of the 99th percentile of recent gaps."`
}

// Admission configures the request queues of a node.
type Admission struct {
	MaxWait              Duration `toml:"max_wait" default:"2s" min:"0s" max:"60s" doc:"Expected wait above which a request is refused at once."`
	QueueRequestsPerTeam int      `toml:"queue_requests_per_customer" default:"256" min:"1" max:"100000" unit:"requests" doc:"Requests of one customer that may wait in this node."`
}

// Limits configures the limits on requests and connections of callers.
type Limits struct {
	MaxBodyBytes    int64 `toml:"max_body_bytes" default:"4194304" min:"1024" max:"33554432" unit:"bytes" doc:"Largest request body."`
	MaxConnections  int   `toml:"max_connections" default:"4096" min:"1" max:"1000000" unit:"connections" doc:"Requests of callers under way; further ones are refused with 503 overloaded."`
	MaxOutputTokens int   `toml:"max_output_tokens" default:"32768" min:"1" max:"10000000" unit:"tokens" doc:"Upper limit of the tokens of one answer."`
}

// Orders configures the placement of models on engines.
type Orders struct {
	Enabled bool `toml:"enabled" default:"true" doc:"Whether this node may plan which engine runs which model. Engines with several models are left as they are."`
}

// Leave configures the graceful shutdown of a node.
type Leave struct {
	Grace Duration `toml:"grace" default:"2s" min:"0s" max:"60s" doc:"Time between the announcement and the refusal of new work."`
	Limit Duration `toml:"limit" default:"0s" min:"0s" max:"24h" doc:"Time after which requests in flight are cut off; 0s means never."`
}

// Log configures the log of a node.
type Log struct {
	Level string `toml:"level" default:"info" oneof:"debug info warning error" doc:"Least severe level that is written."`
}

// RegionOf returns the region of a data centre, or "" if it is not listed.
func (s *Settings) RegionOf(dataCentre string) string {
	for _, dc := range s.DataCentres {
		if dc.Name == dataCentre {
			return dc.Region
		}
	}
	return ""
}

// TLS reports whether connections between nodes use mutual TLS.
func (s *Settings) TLS() bool { return s.Security.CAFile != "" }

// Duration is a time span, written in documents with a unit, e.g. "500ms".
type Duration struct{ time.Duration }

var errDuration = errors.New("not a duration with a unit")

// UnmarshalText implements encoding.TextUnmarshaler. It rejects "0" without a
// unit, which time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		return errDuration
	}
	d.Duration = parsed
	return nil
}

// Address is an IP address and a port, written as IP:port. Host names are not
// accepted, because a node must be able to start without name resolution.
type Address struct{ netip.AddrPort }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return err
	}
	a.AddrPort = parsed
	return nil
}
