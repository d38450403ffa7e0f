// Package placement chooses the backend server for a request: filters remove
// servers that may not be used, scorers add up the expected cost of the rest
// in milliseconds, and a picker takes one.
//
// Costs are expected milliseconds to the first token. Inputs are stale: load
// reports lag by up to seconds and are corrected by this node's own sends and
// by its peers' counts; the cache index is built from late events and is a
// hint only. Times of load reports are the server's clock, which is assumed to
// agree with this node's to well under the lag of a report.
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

// Request is what placement needs to know of one attempt.
type Request struct {
	// Model is the model of a generation; Service the name of a plain service.
	// Exactly one is set.
	Model   string
	Service string
	// PromptTokens counts the prompt and, for a resume, the accepted text.
	PromptTokens int
	// Prefixes are the hashes of the text's prefixes, see PrefixHashes.
	Prefixes []uint64
	// Resume tells that the attempt continues an interrupted generation.
	Resume bool
	// Weight is resume.weight: 0 saves resources, 1 saves latency.
	Weight float64
	// Exclude names servers that must not be used: those that this generation
	// lost, and those that run a suspect which must not share a server.
	Exclude []ident.BackendID

	held   []heldPrefix // computed once for all servers by Choose
	heldOK bool
}

// cachedOn returns how many prompt tokens are believed to be cached on s. All
// servers of one choice belong to one Fleet.
func (r *Request) cachedOn(s *Server) int {
	if !r.heldOK {
		r.held, r.heldOK = s.cache.known.held(r.Prefixes), true
	}
	return s.cache.cachedTokens(r.held)
}

// Filter removes servers that may not be used.
type Filter interface {
	// Refuse returns why the server may not be used, or the empty cause.
	Refuse(r *Request, s *Server, now time.Time) Cause
}

// Scorer estimates one part of the cost of a server.
type Scorer interface {
	// Name names the part in reasons.
	Name() Cause
	// Score returns expected milliseconds; less is better.
	Score(r *Request, s *Server, now time.Time) float64
}

// Picker takes one of the candidates, which are sorted by rising cost and then
// by id, and are never empty.
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
	CauseNotListed   Cause = "not_listed"
	CauseOtherModel  Cause = "model_not_loaded"
	CauseLeaving     Cause = "leaving"
	CauseBreakerOpen Cause = "breaker_open"
	CauseExcluded    Cause = "excluded"
	CauseWait        Cause = "wait"
	CausePrefill     Cause = "uncached_prefill"
	CauseDistance    Cause = "distance"
	CauseChosen      Cause = "chosen"
)

// Reason is one step of a decision, for the explain record.
type Reason struct {
	Backend ident.BackendID
	Cause   Cause
	// MS is the expected cost of a scored part or of the chosen server.
	MS float64
}

// Chooser combines the three steps.
type Chooser struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// Choose returns the server for a request and the reasons: one for each
// refused server, then the parts and the sum of the chosen one's cost.
func (c Chooser) Choose(r Request, servers []*Server, now time.Time, rng *rand.Rand) (ident.BackendID, []Reason, error) {
	r.heldOK = false
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
		return "", reasons, noServer(&r, reasons)
	}
	slices.SortFunc(candidates, byCost)
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

func byCost(a, b Candidate) int {
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

func noServer(r *Request, reasons []Reason) error {
	counts := map[Cause]int{}
	for _, reason := range reasons {
		counts[reason.Cause]++
	}
	what := "model " + r.Model
	if r.Service != "" {
		what = "service " + r.Service
	}
	if counts[CauseOtherModel]+counts[CauseNotListed] == len(reasons) {
		return newError(CodeUnknownModel).Errorf("no listed backend server has %s", what)
	}
	return newError(CodeUnavailable).With("causes", counts).Errorf(
		"no backend server with %s can be used: %d leaving, %d with open breaker, %d excluded",
		what, counts[CauseLeaving], counts[CauseBreakerOpen], counts[CauseExcluded])
}

// Default returns the chooser of section 7 of docs/design.md.
func Default(config Config) Chooser {
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
			return CauseOtherModel
		}
		return ""
	}
	if s.Kind != platformapi.KindEngine || !slices.Contains(s.Load.Models, r.Model) {
		return CauseOtherModel
	}
	return ""
}

// NotLeaving requires that neither the host list nor the server itself says
// that it leaves.
type NotLeaving struct{}

// Refuse implements Filter.
func (NotLeaving) Refuse(_ *Request, s *Server, _ time.Time) Cause {
	if s.ListLeaving || s.Load.Leaving {
		return CauseLeaving
	}
	return ""
}

// BreakerAllows requires a closed breaker, or a half-open one without a probe
// under way.
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
