// Package placement chooses the backend server for a request: filters reject
// servers that must not be used, scorers add up the expected cost of each
// remaining one, and a picker chooses one of them.
//
// Costs are expected milliseconds to the first token. Inputs are stale: load
// reports lag by up to seconds and are corrected for the attempts of this node
// and its peers since then; the cache index is built from late events and is
// only a hint. Load reports carry times of the server's clock, whose difference
// from this node's clock is assumed to be far smaller than the lag of a report.
//
// A Fleet is owned by one goroutine or guarded by its owner's lock. A Chooser
// is immutable and may be shared; the random source may not.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Request describes one attempt to place.
type Request struct {
	// Model is the model of a generation; Service the name of a plain service.
	// Exactly one is set.
	Model   string
	Service string
	// PromptTokens is the number of tokens of the prompt and, for a resume, of
	// the output accepted so far.
	PromptTokens int
	// Prefixes are the hashes of the prefixes of that text; see PrefixHashes.
	Prefixes []uint64
	// Resume is set if the attempt continues an interrupted generation.
	Resume bool
	// Weight is the setting resume.weight, from 0 to 1: 0 saves resources, 1
	// saves latency.
	Weight float64
	// Exclude lists servers that must not be used: those on which this
	// generation failed, and those that run a suspect (package quarantine)
	// that must be kept apart from this one.
	Exclude []ident.BackendID

	cachedPrefixes    []cachedPrefix // computed once for all servers of a Choose call
	cachedPrefixesSet bool
}

// cachedTokensOn returns the estimated number of prompt tokens cached on s. All
// servers of one Choose call must belong to one Fleet.
func (r *Request) cachedTokensOn(s *Server) int {
	if !r.cachedPrefixesSet {
		r.cachedPrefixes, r.cachedPrefixesSet = s.cache.prefixCounts.cached(r.Prefixes), true
	}
	return s.cache.cachedTokens(r.cachedPrefixes)
}

// Filter rejects servers that must not be used.
type Filter interface {
	// Refuse returns why the server must not be used, or the empty cause if it
	// may be.
	Refuse(r *Request, s *Server, now time.Time) Cause
}

// Scorer estimates one part of the cost of a server.
type Scorer interface {
	// Name returns the cause that names this part in a Reason.
	Name() Cause
	// Score returns the expected cost in milliseconds; lower is better.
	Score(r *Request, s *Server, now time.Time) float64
}

// Picker returns the index of one of the candidates, which are sorted by
// ascending cost and then by server ID. There is at least one candidate.
type Picker interface {
	Pick(candidates []Candidate, rng *rand.Rand) int
}

// Candidate is a server that passed all filters.
type Candidate struct {
	Server *Server
	CostMS float64
}

// Cause names why a server was refused, or a part of the cost.
type Cause string

// Causes of refusals and parts of the cost.
const (
	CauseNotListed      Cause = "not_listed"
	CauseModelNotLoaded Cause = "model_not_loaded"
	CauseLeaving        Cause = "leaving"
	CauseBreakerOpen    Cause = "breaker_open"
	CauseExcluded       Cause = "excluded"
	CauseWait           Cause = "wait"
	CausePrefill        Cause = "uncached_prefill"
	CauseDistance       Cause = "distance"
	CauseChosen         Cause = "chosen"
)

// Reason is one step of a decision, for the explain record.
type Reason struct {
	Backend ident.BackendID
	Cause   Cause
	// MS is the expected cost of a scored part or of the chosen server.
	MS float64
}

// Chooser chooses a server by its filters, scorers and picker.
type Chooser struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// Choose returns the server for a request and the reasons: one for each
// rejected server, then one for each part and one for the sum of the chosen
// server's cost.
func (c Chooser) Choose(r Request, servers []*Server, now time.Time, rng *rand.Rand) (ident.BackendID, []Reason, error) {
	r.cachedPrefixesSet = false
	var reasons []Reason
	var candidates []Candidate
	for _, s := range servers {
		if cause := c.refuse(&r, s, now); cause != "" {
			reasons = append(reasons, Reason{Backend: s.ID, Cause: cause})
			continue
		}
		candidates = append(candidates, Candidate{Server: s, CostMS: c.cost(&r, s, now)})
	}
	if len(candidates) == 0 {
		return "", reasons, noServerError(&r, reasons)
	}
	slices.SortFunc(candidates, compareByCost)
	chosen := candidates[c.Picker.Pick(candidates, rng)]
	for _, scorer := range c.Scorers {
		reasons = append(reasons, Reason{chosen.Server.ID, scorer.Name(), scorer.Score(&r, chosen.Server, now)})
	}
	return chosen.Server.ID, append(reasons, Reason{chosen.Server.ID, CauseChosen, chosen.CostMS}), nil
}

func (c Chooser) refuse(r *Request, s *Server, now time.Time) Cause {
	for _, f := range c.Filters {
		if cause := f.Refuse(r, s, now); cause != "" {
			return cause
		}
	}
	return ""
}

func (c Chooser) cost(r *Request, s *Server, now time.Time) float64 {
	sum := 0.0
	for _, scorer := range c.Scorers {
		sum += scorer.Score(r, s, now)
	}
	return sum
}

func compareByCost(a, b Candidate) int {
	switch {
	case a.CostMS < b.CostMS:
		return -1
	case a.CostMS > b.CostMS:
		return 1
	case a.Server.ID < b.Server.ID:
		return -1
	case a.Server.ID > b.Server.ID:
		return 1
	}
	return 0
}

func noServerError(r *Request, reasons []Reason) error {
	counts := map[Cause]int{}
	for _, reason := range reasons {
		counts[reason.Cause]++
	}
	what := "model " + r.Model
	if r.Service != "" {
		what = "service " + r.Service
	}
	if counts[CauseModelNotLoaded]+counts[CauseNotListed] == len(reasons) {
		return newError(CodeUnknownModel).Errorf("no listed backend server has %s", what)
	}
	return newError(CodeUnavailable).With("causes", counts).Errorf(
		"no backend server with %s can be used: %d leaving, %d with open breaker, %d excluded",
		what, counts[CauseLeaving], counts[CauseBreakerOpen], counts[CauseExcluded])
}

// DefaultChooser returns the default chooser, described in section 7 of docs/design.md.
func DefaultChooser(config Config) Chooser {
	config = config.withDefaults()
	return Chooser{
		Filters: []Filter{Serves{}, NotLeaving{}, BreakerAllows{}, NotExcluded{}},
		Scorers: []Scorer{Wait{config}, Prefill{config}, Distance{config}},
		Picker:  TwoChoices{Slack: config.Slack},
	}
}

// Serves requires that the server is listed and has the request's model loaded
// or is the request's service.
type Serves struct{}

// Refuse implements Filter.
func (Serves) Refuse(r *Request, s *Server, _ time.Time) Cause {
	if !s.Listed {
		return CauseNotListed
	}
	if r.Service != "" {
		if s.Kind != platformapi.KindService || s.Service != r.Service {
			return CauseModelNotLoaded
		}
		return ""
	}
	if s.Kind != platformapi.KindEngine || !slices.Contains(s.Load.Models, r.Model) {
		return CauseModelNotLoaded
	}
	return ""
}

// NotLeaving requires that neither the host list nor the server's own load
// report marks the server as leaving.
type NotLeaving struct{}

// Refuse implements Filter.
func (NotLeaving) Refuse(_ *Request, s *Server, _ time.Time) Cause {
	if s.ListLeaving || s.Load.Leaving {
		return CauseLeaving
	}
	return ""
}

// BreakerAllows requires a closed circuit breaker, or a half-open one without a
// probe in flight.
type BreakerAllows struct{}

// Refuse implements Filter.
func (BreakerAllows) Refuse(_ *Request, s *Server, now time.Time) Cause {
	if !s.breaker.allows(now) {
		return CauseBreakerOpen
	}
	return ""
}

// NotExcluded requires that the request does not exclude the server.
type NotExcluded struct{}

// Refuse implements Filter.
func (NotExcluded) Refuse(r *Request, s *Server, _ time.Time) Cause {
	if slices.Contains(r.Exclude, s.ID) {
		return CauseExcluded
	}
	return ""
}
