package engine

import (
	"container/heap"
	"sort"
)

// waitQueue orders streams by priority, then by arrival.
type waitQueue []*stream

// hasPrecedence reports whether a runs before b: it has the higher priority or, at
// the same priority, arrived earlier.
func hasPrecedence(a, b *stream) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.arrival < b.arrival
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, j int) bool { return hasPrecedence(q[i], q[j]) }
func (q waitQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *waitQueue) Push(x any)        { *q = append(*q, x.(*stream)) }
func (q *waitQueue) Pop() any          { return popLast((*[]*stream)(q)) }

func (q *waitQueue) remove(s *stream) {
	for i, other := range *q {
		if other == s {
			heap.Remove(q, i)
			return
		}
	}
}

// dueQueue orders decoding streams by the time of their next token.
type dueQueue []*stream

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q dueQueue) Len() int { return len(q) }
func (q dueQueue) Less(i, j int) bool {
	if !q[i].nextAt.Equal(q[j].nextAt) {
		return q[i].nextAt.Before(q[j].nextAt)
	}
	return q[i].arrival < q[j].arrival
}
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *dueQueue) Push(x any)   { *q = append(*q, x.(*stream)) }
func (q *dueQueue) Pop() any     { return popLast((*[]*stream)(q)) }

func (q *dueQueue) remove(s *stream) {
	for i, other := range *q {
		if other == s {
			heap.Remove(q, i)
			return
		}
	}
}

// prefillList holds admitted streams whose prompt is not yet prefilled, in the
// order of waitQueue. Prompts are prefilled one at a time.
type prefillList []*stream

func (p *prefillList) insert(s *stream) {
	at := sort.Search(len(*p), func(i int) bool { return hasPrecedence(s, (*p)[i]) })
	*p = append(*p, nil)
	copy((*p)[at+1:], (*p)[at:])
	(*p)[at] = s
}

func (p *prefillList) remove(s *stream) {
	for i, other := range *p {
		if other == s {
			*p = append((*p)[:i], (*p)[i+1:]...)
			return
		}
	}
}

func popLast(q *[]*stream) *stream {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}
