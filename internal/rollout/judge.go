package rollout

import (
	"math"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// slowBuckets is by how many buckets an answer must exceed the median of the old version
	// to count as slow: 2.8 times its time.
	slowBuckets = 1.5 * perOctave
	// minMedian is the number of answers of the old version that its median needs. With
	// fewer, an answer is slow from defaultSlow on, 4 times the expected time.
	minMedian   = 12
	defaultSlow = unitBucket + 2*perOctave
	// minRecentOld is the number of answers of the old version from which on its latest
	// answers are compared with those of the new one, and not all of its answers.
	minRecentOld = 60
	// minOldRate is the smallest share of bad answers that is assumed of an old version, and
	// oldWeight the number of answers that this assumption weighs.
	minOldRate = 0.02
	oldWeight  = 10
	// rejectAt is the logarithm of the likelihood ratio from which on a version is bad.
	rejectAt = 9.5
	// serverCap bounds what one server adds to the logarithm, so that a single faulty server
	// does not condemn its version.
	serverCap = 3.5
	// sureAt is the logarithm of the ratio at which a version counts as good. A route prevents
	// this from doubtAt on, and the latest answers from doubtLately on: they are few, and a
	// single bad one among them says little.
	sureAt      = -3.0
	doubtAt     = 2.0
	doubtLately = 4.0
	// minPerRoute is the number of answers of the new version that each route needs, unless
	// it has less than rareRoute of all answers.
	minPerRoute = 8
	rareRoute   = 0.04
)

// worse lists by how much the share of bad answers of a bad version exceeds that of the old
// one. The small one finds faults that are rare, the large one finds others early.
var worse = [...]float64{0.1, 0.3}

// windows are the times for which recent evidence is judged, besides all of it: a version may
// turn bad later.
var windows = [...]time.Duration{1500 * time.Millisecond, 5 * time.Second}

// Side is the number of answers of one version on one route, and how many of them were bad:
// failures, or slow.
type Side struct {
	Answers uint32 `json:"answers"`
	Bad     uint32 `json:"bad"`
}

func (s Side) plus(o Side) Side { return Side{s.Answers + o.Answers, s.Bad + o.Bad} }

// RouteEvidence compares the versions on one route.
type RouteEvidence struct {
	Route string `json:"route"`
	Old   Side   `json:"old"`
	New   Side   `json:"new"`
	// Ratio is the logarithm of how much likelier the answers of the new version are if it
	// is bad than if it is as good as the old one.
	Ratio float64 `json:"ratio"`
	// Failed is the number of failures among the bad answers of the new version.
	Failed uint32 `json:"failed"`

	servers map[ident.BackendID]Side
}

// Judgement is what the evidence says of the new version.
type Judgement struct {
	Routes []RouteEvidence
	// Bad is set if the version is worse than the old one, with the route that shows it most.
	Bad      bool
	BadRoute string
	// Sure is set if there is enough evidence that it is not.
	Sure bool
	// Answers is the number of answers of the new version, and Pooled the evidence of all
	// routes together.
	Answers uint32
	Pooled  RouteEvidence
}

// judge compares the versions by all evidence and by the latest.
func (e *Evidence) judge(now time.Time) Judgement {
	limits := map[string]int{}
	for k, s := range e.total {
		if !k.New() {
			limits[k.Route] = slowLimit(&s.times)
		}
	}
	all := newComparison(limits)
	for k, s := range e.total {
		all.add(k, s)
	}
	waiting := e.waiting(now)
	all.addWaiting(waiting)
	j := Judgement{Routes: all.routes()}
	pooled := all.pooled()
	j.Answers, j.Pooled = pooled.New.Answers, pooled
	j.Sure = pooled.Ratio <= sureAt && len(j.Routes) > 0
	j.check(append(j.Routes, pooled))
	for _, r := range j.Routes {
		rare := float64(r.Old.Answers+r.New.Answers) < rareRoute*float64(pooled.Old.Answers+pooled.New.Answers)
		if r.Ratio > doubtAt || r.New.Answers < minPerRoute && !rare {
			j.Sure = false
		}
	}
	for _, w := range windows {
		recent := newComparison(limits)
		e.eachSince(now, w, recent.add)
		recent.addWaiting(waiting)
		recent.completeOld(all)
		list := append(recent.routes(), recent.pooled())
		j.check(list)
		for _, r := range list {
			j.Sure = j.Sure && r.Ratio <= doubtLately
		}
	}
	return j
}

// check records the first route whose evidence shows that the version is bad.
func (j *Judgement) check(list []RouteEvidence) {
	for _, r := range list {
		if r.Ratio >= rejectAt && !j.Bad {
			j.Bad, j.BadRoute = true, r.Route
		}
	}
}

// allRoutes is the name of the evidence of all routes together.
const allRoutes = "all routes"

// comparison compares the versions by route, and over all routes. The limit from which on an
// answer is slow comes from all answers of the old version.
type comparison struct {
	limits  map[string]int
	byRoute map[string]*RouteEvidence
	sum     *RouteEvidence
}

func newComparison(limits map[string]int) *comparison {
	return &comparison{limits: limits, byRoute: map[string]*RouteEvidence{}, sum: newRouteEvidence(allRoutes)}
}

func newRouteEvidence(route string) *RouteEvidence {
	return &RouteEvidence{Route: route, servers: map[ident.BackendID]Side{}}
}

func (c *comparison) limit(route string) int {
	if limit, ok := c.limits[route]; ok {
		return limit
	}
	return defaultSlow
}

func (c *comparison) route(name string) *RouteEvidence {
	r := c.byRoute[name]
	if r == nil {
		r = newRouteEvidence(name)
		c.byRoute[name] = r
	}
	return r
}

// add adds answers.
func (c *comparison) add(k Key, s *sample) {
	x := Side{Answers: s.answers(), Bad: s.failed + s.times.above(c.limit(k.Route))}
	c.addSide(k, x, s.failed)
}

// addWaiting adds the requests without an answer that have waited for so long that their
// answers will be slow.
func (c *comparison) addWaiting(waiting map[Key]*Histogram) {
	for k, h := range waiting {
		if late := h.above(c.limit(k.Route)); late > 0 {
			c.addSide(k, Side{Answers: late, Bad: late}, 0)
		}
	}
}

func (c *comparison) addSide(k Key, x Side, failed uint32) {
	for _, r := range [...]*RouteEvidence{c.route(k.Route), c.sum} {
		if !k.New() {
			r.Old = r.Old.plus(x)
			continue
		}
		r.New = r.New.plus(x)
		r.Failed += failed
		r.servers[k.Server] = r.servers[k.Server].plus(x)
	}
}

// completeOld takes the answers of the old version from all evidence where there are few: it
// gets no requests while they move.
func (c *comparison) completeOld(all *comparison) {
	if c.sum.Old.Answers < minRecentOld {
		c.sum.Old = all.sum.Old
	}
	for name, r := range c.byRoute {
		if x := all.byRoute[name]; x != nil && r.Old.Answers < minRecentOld {
			r.Old = x.Old
		}
	}
}

func (c *comparison) routes() []RouteEvidence {
	var list []RouteEvidence
	for _, name := range sortedKeys(c.byRoute) {
		r := *c.byRoute[name]
		r.Ratio = ratio(r.Old, r.servers)
		list = append(list, r)
	}
	return list
}

func (c *comparison) pooled() RouteEvidence {
	r := *c.sum
	r.Ratio = ratio(r.Old, r.servers)
	return r
}

func slowLimit(times *Histogram) int {
	if times.total() < minMedian {
		return defaultSlow
	}
	return times.median() + slowBuckets
}

// ratio returns the logarithm of the likelihood ratio that speaks most against the new
// version. What one server adds is bounded.
func ratio(old Side, servers map[ident.BackendID]Side) float64 {
	if len(servers) == 0 {
		return 0
	}
	good := max(minOldRate, (float64(old.Bad)+minOldRate*oldWeight)/(float64(old.Answers)+oldWeight))
	good = min(good, 0.6)
	limit := max(serverCap, 1.2*rejectAt/float64(len(servers)))
	most := math.Inf(-1)
	for _, more := range worse {
		bad := min(good+more, 0.95)
		sum := 0.0
		for _, x := range servers {
			ok := float64(x.Answers - x.Bad)
			sum += min(limit, float64(x.Bad)*math.Log(bad/good)+ok*math.Log((1-bad)/(1-good)))
		}
		most = max(most, sum)
	}
	return most
}
