package placement

import (
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Server is what this node knows about one backend server.
type Server struct {
	ID          ident.BackendID
	DataCentre  ident.DataCentre
	URL         string
	Kind        string // platformapi.KindEngine or KindService
	Service     string
	Listed      bool
	ListLeaving bool
	// Load is the newest report; its zero value means that there is none.
	Load backendapi.Load

	config     Config
	reportedAt time.Time // receipt of Load
	measuredAt time.Time // when Load was measured, never after reportedAt
	own        map[ident.AttemptID]*ownSend
	finishes   []time.Time // ends, after measuredAt, of attempts that Load counts
	peers      map[ident.HostID]*peerHistory
	breaker    breaker
	cache      cacheIndex
}

type ownSend struct {
	at            time.Time
	waitingTokens int // uncached prompt tokens until the first token
}

// peerUse is a peer's use of the server at one moment.
type peerUse struct {
	at            time.Time
	running       int
	waitingTokens int64
}

// peerHistory holds the newest use of a peer and the one that Load counts.
type peerHistory struct {
	recent   [4]peerUse // newest first
	baseline peerUse
}

func newServer(id ident.BackendID, c Config, known knownPrefixes) *Server {
	return &Server{
		ID: id, config: c,
		own:     map[ident.AttemptID]*ownSend{},
		peers:   map[ident.HostID]*peerHistory{},
		breaker: breaker{limit: c.ProbeLimit},
		cache:   cacheIndex{limit: c.CacheEntries, known: known},
	}
}

// CachedTokens returns how many prompt tokens are believed to be cached.
func (s *Server) CachedTokens(prefixes []uint64) int {
	return s.cache.cachedTokens(s.cache.known.held(prefixes))
}

// CacheDrops returns how often the cache index was dropped.
func (s *Server) CacheDrops() int { return s.cache.drops }

// OwnRunning returns the number of this node's unfinished attempts.
func (s *Server) OwnRunning() int { return len(s.own) }

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
			s.restarted(load.Incarnation)
		}
	} else if measured.Before(s.measuredAt) {
		return
	}
	s.Load, s.reportedAt, s.measuredAt = load, now, measured
	s.finishes = afterOnly(s.finishes, measured)
	for _, p := range s.peers {
		p.rebase(measured)
	}
}

// restarted forgets what was true of the earlier process only.
func (s *Server) restarted(incarnation int64) {
	s.breaker.close()
	s.cache.restart(incarnation)
	s.finishes = nil
	s.own = map[ident.AttemptID]*ownSend{}
	for _, p := range s.peers {
		p.baseline = peerUse{}
	}
}

func afterOnly(times []time.Time, limit time.Time) []time.Time {
	out := times[:0]
	for _, t := range times {
		if t.After(limit) {
			out = append(out, t)
		}
	}
	return out
}

func (s *Server) observePeer(peer ident.HostID, use peerUse) {
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

// rebase takes the newest use from before the measurement as the baseline.
func (p *peerHistory) rebase(measured time.Time) {
	for _, u := range p.recent {
		if !u.at.IsZero() && !u.at.After(measured) {
			p.baseline = u
			return
		}
	}
}

// usage is the estimated present use of a server by all nodes.
type usage struct {
	requests      float64 // running and waiting
	waitingTokens float64
}

// usage corrects the report by what happened since it was measured: the
// prefill done, this node's own sends and finishes, and the change of its
// peers' counts.
func (s *Server) usage(now time.Time) usage {
	u := usage{
		requests:      float64(s.Load.Running + s.Load.Waiting - len(s.finishes)),
		waitingTokens: float64(s.Load.WaitingTokens),
	}
	if s.Load.Running < s.Load.MaxRunning {
		// A full batch reads no further prompts, so only this one drains.
		u.waitingTokens -= s.prefillRate(s.config) * max(now.Sub(s.measuredAt).Seconds(), 0)
	}
	u.waitingTokens = max(u.waitingTokens, 0)
	for _, o := range s.own {
		if o.at.After(s.measuredAt) {
			u.requests++
			u.waitingTokens += float64(o.waitingTokens)
		}
	}
	var running, waiting float64
	for _, p := range s.peers {
		if newest := p.recent[0]; now.Sub(newest.at) <= s.config.PeerUseLifetime {
			running += float64(newest.running - p.baseline.running)
			waiting += float64(newest.waitingTokens - p.baseline.waitingTokens)
		}
	}
	u.requests = max(u.requests+running, 0)
	u.waitingTokens = max(u.waitingTokens+waiting, 0)
	return u
}
