// Package eventsim provides what the discrete-event simulations share: an event
// queue in virtual time and the prefix cache of a simulated engine. Its types
// are not safe for concurrent use.
package eventsim

import (
	"container/heap"
	"time"
)

// Schedule is a queue of events ordered by time. Events at the same time are
// ordered as they were added. The zero value is an empty queue.
type Schedule struct {
	events       eventHeap
	lastSequence int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// Add schedules run at virtual time at.
func (s *Schedule) Add(at time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at, s.lastSequence, run})
}

// Len returns the number of pending events.
func (s *Schedule) Len() int { return s.events.Len() }

// Pop removes the earliest event and returns its time and function. It panics
// if the schedule is empty.
func (s *Schedule) Pop() (at time.Duration, run func()) {
	e := heap.Pop(&s.events).(event)
	return e.at, e.run
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
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
