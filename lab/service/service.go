// Package service simulates a plain service with a non-idempotent request: a
// booking runs once for each call that arrives. It counts the runs of each
// idempotency key, so that tests can detect a booking that ran twice. All data is
// in memory. A Service is safe for concurrent use.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// Routes in addition to those of the backend protocol.
const (
	RouteBookings    = "/bookings"     // POST; /{id} GET
	RouteAdminRuns   = "/admin/runs"   // GET Runs
	RouteAdminFaults = "/admin/faults" // GET, PUT Faults
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Faults is the set of faults injected into bookings. It is the body of
// RouteAdminFaults.
type Faults struct {
	// LatencyMillis is the time in milliseconds between a run and its response.
	LatencyMillis int `json:"latency_ms"`
	// LostAnswerRate is the fraction of bookings, 0 to 1, that run but whose
	// connection is closed without a response.
	LostAnswerRate float64 `json:"lost_answer_rate"`
	// LostCallRate is the fraction of bookings, 0 to 1, that do not run and whose
	// connection is closed without a response.
	LostCallRate float64 `json:"lost_call_rate"`
}

func (f Faults) check() error {
	if f.LatencyMillis < 0 || f.LostAnswerRate < 0 || f.LostCallRate < 0 || f.LostAnswerRate+f.LostCallRate > 1 {
		return fmt.Errorf("latency must not be negative and rates must add up to at most 1, are %+v", f)
	}
	return nil
}

// Config configures a Service.
type Config struct {
	Faults      Faults
	MaxRunning  int // maximum number of concurrent calls; more get 503; 0 means no limit
	Incarnation int64
	Seed        uint64 // of the random faults
}

// Booking is the response body of POST RouteBookings and GET RouteBookings/{id}.
type Booking struct {
	BookingID string          `json:"booking_id"`
	Key       string          `json:"key"` // idempotency key of the call
	RequestID string          `json:"request_id"`
	Details   json.RawMessage `json:"details,omitempty"` // request body of the call
}

// Runs is the response body of RouteAdminRuns.
type Runs struct {
	Total int            `json:"total"`
	Keys  map[string]int `json:"keys"` // runs of each idempotency key
}

// Service is one simulated plain service. It is safe for concurrent use.
type Service struct {
	cfg Config

	mu sync.Mutex
	// The fields below are guarded by mu.
	faults   Faults
	rng      *rand.Rand
	runs     map[string]int
	bookings map[string]Booking
	total    int
	running  int
	leaving  bool
	drained  chan struct{}
}

// New returns a service without bookings.
func New(cfg Config) (*Service, error) {
	if err := cfg.Faults.check(); err != nil {
		return nil, err
	}
	return &Service{
		cfg: cfg, faults: cfg.Faults, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		runs: map[string]int{}, bookings: map[string]Booking{}, drained: make(chan struct{}),
	}, nil
}

// Handler returns the HTTP routes of the service.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(RouteBookings, s.postBooking).Methods(http.MethodPost)
	r.HandleFunc(RouteBookings+"/{id}", s.getBooking).Methods(http.MethodGet)
	r.HandleFunc(RouteAdminRuns, s.getRuns).Methods(http.MethodGet)
	r.HandleFunc(RouteAdminFaults, s.getFaults).Methods(http.MethodGet)
	r.HandleFunc(RouteAdminFaults, s.putFaults).Methods(http.MethodPut, http.MethodPost)
	r.HandleFunc(backendapi.RouteLoad, s.getLoad).Methods(http.MethodGet)
	r.HandleFunc(backendapi.RouteHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	}).Methods(http.MethodGet)
	return r
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, backendapi.Error{Error: backendapi.ErrorDetail{Code: code, Message: message}})
}

func (s *Service) postBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, backendapi.CodeBadRequest, "body: "+err.Error())
		return
	}
	if len(body) > 0 && !json.Valid(body) {
		writeError(w, http.StatusBadRequest, backendapi.CodeBadRequest, "body is not JSON")
		return
	}
	if code, message := s.begin(); code != "" {
		writeError(w, http.StatusServiceUnavailable, code, message)
		return
	}
	defer s.end()
	latency, callLost, answerLost := s.drawFault()
	if callLost {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	booking := s.run(r.Header.Get(backendapi.HeaderIdempotencyKey), r.Header.Get(backendapi.HeaderRequestID), body)
	sleep(r.Context(), latency)
	if answerLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, booking)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// begin counts a call as running, or returns the error code and message with which
// it is rejected.
func (s *Service) begin() (code, message string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return backendapi.CodeLeaving, "service is leaving and takes no new calls"
	}
	if s.cfg.MaxRunning > 0 && s.running >= s.cfg.MaxRunning {
		return backendapi.CodeOverloaded, fmt.Sprintf("%d calls are running", s.running)
	}
	s.running++
	return "", ""
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.closeIfDrained()
}

// closeIfDrained closes the drained channel if the service is leaving and no call
// is running. The caller must hold mu.
func (s *Service) closeIfDrained() {
	if !s.leaving || s.running > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

func (s *Service) drawFault() (latency time.Duration, callLost, answerLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	draw := s.rng.Float64()
	answerLost = draw < s.faults.LostAnswerRate
	callLost = !answerLost && draw < s.faults.LostAnswerRate+s.faults.LostCallRate
	return time.Duration(s.faults.LatencyMillis) * time.Millisecond, callLost, answerLost
}

func (s *Service) run(key, requestID string, body []byte) Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.runs[key]++
	b := Booking{BookingID: fmt.Sprintf("b-%d-%d", s.cfg.Incarnation, s.total), Key: key, RequestID: requestID, Details: body}
	s.bookings[b.BookingID] = b
	return b
}

func (s *Service) getBooking(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	b, ok := s.bookings[id]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "not_found", fmt.Sprintf("booking %q does not exist", id))
		return
	}
	writeJSON(w, http.StatusOK, b)
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := Runs{Total: s.total, Keys: maps.Clone(s.runs)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, runs)
}

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, faults)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f)
	if err == nil {
		err = f.check()
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, backendapi.CodeBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (s *Service) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := backendapi.Load{
		MeasuredAt: time.Now(), Incarnation: s.cfg.Incarnation, Running: s.running,
		MaxRunning: s.cfg.MaxRunning, Leaving: s.leaving, Models: []string{},
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

// Leave starts a graceful shutdown: new calls are rejected, running ones finish.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.closeIfDrained()
}

// Drained returns a channel that is closed when Leave has been called and no call
// is running any more.
func (s *Service) Drained() <-chan struct{} { return s.drained }
