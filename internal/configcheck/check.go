// Package configcheck checks a version of the configuration before it is sent: errors, entries
// that can never match, limits that contradict each other, and what differs from another
// version. It does no input or output and keeps no state.
package configcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// Severity is how serious a finding is.
type Severity string

// Severities of findings.
const (
	Error   Severity = "error"   // requests are refused or go wrong because of it
	Warning Severity = "warning" // an entry has no effect, or two contradict each other
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"` // of the entry, such as routes[3].timeout
	Message  string   `json:"message"`
}

// Limits of this product that a configuration may exceed.
const (
	maxHeaderBytes = 64 << 10
	maxIdleTime    = 75 * time.Second
)

// findings collects what is wrong.
type findings []Finding

func (f *findings) add(s Severity, path, format string, args ...any) {
	*f = append(*f, Finding{s, path, fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a configuration, in the order of its entries.
func Check(c routing.Config) []Finding {
	var f findings
	f.checkServices(c)
	f.checkRoutes(c)
	f.checkTeams(c)
	f.checkLimits(c.Limits)
	return f
}

func (f *findings) checkServices(c routing.Config) {
	used := map[string]bool{}
	for _, r := range c.Routes {
		for _, s := range r.Shares {
			used[s.Service] = true
		}
	}
	first := map[string]int{}
	for i, s := range c.Services {
		path := fmt.Sprintf("services[%d] %q", i, s.Name)
		if j, ok := first[s.Name]; ok {
			f.add(Error, path, "has the name of services[%d], which is not used", j)
		}
		first[s.Name] = i
		if !used[s.Name] {
			f.add(Warning, path, "no route leads to it")
		}
		if e := s.Engine; e != nil && s.MaxConnections > 0 && s.MaxConnections < e.Slots {
			f.add(Warning, path, "accepts %d connections but has %d slots, which can never all be in use", s.MaxConnections, e.Slots)
		}
	}
}

func (f *findings) checkRoutes(c routing.Config) {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	first := map[place]int{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes[%d] %q", i, r.Name)
		at := place{strings.ToLower(r.Host), r.Prefix}
		if j, ok := first[at]; ok {
			f.add(Error, path, "never matches: routes[%d] has the same host and prefix", j)
		} else {
			first[at] = i
		}
		if r.Host == "" {
			f.add(Error, path, "never matches: the host is empty")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			f.add(Error, path, "prefix %q does not begin and end with a slash", r.Prefix)
		}
		f.checkShares(path, r, services)
		f.checkTimes(path, r)
	}
}

func (f *findings) checkShares(path string, r routing.Route, services map[string]bool) {
	total := 0.0
	for _, s := range r.Shares {
		switch {
		case !services[s.Service]:
			f.add(Error, path, "service %q does not exist; its requests are refused", s.Service)
		case s.Weight < 0:
			f.add(Error, path, "weight %v of service %q is negative", s.Weight, s.Service)
		case s.Weight == 0:
			f.add(Warning, path, "service %q has the weight 0 and gets no requests", s.Service)
		}
		total += max(s.Weight, 0)
	}
	if total == 0 {
		f.add(Error, path, "has no service with a weight above 0")
	}
}

func (f *findings) checkTimes(path string, r routing.Route) {
	if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		f.add(Warning, path, "objective %v is above the timeout %v: requests end before they can miss it", r.LatencyTarget, r.Timeout)
	}
	if r.Timeout > 0 && r.MaxGap > r.Timeout {
		f.add(Warning, path, "longest pause %v is above the timeout %v", r.MaxGap, r.Timeout)
	}
	once := r.Kind == routing.NonIdempotent || r.Kind == routing.Stream && !r.Resumable
	switch {
	case r.Attempts < 1:
		f.add(Warning, path, "attempts is %d; one is made", r.Attempts)
	case once && r.Attempts > 1:
		f.add(Warning, path, "allows %d attempts, but its requests run once at most", r.Attempts)
	}
	if r.Kind != routing.Stream && (r.Resumable || r.MaxGap > 0) {
		f.add(Warning, path, "is not a stream: resuming and the longest pause have no effect")
	}
}

func (f *findings) checkTeams(c routing.Config) {
	holder := map[string]int{}
	for i, t := range c.Teams {
		path := fmt.Sprintf("teams[%d] %q", i, t.Name)
		if len(t.Keys) == 0 {
			f.add(Warning, path, "has no key, so no request is its own")
		}
		for _, key := range t.Keys {
			if j, ok := holder[key]; ok && j != i {
				f.add(Error, path, "has a key of teams[%d], whose requests then count as its own", j)
			}
			holder[key] = i
		}
	}
	if len(c.Teams) == 0 {
		return
	}
	for i, r := range c.Routes {
		if !r.Public && len(holder) == 0 {
			f.add(Error, fmt.Sprintf("routes[%d] %q", i, r.Name), "needs a key, but no team has one")
		}
	}
}

func (f *findings) checkLimits(l routing.Limits) {
	if l.HeaderBytes > maxHeaderBytes {
		f.add(Warning, "limits", "heads of %d bytes are allowed, nodes accept %d", l.HeaderBytes, maxHeaderBytes)
	}
	if l.IdleTimeout > maxIdleTime {
		f.add(Warning, "limits", "clients may reuse connections that are idle for up to %v, nodes close them after %v", l.IdleTimeout, maxIdleTime)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		f.add(Warning, "limits", "the time for a head, %v, is above the idle time %v", l.HeaderTimeout, l.IdleTimeout)
	}
	if l.BodyBytes <= 0 {
		f.add(Warning, "limits", "no limit of bodies")
	}
}
