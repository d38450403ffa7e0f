package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a server that answers with a stream of events.
type engine struct {
	w      *world
	id     string
	zone   string
	row    *registration
	server *http.Server
	born   int64

	events       int           // of each stream
	first, pause time.Duration // until the first event, and between others
	// crashesOn reports whether a request that has arrived crashes the engine when it begins to
	// answer. ended is called then. Both are nil if no request does.
	crashesOn func(r *http.Request) bool
	ended     func()

	mu       sync.Mutex
	arrivals []arrival         // guarded by mu
	running  int               // guarded by mu
	conns    map[net.Conn]bool // guarded by mu
}

// Figures of an engine.
const (
	engineSlots  = 96
	engineMemory = 88000
	firstEvent   = 300 * time.Millisecond
	eventPause   = 200 * time.Millisecond
	streamEvents = 75
)

func (w *world) addEngine(id, zone string, options ...func(*engine)) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, zone: zone, events: streamEvents, first: firstEvent, pause: eventPause, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	for _, set := range options {
		set(e)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set(w.names.InstanceAnswer, e.id) })
	mux.HandleFunc("GET "+w.names.ListCall, func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, `{"epoch":1,"next":1,"held":[]}`)
	})
	mux.HandleFunc("/plan/", e.run)
	e.server = &http.Server{Handler: mux, ConnState: e.track}
	go e.server.Serve(listener) // ends with Close
	w.onClose(func() { e.server.Close() })
	e.row = w.register(e.id, "engines", listener.Addr().String(), zone, engineSlots)
	return e, nil
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed {
		delete(e.conns, c)
	} else {
		e.conns[c] = true
	}
}

// crash ends the engine at once, and resets its connections.
func (e *engine) crash() {
	e.mu.Lock()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // an error means that the connection is closed
		}
	}
	e.mu.Unlock()
	e.server.Close()
	e.row.remove(3 * reportInterval)
}

func (e *engine) report(rw http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	e.row.mu.Lock()
	phase := e.row.entry.Phase
	e.row.mu.Unlock()
	_ = json.NewEncoder(rw).Encode(map[string]any{ // an error means that the caller is gone
		"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"queued": 0, "active": running, e.w.names.MemoryField: engineMemory, "phase": phase, "born": e.born,
	})
}

func (e *engine) run(rw http.ResponseWriter, r *http.Request) {
	names, h := &e.w.names, rw.Header()
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get(names.Request)
	h.Set(names.Request, id)
	crashes := e.crashesOn != nil && e.crashesOn(r)
	if want := r.Header.Get(names.Instance); want != "" && want != e.id {
		h.Set(names.NotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), request: id, server: e.id})
	full := e.running >= engineSlots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	if full {
		h.Set(names.NotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get(names.LastEvent)) // 0 without the header
	e.w.log.add("%s runs %s after %d", e.id, id, after)
	if crashes {
		time.Sleep(e.first)
		e.ended()
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set(names.Proof, e.id+"."+id)
	for number := after + 1; number <= e.events; number++ {
		pause := e.pause
		if number == after+1 {
			pause = e.first
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: part %d\n\n", number, number); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}
