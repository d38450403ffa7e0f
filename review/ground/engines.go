package ground

import (
	"fmt"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/platform/standin"
)

// Engines are model engines that some prompt parts crash. One that has crashed starts again
// at its address as a new lifetime, with a new id.
type Engines struct {
	Parts *standin.DeadlyParts

	w       *World
	options EngineOptions

	mu     sync.Mutex
	list   []*standin.Engine // guarded by mu; all that were started
	closed bool              // guarded by mu
}

// EngineOptions describe engines.
type EngineOptions struct {
	Count   int // they are in three zones in turn
	Events  int // of each answer
	Pace    time.Duration
	Prefill time.Duration
	Restart time.Duration // time from a crash to the next lifetime
}

// StartEngines starts engines. The requests with one of the parts crash them.
func (w *World) StartEngines(o EngineOptions, deadly ...string) (*Engines, error) {
	s := &Engines{Parts: standin.NewDeadlyParts(deadly...), w: w, options: o}
	s.Parts.OnCrash = s.restart
	for i := range o.Count {
		port, err := standin.FreePorts(1)
		if err != nil {
			return nil, err
		}
		s.start(fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("i-%d", i), Zone(i))
	}
	return s, nil
}

func (s *Engines) start(address, id, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	e, err := standin.NewEngineAt(address, id, "engines", zone)
	if err != nil {
		s.w.Say("engine %s: %v", id, err)
		return
	}
	e.Deadly, e.Events, e.Pace, e.Prefill = s.Parts, s.options.Events, s.options.Pace, s.options.Prefill
	e.Register(s.w.Store)
	s.w.Note("engine %s started at %s in %s", id, address, zone)
	s.list = append(s.list, e)
}

func (s *Engines) restart(e *standin.Engine) {
	s.w.Note("engine %s crashed", e.ID)
	time.Sleep(s.options.Restart)
	s.w.Store.Remove("servers", e.ID)
	s.start(e.Entry.Address, e.ID+"+", e.Entry.Zone)
}

// Runs returns how many runs all engines have begun.
func (s *Engines) Runs() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.list {
		all, _ := e.Started()
		count += all
	}
	return count
}

// Close ends all engines.
func (s *Engines) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, e := range s.list {
		e.Crash()
	}
}
