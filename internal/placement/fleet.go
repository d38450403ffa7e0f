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

// Fleet is what this node knows about the backend servers that it follows.
type Fleet struct {
	config  Config
	chooser Chooser
	servers []*Server // sorted by id
	byID    map[ident.BackendID]*Server
	known   knownPrefixes
}

// NewFleet returns an empty fleet with the default chooser.
func NewFleet(config Config) (*Fleet, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Fleet{config: config, chooser: Default(config), byID: map[ident.BackendID]*Server{}, known: knownPrefixes{}}, nil
}

// SetChooser replaces the default chooser.
func (f *Fleet) SetChooser(c Chooser) { f.chooser = c }

// Choose picks a server for a request with the fleet's chooser. The caller
// reports the send by Sent.
func (f *Fleet) Choose(r Request, now time.Time, rng *rand.Rand) (ident.BackendID, []Reason, error) {
	return f.chooser.Choose(r, f.servers, now, rng)
}

// Servers returns the followed servers in the order of their ids. The slice
// and the servers belong to the fleet.
func (f *Fleet) Servers() []*Server { return f.servers }

// Server returns one server, or nil.
func (f *Fleet) Server(id ident.BackendID) *Server { return f.byID[id] }

// ObserveList takes a snapshot of the followed backend servers. A server that
// is no longer listed gets no new work; it is forgotten once this node has
// nothing on it. An empty snapshot is ignored, like in package membership.
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
			s = newServer(id, f.config, f.known)
			f.byID[id] = s
			f.servers = append(f.servers, s)
		}
		s.Listed = true
		s.ListLeaving = b.State == platformapi.HostLeaving
		s.DataCentre = ident.DataCentre(b.DataCentre)
		s.Kind, s.Service, s.URL = b.Kind, b.Service, b.URL
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *Server) bool {
		gone := !s.Listed && len(s.own) == 0
		if gone {
			s.cache.drop()
			delete(f.byID, s.ID)
		}
		return gone
	})
	slices.SortFunc(f.servers, func(a, b *Server) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}

// ObserveLoad takes a load report received at now. Reports that are older than
// the newest one are ignored.
func (f *Fleet) ObserveLoad(now time.Time, id ident.BackendID, load backendapi.Load) {
	if s := f.byID[id]; s != nil {
		s.observeLoad(now, load)
	}
}

// ObserveCache takes a batch of cache events.
func (f *Fleet) ObserveCache(id ident.BackendID, events backendapi.CacheEvents) {
	if s := f.byID[id]; s != nil {
		s.cache.apply(events)
	}
}

// DropCache forgets the cache index of a server, after events were lost on
// the way inside this node.
func (f *Fleet) DropCache(id ident.BackendID) {
	if s := f.byID[id]; s != nil {
		s.cache.drop()
	}
}

// CacheSequence returns the sequence after which cache events are wanted.
func (f *Fleet) CacheSequence(id ident.BackendID) int64 {
	if s := f.byID[id]; s != nil {
		return s.cache.sequence
	}
	return 0
}

// ObservePeer takes all that a peer has running, as it was at a moment of this
// node's clock. A server that is not named has nothing of the peer.
func (f *Fleet) ObservePeer(at time.Time, peer ident.HostID, uses []Use) {
	for _, s := range f.servers {
		i := slices.IndexFunc(uses, func(u Use) bool { return u.Backend == s.ID })
		if i >= 0 {
			s.observePeer(peer, peerUse{at: at, running: uses[i].Running, waitingTokens: uses[i].WaitingTokens})
		} else if s.peers[peer] != nil {
			s.observePeer(peer, peerUse{at: at})
		}
	}
}

// ForgetPeer drops the counts of a peer that is dead or has left.
func (f *Fleet) ForgetPeer(peer ident.HostID) {
	for _, s := range f.servers {
		delete(s.peers, peer)
	}
}

// Sent records that an attempt was sent to a server. Its prefixes are taken
// as cached there from now on, because events come late and requests with the
// same prefix often arrive together.
func (f *Fleet) Sent(now time.Time, id ident.BackendID, attempt ident.AttemptID, r Request) {
	s := f.byID[id]
	if s == nil {
		return
	}
	s.own[attempt] = &ownSend{at: now, waitingTokens: max(r.PromptTokens-s.CachedTokens(r.Prefixes), 0)}
	s.breaker.sent(now, attempt)
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
	if o := s.own[attempt]; o != nil {
		o.waitingTokens = 0
	}
	s.breaker.answered(attempt)
}

// Finished records the end of an attempt for any reason.
func (f *Fleet) Finished(now time.Time, id ident.BackendID, attempt ident.AttemptID) {
	s := f.byID[id]
	if s == nil || s.own[attempt] == nil {
		return
	}
	if !s.own[attempt].at.After(s.measuredAt) {
		s.finishes = append(s.finishes, now)
	}
	delete(s.own, attempt)
}

// ConnectionFailed records that a connection to the server failed.
func (f *Fleet) ConnectionFailed(now time.Time, id ident.BackendID) {
	if s := f.byID[id]; s != nil {
		s.breaker.failed(now, f.config)
	}
}

// Died records that the server's process died. Its cache is lost with it.
func (f *Fleet) Died(now time.Time, id ident.BackendID) {
	if s := f.byID[id]; s != nil {
		s.breaker.open(now, f.config)
		s.cache.drop()
	}
}

// Use is what this node has on one server, as it tells its peers.
type Use struct {
	Backend       ident.BackendID
	Running       int
	WaitingTokens int64
}

// Uses returns this node's use of each server on which it has requests.
func (f *Fleet) Uses() []Use {
	var out []Use
	for _, s := range f.servers {
		if len(s.own) == 0 {
			continue
		}
		u := Use{Backend: s.ID, Running: len(s.own)}
		for _, o := range s.own {
			u.WaitingTokens += int64(o.waitingTokens)
		}
		out = append(out, u)
	}
	return out
}

// Subset returns the n servers of a model that a node follows, chosen by
// rendezvous hashing, in the order of their ids.
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
