package load

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"
)

// problemFunc records a problem with the given key of an experiment file.
type problemFunc func(key, format string, args ...any)

// maxStreams is the maximum number of streams of a closed-loop process and of
// requests in flight of an open-loop one. Each stream takes a connection and
// several goroutines, both here and in the node.
const maxStreams = 20_000

func (f File) check(addProblem problemFunc) {
	if f.Duration <= 0 {
		addProblem("duration", "must be positive")
	}
	if f.Drain < 0 {
		addProblem("drain", "must not be negative")
	}
	if f.Interruption <= 0 {
		addProblem("interruption", "must be positive")
	}
	if f.Compare != "" && f.Compare != "direct" {
		addProblem("compare", "must be \"direct\" or empty, is %q", f.Compare)
	}
	f.Arrivals.check(addProblem)
	f.Requests.check(addProblem)
	f.checkTargets(addProblem)
	f.checkTeams(addProblem)
	f.Bookings.check(addProblem)
	for i, fault := range f.Faults {
		fault.check(fmt.Sprintf("faults[%d]", i), time.Duration(f.Duration+f.Drain), addProblem)
	}
	for i, w := range f.Watch {
		if w.Name == "" || w.PIDFile == "" {
			addProblem(fmt.Sprintf("watch[%d]", i), "name and pid_file are required")
		}
	}
}

func (a Arrivals) check(addProblem problemFunc) {
	switch a.Process {
	case "poisson", "constant":
		if a.Rate <= 0 {
			addProblem("arrivals.rate", "must be positive")
		}
		if a.MaxInFlight < 1 || a.MaxInFlight > maxStreams {
			addProblem("arrivals.max_in_flight", "must be from 1 to %d, is %d", maxStreams, a.MaxInFlight)
		}
	case "closed":
		if a.Streams < 1 || a.Streams > maxStreams {
			addProblem("arrivals.streams", "must be from 1 to %d, is %d", maxStreams, a.Streams)
		}
		if a.Ramp < 0 {
			addProblem("arrivals.ramp", "must not be negative")
		}
	default:
		addProblem("arrivals.process", "must be poisson, constant or closed, is %q", a.Process)
	}
	for i, p := range a.Phases {
		key := fmt.Sprintf("arrivals.phases[%d]", i)
		if p.Factor < 0 {
			addProblem(key+".factor", "must not be negative, is %g", p.Factor)
		}
		if i > 0 && p.At <= a.Phases[i-1].At || p.At < 0 {
			addProblem(key+".at", "must be later than the phase before")
		}
	}
}

func (r Requests) check(addProblem problemFunc) {
	if len(r.Models) == 0 {
		addProblem("requests.models", "must list at least one model")
	}
	r.PromptTokens.check("requests.prompt_tokens", addProblem)
	r.AnswerTokens.check("requests.answer_tokens", addProblem)
	if r.MaxTokens < 0 {
		addProblem("requests.max_tokens", "must not be negative, is %d", r.MaxTokens)
	}
	p := r.Prefix
	if p.Share < 0 || p.Share > 1 {
		addProblem("requests.prefix.share", "must be from 0 to 1, is %g", p.Share)
	}
	if p.Count < 0 || p.Tokens < 0 || p.Share > 0 && p.Count == 0 {
		addProblem("requests.prefix", "count and tokens must not be negative, and count must be positive if share is")
	}
}

func (l Length) check(key string, addProblem problemFunc) {
	switch l.Distribution {
	case "fixed", "exponential", "lognormal":
		if l.Mean < 1 {
			addProblem(key+".mean", "must be at least 1, is %g", l.Mean)
		}
	case "uniform":
		if l.Max < 1 {
			addProblem(key+".max", "must be at least 1, is %d", l.Max)
		}
	default:
		addProblem(key+".distribution", "must be fixed, uniform, exponential or lognormal, is %q", l.Distribution)
	}
	if l.Min < 0 || l.Max < 0 || l.Max > 0 && l.Min > l.Max {
		addProblem(key+".min", "min and max must not be negative, and min must not exceed max")
	}
	if l.Sigma < 0 {
		addProblem(key+".sigma", "must not be negative, is %g", l.Sigma)
	}
}

func (f File) checkTargets(addProblem problemFunc) {
	for key, list := range map[string][]string{
		"nodes.callers": f.Nodes.Callers, "nodes.metrics": f.Nodes.Metrics, "direct.engines": f.Direct.Engines,
	} {
		for _, address := range list {
			if _, err := netip.ParseAddrPort(address); err != nil {
				addProblem(key, "%q is not an address of the form IP:port", address)
			}
		}
	}
	if len(f.Nodes.Callers) == 0 {
		addProblem("nodes.callers", "must list at least one node")
	}
	if f.Compare == "direct" && len(f.Direct.Engines) == 0 {
		addProblem("direct.engines", "must list at least one engine to compare with")
	}
	if f.Nodes.Choose != "given" && f.Nodes.Choose != "listed" {
		addProblem("nodes.choose", "must be given or listed, is %q", f.Nodes.Choose)
	}
	if f.Nodes.Silence <= 0 {
		addProblem("nodes.silence", "must be positive")
	}
	if f.Nodes.MaxAttempts < 1 {
		addProblem("nodes.max_attempts", "must be at least 1, is %d", f.Nodes.MaxAttempts)
	}
}

func (f File) checkTeams(addProblem problemFunc) {
	if len(f.Teams) == 0 {
		addProblem("customers", "must contain at least one customer")
	}
	for i, team := range f.Teams {
		key := fmt.Sprintf("customers[%d]", i)
		if team.Name == "" || team.Key == "" {
			addProblem(key, "name and key are required")
		}
		if team.Weight <= 0 {
			addProblem(key+".weight", "must be positive, is %g", team.Weight)
		}
	}
}

func (b Bookings) check(addProblem problemFunc) {
	if b.Rate < 0 {
		addProblem("bookings.rate", "must not be negative, is %g", b.Rate)
	}
	if b.Rate > 0 {
		checkURL("bookings.service_url", b.ServiceURL, addProblem)
		if b.Service == "" || !strings.HasPrefix(b.Path, "/") {
			addProblem("bookings", "service and a path that begins with a slash are required")
		}
	}
}

func checkURL(key, text string, addProblem problemFunc) {
	if u, err := url.Parse(text); err != nil || u.Scheme != "http" || u.Host == "" {
		addProblem(key, "%q is not a URL of the form http://IP:port/path", text)
	}
}

// faultMethods are the HTTP methods allowed for fault injections.
var faultMethods = []string{http.MethodPost, http.MethodPut, http.MethodDelete}

func (f Fault) check(key string, limit time.Duration, addProblem problemFunc) {
	if f.At < 0 || time.Duration(f.At) > limit {
		addProblem(key+".at", "must be between 0 and duration + drain")
	}
	switch {
	case f.URL != "" && f.Signal == "":
		checkURL(key+".url", f.URL, addProblem)
		if !slices.Contains(faultMethods, f.Method) {
			addProblem(key+".method", "must be one of %v, is %q", faultMethods, f.Method)
		}
	case f.URL == "" && f.Signal != "":
		if _, ok := signals[f.Signal]; !ok {
			addProblem(key+".signal", "must be kill, stop, continue or terminate, is %q", f.Signal)
		}
		if f.PIDFile == "" {
			addProblem(key+".pid_file", "must be the path of a file that contains the process ID")
		}
	default:
		addProblem(key, "exactly one of url and signal must be set")
	}
}
