// Package fleet keeps what a node knows of the backend servers and decides
// which of them runs a request.
//
// Load pattern: nearly all engines of one data centre are lost within
// milliseconds, in the middle of generations with long prompts, and come back
// empty a second later under new identities; data centres are lost in turn. The
// decisions therefore work on what this node and its peers sent, which is known
// within milliseconds, and not on load reports, which are old when they arrive.
//
// A Fleet is guarded by its own lock, which is taken for each request and not
// for each event of a stream. Methods take the time and do no I/O.
package fleet

import (
	"sync/atomic"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Entry is what a backend server says of itself in the platform's list.
type Entry struct {
	ID ident.BackendID `json:"i"`
	// Born tells apart lives under one id: the Unix millisecond of the start,
	// or 0 if the server does not tell it.
	Born       int64            `json:"b"`
	Service    string           `json:"v"`
	Address    string           `json:"a"` // IP:port; other servers use it again later
	DataCentre ident.DataCentre `json:"d"`
	Slots      int              `json:"n"`
	Draining   bool             `json:"l,omitempty"`
	Sequence   int64            `json:"q"` // rises with each report of one life
}

// runKey identifies a run across hosts.
type runKey struct {
	host ident.HostID
	run  uint64
}

// run is one request on one engine, as far as placement is concerned.
type run struct {
	key     runKey
	prefill time.Duration // time that the engine needs for the prompt
	tokens  int           // prompt and output
	part    uint64        // hash of the last part of the prompt
	started time.Time
	waiting bool // the first event has not arrived
}

// cached is a prompt that an engine has read and may still hold.
type cached struct {
	tokens int
	at     time.Time
}

// Server is one life of a backend server. Fields without a comment on another
// guard are guarded by the lock of its Fleet.
type Server struct {
	// Entry does not change except for Draining and Sequence.
	Entry
	// lastHeard is the time of the newest byte from the server in nanoseconds
	// since the fleet's start. It is written by the readers of streams.
	lastHeard atomic.Int64
	// unreachable counts how often the server was marked as lost. Readers of
	// streams compare it to see a loss that another request or host found.
	unreachable atomic.Uint32

	firstSeen time.Time
	// unlisted servers were found at the address of a lost one, see Fleet.Found.
	unlisted bool
	// reportAt is the time at which the server's newest report was read.
	reportAt time.Time
	// lostAt is the time of the newest sign of loss; until lostUntil the server
	// gets no work.
	lostAt    time.Time
	goneAt    time.Time // of the newest sign other than a reset
	lostUntil time.Time
	// gone tells a server that was found gone from one whose connection was
	// reset, while lostUntil has not passed.
	gone bool
	// fullUntil ends the time after a refusal in which other servers go first.
	fullUntil time.Time
	// removedAt is set when the entry has gone from the list while the
	// platform's store had just come back, see Fleet.Apply.
	removedAt time.Time

	runs   map[runKey]*run
	copies map[runKey]int // tokens of copies of runs on other engines
	// lastRead is the time at which the newest prompt was read, and pace the
	// moving ratio of the time that prompts took to what was expected. Engines
	// differ in speed and slow down as they fill up.
	lastRead time.Time
	pace     float64
	prompts  map[uint64]cached

	outstanding int     // requests of this node at a plain service
	failRate    float64 // moving share of requests that the server failed
	reported    Load
	reportedAt  time.Time
}

// Load is what a server reports with an answer.
type Load struct{ Running, Waiting, Slots int }

// Gone reports whether the server was marked as lost since the mark was taken.
func (s *Server) Gone(mark uint32) bool { return s.unreachable.Load() != mark }

// Mark returns the number of losses so far, for Gone.
func (s *Server) Mark() uint32 { return s.unreachable.Load() }

func (s *Server) usedTokens() int {
	used := 0
	for _, r := range s.runs {
		used += r.tokens
	}
	for _, tokens := range s.copies {
		used += tokens
	}
	return used
}

// waitsFor bounds how long a run counts as waiting, since the news that its
// prompt was read may be lost on the way from the host that runs it.
const waitsFor = 10 * time.Second

func (r *run) waits(now time.Time) bool { return r.waiting && now.Sub(r.started) < waitsFor }

// Bounds of Server.pace, which keep a few odd prompts from ruling an engine in
// or out, and the weight of the newest prompt in it.
const (
	minPace    = 0.7
	maxPace    = 3.0
	paceWeight = 0.25
	// pacePrefill is the shortest expected reading time that tells the pace.
	pacePrefill = 300 * time.Millisecond
)

// queueWait is the expected time until a new prompt is begun. Prompts are read
// one after the other, so that the time since the last one was done counts for
// the oldest waiting prompt only.
func (s *Server) queueWait(now time.Time) time.Duration {
	var left time.Duration
	head := s.head(now)
	for _, r := range s.runs {
		if r.waits(now) {
			left += s.scaled(r.prefill)
		}
	}
	if head != nil {
		left -= min(now.Sub(s.begun(head)), s.scaled(head.prefill))
	}
	return max(0, left)
}

// head is the run whose prompt is read now, or nil.
func (s *Server) head(now time.Time) *run {
	var head *run
	for _, r := range s.runs {
		if r.waits(now) && (head == nil || r.before(head)) {
			head = r
		}
	}
	return head
}

// before orders runs by their start; the key decides among equals, so that the
// order of the map does not.
func (r *run) before(other *run) bool {
	if !r.started.Equal(other.started) {
		return r.started.Before(other.started)
	}
	return r.key.host < other.key.host || r.key.host == other.key.host && r.key.run < other.key.run
}

// begun is the time at which the engine began to read the oldest prompt.
func (s *Server) begun(head *run) time.Time {
	if s.lastRead.After(head.started) {
		return s.lastRead
	}
	return head.started
}

// scaled is an expected reading time at the engine's own pace.
func (s *Server) scaled(prefill time.Duration) time.Duration {
	return time.Duration(float64(prefill) * s.pace)
}

// read notes that the prompt of a run has been read.
func (s *Server) read(now time.Time, r *run) {
	if r.prefill >= pacePrefill && s.head(now) == r {
		took := float64(now.Sub(s.begun(r))) / float64(r.prefill)
		s.pace += paceWeight * (min(max(took, minPace), maxPace) - s.pace)
	}
	r.waiting = false
	s.lastRead = now
}
