package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/eventsim"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// Delays of the model.
const (
	pollPeriod    = 500 * time.Millisecond
	reportLag     = 500 * time.Millisecond // from measurement to the node
	cacheEventLag = time.Second
	oneWayDelay   = time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sim is one run of one policy on one generated load.
type sim struct {
	now     time.Duration
	events  eventsim.Schedule
	rng     *rand.Rand
	engines []*engine
	nodes   []*node
	result  result
}

// result summarizes a run after its warm-up.
type result struct {
	prompt, cached     int
	firstToken         *hdrhistogram.Histogram // microseconds
	imbalance          float64                 // sum of samples
	samples            int
	completed, refused int
	length             time.Duration // measured
	abandoned          int
}

func (s *sim) at(t time.Duration, run func()) {
	s.events.Add(t, run)
}

func (s *sim) time(t time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(t) }

// node is one yuccahatch node.
type node struct {
	sim       *sim
	host      ident.HostID
	fleet     *placement.Fleet
	admission *admission.Controller // nil without shedding
	rng       *rand.Rand
	attempts  int
	queued    map[uint64]*call
}

// call is one request of a caller.
type call struct {
	request   *request
	node      *node
	item      admission.Item
	answered  bool
	dropped   bool
	onAbandon func()
	offeredAt time.Duration
}

// runSim runs a generated load.
func runSim(load []request, nodes int, policy func(placement.Config) placement.Chooser, shed bool, seed uint64) (*result, error) {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), result: result{
		firstToken: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}}
	for i := range engines {
		s.engines = append(s.engines, newEngine(s, i))
	}
	for i := range nodes {
		n, err := s.newNode(i, nodes, policy, seed)
		if err != nil {
			return nil, err
		}
		if shed {
			if n.admission, err = newAdmission(s.time(0), load, nodes, seed+uint64(i)); err != nil {
				return nil, err
			}
		}
		s.nodes = append(s.nodes, n)
	}
	for i := range load {
		r := &load[i]
		n := s.nodes[int(r.node*float64(nodes))]
		s.at(r.at, func() { n.handle(r) })
	}
	end := load[len(load)-1].at
	s.result.length = end - warmUp
	for t := time.Duration(0); t <= end; t += pollPeriod {
		s.at(t, s.poll)
	}
	for s.events.Len() > 0 {
		at, run := s.events.Pop()
		s.now = at
		run()
	}
	return &s.result, nil
}

func (s *sim) newNode(i, nodes int, policy func(placement.Config) placement.Chooser, seed uint64) (*node, error) {
	config := placement.Config{DataCentre: ident.DataCentre(fmt.Sprintf("d%d", i%3))}
	fleet, err := placement.NewFleet(config)
	if err != nil {
		return nil, err
	}
	fleet.SetChooser(policy(config))
	var list []platformapi.Backend
	for _, e := range s.engines {
		list = append(list, platformapi.Backend{
			BackendID: e.id, Kind: platformapi.KindEngine, DataCentre: e.dataCentre, State: platformapi.HostLive})
	}
	fleet.ObserveList(list)
	return &node{sim: s, host: ident.HostID(fmt.Sprintf("h%d", i)), fleet: fleet,
		rng: rand.New(rand.NewPCG(seed, uint64(100+i))), queued: map[uint64]*call{}}, nil
}

// poll delivers load reports, cache events and peer usage to the nodes after their
// delays.
func (s *sim) poll() {
	for _, e := range s.engines {
		load := e.load()
		events := e.cache.TakeEvents()
		for _, n := range s.nodes {
			id := ident.BackendID(e.id)
			s.at(s.now+reportLag, func() { n.fleet.ObserveLoad(s.time(s.now), id, load) })
			lost := s.rng.Float64() < lostBatchRate
			s.at(s.now+cacheEventLag, func() { n.observeCache(id, events, lost) })
		}
	}
	for _, n := range s.nodes {
		uses := n.fleet.OwnUsage()
		for _, peer := range s.nodes {
			if peer != n {
				sent := s.time(s.now)
				s.at(s.now+oneWayDelay, func() { peer.fleet.ObservePeer(sent, n.host, uses) })
			}
		}
	}
	if s.now >= warmUp {
		s.sampleImbalance()
	}
}

// observeCache applies one batch. Of a lost batch only the last event
// arrives, so that the node sees a gap in the sequence numbers.
func (n *node) observeCache(id ident.BackendID, events []backendapi.CacheEvent, lost bool) {
	if lost && len(events) > 1 {
		events = events[len(events)-1:]
	}
	n.fleet.ObserveCache(id, backendapi.CacheEvents{Incarnation: 1, Events: events})
}

// sampleImbalance adds the ratio of the largest number of requests on an
// engine to the mean.
func (s *sim) sampleImbalance() {
	sum, most := 0, 0
	for _, e := range s.engines {
		n := e.running + len(e.waiting)
		sum += n
		most = max(most, n)
	}
	if sum > 0 {
		s.result.imbalance += float64(most) * engines / float64(sum)
		s.result.samples++
	}
}
