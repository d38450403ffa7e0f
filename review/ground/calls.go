package ground

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Calls are clients that send calls of a plain service, half of which may be repeated. A
// client repeats a call once, as the protocol allows.
type Calls struct {
	w      *World
	client *http.Client

	wg      sync.WaitGroup
	mu      sync.Mutex
	samples []Sample // guarded by mu
}

// NewCalls returns clients without calls.
func (w *World) NewCalls() *Calls {
	return &Calls{w: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Run sends calls at a rate, with random pauses, until stop is closed.
func (s *Calls) Run(perSecond float64, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			s.wg.Wait()
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		s.wg.Go(func() { s.call(i) })
	}
}

func (s *Calls) call(i int) {
	const timeout = 1500 * time.Millisecond
	end := time.Now().Add(timeout)
	method, path := http.MethodPost, "/book/x"
	if i%2 == 1 {
		method, path = http.MethodGet, fmt.Sprintf("/status/%d", i)
	}
	for attempt := range tries {
		left := time.Until(end)
		if left < 50*time.Millisecond {
			return
		}
		c := Call{Node: s.w.Nodes[rand.IntN(len(s.w.Nodes))], Method: method, Path: path, ID: fmt.Sprintf("c%d-%d", i, attempt), Timeout: left}
		if method == http.MethodPost {
			c.Body = fmt.Sprintf("booking %d", i)
		}
		r := s.w.Send(s.client, c)
		s.mu.Lock()
		s.samples = append(s.samples, Sample{Kind: method, First: attempt == 0, Sent: r.Sent, Status: r.Status, Whole: r.Served()})
		s.mu.Unlock()
		refused := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
		if r.Served() || !refused && method == http.MethodPost || r.RetryAfter > time.Until(end)/3 {
			return
		}
		time.Sleep(r.RetryAfter)
	}
}

// Count returns the number of attempts that fit, and how many of them count.
func (s *Calls) Count(fits, counts func(Sample) bool) (n Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.samples {
		if fits(x) {
			n.All++
			if counts(x) {
				n.Good++
			}
		}
	}
	return n
}
