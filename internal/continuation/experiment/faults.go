package main

import (
	"math/rand/v2"
	"time"
)

// faultKind is a kind of injected fault.
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

// faultsPerMinute is the rate of each kind of fault. A rack is lost once in each
// run.
var faultsPerMinute = [faultKinds]float64{
	engineKilled: 2, engineFrozen: 2, enginePaused: 4, connectionSilent: 3, engineSlow: 1,
}

const (
	// restartAfter is the time after which a dead or frozen engine has restarted
	// with an empty cache.
	restartAfter = 15 * time.Second
	slowFor      = 10 * time.Second
	slowFactor   = 3
	// rackFaultMargin is the time before and after the loss of the rack without
	// other faults, so that its effect on new work can be measured separately. In
	// a short run it is length/8.
	rackFaultMargin = 10 * time.Second
)

type fault struct {
	at     time.Duration
	kind   faultKind
	engine int
	node   int           // the node whose connections become silent
	length time.Duration // duration of a pause
}

// generateFaults returns the random faults of one seed, which are the same for
// every policy.
func generateFaults(seed uint64, length time.Duration) []fault {
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
			if t < length && (t-rackAt).Abs() > min(rackFaultMargin, length/8) {
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
		s.markAffected(e, f.kind, -1)
		e.stopped, e.permanentlyStopped = true, true
		s.after(restartAfter, func() {
			e.kill()
			s.after(networkDelay, e.restart)
		})
	case enginePaused:
		s.markAffected(e, f.kind, -1)
		e.stopped = true
		s.after(f.length, e.unpause)
	case connectionSilent:
		s.markAffected(e, f.kind, f.node)
		e.silenceConnections(s.nodes[f.node])
	case engineSlow:
		s.markAffected(e, f.kind, -1)
		e.slow = true
		s.after(slowFor, e.endSlowdown)
	}
}

func (s *sim) kill(e *engine, kind faultKind) {
	if e.dead {
		return
	}
	if kind == rackKilled {
		s.report.faults[kind] = 1
	}
	s.markAffected(e, kind, -1)
	e.kill()
	s.after(restartAfter, e.restart)
}

// markAffected records the fault in each answer whose current engine is e. Node -1
// means the answers of all nodes.
func (s *sim) markAffected(e *engine, kind faultKind, node int) {
	if node < 0 {
		e.fault = kind
	}
	for _, st := range e.streamsByArrival() {
		a := st.answer
		if a.machine.Done() || a.currentEngine() != e.id || node >= 0 && a.node.index != node {
			continue
		}
		a.lastFault = kind
		if a.machine.Journal().Len() > 0 && a.pendingFault == noFault {
			a.pendingFault = kind
		}
	}
}
