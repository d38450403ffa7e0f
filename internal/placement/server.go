package placement

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Server is this node's view of one backend server.
type Server struct {
	ID          ident.BackendID
	DataCentre  ident.DataCentre
	URL         string
	Kind        string // platformapi.KindEngine or KindService
	Service     string
	Listed      bool
	ListLeaving bool
	// Load is the newest load report, or the zero value if there is none.
	Load backendapi.Load

	config      Config
	reportedAt  time.Time // when Load was received
	measuredAt  time.Time // when Load was measured, never after reportedAt
	ownAttempts map[ident.AttemptID]*ownAttempt
	finishTimes []time.Time // end times, after measuredAt, of own attempts that Load still counts
	peers       map[ident.HostID]*peerHistory
	breaker     breaker
	cache       cacheIndex
}

// ownAttempt is an unfinished attempt of this node on the server.
type ownAttempt struct {
	at            time.Time // when it was sent
	waitingTokens int       // uncached prompt tokens until the first token
}

// peerUsage is a peer's usage of the server at one time.
type peerUsage struct {
	at            time.Time
	running       int
	waitingTokens int64
}

// peerHistory holds one peer's recent usage of the server. The baseline is the
// usage that Load already includes.
type peerHistory struct {
	recent   [4]peerUsage // newest first
	baseline peerUsage
}

func newServer(id ident.BackendID, c Config, counts prefixCounts) *Server {
	return &Server{
		ID: id, config: c,
		ownAttempts: map[ident.AttemptID]*ownAttempt{},
		peers:       map[ident.HostID]*peerHistory{},
		breaker:     breaker{probeLimit: c.ProbeLimit},
		cache:       cacheIndex{limit: c.CacheEntries, prefixCounts: counts},
	}
}

// CachedTokens returns the estimated number of cached tokens of a prompt, given
// the hashes of its prefixes.
func (s *Server) CachedTokens(prefixes []uint64) int {
	return s.cache.cachedTokens(s.cache.prefixCounts.cached(prefixes))
}

// CacheDrops returns the number of times that the cache index was cleared while
// it held entries.
func (s *Server) CacheDrops() int { return s.cache.drops }

// OwnRunning returns the number of this node's unfinished attempts.
func (s *Server) OwnRunning() int { return len(s.ownAttempts) }

func (s *Server) prefillRate(c Config) float64 {
	if s.Load.PrefillTokensPerSecond > 0 {
		return s.Load.PrefillTokensPerSecond
	}
	return c.PrefillRate
}

func (s *Server) outputRate(c Config) float64 {
	if s.Load.TokensPerSecond > 0 {
		return s.Load.TokensPerSecond
	}
	return c.OutputRate
}

func (s *Server) observeLoad(now time.Time, load backendapi.Load) {
	if load.Incarnation < s.Load.Incarnation {
		return
	}
	measured := load.MeasuredAt
	if measured.After(now) {
		measured = now
	}
	if load.Incarnation > s.Load.Incarnation {
		if s.Load.Incarnation != 0 {
			s.resetAfterRestart(load.Incarnation)
		}
	} else if measured.Before(s.measuredAt) {
		return
	}
	s.Load, s.reportedAt, s.measuredAt = load, now, measured
	s.finishTimes = timesAfter(s.finishTimes, measured)
	for _, p := range s.peers {
		p.updateBaseline(measured)
	}
}

// resetAfterRestart discards the state that belongs to the server's earlier
// process.
func (s *Server) resetAfterRestart(incarnation int64) {
	s.breaker.close()
	s.cache.restart(incarnation)
	s.finishTimes = nil
	s.ownAttempts = map[ident.AttemptID]*ownAttempt{}
	for _, p := range s.peers {
		p.baseline = peerUsage{}
	}
}

func timesAfter(times []time.Time, limit time.Time) []time.Time {
	out := times[:0]
	for _, t := range times {
		if t.After(limit) {
			out = append(out, t)
		}
	}
	return out
}

func (s *Server) observePeer(peer ident.HostID, use peerUsage) {
	p := s.peers[peer]
	if p == nil {
		p = &peerHistory{}
		if !use.at.After(s.measuredAt) {
			p.baseline = use
		}
		s.peers[peer] = p
	}
	if use.at.Before(p.recent[0].at) {
		return
	}
	copy(p.recent[1:], p.recent[:])
	p.recent[0] = use
	if !use.at.After(s.measuredAt) {
		p.baseline = use
	}
}

// updateBaseline sets the baseline to the newest usage that is not later than the
// measurement.
func (p *peerHistory) updateBaseline(measured time.Time) {
	for _, u := range p.recent {
		if !u.at.IsZero() && !u.at.After(measured) {
			p.baseline = u
			return
		}
	}
}

// usage is the estimated current usage of a server by all nodes.
type usage struct {
	requests      float64 // running and waiting
	waitingTokens float64
}

// usage returns the load report corrected for what happened since it was
// measured: the prefill done, attempts that this node sent and finished, and
// changes in its peers' usage.
func (s *Server) usage(now time.Time) usage {
	u := usage{
		requests:      float64(s.Load.Running + s.Load.Waiting - len(s.finishTimes)),
		waitingTokens: float64(s.Load.WaitingTokens),
	}
	if s.Load.Running < s.Load.MaxRunning {
		// Waiting prompts are prefilled only while the batch has free slots.
		u.waitingTokens -= s.prefillRate(s.config) * max(now.Sub(s.measuredAt).Seconds(), 0)
	}
	u.waitingTokens = max(u.waitingTokens, 0)
	for _, o := range s.ownAttempts {
		if o.at.After(s.measuredAt) {
			u.requests++
			u.waitingTokens += float64(o.waitingTokens)
		}
	}
	var running, waiting float64
	for _, p := range s.peers {
		if newest := p.recent[0]; now.Sub(newest.at) <= s.config.PeerUsageLifetime {
			running += float64(newest.running - p.baseline.running)
			waiting += float64(newest.waitingTokens - p.baseline.waitingTokens)
		}
	}
	u.requests = max(u.requests+running, 0)
	u.waitingTokens = max(u.waitingTokens+waiting, 0)
	return u
}
