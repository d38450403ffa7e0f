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

// SilentRunner is a sound engine that may fall silent for a second or so and go on: it then
// neither reads from its connections nor writes to them, and its runs go on. It keeps no copies.
type SilentRunner struct {
	ID string

	w       *World
	events  int
	pace    time.Duration
	prefill time.Duration
	entry   standin.Entry
	server  *http.Server

	mu    sync.Mutex
	until time.Time // guarded by mu; end of the silence
	runs  []*Run    // guarded by mu; all runs, those that have ended too
}

// Run is one run of a request.
type Run struct {
	Request, Runner string
	Began, Ended    time.Time // Ended is zero while the run goes on
}

// StartSilentRunner starts a runner and writes its entry.
func (w *World) StartSilentRunner(id, zone string, events int, pace, prefill time.Duration) (*SilentRunner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &SilentRunner{ID: id, w: w, events: events, pace: pace, prefill: prefill, entry: standin.Entry{
		Service: "engines", Address: listener.Addr().String(), Zone: zone, Version: "v1", Slots: 64, Phase: "ready", Sequence: 1, Born: time.Now().UnixMilli(),
	}}
	raw, err := json.Marshal(s.entry)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) {
		s.awaitSound()
		rw.Header().Set(w.Names["instance"], id)
	})
	mux.HandleFunc("POST /plan/", s.run)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener) // ends with Close
	w.Store.Put("servers", id, raw)
	return s, nil
}

// Close ends the runner.
func (s *SilentRunner) Close() { s.server.Close() }

// Silence makes the runner silent for some time.
func (s *SilentRunner) Silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

// awaitSound waits for the end of a silence, and returns at once if there is none.
func (s *SilentRunner) awaitSound() {
	for {
		s.mu.Lock()
		left := time.Until(s.until)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (s *SilentRunner) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until)
}

func (s *SilentRunner) report(w http.ResponseWriter, _ *http.Request) {
	s.awaitSound()
	_ = json.NewEncoder(w).Encode(map[string]any{ // an error means that the caller has gone
		"stage": "prefill_decode", s.w.Names["memory"]: standin.CacheTokens, "phase": s.entry.Phase, "born": s.entry.Born,
	})
}

// Runs returns copies of all runs.
func (s *SilentRunner) Runs() (runs []Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		runs = append(runs, *r)
	}
	return runs
}

func (s *SilentRunner) run(w http.ResponseWriter, r *http.Request) {
	s.awaitSound()
	names := s.w.Names
	id := r.Header.Get(names["id"])
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if time.Sleep(5 * time.Millisecond); r.Context().Err() != nil {
		s.w.Note("%s drops %s, whose connection was closed meanwhile", s.ID, id)
		return
	}
	h := w.Header()
	h.Set(names["id"], id)
	status := 0
	if want := r.Header.Get(names["expect"]); want != "" && want != s.ID {
		status = http.StatusMisdirectedRequest
	} else if r.Header.Get(names["copyFrom"]) != "" {
		status = http.StatusServiceUnavailable // no copy exists
	}
	if status != 0 {
		h.Set(names["notRun"], "1")
		w.WriteHeader(status)
		return
	}
	run := &Run{Request: id, Runner: s.ID, Began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get(names["after"]))
	s.w.Note("%s runs %s after %d", s.ID, id, after)
	made := s.work(w, r, after)
	s.mu.Lock()
	run.Ended = time.Now()
	s.mu.Unlock()
	s.w.Note("%s has ended %s at event %d", s.ID, id, made)
}

// work makes the events of a run. What it makes in a silence is sent after it. It ends early
// when the runner, while it is sound, finds the connection closed.
func (s *SilentRunner) work(w http.ResponseWriter, r *http.Request, after int) (made int) {
	time.Sleep(s.prefill)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(s.w.Names["proof"], s.ID)
	sent := after
	for made = after + 1; made <= s.events; made++ {
		if !s.silent() {
			if r.Context().Err() != nil {
				return made
			}
			for ; sent < made; sent++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", sent+1, r.URL.Path, sent+1); err != nil {
					return made
				}
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return made
			}
		}
		time.Sleep(s.pace)
	}
	s.awaitSound()
	for ; sent < s.events; sent++ {
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", sent+1, r.URL.Path, sent+1)
	}
	return s.events
}
