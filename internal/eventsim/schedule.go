// Package eventsim holds what the discrete-event experiments share: a schedule
// of events in virtual time and the prefix cache of a modelled engine. Nothing
// in it is safe for concurrent use.
package eventsim

import (
	"container/heap"
	"time"
)

// Schedule runs events in the order of their times; events of one time run in
// the order in which they were added. The zero value is empty.
type Schedule struct {
	events eventHeap
	added  int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// Add schedules an event.
func (s *Schedule) Add(at time.Duration, run func()) {
	s.added++
	heap.Push(&s.events, event{at, s.added, run})
}

// Len returns the number of events to come.
func (s *Schedule) Len() int { return s.events.Len() }

// Next removes the first event and returns its time and what to run.
func (s *Schedule) Next() (at time.Duration, run func()) {
	e := heap.Pop(&s.events).(event)
	return e.at, e.run
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
