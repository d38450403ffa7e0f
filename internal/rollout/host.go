package rollout

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
)

const (
	// planTTL is how long a host follows a plan that was not renewed. After it the host
	// sends nothing new to the new version: the coordinator may have rolled it back.
	planTTL = 2500 * time.Millisecond
	// newcomerHold is how long a version that has just appeared beside others gets no
	// requests, so that an order that names it is known first.
	newcomerHold = 1500 * time.Millisecond
	// resumeGrace is how long streams that a rolled-back version began may still be sent to
	// it. It is well below the time within which such a version must get no requests.
	resumeGrace = 2 * time.Second
)

// Host assigns the requests of one host to versions, and counts their answers.
type Host struct {
	// Limits are those of the deployment; the zero value switches roll-outs off. They are
	// set before the Host is used.
	Limits Limits

	active atomic.Bool // there is an order, or a version that is held back

	mu       sync.Mutex
	services map[string]*service           // guarded by mu
	seen     map[string]map[string]version // guarded by mu; by service and version
	// forgotten holds the latest order of each service that was withdrawn. Guarded by mu.
	forgotten map[string]ID
	// running counts requests by service and version, without an order too: what runs when
	// one comes must have ended before it is completed. Guarded by mu.
	running map[string]map[string]*running
}

// version is when a version of a service was first seen.
type version struct {
	at   time.Time
	held bool
}

// service is the state of a service with an order.
type service struct {
	order     Order
	orderedAt time.Time
	plan      Plan
	renewedAt time.Time // of the plan
	verdictAt time.Time // when the plan became final here
	withdrawn bool      // the operator has removed the order
	// abandoned lists the versions of earlier orders that were not done.
	abandoned []string
	evidence  counts
}

// SetOrder records an order, and reports whether it is new or differs from the one known.
// An order that was written again in a later era of the store keeps its progress.
func (h *Host) SetOrder(now time.Time, o Order) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.setOrder(now, o)
}

// setOrder is SetOrder with the lock held.
func (h *Host) setOrder(now time.Time, o Order) bool {
	if h.services == nil {
		h.services, h.forgotten = map[string]*service{}, map[string]ID{}
	}
	h.active.Store(true)
	s := h.services[o.Service]
	switch {
	case !h.forgotten[o.Service].Before(o.ID):
		return false
	case s != nil && !s.order.ID.Before(o.ID):
		return false
	case s != nil && s.order.ID.Era != o.ID.Era && s.order.SameAs(o):
		// The restored store may lack the verdict.
		s.order.ID, s.plan.ID, s.plan.Stored = o.ID, o.ID, false
		return true
	}
	next := &service{order: o, orderedAt: now, plan: o.firstPlan()}
	if s != nil && s.plan.Phase != Done {
		next.abandoned = slices.DeleteFunc(s.untested(), func(v string) bool { return v == o.To })
	}
	h.services[o.Service] = next
	return true
}

// Withdraw removes the order for a service once it has a verdict.
func (h *Host) Withdraw(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.services[name]; s != nil {
		s.withdrawn = true
		h.forgetWithdrawn(s)
	}
}

// forgetWithdrawn removes a withdrawn order that has a stored verdict. The lock is held.
func (h *Host) forgetWithdrawn(s *service) {
	if s.withdrawn && s.plan.Stored {
		h.forgotten[s.order.Service] = s.order.ID
		delete(h.services, s.order.Service)
	}
}

// Orders returns the orders that have no stored verdict yet, as far as this host knows, if
// pending is set, and else all.
func (h *Host) Orders(pending bool) []Order {
	if !h.active.Load() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Order
	for _, s := range h.services {
		if !pending || !s.plan.Phase.Final() || !s.plan.Stored {
			list = append(list, s.order)
		}
	}
	slices.SortFunc(list, func(a, b Order) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// PlanOf returns the plan for a service, with the time since the order as this host knows it.
func (h *Host) PlanOf(now time.Time, name string) (Plan, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		return Plan{}, false
	}
	p := s.plan
	return s.current(now, p), true
}

// current returns a plan with its times as of now.
func (s *service) current(now time.Time, p Plan) Plan {
	p.ElapsedMs = s.elapsed(now).Milliseconds()
	if !s.renewedAt.IsZero() {
		p.PhaseMs += now.Sub(s.renewedAt).Milliseconds()
	}
	return p
}

// elapsed returns the time since the order: the longer one of what this host has seen and
// what the plan tells.
func (s *service) elapsed(now time.Time) time.Duration {
	elapsed := now.Sub(s.orderedAt)
	if !s.renewedAt.IsZero() {
		elapsed = max(elapsed, time.Duration(s.plan.ElapsedMs)*time.Millisecond+now.Sub(s.renewedAt))
	}
	return elapsed
}

// Follow takes over a plan, and reports whether it changed the phase. A host that has not read
// the order learns it from the plan.
func (h *Host) Follow(now time.Time, name string, p Plan) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setOrder(now, p.order(name))
	s := h.services[name]
	if s == nil || !p.Supersedes(s.plan) {
		return false
	}
	changed := p.Phase != s.plan.Phase
	s.plan, s.renewedAt = p, now
	if changed && p.Phase.Final() {
		s.verdictAt = now
	}
	h.forgetWithdrawn(s)
	return changed
}

// Observe records which versions the servers of each service have. A version that appears
// beside others gets no requests for a moment if there is no order for its service.
func (h *Host) Observe(now time.Time, versions map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen == nil {
		h.seen = map[string]map[string]version{}
	}
	held := false
	for name, list := range versions {
		known := h.seen[name]
		first := known == nil
		if first {
			known = map[string]version{}
			h.seen[name] = known
		}
		for _, v := range list {
			x, ok := known[v]
			switch {
			case !ok:
				x = version{at: now, held: !first}
			case x.held && now.Sub(x.at) >= newcomerHold:
				x.held = false
			}
			known[v] = x
			held = held || x.held
		}
	}
	h.active.Store(held || len(h.services) > 0)
}

// Pool returns the servers of a service among which a request that no version has begun may
// be placed. point is a random number in [0, 1). retry is set if the request has failed
// before: while a version is tested, others repeat its requests.
func (h *Host) Pool(now time.Time, name string, retry bool, point float64) fleet.Pool {
	if h == nil || !h.active.Load() {
		return fleet.Pool{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		return h.withoutNewcomer(name)
	}
	p := s.plan
	fresh := now.Sub(s.renewedAt) < planTTL
	seed := xxh3.HashString(s.order.Service + " " + s.order.To)
	switch {
	case p.Phase == Done:
		return fleet.Pool{Only: p.To}
	case p.Phase == Moving && fresh:
		return fleet.Pool{Only: p.To}
	case p.Phase == Testing && fresh && !retry && point < p.Share:
		return fleet.Pool{Only: p.To, First: p.Servers, Seed: seed}
	case p.Phase == RolledBack:
		return fleet.Pool{Except: s.untested(), Strict: true}
	}
	return fleet.Pool{Except: s.untested()}
}

// untested returns the versions that have not been found good.
func (s *service) untested() []string {
	return append(s.abandoned[:len(s.abandoned):len(s.abandoned)], s.order.To)
}

func (h *Host) withoutNewcomer(name string) fleet.Pool {
	for v, x := range h.seen[name] {
		if x.held {
			return fleet.Pool{Except: []string{v}}
		}
	}
	return fleet.Pool{}
}

// MayResume reports whether a stream that a version began may still be sent to it, if it has
// servers.
func (h *Host) MayResume(now time.Time, name, version string) bool {
	if h == nil || !h.active.Load() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	return s == nil || s.plan.Phase != RolledBack || version != s.plan.To || now.Sub(s.verdictAt) < resumeGrace
}

// Ended reports whether the servers of a version are being stopped because another one has
// replaced it, so that a stream that it began cannot continue once they are gone.
func (h *Host) Ended(name, version string) bool {
	if h == nil || !h.active.Load() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	return s != nil && s.plan.Phase == Done && version != s.plan.To
}
