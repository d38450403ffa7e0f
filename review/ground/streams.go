package ground

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Streams are clients that send requests for streams, and repeat each one once.
type Streams struct {
	// Tokens is the length of the part of a prompt that is the request's own.
	Tokens int

	w      *World
	client *http.Client
	events int // of a whole answer

	wg       sync.WaitGroup
	mu       sync.Mutex
	samples  []Sample            // guarded by mu
	versions map[string][]string // guarded by mu; whose events a request got, over all its attempts
}

// Sample is the outcome of one attempt.
type Sample struct {
	Kind   string
	First  bool // the first attempt of its request
	Sent   time.Time
	Status int
	Begun  bool // an event arrived
	Whole  bool
}

// Mixed returns the requests whose events came from several software versions.
func (s *Streams) Mixed() (mixed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request, versions := range s.versions {
		if len(versions) > 1 {
			mixed = append(mixed, fmt.Sprintf("%s %v", request, versions))
		}
	}
	slices.Sort(mixed)
	return mixed
}

// NewStreams returns clients that take an answer with the given number of events as whole.
func (w *World) NewStreams(events int) *Streams {
	return &Streams{Tokens: 7800, versions: map[string][]string{}, w: w, events: events, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// tries is the number of attempts of a request: a client repeats it once.
const tries = 2

// Send sends a request at nodes chosen at random. kind and number name it, and prefix holds the parts of its
// prompt before its own.
func (s *Streams) Send(kind string, number int, prefix string) {
	s.wg.Go(func() {
		after, origin := 0, ""
		for attempt := range tries {
			c := Call{
				Node: s.w.Nodes[rand.IntN(len(s.w.Nodes))], Method: http.MethodPost, Path: "/plan/x", ID: fmt.Sprintf("%s-%d-%d", kind, number, attempt),
				Body:   fmt.Sprintf("body of %s %d", kind, number),
				Prefix: fmt.Sprintf("%s,%x:%d", prefix, 1_000_000*len(kind)+number, s.Tokens), Tokens: s.Tokens + 400, After: after, Origin: origin, Timeout: 25 * time.Second,
			}
			r := s.w.Send(s.client, c)
			x := Sample{Kind: kind, First: attempt == 0, Sent: r.Sent, Status: r.Status, Begun: r.Events > after, Whole: r.Err == nil && r.Status == http.StatusOK && r.Events == s.events}
			s.mu.Lock()
			s.samples = append(s.samples, x)
			request := fmt.Sprintf("%s-%d", kind, number)
			for _, v := range r.Versions {
				if !slices.Contains(s.versions[request], v) {
					s.versions[request] = append(s.versions[request], v)
				}
			}
			s.mu.Unlock()
			if x.Whole || r.RetryAfter > (25*time.Second-r.Took)/3 {
				return
			}
			if origin == "" && r.Events > 0 {
				origin = c.ID
			}
			after = r.Events
			time.Sleep(max(r.RetryAfter, 200*time.Millisecond))
		}
	})
}

// Wait waits until all requests have ended.
func (s *Streams) Wait() { s.wg.Wait() }

// Count returns the number of attempts that fit, and how many of them count.
func (s *Streams) Count(fits, counts func(Sample) bool) (n Share) {
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

// Share is a part of a number.
type Share struct{ Good, All int }

// Rate returns the share as a number from 0 to 1.
func (s Share) Rate() float64 { return float64(s.Good) / float64(max(1, s.All)) }

func (s Share) String() string { return fmt.Sprintf("%d of %d", s.Good, s.All) }
