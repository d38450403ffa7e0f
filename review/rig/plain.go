package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// plain is a server of a plain service with a few slots and a queue.
type plain struct {
	w    *world
	id   string
	work time.Duration
	row  *registration
	http *http.Server

	slots chan struct{}
	mu    sync.Mutex
	here  int // guarded by mu; requests that run or wait
	// pauseUntil is the time until which the server turns some requests away and asks for the pause.
	pauseUntil time.Time     // guarded by mu
	pause      time.Duration // guarded by mu
	arrivals   []arrival     // guarded by mu
}

// arrival is a request that has reached a server.
type arrival struct {
	at      time.Time
	request string
	server  string
	// pause is the time for which the server has asked in its refusal; 0 if it has not.
	pause time.Duration
}

const (
	plainSlots = 6
	plainQueue = 24
	// shedShare is the share of the requests that a server turns away while it does so, a dose
	// of the site file.
	shedShare = 0.45
)

func (w *world) addPlain(i int) (*plain, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plain{w: w, id: fmt.Sprintf("booking-%d", i), work: 30 * time.Millisecond, slots: make(chan struct{}, plainSlots)}
	server := &http.Server{Handler: s}
	go server.Serve(listener) // ends with Close
	w.onClose(func() { server.Close() })
	s.http = server
	s.row = w.register(s.id, "bookings", listener.Addr().String(), zoneOf(i), plainSlots)
	return s, nil
}

// turnAway makes the server turn away shedShare of what arrives within a time, and ask for a pause.
func (s *plain) turnAway(within, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauseUntil, s.pause = time.Now().Add(within), pause
}

// admit records an arrival, and returns the pause if the request is turned away.
func (s *plain) admit(request string) (pause time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := arrival{at: time.Now(), request: request, server: s.id}
	if a.at.Before(s.pauseUntil) && rand.Float64() < shedShare {
		a.pause = s.pause
	}
	s.arrivals = append(s.arrivals, a)
	if a.pause > 0 || s.here >= plainSlots+plainQueue {
		return a.pause, false
	}
	s.here++
	return 0, true
}

func (s *plain) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", min(s.here, plainSlots), max(0, s.here-plainSlots), plainSlots)
}

// ServeHTTP implements http.Handler.
func (s *plain) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	names, h := &s.w.names, rw.Header()
	if r.URL.Path == "/healthz" {
		h.Set(names.InstanceAnswer, s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(names.Request)
	h.Set(names.Request, id)
	h.Set(names.Load, s.load())
	if want := r.Header.Get(names.Instance); want != "" && want != s.id {
		h.Set(names.NotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	pause, admitted := s.admit(id)
	if !admitted {
		s.w.log.add("%s turns %s away, pause %v", s.id, id, pause)
		h.Set(names.NotRun, "1")
		if pause > 0 {
			h.Set(names.Pause, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	s.w.log.add("%s runs %s", s.id, id)
	time.Sleep(s.work)
	<-s.slots
	s.mu.Lock()
	s.here--
	s.mu.Unlock()
	h.Set(names.Load, s.load())
	h.Set(names.Proof, s.id+"."+id)
	_, _ = fmt.Fprintf(rw, "done %s %d\n", id, len(body)) // an error means that the caller is gone
}
