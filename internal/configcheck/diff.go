package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// Diff tells in words what a configuration changes against another one, and what that means for
// requests under way.
func Diff(before, after routing.Config) []string {
	var d []string
	if after.Version <= before.Version {
		d = append(d, fmt.Sprintf("version %d is not above %d, so it has no effect", after.Version, before.Version))
	}
	d = append(d, diffByName("route", routesByName(before), routesByName(after), diffRoute,
		"its requests are answered 404 from now on; those under way are served to their end")...)
	d = append(d, diffByName("service", servicesByName(before), servicesByName(after), diffService,
		"requests under way at its servers are served to their end")...)
	d = append(d, diffByName("team", teamsByName(before), teamsByName(after), diffTeam,
		"its requests are answered 401 from now on")...)
	if before.Limits != after.Limits {
		d = append(d, fmt.Sprintf("limits: %+v become %+v, for requests that come from now on", before.Limits, after.Limits))
	}
	return d
}

// diffByName tells what was added, removed and changed among entries with names.
func diffByName[T any](kind string, before, after map[string]T, changed func(a, b T) []string, removed string) (d []string) {
	names := slices.Sorted(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		a, was := before[name]
		b, is := after[name]
		switch {
		case !is:
			d = append(d, fmt.Sprintf("%s %q is removed: %s", kind, name, removed))
		case !was:
			d = append(d, fmt.Sprintf("%s %q is added", kind, name))
		default:
			for _, text := range changed(a, b) {
				d = append(d, fmt.Sprintf("%s %q: %s", kind, name, text))
			}
		}
	}
	return d
}

func routesByName(c routing.Config) map[string]routing.Route {
	m := map[string]routing.Route{}
	for _, r := range c.Routes {
		m[r.Name] = r
	}
	return m
}

func servicesByName(c routing.Config) map[string]routing.Service {
	m := map[string]routing.Service{}
	for _, s := range c.Services {
		m[s.Name] = s
	}
	return m
}

func teamsByName(c routing.Config) map[string]routing.Team {
	m := map[string]routing.Team{}
	for _, t := range c.Teams {
		m[t.Name] = t
	}
	return m
}

func diffRoute(a, b routing.Route) (d []string) {
	if a.Host != b.Host || a.Prefix != b.Prefix {
		d = append(d, fmt.Sprintf("moves from %s%s to %s%s", a.Host, a.Prefix, b.Host, b.Prefix))
	}
	if a.Timeout != b.Timeout {
		d = append(d, fmt.Sprintf("timeout %v becomes %v; requests under way keep theirs", a.Timeout, b.Timeout))
	}
	if a.LatencyTarget != b.LatencyTarget || a.MaxGap != b.MaxGap {
		d = append(d, fmt.Sprintf("objective %v becomes %v, longest pause %v becomes %v", a.LatencyTarget, b.LatencyTarget, a.MaxGap, b.MaxGap))
	}
	if a.Kind != b.Kind || a.Resumable != b.Resumable || a.Attempts != b.Attempts {
		d = append(d, fmt.Sprintf("kind %v with %d attempts becomes %v with %d", a.Kind, a.Attempts, b.Kind, b.Attempts))
	}
	if a.Priority != b.Priority {
		d = append(d, fmt.Sprintf("priority %d becomes %d", a.Priority, b.Priority))
	}
	if a.Public != b.Public {
		d = append(d, fmt.Sprintf("needs a key: %t becomes %t", !a.Public, !b.Public))
	}
	if !slices.Equal(a.Shares, b.Shares) {
		d = append(d, fmt.Sprintf("services %s become %s; streams that have begun stay where they are", shares(a), shares(b)))
	}
	return d
}

func shares(r routing.Route) string {
	var list []string
	for _, s := range r.Shares {
		list = append(list, fmt.Sprintf("%s (%v)", s.Service, s.Weight))
	}
	return strings.Join(list, ", ")
}

func diffService(a, b routing.Service) (d []string) {
	if a.HealthPath != b.HealthPath || a.MaxConnections != b.MaxConnections {
		d = append(d, fmt.Sprintf("health path %s becomes %s, connections %d become %d", a.HealthPath, b.HealthPath, a.MaxConnections, b.MaxConnections))
	}
	switch {
	case (a.Engine == nil) != (b.Engine == nil):
		d = append(d, "is a service of model engines: "+fmt.Sprint(a.Engine != nil)+" becomes "+fmt.Sprint(b.Engine != nil))
	case a.Engine != nil && *a.Engine != *b.Engine:
		d = append(d, fmt.Sprintf("engines %+v become %+v", *a.Engine, *b.Engine))
	}
	return d
}

func diffTeam(a, b routing.Team) (d []string) {
	var added, removed int
	for _, key := range b.Keys {
		if !slices.Contains(a.Keys, key) {
			added++
		}
	}
	for _, key := range a.Keys {
		if !slices.Contains(b.Keys, key) {
			removed++
		}
	}
	if added > 0 {
		d = append(d, fmt.Sprintf("%d keys are added", added))
	}
	if removed > 0 {
		d = append(d, fmt.Sprintf("%d keys are removed; their requests are answered 401 from now on", removed))
	}
	if priority(a) != priority(b) {
		d = append(d, fmt.Sprintf("priority %s becomes %s", priority(a), priority(b)))
	}
	return d
}

func priority(t routing.Team) string {
	if t.Priority == nil {
		return "of the route"
	}
	return fmt.Sprint(*t.Priority)
}
