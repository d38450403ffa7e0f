// Package routing decides which service may run a request: it matches a host
// and a path to a route, a key to a team, and a share to one service of a
// weighted route.
//
// Load pattern: every request of a host passes here, and a configuration can
// grow by hundreds of routes at once. A Table is immutable and is read without
// a lock; a new configuration is a new Table.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

const (
	// NonIdempotent requests run at most once for each attempt of a client.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of numbered events.
	Stream
)

func (k Kind) String() string { return [...]string{"non_idempotent", "idempotent", "stream"}[k] }

// Share is the weight of one service of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route says where requests of a host and a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration
	// Target is the latency objective; for a stream, that of the first event.
	Target time.Duration
	// MaxGap is the longest pause between two events of a timely stream.
	MaxGap time.Duration
	// Attempts is the largest number of backend servers that may run one request.
	Attempts int
	Priority int // 0 is the most urgent
	// Public routes need no key.
	Public bool
	// Resumable streams may continue on another backend server after the event
	// that was delivered last.
	Resumable bool
	Shares    []Share
}

// Engine holds the limits of the model engines of a service.
type Engine struct {
	Slots         int
	CacheTokens   int // memory for prompts and output, in tokens
	BytesPerToken int
	// Backups says whether an engine can keep a copy of a run's memory on another
	// engine, and Moves whether it copies a run by order.
	Backups bool
	Moves   bool
	// CopyTTL is how long a copy outlives its last part.
	CopyTTL time.Duration
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // of one backend server, from all callers
	Engine         *Engine // nil for a plain service
}

// Team is the holder of keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces that of the route if it is set.
	Priority *int
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the deployment's configuration, complete.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Table is a Config prepared for look-ups.
type Table struct {
	Config
	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Team
	services map[string]*Service
}

// NewTable prepares a configuration. The caller must not change it afterwards.
func NewTable(c Config) *Table {
	t := &Table{
		Config:   c,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Team{},
		services: map[string]*Service{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			t.byKey[key] = &t.Teams[i]
		}
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// Match returns the route with the longest prefix of path, or nil. The port of
// host does not count.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TeamOf returns the team that holds a key, or nil.
func (t *Table) TeamOf(key string) *Team { return t.byKey[key] }

// NeedsKeys reports whether routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return len(t.Teams) > 0 }

// Service returns the service of a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service for a point in [0, 1) of the route's weights.
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
