package front

import "sync"

// pendingAnswers holds the requests to peers by datagram that wait for an answer of
// type T. The zero value is ready to use.
type pendingAnswers[T any] struct {
	mu         sync.Mutex
	lastNumber uint64            // guarded by mu
	waiting    map[uint64]chan T // guarded by mu; by the number of the request
}

// open returns the number of a new request and the channel for its answer.
func (p *pendingAnswers[T]) open() (uint64, chan T) {
	answer := make(chan T, 1)
	return p.add(answer), answer
}

// add returns the number of a new request whose answer is sent to a channel, which must have
// room for it.
func (p *pendingAnswers[T]) add(answer chan T) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]chan T{}
	}
	p.lastNumber++
	p.waiting[p.lastNumber] = answer
	return p.lastNumber
}

// close removes a request and returns the channel for its answer, or nil if the
// request is not waiting any more.
func (p *pendingAnswers[T]) close(number uint64) chan T {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := p.waiting[number]
	delete(p.waiting, number)
	return answer
}
