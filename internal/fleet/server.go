// Package fleet records a node's view of the backend servers and chooses the server
// for each request.
//
// Load pattern: nearly all engines of one data centre are lost within milliseconds,
// in the middle of generations with long prompts, and restart without state a second
// later under new ids. Data centres are lost one after the other. Decisions therefore
// rely on the requests that this node and its peers have sent, which are recorded
// within milliseconds, and not on load reports, which are out of date when they
// arrive.
//
// All methods of a Fleet may be called from any goroutine. Its mutex is locked once
// per request, not once per event of a stream. Methods take the current time as an
// argument and do no I/O.
package fleet

import (
	"sync/atomic"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Entry is what a backend server publishes about itself in the platform's list.
type Entry struct {
	ID ident.BackendID `json:"i"`
	// Incarnation distinguishes successive servers with the same id. It is the start
	// time as Unix time in milliseconds, or 0 if the server does not report it.
	Incarnation int64            `json:"b"`
	Service     string           `json:"v"`
	Address     string           `json:"a"` // IP:port; may be reused by other servers later
	DataCentre  ident.DataCentre `json:"d"`
	// Version is the version of the server's software, or one of the values Unversioned
	// and UnknownVersion.
	Version  string `json:"w,omitempty"`
	Slots    int    `json:"n"`
	Draining bool   `json:"l,omitempty"`
	Sequence int64  `json:"q"` // increases with each report of one incarnation
}

// runKey identifies a run across hosts.
type runKey struct {
	host ident.HostID
	run  uint64
}

// run is one request on one engine, with the data that placement needs.
type run struct {
	key        runKey
	prefill    time.Duration // expected time to read the prompt on an engine of nominal speed
	tokens     int           // prompt and maximum output
	suffixHash uint64        // hash of the last part of the prompt
	rank       int           // see Prompt.Rank
	started    time.Time
	waiting    bool // the prompt has not been read yet
}

// cachedPrompt is a prompt that an engine has read and may still hold.
type cachedPrompt struct {
	tokens int
	at     time.Time
}

// Server is one incarnation of a backend server. Unless noted otherwise, fields are
// guarded by the mutex of the Fleet.
type Server struct {
	// Entry does not change except for Draining, Sequence and Version, which are guarded
	// by the mutex of the Fleet. Version changes only if it was not known.
	Entry
	// lastDataNanos is the time of the latest data from the server, in nanoseconds since
	// Fleet.epoch. It is written by the goroutines that read streams.
	lastDataNanos atomic.Int64
	// lossCount is the number of times that the server was marked as unreachable.
	// Goroutines that read streams compare it with an earlier value to notice a loss
	// that another request or host found.
	lossCount atomic.Uint32
	// goneCount is the number of times that no process of the server's was found at its
	// address. It is compared like lossCount.
	goneCount atomic.Uint32

	// silent is set while the server is taken for lost only because it was silent.
	silent atomic.Bool

	firstSeen time.Time
	// unlisted is set for a server that was discovered at the address of a lost one
	// and is not in the list yet, see Fleet.AddDiscovered.
	unlisted bool
	// entryReportedAt is the time at which the latest report of the server was read
	// from the list.
	entryReportedAt time.Time
	// lostAt is the time of the latest evidence of a loss. No work is sent to the
	// server until lostUntil.
	lostAt        time.Time
	unreachableAt time.Time // time of the latest evidence of a loss other than a reset
	lostUntil     time.Time
	// unreachable is set if the server was found unreachable, and not set if only a
	// connection to it was reset. It stays set after lostUntil, until a reset.
	unreachable bool
	// reportedAt is the time of the latest report of a peer that the server is lost.
	// Until suspectUntil other servers are preferred, unless data from the server has
	// arrived since the report. A peer may have lost only its own path to the server.
	// unreachableReportedAt is the time of the latest report other than that of a reset.
	reportedAt, unreachableReportedAt, suspectUntil time.Time
	// gone is set if the server was found unreachable because no process of its own was
	// at its address, and not set if it was only silent.
	gone bool
	// fullUntil is the end of the period after a refusal during which other servers
	// are preferred.
	fullUntil time.Time
	// listedDraining is the value of Draining in the list.
	listedDraining bool
	statements
	// deniedUntil is the end of the time in which the limit allows no further request of
	// this host.
	deniedUntil time.Time
	// removedAt is the time at which the entry was found missing from the list right
	// after an outage of the platform's store, see Fleet.Remove; zero if it is listed.
	removedAt time.Time

	runs   map[runKey]*run
	copies map[runKey]int // tokens of copies of runs on other engines
	// lastPrefillAt is the time at which the engine finished reading the latest
	// prompt. slowdown is the moving average of the ratio of actual to expected
	// prefill time: engines differ in speed, and slow down as they fill up.
	lastPrefillAt time.Time
	slowdown      float64
	cachedPrompts map[uint64]cachedPrompt

	outstanding    int     // requests of this node to a plain service
	failureRate    float64 // moving average of the fraction of failed requests, 0 to 1
	reportedLoad   Load
	loadReportedAt time.Time
}

// Load is the load that a server reports with an answer, in requests.
type Load struct {
	Running, Waiting, Slots int
	// Pace is the time that work takes, as a multiple of the usual; 0 if it is not reported.
	Pace float64
}

// LostSince reports whether the server was marked as unreachable since LossCount
// returned lossCount.
func (s *Server) LostSince(lossCount uint32) bool { return s.lossCount.Load() != lossCount }

// LossCount returns the number of times that the server was marked as unreachable so
// far, for a later call of LostSince.
func (s *Server) LossCount() uint32 { return s.lossCount.Load() }

// GoneSince reports whether no process of the server's was found at its address since
// GoneCount returned goneCount.
func (s *Server) GoneSince(goneCount uint32) bool { return s.goneCount.Load() != goneCount }

// GoneCount returns the number of times that no process of the server's was found at
// its address so far, for a later call of GoneSince.
func (s *Server) GoneCount() uint32 { return s.goneCount.Load() }

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

// waitingTTL is the longest time for which a run counts as waiting. It bounds the
// effect of a lost message from the run's host that the prompt has been read.
const waitingTTL = 10 * time.Second

func (r *run) isWaiting(now time.Time) bool { return r.waiting && now.Sub(r.started) < waitingTTL }

// Parameters of Server.slowdown. The bounds keep a few unusual prompts from making an
// engine appear much faster or slower than it is.
const (
	minSlowdown = 0.7
	maxSlowdown = 3.0
	// slowdownWeight is the weight of the latest prompt in the moving average.
	slowdownWeight = 0.25
	// slowdownMinPrefill is the shortest expected prefill time that updates the slowdown.
	slowdownMinPrefill = 300 * time.Millisecond
)

// queueWait returns the expected time until the engine starts to read a new prompt of a rank: the
// expected time to read all waiting prompts that are as urgent or more, less the time already spent on the oldest
// one. Prompts are read one after the other, so no time is subtracted for the others.
func (s *Server) queueWait(now time.Time, rank int) time.Duration {
	var left time.Duration
	head := s.queueHead(now)
	for _, r := range s.runs {
		if r.isWaiting(now) && (r.rank <= rank || r == head) {
			left += s.scaledPrefill(r.prefill)
		}
	}
	if head != nil {
		left -= min(now.Sub(s.prefillStart(head)), s.scaledPrefill(head.prefill))
	}
	return max(0, left)
}

// queueHead returns the run whose prompt is being read, or nil.
func (s *Server) queueHead(now time.Time) *run {
	var head *run
	for _, r := range s.runs {
		if r.isWaiting(now) && (head == nil || r.startedBefore(head)) {
			head = r
		}
	}
	return head
}

// startedBefore reports whether r was started before other. The key breaks ties, so
// that the result does not depend on the map's iteration order.
func (r *run) startedBefore(other *run) bool {
	if !r.started.Equal(other.started) {
		return r.started.Before(other.started)
	}
	return r.key.host < other.key.host || r.key.host == other.key.host && r.key.run < other.key.run
}

// prefillStart returns the time at which the engine started to read the prompt of
// head, the oldest waiting run.
func (s *Server) prefillStart(head *run) time.Time {
	if s.lastPrefillAt.After(head.started) {
		return s.lastPrefillAt
	}
	return head.started
}

// scaledPrefill returns the prefill time on s for a prefill time on an engine of
// nominal speed.
func (s *Server) scaledPrefill(prefill time.Duration) time.Duration {
	return time.Duration(float64(prefill) * s.slowdown)
}

// recordPrefill records that the prompt of a run has been read, and updates the
// slowdown.
func (s *Server) recordPrefill(now time.Time, r *run) {
	if r.prefill >= slowdownMinPrefill && s.queueHead(now) == r {
		ratio := float64(now.Sub(s.prefillStart(r))) / float64(r.prefill)
		s.slowdown += slowdownWeight * (min(max(ratio, minSlowdown), maxSlowdown) - s.slowdown)
	}
	r.waiting = false
	s.lastPrefillAt = now
}
