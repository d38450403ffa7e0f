package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Fleet is this node's view of the backend servers that it tracks.
type Fleet struct {
	config       Config
	chooser      Chooser
	servers      []*Server // sorted by id
	byID         map[ident.BackendID]*Server
	prefixCounts prefixCounts
}

// NewFleet returns an empty fleet with the default chooser.
func NewFleet(config Config) (*Fleet, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Fleet{config: config, chooser: DefaultChooser(config), byID: map[ident.BackendID]*Server{}, prefixCounts: prefixCounts{}}, nil
}

// SetChooser replaces the default chooser.
func (f *Fleet) SetChooser(c Chooser) { f.chooser = c }

// Choose chooses a server for a request with the fleet's chooser. The caller
// must call Sent when it sends the request.
func (f *Fleet) Choose(r Request, now time.Time, rng *rand.Rand) (ident.BackendID, []Reason, error) {
	return f.chooser.Choose(r, f.servers, now, rng)
}

// Servers returns the tracked servers, sorted by ID. The slice and the servers
// are owned by the fleet.
func (f *Fleet) Servers() []*Server { return f.servers }

// Server returns the server with the given ID, or nil if it is not tracked.
func (f *Fleet) Server(id ident.BackendID) *Server { return f.byID[id] }

// ObserveList applies a snapshot of the backend servers to track. A server that
// is no longer listed gets no new requests; it is removed by the first snapshot
// at which this node has no attempts running on it. An empty snapshot is
// ignored, as in package membership.
func (f *Fleet) ObserveList(backends []platformapi.Backend) {
	if len(backends) == 0 {
		return
	}
	for _, s := range f.servers {
		s.Listed = false
	}
	for _, b := range backends {
		id := ident.BackendID(b.BackendID)
		s := f.byID[id]
		if s == nil {
			s = newServer(id, f.config, f.prefixCounts)
			f.byID[id] = s
			f.servers = append(f.servers, s)
		}
		s.Listed = true
		s.ListLeaving = b.State == platformapi.HostLeaving
		s.DataCentre = ident.DataCentre(b.DataCentre)
		s.Kind, s.Service, s.URL = b.Kind, b.Service, b.URL
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *Server) bool {
		unused := !s.Listed && len(s.ownAttempts) == 0
		if unused {
			s.cache.drop()
			delete(f.byID, s.ID)
		}
		return unused
	})
	slices.SortFunc(f.servers, func(a, b *Server) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}

// ObserveLoad applies a load report received at now. Reports older than the
// newest one are ignored.
func (f *Fleet) ObserveLoad(now time.Time, id ident.BackendID, load backendapi.Load) {
	if s := f.byID[id]; s != nil {
		s.observeLoad(now, load)
	}
}

// ObserveCache applies a batch of cache events.
func (f *Fleet) ObserveCache(id ident.BackendID, events backendapi.CacheEvents) {
	if s := f.byID[id]; s != nil {
		s.cache.apply(events)
	}
}

// DropCache clears the cache index of a server. Call it after cache events of the
// server were lost within this node.
func (f *Fleet) DropCache(id ident.BackendID) {
	if s := f.byID[id]; s != nil {
		s.cache.drop()
	}
}

// CacheSequence returns the sequence number of the last cache event applied, or 0
// if there is none. The next poll of the server requests the events after it.
func (f *Fleet) CacheSequence(id ident.BackendID) int64 {
	if s := f.byID[id]; s != nil {
		return s.cache.sequence
	}
	return 0
}

// ObservePeer applies a peer's usage of all servers, as it was at the given time
// of this node's clock. The peer has no requests on servers missing from uses.
func (f *Fleet) ObservePeer(at time.Time, peer ident.HostID, uses []BackendUsage) {
	for _, s := range f.servers {
		i := slices.IndexFunc(uses, func(u BackendUsage) bool { return u.Backend == s.ID })
		if i >= 0 {
			s.observePeer(peer, peerUsage{at: at, running: uses[i].Running, waitingTokens: uses[i].WaitingTokens})
		} else if s.peers[peer] != nil {
			s.observePeer(peer, peerUsage{at: at})
		}
	}
}

// RemovePeer removes the usage of a peer that is dead or has left.
func (f *Fleet) RemovePeer(peer ident.HostID) {
	for _, s := range f.servers {
		delete(s.peers, peer)
	}
}

// Sent records that an attempt was sent to a server. Its prefixes count
// as cached there from now on, because cache events are late and requests with
// the same prefix often arrive together.
func (f *Fleet) Sent(now time.Time, id ident.BackendID, attempt ident.AttemptID, r Request) {
	s := f.byID[id]
	if s == nil {
		return
	}
	s.ownAttempts[attempt] = &ownAttempt{at: now, waitingTokens: max(r.PromptTokens-s.CachedTokens(r.Prefixes), 0)}
	s.breaker.recordSent(now, attempt)
	for _, p := range r.Prefixes {
		s.cache.store(p)
	}
}

// Answered records the first token or the answer of an attempt.
func (f *Fleet) Answered(id ident.BackendID, attempt ident.AttemptID) {
	s := f.byID[id]
	if s == nil {
		return
	}
	if o := s.ownAttempts[attempt]; o != nil {
		o.waitingTokens = 0
	}
	s.breaker.recordAnswered(attempt)
}

// Finished records the end of an attempt for any reason.
func (f *Fleet) Finished(now time.Time, id ident.BackendID, attempt ident.AttemptID) {
	s := f.byID[id]
	if s == nil || s.ownAttempts[attempt] == nil {
		return
	}
	if !s.ownAttempts[attempt].at.After(s.measuredAt) {
		s.finishTimes = append(s.finishTimes, now)
	}
	delete(s.ownAttempts, attempt)
}

// ConnectionFailed records that a connection to the server failed.
func (f *Fleet) ConnectionFailed(now time.Time, id ident.BackendID) {
	if s := f.byID[id]; s != nil {
		s.breaker.recordFailure(now, f.config)
	}
}

// Died records that the server's process has died: it opens the circuit breaker
// and clears the cache index.
func (f *Fleet) Died(now time.Time, id ident.BackendID) {
	if s := f.byID[id]; s != nil {
		s.breaker.open(now, f.config)
		s.cache.drop()
	}
}

// BackendUsage is this node's usage of one server, as reported to its peers.
type BackendUsage struct {
	Backend       ident.BackendID
	Running       int   // unfinished attempts
	WaitingTokens int64 // uncached prompt tokens of attempts without a first token
}

// OwnUsage returns this node's usage of each server on which it has attempts.
func (f *Fleet) OwnUsage() []BackendUsage {
	var out []BackendUsage
	for _, s := range f.servers {
		if len(s.ownAttempts) == 0 {
			continue
		}
		u := BackendUsage{Backend: s.ID, Running: len(s.ownAttempts)}
		for _, o := range s.ownAttempts {
			u.WaitingTokens += int64(o.waitingTokens)
		}
		out = append(out, u)
	}
	return out
}

// Subset returns the servers of a model that node self tracks: n of them, or all
// if there are fewer, chosen by rendezvous hashing and sorted by ID.
func Subset(self ident.HostID, model string, servers []ident.BackendID, n int) []ident.BackendID {
	ranked := slices.Clone(servers)
	hash := func(id ident.BackendID) uint64 {
		return xxh3.HashString(string(self) + "\x00" + model + "\x00" + string(id))
	}
	slices.SortFunc(ranked, func(a, b ident.BackendID) int {
		return cmp.Or(cmp.Compare(hash(b), hash(a)), strings.Compare(string(a), string(b)))
	})
	ranked = ranked[:min(n, len(ranked))]
	slices.Sort(ranked)
	return ranked
}
