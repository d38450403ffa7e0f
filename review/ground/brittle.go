package ground

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/platform/standin"
)

// BrittleOptions describe the servers of a service that fall over when they have to reject
// more than MaxRejected requests in a second for want of room.
type BrittleOptions struct {
	Slots       int // requests that run at the same time
	Waiting     int // further ones that may wait, from brittleDelay on
	MaxRejected int
	Work        time.Duration
	Down        time.Duration // time from an end to the next lifetime
	Beat        time.Duration // interval of the reports in the store
}

const (
	// brittleDelay is how long after the servers first said that they are brittle they let
	// fewer requests wait, and usualWaiting is how many wait until then.
	brittleDelay = 3 * time.Second
	usualWaiting = 24
)

// BrittleServer is one server. Each start is a new lifetime with a new id.
type BrittleServer struct {
	w       *World
	options BrittleOptions
	name    string
	zone    string
	address string
	stop    chan struct{}

	mu       sync.Mutex            // guards all that follows
	starts   int                   // lifetimes so far
	entry    standin.Entry         // of this lifetime
	running  int                   // requests that run or wait
	rejected []time.Time           // of the last second
	falls    int                   // of all lifetimes
	up       bool                  // the lifetime has not ended
	silent   bool                  // writes no reports
	server   *http.Server          // of this lifetime
	conns    map[net.Conn]struct{} // of this lifetime
	slots    chan struct{}         // holds the running requests
}

// StartBrittle starts a server.
func (w *World) StartBrittle(name, zone string, o BrittleOptions) (*BrittleServer, error) {
	port, err := standin.FreePorts(1)
	if err != nil {
		return nil, err
	}
	s := &BrittleServer{w: w, options: o, name: name, zone: zone, address: fmt.Sprintf("127.0.0.1:%d", port), stop: make(chan struct{})}
	s.start()
	go s.beat()
	return s, nil
}

func (s *BrittleServer) id() string { return fmt.Sprintf("%s-%d", s.name, s.starts) }

func (s *BrittleServer) start() {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		s.w.Say("%s: %v", s.name, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.running, s.rejected, s.up = 0, nil, true
	s.slots, s.conns = make(chan struct{}, s.options.Slots), map[net.Conn]struct{}{}
	s.entry = standin.Entry{Service: "bookings", Address: s.address, Zone: s.zone, Version: "v1", Slots: s.options.Slots, Phase: "ready", Sequence: 1, Born: time.Now().UnixMilli()}
	lifetime := s.starts
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, lifetime) }), ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed {
			delete(s.conns, c)
		} else if s.starts == lifetime {
			s.conns[c] = struct{}{}
		}
	}}
	go s.server.Serve(listener) // ends with the lifetime
	s.w.Note("server %s started", s.id())
	s.register()
}

// register writes the entry. The lock is held.
func (s *BrittleServer) register() {
	if s.silent {
		return
	}
	raw, err := json.Marshal(s.entry)
	if err != nil {
		panic(err) // an entry always encodes
	}
	s.w.Store.Put("servers", s.id(), raw)
}

func (s *BrittleServer) beat() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(s.options.Beat):
		}
		s.mu.Lock()
		if s.up {
			s.entry.Sequence++
			s.register()
		}
		s.mu.Unlock()
	}
}

// Silence stops the reports of the server, or begins them again at once.
func (s *BrittleServer) Silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	if !on && s.up {
		s.entry.Sequence++
		s.register()
	}
}

// Lapse removes the entry of the server from the store.
func (s *BrittleServer) Lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.Store.Remove("servers", s.id())
}

// end ends the lifetime and begins the next one some time later. The entry stays until the
// server has been silent for three reports. The lock is held.
func (s *BrittleServer) end() {
	s.up = false
	id := s.id()
	server, conns := s.server, s.conns
	go func() {
		server.Close()
		for c := range conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			c.Close()
		}
		time.AfterFunc(3*s.options.Beat, func() { s.w.Store.Remove("servers", id) })
		time.Sleep(s.options.Down)
		select {
		case <-s.stop:
		default:
			s.start()
		}
	}()
	s.conns = map[net.Conn]struct{}{}
}

// Crash ends the server at once.
func (s *BrittleServer) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.Say("server %s crashes", s.id())
	s.end()
}

// Falls returns how often the server has fallen over.
func (s *BrittleServer) Falls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.falls
}

// Close ends the server for good.
func (s *BrittleServer) Close() {
	close(s.stop)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server.Close()
}

// admit returns whether there is room for a request, or the server is down.
func (s *BrittleServer) admit(lifetime int) (admitted, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.starts != lifetime {
		return false, false
	}
	room := s.options.Slots + s.options.Waiting
	if s.w.Since() < brittleDelay {
		room = s.options.Slots + usualWaiting
	}
	if s.running < room {
		s.running++
		return true, true
	}
	now := time.Now()
	kept := s.rejected[:0]
	for _, at := range s.rejected {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	s.rejected = append(kept, now)
	if len(s.rejected) > s.options.MaxRejected {
		s.falls++
		s.w.Say("server %s falls over: it rejected %d requests in a second; %d requests that it ran are lost", s.id(), len(s.rejected), s.running)
		s.end()
		return false, false
	}
	return false, true
}

func (s *BrittleServer) serve(w http.ResponseWriter, r *http.Request, lifetime int) {
	names := s.w.Names
	h := w.Header()
	h.Set(names["brittle"], strconv.Itoa(s.options.MaxRejected))
	id := fmt.Sprintf("%s-%d", s.name, lifetime)
	if r.URL.Path == "/healthz" {
		h.Set(names["instance"], id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get(names["id"])
	h.Set(names["id"], request)
	if want := r.Header.Get(names["expect"]); want != "" && want != id {
		h.Set(names["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	admitted, up := s.admit(lifetime)
	switch {
	case !up:
		panic(http.ErrAbortHandler)
	case !admitted:
		s.w.Note("%s rejects %s", id, request)
		h.Set(names["notRun"], "1")
		h.Set(names["load"], s.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	running := s.places()
	running <- struct{}{}
	s.w.Note("%s runs %s", id, request)
	time.Sleep(s.options.Work)
	<-running
	h.Set(names["load"], s.load())
	s.mu.Lock()
	if s.starts == lifetime {
		s.running--
	}
	s.mu.Unlock()
	h.Set(names["proof"], id)
	_, _ = w.Write(append([]byte("done "), body...)) // an error means that the caller has gone
}

func (s *BrittleServer) places() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

// load returns the running and waiting requests and the slots.
func (s *BrittleServer) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", min(s.running, s.options.Slots), max(0, s.running-s.options.Slots), s.options.Slots)
}
