package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/eventsim"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Parameters of the simulation. The lags are those of
// internal/placement/experiment.
const (
	model         = "m"
	engineCount   = 35
	rackSize      = 9 // a quarter of the engines
	nodeCount     = 6
	networkDelay  = time.Millisecond
	pollPeriod    = 500 * time.Millisecond
	pollTimeout   = 400 * time.Millisecond
	reportLag     = 250 * time.Millisecond // from the measurement to its arrival at the node
	cacheEventLag = time.Second
	warmUp        = 20 * time.Second // no faults, not measured
)

// sim is one run of one policy with one generated load and schedule of faults.
type sim struct {
	now     time.Duration
	events  eventsim.Schedule
	policy  policy
	rng     *rand.Rand
	engines []*engine
	byID    map[ident.BackendID]*engine
	nodes   []*node
	answers []*answer
	ended   int
	length  time.Duration
	rackAt  time.Duration
	report  *report
}

func (s *sim) after(d time.Duration, run func()) {
	s.events.Add(s.now+d, run)
}

func (s *sim) time() time.Time { return time.Unix(1_800_000_000, 0).Add(s.now) }

// simulate runs one policy on the load and the faults of seed and returns the
// report.
func simulate(p policy, seed uint64, length time.Duration) (*report, error) {
	s := &sim{
		policy: p, length: length, report: newReport(),
		rng:  rand.New(rand.NewPCG(seed, 1)),
		byID: map[ident.BackendID]*engine{},
	}
	var list []platformapi.Backend
	for i := range engineCount {
		e := newEngine(s, i, seed)
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		list = append(list, platformapi.Backend{
			BackendID: string(e.id), Kind: platformapi.KindEngine, DataCentre: e.dataCentre, State: platformapi.HostLive})
	}
	for i := range nodeCount {
		n, err := newNode(s, i, seed, list)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	s.poll()
	load := generateLoad(seed, length)
	for i := range load {
		r := &load[i]
		s.after(r.at, func() { s.begin(r) })
	}
	for _, f := range generateFaults(seed, length) {
		s.after(f.at, func() { s.inject(f) })
	}
	for s.events.Len() > 0 {
		at, run := s.events.Pop()
		s.now = at
		run()
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("policy %q, seed %d: %w", p.name, seed, err)
	}
	s.accountTokens()
	return s.report, nil
}

func (s *sim) begin(r *request) {
	n := s.nodes[r.node]
	a := newAnswer(s, n, r)
	s.answers = append(s.answers, a)
	n.budget.Started(s.time())
	a.start()
}

// poll delivers load reports, cache events and peer usage to the nodes, each with
// its delay.
func (s *sim) poll() {
	if s.now > s.length && s.ended == len(s.answers) {
		return
	}
	for _, e := range s.engines {
		if e.dead || e.stopped {
			s.pollFailed(e)
			continue
		}
		load, events := e.load(), e.takeEvents()
		for _, n := range s.nodes {
			if s.now == 0 {
				n.fleet.ObserveLoad(s.time(), e.id, load)
				continue
			}
			s.after(reportLag, func() { n.fleet.ObserveLoad(s.time(), e.id, load) })
			s.after(cacheEventLag, func() { n.fleet.ObserveCache(e.id, events) })
		}
	}
	for _, n := range s.nodes {
		uses, sent := n.fleet.OwnUsage(), s.time()
		for _, peer := range s.nodes {
			if peer != n {
				s.after(networkDelay, func() { peer.fleet.ObservePeer(sent, n.host, uses) })
			}
		}
	}
	s.after(pollPeriod, s.poll)
}

// pollFailed reports to the nodes that a poll was refused or timed out, as
// package backendpool does.
func (s *sim) pollFailed(e *engine) {
	dead := e.dead
	for _, n := range s.nodes {
		if dead {
			s.after(2*networkDelay, func() { n.fleet.Died(s.time(), e.id) })
		} else {
			s.after(pollTimeout, func() { n.fleet.ConnectionFailed(s.time(), e.id) })
		}
	}
}
