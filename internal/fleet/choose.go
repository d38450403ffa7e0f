package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// equalWait is the difference of expected waits within which engines count as
	// equal. Among equals the choice follows the hash of the prompt, which
	// spreads requests that hosts place in the same moment.
	equalWait = 150 * time.Millisecond
	// equalAfterLoss is the same for a request that has lost an engine: when a
	// data centre is lost, all hosts place such requests at once.
	equalAfterLoss = 500 * time.Millisecond
	// runCost is the cost of reading a prompt beside one running request, whose
	// tokens it slows.
	runCost = 150 * time.Millisecond
	// failCost is the cost of a failure rate of 1.
	failCost = 3 * time.Second
	// fullCost is the cost of a server that refused a request a moment ago.
	fullCost = 2 * time.Second
	// noRoomCost is the cost of an engine whose memory would overflow: it would
	// preempt another request.
	noRoomCost = 5 * time.Second
	// copyRoom is the part of an engine's memory up to which it takes copies. While
	// no data centre was lost for lossSeries, the rest serves more streams than
	// copies would save; after a loss others follow within seconds.
	copyRoom       = 0.6
	copyRoomLosses = 0.85
	lossSeries     = 20 * time.Second
	// reportFor is how long a reported load counts.
	reportFor = 300 * time.Millisecond
	// plainWork is the expected time of one request at a plain service.
	plainWork = 30 * time.Millisecond
)

// Exclude names servers that a request must not go to again.
type Exclude []ident.BackendID

// Choice is the result of a decision.
type Choice struct {
	Server *Server
	// Wait is the expected time until the request is begun, Prefill until its
	// prompt is read after that.
	Wait, Prefill time.Duration
	// Free is the part of the engine's memory that is free beside the request and
	// what is there; it is negative if the request does not fit.
	Free float64
}

// usable is the filter of all choices: listed, not leaving, and not lost.
func (f *Fleet) usable(s *Server, service string, now time.Time) bool {
	return s.Service == service && !s.Draining && !now.Before(s.lostUntil) && !f.inLostZone(s, now)
}

// candidates returns the usable servers of a service, or, when there is none,
// those that are only suspected: the signs of loss may be wrong, and trying a
// server is better than refusing. Servers that were found gone are the last
// resort, if evenGone allows it; engines come back under new identities, so that
// waiting for those is better.
func (f *Fleet) candidates(service string, now time.Time, exclude Exclude, evenGone bool) []*Server {
	var usable, suspected, gone []*Server
	for _, s := range f.servers {
		switch {
		case s.Service != service || s.Draining || slices.Contains(exclude, s.ID):
		case f.usable(s, service, now):
			usable = append(usable, s)
		case !s.gone || !now.Before(s.lostUntil):
			suspected = append(suspected, s)
		case evenGone:
			gone = append(gone, s)
		}
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(suspected) > 0:
		return suspected
	}
	return gone
}

// Engine chooses the engine for a prompt: of those with nearly the least expected
// time to the first token the first by the hash of the prompt.
func (f *Fleet) Engine(now time.Time, service string, memory int, p Prompt, exclude Exclude) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.candidates(service, now, exclude, false)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	costs := make([]time.Duration, len(candidates))
	for i, s := range candidates {
		costs[i] = f.engineCost(s, now, memory, p)
	}
	limit := slices.Min(costs) + equalWait
	if len(exclude) > 0 {
		limit += equalAfterLoss - equalWait
	}
	var best Choice
	var rank uint64
	for i, s := range candidates {
		if hash := preference(p.Part, s); costs[i] <= limit && (best.Server == nil || hash > rank) {
			best.Server, rank = s, hash
		}
	}
	best.Wait, best.Prefill = best.Server.queueWait(now), best.Server.scaled(best.Server.prefillOn(p))
	best.Free = best.Server.free(memory, p)
	return best, true
}

// engineCost is the expected time to the first token, and the time by which the
// prompt slows other requests.
func (f *Fleet) engineCost(s *Server, now time.Time, memory int, p Prompt) time.Duration {
	cost := s.firstToken(now, p) + time.Duration(len(s.runs))*runCost + f.faultCost(s, now)
	if s.free(memory, p) < 0 {
		cost += noRoomCost
	}
	return cost
}

// free is the part of a memory of so many tokens that is free beside a request,
// and the runs and copies on s; 1 for a memory of unknown size.
func (s *Server) free(memory int, p Prompt) float64 {
	if memory <= 0 {
		return 1
	}
	return 1 - float64(s.usedTokens()+p.Tokens+p.Output)/float64(memory)
}

// Backup chooses the engine that holds the copy of a run: in another data
// centre than the run, with the most free memory.
func (f *Fleet) Backup(now time.Time, primary *Server, memory int, p Prompt, exclude Exclude) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := f.copyRoom(now, memory)
	var best *Server
	var bestUsed int
	var bestHash uint64
	for _, s := range f.servers {
		if s.ID == primary.ID || s.DataCentre == primary.DataCentre || !f.usable(s, primary.Service, now) || slices.Contains(exclude, s.ID) {
			continue
		}
		used := s.usedTokens()
		if memory > 0 && used+p.Tokens+p.Output > room {
			continue
		}
		// Steps of one request, so that the hash decides among equals.
		used /= max(1, p.Tokens)
		hash := preference(p.Part, s)
		if best == nil || used < bestUsed || used == bestUsed && hash > bestHash {
			best, bestUsed, bestHash = s, used, hash
		}
	}
	return best
}

// Copied reports whether runs of a prompt have copies, with a weight from 0 to 1
// of resume latency against the resources spent on it. A prompt has the same
// answer on every host. A copy costs the transfer of the prompt's tokens and room
// for them; without one the prompt is read again when its engine is lost.
func Copied(weight float64, p Prompt) bool {
	return float64(xxh3.HashString(strconv.FormatUint(p.Part, 16)))/math.MaxUint64 < weight || weight >= 1
}

// copyRoom is the number of tokens up to which an engine takes copies.
func (f *Fleet) copyRoom(now time.Time, memory int) int {
	part := copyRoom
	for _, at := range f.zoneLost {
		if now.Sub(at) < lossSeries {
			part = copyRoomLosses
		}
	}
	return int(part * float64(memory))
}

// Plain chooses the server of a plain service with the least expected wait. A
// random choice among equals spreads what all hosts send at once.
func (f *Fleet) Plain(now time.Time, service string, exclude Exclude) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best Choice
	var bestCost time.Duration
	equals := 0
	candidates := f.candidates(service, now, exclude, true)
	for _, s := range candidates {
		cost := (f.plainWait(s, now) + f.faultCost(s, now)).Truncate(plainWork)
		switch {
		case best.Server == nil || cost < bestCost:
			best.Server, bestCost, equals = s, cost, 1
		case cost == bestCost:
			equals++
			if rand.IntN(equals) == 0 {
				best.Server = s
			}
		}
	}
	if best.Server == nil {
		return best, false
	}
	best.Wait = f.plainWait(best.Server, now)
	return best, true
}

// plainWait is the expected wait at a plain service by what this node has there
// and by the last report.
func (f *Fleet) plainWait(s *Server, now time.Time) time.Duration {
	busy := s.outstanding
	if now.Sub(s.reportedAt) < reportFor {
		busy = max(busy, s.reported.Running+s.reported.Waiting)
	}
	return time.Duration(busy) * plainWork / time.Duration(max(1, s.Slots))
}

func (f *Fleet) faultCost(s *Server, now time.Time) time.Duration {
	cost := time.Duration(s.failRate * float64(failCost)).Truncate(failCost / 8)
	if now.Before(s.fullUntil) {
		cost += fullCost
	}
	return cost
}

// preference ranks servers for a prompt in the same way on every host.
func preference(part uint64, s *Server) uint64 {
	return xxh3.HashStringSeed(string(s.ID), part)
}

// Count returns the number of servers of a service that may get work.
func (f *Fleet) Count(now time.Time, service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, s := range f.servers {
		if f.usable(s, service, now) {
			count++
		}
	}
	return count
}

// Takes reports whether a server may get work now.
func (f *Fleet) Takes(s *Server, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[s.ID] == s && f.usable(s, s.Service, now)
}

// QueueWait is the expected time until a new prompt is begun on s.
func (f *Fleet) QueueWait(s *Server, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.queueWait(now)
}

// FirstToken is the expected time until a prompt that is sent to s now is read.
func (f *Fleet) FirstToken(s *Server, now time.Time, p Prompt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.firstToken(now, p)
}

// PrefillOn is the time that an engine of usual speed would need to read the
// part of a prompt that s does not hold.
func (f *Fleet) PrefillOn(s *Server, p Prompt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.prefillOn(p)
}
