package main

import (
	"math/rand/v2"
	"time"
)

// faultKind is one kind of fault.
type faultKind int

const (
	noFault faultKind = iota
	engineKilled
	rackKilled
	engineFrozen
	enginePaused
	connectionSilent
	engineSlow
	faultKinds
)

var faultNames = [faultKinds]string{
	"none", "engine killed", "rack killed", "engine frozen", "engine paused 0.3 to 2 s",
	"connection silent", "engine slow",
}

// faultsPerMinute is the rate of each fault. The rack is lost once in a run.
var faultsPerMinute = [faultKinds]float64{
	engineKilled: 2, engineFrozen: 2, enginePaused: 4, connectionSilent: 3, engineSlow: 1,
}

const (
	// restartAfter is when a dead or frozen engine is back, without its cache.
	restartAfter = 15 * time.Second
	slowFor      = 10 * time.Second
	slowFactor   = 3
	// quietAround keeps other faults away from the loss of the rack, so that
	// its effect on new work shows alone. In a short run it is length/8.
	quietAround = 10 * time.Second
)

type fault struct {
	at     time.Duration
	kind   faultKind
	engine int
	node   int           // whose connections go silent
	length time.Duration // of a pause
}

// drawFaults draws the faults of one seed, the same for every policy.
func drawFaults(seed uint64, length time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 9))
	rackAt := length / 2
	out := []fault{{at: rackAt, kind: rackKilled, engine: rng.IntN(engineCount)}}
	for kind := engineKilled; kind < faultKinds; kind++ {
		rate := faultsPerMinute[kind]
		if rate == 0 {
			continue
		}
		for t := min(warmUp, length/4); t < length; {
			t += time.Duration(rng.ExpFloat64() / rate * float64(time.Minute))
			f := fault{
				at: t, kind: kind, engine: rng.IntN(engineCount), node: rng.IntN(nodeCount),
				length: 300*time.Millisecond + time.Duration(rng.Int64N(int64(1700*time.Millisecond))),
			}
			if t < length && (t-rackAt).Abs() > min(quietAround, length/8) {
				out = append(out, f)
			}
		}
	}
	return out
}

func (s *sim) inject(f fault) {
	e := s.engines[f.engine]
	if f.kind == rackKilled {
		s.rackAt = s.now
		for i := range rackSize {
			s.kill(s.engines[(f.engine+i)%engineCount], f.kind)
		}
		return
	}
	if e.dead || e.stopped || e.slow {
		return
	}
	s.report.faults[f.kind]++
	switch f.kind {
	case engineKilled:
		s.kill(e, f.kind)
	case engineFrozen:
		s.mark(e, f.kind, -1)
		e.stopped, e.forGood = true, true
		s.after(restartAfter, func() {
			e.kill()
			s.after(hop, e.restart)
		})
	case enginePaused:
		s.mark(e, f.kind, -1)
		e.stopped = true
		s.after(f.length, e.wake)
	case connectionSilent:
		s.mark(e, f.kind, f.node)
		e.mute(s.nodes[f.node])
	case engineSlow:
		s.mark(e, f.kind, -1)
		e.slow = true
		s.after(slowFor, e.recover)
	}
}

func (s *sim) kill(e *engine, kind faultKind) {
	if e.dead {
		return
	}
	if kind == rackKilled {
		s.report.faults[kind] = 1
	}
	s.mark(e, kind, -1)
	e.kill()
	s.after(restartAfter, e.restart)
}

// mark notes the fault at each answer whose newest stream is on the engine.
// Node -1 means the answers of all nodes.
func (s *sim) mark(e *engine, kind faultKind, node int) {
	if node < 0 {
		e.fault = kind
	}
	for _, st := range e.sorted() {
		a := st.answer
		if a.machine.Done() || a.currentEngine() != e.id || node >= 0 && a.node.index != node {
			continue
		}
		a.lastFault = kind
		if a.machine.Journal().Len() > 0 && a.open == noFault {
			a.open = kind
		}
	}
}
