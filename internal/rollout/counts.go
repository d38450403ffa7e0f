package rollout

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// interruptedHold is how long a stream of an old version that was broken off may still be
// resumed by its client.
const interruptedHold = 2 * time.Second

// longestDecay is the factor by which the longest time of a request shrinks with each one that
// ends, so that it follows the load.
const longestDecay = 0.98

// counts are the answers that one host has seen since an order. Guarded by Host.mu.
type counts struct {
	tallies map[Key]*tally
}

// running counts the requests that the servers of one version have begun.
type running struct {
	requests int // not ended yet; a request between two attempts is one too
	// interruptedAt is the time at which a request was last broken off, whose client may
	// come back.
	interruptedAt time.Time
	longest       time.Duration // of the requests that have ended lately
}

// tally counts the requests of one key.
type tally struct {
	sent, failed uint32
	times        Histogram
	open         map[*Request]struct{} // sent and not answered
	changedAt    time.Time
}

// Request is an attempt whose answer is counted. A nil Request counts nothing.
type Request struct {
	host     *Host
	tally    *tally
	sentAt   time.Time
	expected time.Duration
	open     bool // guarded by Host.mu
}

// Sample describes an attempt whose answer is counted.
type Sample struct {
	Service, Route string
	Server         ident.BackendID
	Version        string // of the server
	// Expected is the time in which a server of usual speed would begin its answer.
	Expected time.Duration
	// Part is set for a part of an answer that counts by itself, and not as a request.
	Part bool
}

// Count records that a request is sent to a server. It returns nil if the service has no order.
func (h *Host) Count(now time.Time, x Sample) *Request {
	if h == nil || !h.active.Load() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[x.Service]
	if s == nil || s.plan.Phase.Final() {
		return nil
	}
	k := Key{Route: x.Route}
	if x.Version == s.order.To {
		k.Server = x.Server
	}
	if s.evidence.tallies == nil {
		s.evidence.tallies = map[Key]*tally{}
	}
	t := s.evidence.tallies[k]
	if t == nil {
		t = &tally{open: map[*Request]struct{}{}}
		s.evidence.tallies[k] = t
	}
	r := &Request{host: h, tally: t, sentAt: now, expected: x.Expected, open: true}
	if !x.Part {
		t.sent++
	}
	t.open[r] = struct{}{}
	t.changedAt = now
	return r
}

// Answered records that the answer has begun, or that a whole one has come.
func (r *Request) Answered(now time.Time) {
	r.close(now, func(t *tally) { t.times[bucketOf(now.Sub(r.sentAt), r.expected)]++ })
}

// Failed records a failure that the server itself answered.
func (r *Request) Failed(now time.Time) { r.close(now, func(t *tally) { t.failed++ }) }

// Ignore records that the attempt has ended without saying anything of the version: the
// server was full or was lost, or the client has left.
func (r *Request) Ignore(now time.Time) { r.close(now, func(*tally) {}) }

// close ends the attempt. Only the first of several calls counts.
func (r *Request) close(now time.Time, record func(*tally)) {
	if r == nil {
		return
	}
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	if !r.open {
		return
	}
	r.open = false
	delete(r.tally.open, r)
	r.tally.changedAt = now
	record(r.tally)
}

// Hold records that a request has begun at a version, until the returned function is called.
// That tells whether the answer was broken off. It returns nil if roll-outs are not used.
func (h *Host) Hold(now time.Time, name, version string) (release func(now time.Time, interrupted bool)) {
	if h == nil || !h.Limits.Enabled() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == nil {
		h.running = map[string]map[string]*running{}
	}
	if h.running[name] == nil {
		h.running[name] = map[string]*running{}
	}
	x := h.running[name][version]
	if x == nil {
		x = &running{}
		h.running[name][version] = x
	}
	x.requests++
	return func(end time.Time, interrupted bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		x.requests--
		x.longest = max(time.Duration(longestDecay*float64(x.longest)), end.Sub(now))
		if interrupted {
			x.interruptedAt = end
		}
	}
}

// oldRequests returns the number of requests of a service at versions other than the new one
// that have not ended or whose clients may come back, and the time of the longest one lately.
// The lock is held.
func (h *Host) oldRequests(now time.Time, o Order) (n int, longest time.Duration) {
	for v, x := range h.running[o.Service] {
		if v == o.To {
			continue
		}
		n += x.requests
		if now.Sub(x.interruptedAt) < interruptedHold {
			n++
		}
		longest = max(longest, x.longest)
	}
	return n, longest
}

// Count is what a host reports of one key. All but Open count since the order.
type Count struct {
	Route  string           `json:"r"`
	Server ident.BackendID  `json:"s,omitempty"`
	Sent   uint32           `json:"n"`
	Failed uint32           `json:"f,omitempty"`
	Times  map[uint8]uint32 `json:"t,omitempty"` // answers by bucket of a Histogram
	Open   map[uint8]uint32 `json:"o,omitempty"` // requests without an answer, by the time that they have waited
}

// Report is what a host tells the coordinator of a service.
type Report struct {
	Service     string            `json:"v"`
	ID          ID                `json:"i"`
	Host        ident.HostID      `json:"-"`
	Incarnation ident.Incarnation `json:"-"`
	Counts      []Count           `json:"c,omitempty"`
	// OldRequests is the number of requests at old versions that have not ended or whose
	// clients may come back.
	OldRequests int `json:"o,omitempty"`
	// LongestMs is the time in milliseconds of the longest request at an old version.
	LongestMs int64 `json:"l,omitempty"`
	// Full is set if the report has all counts, for a new coordinator.
	Full bool `json:"u,omitempty"`
	// Part is the number of this part of a report that was split.
	Part int `json:"x,omitempty"`
	// Plan is the plan that the host follows. Verdicts outlive their coordinator so.
	Plan Plan `json:"p"`
}

// Report returns the counts of a service that have changed since a time, or all if that is
// zero.
func (h *Host) Report(now time.Time, name string, since time.Time) (Report, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		return Report{}, false
	}
	r := Report{Service: name, ID: s.order.ID, Full: since.IsZero(), Plan: s.current(now, s.plan)}
	old, longest := h.oldRequests(now, s.order)
	r.OldRequests, r.LongestMs = old, longest.Milliseconds()
	for k, t := range s.evidence.tallies {
		if t.changedAt.Before(since) && len(t.open) == 0 {
			continue
		}
		x := Count{Route: k.Route, Server: k.Server, Sent: t.sent, Failed: t.failed, Times: t.times.sparse()}
		for q := range t.open {
			if x.Open == nil {
				x.Open = map[uint8]uint32{}
			}
			x.Open[bucketOf(now.Sub(q.sentAt), q.expected)]++
		}
		r.Counts = append(r.Counts, x)
	}
	return r, true
}

// Split divides a report into parts with at most size counts each. Each part counts as a
// report of its own.
func (r Report) Split(size int) []Report {
	parts := []Report{r}
	for len(parts[len(parts)-1].Counts) > size {
		last := &parts[len(parts)-1]
		next := *last
		next.Counts, next.Part = last.Counts[size:], last.Part+1
		last.Counts = last.Counts[:size]
		parts = append(parts, next)
	}
	return parts
}
