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
	// peerDelay is the time that a message about a run or a loss takes to reach the
	// other hosts.
	peerDelay = 8 * time.Millisecond
	// reportInterval is the time between two load reports of an engine; reportDelay is
	// the age of a report when hosts read it.
	reportInterval = 500 * time.Millisecond
	reportDelay    = 450 * time.Millisecond
	// resetDetection is the time until a host detects the loss of an engine whose
	// connections are closed; silenceDetection is the time until it detects the loss of
	// an engine that stops sending data. listingDelay is the time from the start of a
	// replacement engine until it is listed.
	resetDetection   = 2 * time.Millisecond
	silenceDetection = 420 * time.Millisecond
	listingDelay     = 600 * time.Millisecond
	// drainTime is the time after the last arrival during which engines still report
	// their load.
	drainTime = 30 * time.Second
)

// epoch is the time at which simulations start.
var epoch = time.Unix(1_000_000, 0)

// Setup is the deployment on which a load is simulated.
type Setup struct {
	Hosts                int
	DataCentres          int
	EnginesPerDataCentre int
	MemoryTokens         int // capacity of one engine's memory in tokens
	// One engine in SlowEvery takes SlowFactor times as long for each step; if
	// SlowEvery is 0, all engines have nominal speed.
	SlowEvery  int
	SlowFactor float64
	// A stream is in time if its time to the first event is at most Objective and its
	// pauses between events are at most MaxGap. ClientTimeout is how long a client
	// waits for a stream to end.
	Objective, MaxGap, ClientTimeout time.Duration
	// CopyWeight is the fraction of the streams whose runs are copied, from 0 to 1, see
	// fleet.ShouldCopy.
	CopyWeight float64
	// Admission enables admission control by package overload.
	Admission bool
	Place     Policy // chooses the engine of each stream
	Seed      uint64
}

// Outcome is the result of a simulation, as seen by clients and engines.
type Outcome struct {
	Streams, InTime, Late, Failed int
	Refusals                      int
	Preemptions                   int
	TokensRead, TokensReread      int
	TokensCopied                  int
	// FirstEventTimes holds, by team, the times from the first attempt to the first
	// event, for the streams that have one.
	FirstEventTimes map[string][]time.Duration
	// InTimeByTeam holds the number of streams in time by team, StreamsByTeam the number
	// of all streams by team.
	InTimeByTeam, StreamsByTeam map[string]int
	// ResumePauses holds, for each time that a stream was resumed, the time from the
	// loss of its engine to the next token.
	ResumePauses []time.Duration
}

// simulation is the state of one simulation.
type simulation struct {
	setup          Setup
	now            time.Duration
	schedule       eventsim.Schedule
	rng            *rand.Rand
	engines        []*engine
	hosts          []*host
	outcome        Outcome
	enginesStarted int // number of engines started so far
}

// host models one host that routes requests to the engines.
type host struct {
	id             ident.HostID
	fleet          *fleet.Fleet
	overload       overload.Controller
	runs           uint64 // number of runs started so far
	roundRobinNext int    // counter of the RoundRobin policy
}

// Simulate simulates a load and returns the outcome.
func Simulate(s Setup, load Load) Outcome {
	sim := &simulation{setup: s, rng: rand.New(rand.NewPCG(s.Seed, 2))}
	sim.outcome.FirstEventTimes, sim.outcome.InTimeByTeam, sim.outcome.StreamsByTeam = map[string][]time.Duration{}, map[string]int{}, map[string]int{}
	for i := range s.Hosts {
		id := ident.HostID(fmt.Sprintf("host-%d", i))
		sim.hosts = append(sim.hosts, &host{id: id, fleet: fleet.New(id, epoch)})
	}
	for i := range s.DataCentres * s.EnginesPerDataCentre {
		sim.listEngine(sim.startEngine(i % s.DataCentres))
	}
	for i, a := range load.Arrivals {
		sim.schedule.Add(a.At, func() { sim.arrive(i, a) })
	}
	for _, l := range load.Losses {
		sim.schedule.Add(l.At, func() { sim.applyLoss(l) })
	}
	end := drainTime
	if n := len(load.Arrivals); n > 0 {
		end += load.Arrivals[n-1].At
	}
	sim.schedule.Add(0, func() { sim.reportLoads(end) })
	for sim.schedule.Len() > 0 {
		at, run := sim.schedule.Pop()
		sim.now = at
		run()
	}
	return sim.outcome
}

func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) after(d time.Duration, run func()) { sim.schedule.Add(sim.now+d, run) }

// broadcast applies a change to the sending host immediately and to the other hosts
// after peerDelay.
func (sim *simulation) broadcast(from *host, change func(*host)) {
	change(from)
	sim.after(peerDelay, func() {
		for _, h := range sim.hosts {
			if h != from {
				change(h)
			}
		}
	})
}

func (sim *simulation) startEngine(dataCentre int) *engine {
	e := &engine{
		sim: sim, id: ident.BackendID(fmt.Sprintf("engine-%d", sim.enginesStarted)), dataCentre: dataCentre, slowdown: 1, copies: map[*stream]int{},
	}
	if every := sim.setup.SlowEvery; every > 0 && (sim.enginesStarted/sim.setup.DataCentres)%every == 0 {
		e.slowdown = sim.setup.SlowFactor
	}
	sim.enginesStarted++
	sim.engines = append(sim.engines, e)
	return e
}

func (sim *simulation) listEngine(e *engine) {
	for _, h := range sim.hosts {
		h.fleet.Put(sim.clock(), fleet.Entry{
			ID: e.id, Incarnation: int64(sim.enginesStarted), Service: service, Address: string(e.id),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", e.dataCentre)), Sequence: 1,
		})
	}
}

// reportLoads takes the current load of every engine, which the hosts receive after
// reportDelay, and repeats this every reportInterval until end.
func (sim *simulation) reportLoads(end time.Duration) {
	for _, e := range sim.engines {
		if e.lost {
			continue
		}
		load := fleet.Load{Running: len(e.running), Waiting: len(e.waiting)}
		sim.after(reportDelay, func() {
			for _, h := range sim.hosts {
				if s := h.fleet.Server(e.id); s != nil {
					h.fleet.RecordLoad(s, sim.clock(), load)
				}
			}
		})
	}
	if sim.now+reportInterval < end {
		sim.after(reportInterval, func() { sim.reportLoads(end) })
	}
}

// applyLoss removes the given fraction of the engines of a data centre and schedules
// their replacements.
func (sim *simulation) applyLoss(l Loss) {
	var alive []*engine
	for _, e := range sim.engines {
		if !e.lost && e.dataCentre == l.DataCentre {
			alive = append(alive, e)
		}
	}
	for _, e := range alive[:int(l.Share*float64(len(alive)))] {
		sim.loseEngine(e, l)
	}
	sim.engines = slices.DeleteFunc(sim.engines, func(e *engine) bool { return e.lost })
}

func (sim *simulation) loseEngine(e *engine, l Loss) {
	e.lost = true
	detectionDelay := resetDetection
	if l.Silent {
		detectionDelay = silenceDetection
	}
	for _, j := range slices.Concat(e.waiting, e.running) {
		s := j.stream
		sim.after(detectionDelay, func() { s.onEngineLost(e, l.Silent) })
	}
	sim.after(l.Duration, func() {
		next := sim.startEngine(e.dataCentre)
		sim.after(listingDelay, func() {
			for _, h := range sim.hosts {
				h.fleet.Remove(sim.clock(), e.id, false)
			}
			sim.listEngine(next)
		})
	})
}

func (sim *simulation) engine(id ident.BackendID) *engine {
	for _, e := range sim.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}
