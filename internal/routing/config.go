// Package routing determines the service for a request: it maps the request's host
// name and path to a route, its API key to a team, and a number in [0, 1) to one of
// the route's services according to their weights.
//
// Load pattern: every request is matched here, and a configuration can grow by
// hundreds of routes at once. A Table is therefore immutable and may be read by any
// goroutine without a lock; each new configuration gets a new Table.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind determines how often a request may run and how it is answered.
type Kind int

const (
	// NonIdempotent requests run at most once each time a client sends
	// them.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of numbered events.
	Stream
)

func (k Kind) String() string { return [...]string{"non_idempotent", "idempotent", "stream"}[k] }

// Share is one service of a route with its weight. Weights are relative: they
// need not add up to 1.
type Share struct {
	Service string
	Weight  float64
}

// Route assigns the requests for a host and a path prefix to one or more
// services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the upper bound on the time that a client waits for an
	// answer; 0 if the route sets none.
	Timeout time.Duration
	// LatencyTarget is the latency objective, for a stream that of the first
	// event; 0 if there is none.
	LatencyTarget time.Duration
	// MaxGap is the longest pause between two events with which a stream
	// still counts as timely; 0 if the route sets none.
	MaxGap time.Duration
	// Attempts is the maximum number of backend servers that may run one
	// request.
	Attempts int
	Priority int // 0 is the most urgent
	// Public routes can be used without an API key.
	Public bool
	// Resumable streams may continue on another backend server after the
	// last event that was delivered.
	Resumable bool
	Shares    []Share
}

// Engine holds the limits and capabilities of the model engines of a service.
type Engine struct {
	Slots         int // number of runs that an engine executes at the same time
	CacheTokens   int // memory for prompts and output, in tokens
	BytesPerToken int // memory for one token of prompt or output, in bytes
	// KeepsBackups reports whether an engine can keep a copy of a run's memory
	// up to date on another engine. CopiesOnDemand reports whether it copies a
	// run to another engine on request.
	KeepsBackups   bool
	CopiesOnDemand bool
	// CopyTTL is how long an engine keeps a copy after it last received data
	// of it; 0 if the configuration does not set it.
	CopyTTL time.Duration
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // to one backend server, from all callers together
	Engine         *Engine // nil if the backend servers are not model engines
}

// Team is a group of clients with its API keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
}

// Limits are the limits on what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the deployment's complete configuration.
type Config struct {
	Version int64
	// Era is the era of the platform's store in which the configuration was read. A
	// store that lost a version may give its number to another one in a later era.
	Era      int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Table is a Config with indexes for look-ups. It is immutable.
type Table struct {
	Config
	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Team
	byName   map[string]*Team
	services map[string]*Service
	// mostUrgent is the most urgent priority of the requests to each service, if they differ.
	mostUrgent map[string]int
}

// NewTable returns a Table of a configuration, which the caller must not change
// afterwards.
func NewTable(c Config) *Table {
	t := &Table{
		Config:   c,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Team{},
		byName:   map[string]*Team{},
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
	for i := range t.Teams {
		t.byName[t.Teams[i].Name] = &t.Teams[i]
	}
	t.mostUrgent = mostUrgent(c)
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// mostUrgent returns the most urgent priority of the requests to each service whose requests
// differ in priority.
func mostUrgent(c Config) map[string]int {
	priorities := map[string][]int{}
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			priorities[s.Service] = append(priorities[s.Service], c.Routes[i].Priority)
		}
	}
	for i := range c.Teams {
		if p := c.Teams[i].Priority; p != nil {
			for service := range priorities {
				priorities[service] = append(priorities[service], *p)
			}
		}
	}
	least := map[string]int{}
	for service, list := range priorities {
		if slices.Min(list) != slices.Max(list) {
			least[service] = slices.Min(list)
		}
	}
	return least
}

// Priority returns the priority of the requests of a team on a route: that of the team, or
// else of the route.
func (t *Table) Priority(r *Route, team string) int {
	if x := t.byName[team]; x != nil && x.Priority != nil {
		return *x.Priority
	}
	return r.Priority
}

// Ranked reports whether the requests to a service differ in priority.
func (t *Table) Ranked(service string) bool {
	_, ok := t.mostUrgent[service]
	return ok
}

// Rank returns how much less urgent a priority is than the most urgent one of a service. It is
// 0 for all if the requests to the service do not differ.
func (t *Table) Rank(service string, priority int) int {
	least, ok := t.mostUrgent[service]
	if !ok {
		return 0
	}
	return max(0, priority-least)
}

// Match returns, among the routes of host whose Prefix is a prefix of path, the one
// with the longest Prefix, or nil if there is none. It ignores the case and the
// port of host.
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

// TeamOf returns the team that an API key belongs to, or nil if the key is
// unknown.
func (t *Table) TeamOf(key string) *Team { return t.byKey[key] }

// NeedsKeys reports whether routes that are not public need an API key, which
// is the case as soon as a team is configured.
func (t *Table) NeedsKeys() bool { return len(t.Teams) > 0 }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the name of the service that a point in [0, 1) selects by the
// route's weights, or "" if the route has no services.
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
