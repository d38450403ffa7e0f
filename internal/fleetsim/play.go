package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/eventsim"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/overload"
)

const (
	service = "engines"
	// newsDelay is the time until other hosts know of a placement.
	newsDelay = 8 * time.Millisecond
	// reportEvery is how often engines report their load, and reportLag the age
	// of a report when hosts read it.
	reportEvery = 500 * time.Millisecond
	reportLag   = 450 * time.Millisecond
	// resetSeen and silenceSeen are the times until a host sees that an engine is
	// gone, and listedAfter the time until one that came back is listed.
	resetSeen   = 2 * time.Millisecond
	silenceSeen = 420 * time.Millisecond
	listedAfter = 600 * time.Millisecond
	// drain is how long a play goes on after the last arrival.
	drain = 30 * time.Second
)

// epoch is the time at which plays begin.
var epoch = time.Unix(1_000_000, 0)

// Setup is the deployment that a load is played on.
type Setup struct {
	Hosts          int
	DataCentres    int
	EnginesPerZone int
	Memory         int // tokens of one engine
	// SlowEvery makes each engine of so many slower by SlowFactor; 0 for none.
	SlowEvery  int
	SlowFactor float64
	// Objective is that of the first event, MaxGap the longest pause of a timely
	// stream, and Patience how long a client waits.
	Objective, MaxGap, Patience time.Duration
	// CopyWeight is the weight of resume latency against the resources spent on
	// it, see fleet.Copied.
	CopyWeight float64
	// Admission says whether package overload may refuse streams.
	Admission bool
	Place     Policy
	Seed      uint64
}

// Outcome is what clients and engines saw.
type Outcome struct {
	Streams, InTime, Late, Failed int
	Refusals                      int
	Preempted                     int
	TokensRead, TokensReadAgain   int
	TokensCopied                  int
	// First holds the times to the first event from the first attempt on, by
	// team, of streams that got one.
	First map[string][]time.Duration
	// InTimeOf counts the streams in time, and StreamsOf all streams, by team.
	InTimeOf, StreamsOf map[string]int
	// Resumes are the pauses of streams that lost an engine.
	Resumes []time.Duration
}

// play is the state of one run of the model.
type play struct {
	setup    Setup
	now      time.Duration
	schedule eventsim.Schedule
	rng      *rand.Rand
	engines  []*engine
	hosts    []*host
	out      Outcome
	started  int // engines so far
}

// host is one host of the product.
type host struct {
	id       ident.HostID
	fleet    *fleet.Fleet
	overload overload.Controller
	runs     uint64
	turn     int // of round robin
}

// Play plays a load and returns what came of it.
func Play(s Setup, load Load) Outcome {
	p := &play{setup: s, rng: rand.New(rand.NewPCG(s.Seed, 2))}
	p.out.First, p.out.InTimeOf, p.out.StreamsOf = map[string][]time.Duration{}, map[string]int{}, map[string]int{}
	for i := range s.Hosts {
		id := ident.HostID(fmt.Sprintf("host-%d", i))
		p.hosts = append(p.hosts, &host{id: id, fleet: fleet.New(id, epoch)})
	}
	for i := range s.DataCentres * s.EnginesPerZone {
		p.list(p.start(i % s.DataCentres))
	}
	for i, a := range load.Arrivals {
		p.schedule.Add(a.At, func() { p.arrive(i, a) })
	}
	for _, l := range load.Losses {
		p.schedule.Add(l.At, func() { p.lose(l) })
	}
	end := drain
	if n := len(load.Arrivals); n > 0 {
		end += load.Arrivals[n-1].At
	}
	p.schedule.Add(0, func() { p.report(end) })
	for p.schedule.Len() > 0 {
		at, run := p.schedule.Next()
		p.now = at
		run()
	}
	return p.out
}

func (p *play) clock() time.Time { return epoch.Add(p.now) }

func (p *play) after(d time.Duration, run func()) { p.schedule.Add(p.now+d, run) }

// news runs a change on one host now and on the others after newsDelay.
func (p *play) news(from *host, change func(*host)) {
	change(from)
	p.after(newsDelay, func() {
		for _, h := range p.hosts {
			if h != from {
				change(h)
			}
		}
	})
}

func (p *play) start(dataCentre int) *engine {
	e := &engine{
		p: p, id: ident.BackendID(fmt.Sprintf("engine-%d", p.started)), dataCentre: dataCentre, slow: 1, copies: map[*stream]int{},
	}
	if every := p.setup.SlowEvery; every > 0 && (p.started/p.setup.DataCentres)%every == 0 {
		e.slow = p.setup.SlowFactor
	}
	p.started++
	p.engines = append(p.engines, e)
	return e
}

func (p *play) list(e *engine) {
	for _, h := range p.hosts {
		h.fleet.Put(p.clock(), fleet.Entry{
			ID: e.id, Born: int64(p.started), Service: service, Address: string(e.id),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", e.dataCentre)), Sequence: 1,
		})
	}
}

// report lets all engines tell their load, which hosts read later.
func (p *play) report(end time.Duration) {
	for _, e := range p.engines {
		if e.lost {
			continue
		}
		load := fleet.Load{Running: len(e.running), Waiting: len(e.waiting)}
		p.after(reportLag, func() {
			for _, h := range p.hosts {
				if s := h.fleet.Server(e.id); s != nil {
					h.fleet.Reported(s, p.clock(), load)
				}
			}
		})
	}
	if p.now+reportEvery < end {
		p.after(reportEvery, func() { p.report(end) })
	}
}

// lose takes engines away and starts others in their place.
func (p *play) lose(l Loss) {
	var alive []*engine
	for _, e := range p.engines {
		if !e.lost && e.dataCentre == l.DataCentre {
			alive = append(alive, e)
		}
	}
	for _, e := range alive[:int(l.Share*float64(len(alive)))] {
		p.loseEngine(e, l)
	}
	p.engines = slices.DeleteFunc(p.engines, func(e *engine) bool { return e.lost })
}

func (p *play) loseEngine(e *engine, l Loss) {
	e.lost = true
	seen := resetSeen
	if l.Silent {
		seen = silenceSeen
	}
	for _, j := range slices.Concat(e.waiting, e.running) {
		s := j.stream
		p.after(seen, func() { s.engineLost(e, l.Silent) })
	}
	p.after(l.For, func() {
		next := p.start(e.dataCentre)
		p.after(listedAfter, func() {
			for _, h := range p.hosts {
				h.fleet.Remove(p.clock(), e.id, false)
			}
			p.list(next)
		})
	})
}

func (p *play) engine(id ident.BackendID) *engine {
	for _, e := range p.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}
