package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// waitTieMargin is the difference in expected wait within which engines are
	// treated as equal. The prompt hash breaks ties, which spreads requests that
	// several hosts place at the same moment.
	waitTieMargin = 150 * time.Millisecond
	// waitTieMarginAfterLoss is the margin for a request that has lost an engine or
	// whose client resumes a stream. It is wider because all hosts place such requests
	// at the same time when a data centre or many hosts are lost.
	waitTieMarginAfterLoss = 500 * time.Millisecond
	// runningPenalty is the cost per request already running on an engine, whose token
	// generation slows down while the prompt is read.
	runningPenalty = 150 * time.Millisecond
	// failurePenalty is the cost of a failure rate of 1; lower rates cost
	// proportionally less.
	failurePenalty = 3 * time.Second
	// fullPenalty is the cost of a server that refused a request as full within the
	// last fullBackoff.
	fullPenalty = 2 * time.Second
	// suspectPenalty is the cost of a server that a peer has reported lost and from which
	// nothing was heard since. The peer may have lost only its own path.
	suspectPenalty = 5 * time.Second
	// overflowPenalty is the cost of an engine whose memory would overflow, which
	// makes it preempt another request.
	overflowPenalty = 5 * time.Second
	// maxCopyMemory is the fraction of an engine's memory that may be in use after a
	// copy is placed on it. If no data centre was lost within recentLossPeriod, the
	// remaining memory serves more streams than additional copies would save. After a
	// loss, further losses follow within seconds, so maxCopyMemoryAfterLoss applies.
	maxCopyMemory          = 0.6
	maxCopyMemoryAfterLoss = 0.85
	recentLossPeriod       = 20 * time.Second
	// loadReportTTL is how long a reported load is taken into account.
	loadReportTTL = 300 * time.Millisecond
	// plainRequestTime is the expected duration of one request to a plain service.
	plainRequestTime = 30 * time.Millisecond
)

// Exclude lists servers that a request must not be sent to again.
type Exclude []ident.BackendID

// Choice is the server selected for a request, with the estimates for it.
type Choice struct {
	Server *Server
	// QueueWait is the expected time until the engine starts to read the prompt;
	// Prefill is the expected time to read the prompt after that.
	QueueWait, Prefill time.Duration
	// FreeMemory is the fraction of the engine's memory that remains free with this
	// request and the current runs and copies. It is negative if the request does
	// not fit.
	FreeMemory float64
}

// usable reports whether s is in the list for service, not draining, not
// excluded after a loss, and not in a lost data centre.
func (f *Fleet) usable(s *Server, service string, now time.Time) bool {
	return s.Service == service && !s.Draining && !now.Before(s.lostUntil) && !f.inLostDataCentre(s, now)
}

// candidates returns the servers of a service, version (empty for any) and pool that a request
// may be sent to and that have not asked for a pause. It returns the first of these groups that
// is not empty:
//   - usable servers whose limit of requests, as far as known, allows one now
//   - other usable servers: their limits may allow a request again
//   - servers that are only suspected to be lost: the suspicion may be wrong, and trying a
//     server is better than refusing the request
//   - if includeUnreachable is set, servers that were found unreachable. Callers that choose
//     an engine do not set it, because an engine restarts under a new id and it is better to
//     wait for the new one.
func (f *Fleet) candidates(service, version string, pool Pool, now time.Time, exclude Exclude, includeUnreachable bool) []*Server {
	var usable, denied, suspected, unreachable []*Server
	allowed := f.poolOf(service, pool, now)
	for _, s := range f.servers {
		switch {
		case s.Service != service || !s.runsVersion(version) || !allowed(s) || s.Draining || now.Before(s.backoffUntil) || slices.Contains(exclude, s.ID):
		case f.usable(s, service, now) && now.Before(s.deniedUntil):
			denied = append(denied, s)
		case f.usable(s, service, now):
			usable = append(usable, s)
		case !s.unreachable || !now.Before(s.lostUntil):
			suspected = append(suspected, s)
		case includeUnreachable:
			unreachable = append(unreachable, s)
		}
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(denied) > 0:
		return denied
	case len(suspected) > 0:
		return suspected
	}
	return unreachable
}

// ChooseEngine chooses the engine for a prompt. Among the engines whose cost is within
// waitTieMargin of the lowest, it returns the one that the prompt hash ranks first.
func (f *Fleet) ChooseEngine(now time.Time, service string, memory int, p Prompt, exclude Exclude) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.candidates(service, p.Version, p.Pool, now, exclude, false)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	costs := make([]time.Duration, len(candidates))
	for i, s := range candidates {
		costs[i] = f.engineCost(s, now, memory, p)
	}
	limit := slices.Min(costs) + waitTieMargin
	if len(exclude) > 0 || p.Resumed {
		limit += waitTieMarginAfterLoss - waitTieMargin
	}
	var best Choice
	var rank uint64
	for i, s := range candidates {
		if hash := rendezvousHash(p.SuffixHash, s); costs[i] <= limit && (best.Server == nil || hash > rank) {
			best.Server, rank = s, hash
		}
	}
	best.QueueWait, best.Prefill = best.Server.queueWait(now, p.Rank), best.Server.scaledPrefill(best.Server.prefillTime(p))
	best.FreeMemory = best.Server.freeMemory(memory, p)
	return best, true
}

// engineCost returns the cost of placing a prompt on s: the expected time to the
// first token, the time by which reading the prompt slows the running requests,
// and penalties for recent failures and memory overflow.
func (f *Fleet) engineCost(s *Server, now time.Time, memory int, p Prompt) time.Duration {
	cost := s.firstToken(now, p) + time.Duration(len(s.runs))*runningPenalty + f.failureCost(s, now)
	if s.freeMemory(memory, p) < 0 {
		cost += overflowPenalty
	}
	return cost
}

// freeMemory returns the fraction of an engine memory of the given size in tokens
// that remains free with p and the runs and copies on s. It returns 1 if the memory
// size is unknown, and a negative value if p does not fit.
func (s *Server) freeMemory(memory int, p Prompt) float64 {
	if memory <= 0 {
		return 1
	}
	return 1 - float64(s.usedTokens()+p.Tokens+p.MaxOutput)/float64(memory)
}

// ChooseBackup chooses the engine that holds the copy of a run: the one with the most free
// memory among those of the primary's version in other data centres. Engines that limit
// requests are chosen only if there are no others. It returns nil if no engine has room for
// the copy.
func (f *Fleet) ChooseBackup(now time.Time, primary *Server, memory int, p Prompt, exclude Exclude) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := f.copyCapacity(now, memory)
	var best *Server
	var bestLimited bool
	var bestUsed int
	var bestHash uint64
	for _, s := range f.servers {
		if s.ID == primary.ID || s.DataCentre == primary.DataCentre || !s.runsVersion(primary.Version) || !f.accepts(s, primary.Service, now) || f.suspected(s, now) || slices.Contains(exclude, s.ID) {
			continue
		}
		used := s.usedTokens()
		if memory > 0 && used+p.Tokens+p.MaxOutput > room {
			continue
		}
		// Compare in units of one request's prompt, so that the hash decides between
		// engines that are nearly equal.
		used /= max(1, p.Tokens)
		hash := rendezvousHash(p.SuffixHash, s)
		limited := s.limited()
		if best != nil && limited != bestLimited {
			if limited {
				continue
			}
			best = nil
		}
		if best == nil || used < bestUsed || used == bestUsed && hash > bestHash {
			best, bestLimited, bestUsed, bestHash = s, limited, used, hash
		}
	}
	return best
}

// ShouldCopy reports whether runs of a prompt are copied to a second engine. weight is
// the fraction of prompts, from 0 to 1, for which it returns true. A higher weight
// shortens resumes and uses more resources: a copy costs the transfer of the prompt's
// tokens and the memory to hold them, while without a copy the prompt has to be read
// again when its engine is lost. The result for a prompt is the same on every host.
func ShouldCopy(weight float64, p Prompt) bool {
	return float64(xxh3.HashString(strconv.FormatUint(p.SuffixHash, 16)))/math.MaxUint64 < weight || weight >= 1
}

// copyCapacity returns the number of tokens that may be in use on an engine after a
// copy is placed on it. memory is the size of the engine's memory in tokens.
func (f *Fleet) copyCapacity(now time.Time, memory int) int {
	fraction := maxCopyMemory
	for _, at := range f.dataCentreLostAt {
		if now.Sub(at) < recentLossPeriod {
			fraction = maxCopyMemoryAfterLoss
		}
	}
	return int(fraction * float64(memory))
}

// ChoosePlain chooses the server of a plain service with the lowest cost, which is the
// expected wait plus penalties for recent failures. It chooses at random among servers
// of equal cost, which spreads requests that all hosts send at once.
func (f *Fleet) ChoosePlain(now time.Time, service string, pool Pool, exclude Exclude) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best Choice
	var bestCost time.Duration
	equals := 0
	candidates := f.candidates(service, "", pool, now, exclude, true)
	for _, s := range candidates {
		cost := (f.plainWait(s, now) + f.failureCost(s, now)).Truncate(plainRequestTime)
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
	best.QueueWait = f.plainWait(best.Server, now)
	return best, true
}

// plainWait returns the expected wait at a server of a plain service, based on the
// higher of this node's outstanding requests to it and the load in its latest report.
func (f *Fleet) plainWait(s *Server, now time.Time) time.Duration {
	busy := s.outstanding
	if now.Sub(s.loadReportedAt) < loadReportTTL {
		busy = max(busy, s.reportedLoad.Running+s.reportedLoad.Waiting)
	}
	wait := time.Duration(busy) * plainRequestTime / time.Duration(max(1, s.Slots))
	if s.reportedLoad.Pace <= 0 || now.Sub(s.loadReportedAt) >= loadReportTTL {
		return wait
	}
	// The time of the request itself differs between servers by their pace.
	return time.Duration(float64(wait+plainRequestTime) * s.reportedLoad.Pace)
}

func (f *Fleet) failureCost(s *Server, now time.Time) time.Duration {
	cost := time.Duration(s.failureRate * float64(failurePenalty)).Truncate(failurePenalty / 8)
	if now.Before(s.fullUntil) {
		cost += fullPenalty
	}
	if f.suspected(s, now) {
		cost += suspectPenalty
	}
	return cost
}

// rendezvousHash ranks servers for a prompt in the same order on every host.
func rendezvousHash(suffixHash uint64, s *Server) uint64 {
	return xxh3.HashStringSeed(string(s.ID), suffixHash)
}

// OfService returns the servers of a service, lost ones included, sorted by id.
func (f *Fleet) OfService(service string) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Server
	for _, s := range f.servers {
		if s.Service == service {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// CountUsable returns the number of usable servers of a service in a pool.
func (f *Fleet) CountUsable(now time.Time, service string, pool Pool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	allowed := f.poolOf(service, pool, now)
	for _, s := range f.servers {
		if f.usable(s, service, now) && allowed(s) {
			count++
		}
	}
	return count
}

// ControlTargets returns up to limit servers of a service, except some, chosen at random, to
// which connections show whether this node has a path to the service. It leaves out those
// that it found lost a short time ago.
func (f *Fleet) ControlTargets(now time.Time, service string, except []ident.BackendID, limit int) []*Server {
	list := f.RandomServers(service, except, math.MaxInt)
	f.mu.Lock()
	defer f.mu.Unlock()
	list = slices.DeleteFunc(list, func(s *Server) bool { return now.Before(s.lostUntil) || f.inLostDataCentre(s, now) })
	return list[:min(limit, len(list))]
}

// ServiceDataSince reports whether data of any server of a service has arrived after a time.
func (f *Fleet) ServiceDataSince(service string, at time.Time) bool {
	return slices.ContainsFunc(f.OfService(service), func(s *Server) bool { return f.DataSince(s, at) })
}

// RandomServers returns up to limit servers of a service, except some, chosen at random.
func (f *Fleet) RandomServers(service string, except []ident.BackendID, limit int) []*Server {
	list := slices.DeleteFunc(f.OfService(service), func(s *Server) bool { return slices.Contains(except, s.ID) })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(limit, len(list))]
}

// Accepts reports whether new work may be sent to a server now.
func (f *Fleet) Accepts(s *Server, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[s.ID] == s && f.accepts(s, s.Service, now)
}

// IsUsable reports whether a server is running as far as known and is not leaving. It
// may have asked for a pause.
func (f *Fleet) IsUsable(s *Server, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[s.ID] == s && f.usable(s, s.Service, now)
}

// QueueWait returns the expected time until s starts to read a new prompt of the most urgent
// rank.
func (f *Fleet) QueueWait(s *Server, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.queueWait(now, 0)
}

// FirstToken returns the expected time until s has read a prompt that is sent to it
// now.
func (f *Fleet) FirstToken(s *Server, now time.Time, p Prompt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.firstToken(now, p)
}

// UsualFirstToken returns the expected time until an engine of nominal speed has read a prompt
// that is sent to it now, behind the prompts that wait at s.
func (f *Fleet) UsualFirstToken(s *Server, now time.Time, p Prompt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := s.prefillTime(p)
	for _, r := range s.runs {
		if r.isWaiting(now) && r.rank <= p.Rank {
			wait += r.prefill
		}
	}
	if head := s.queueHead(now); head != nil && head.rank <= p.Rank {
		wait -= min(now.Sub(s.prefillStart(head)), head.prefill)
	}
	return wait
}

// PrefillTime returns the time that an engine of nominal speed needs to read the part
// of a prompt that s does not hold yet.
func (f *Fleet) PrefillTime(s *Server, p Prompt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.prefillTime(p)
}
