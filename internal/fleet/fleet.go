package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// goneFor keeps work from a server that was found gone, unless it reports
	// again before. A server that crashed comes back under a new identity.
	goneFor = 5 * time.Second
	// reportLag is the time in which a report that was made before a loss may
	// still arrive. A report that arrives later shows that the server lives.
	reportLag = 1500 * time.Millisecond
	// resetFor keeps work from a server after one connection was reset, which an
	// answer that is lost also causes.
	resetFor = 300 * time.Millisecond
	// zoneLossWindow and zoneLossServers define the loss of a data centre: so
	// many servers of one service lost within the window.
	zoneLossWindow  = 500 * time.Millisecond
	zoneLossServers = 3
	// lapseGrace is how long a server whose entry disappeared right after an
	// outage of the platform's store may still get work. Live servers are listed
	// again soon; one that left must get no work two seconds after its entry was
	// removed, of which the read of the list takes up to 600 ms.
	lapseGrace = 1200 * time.Millisecond
	// missingFor is how long the successor of a lost server is looked for.
	missingFor = 10 * time.Second
	// fullFor keeps new work from a server that refused one as full.
	fullFor = 100 * time.Millisecond
	// promptFor is how long an engine is expected to hold a prompt.
	promptFor = 20 * time.Second
	// runFor is how long a run counts; the news of its end may be lost.
	runFor = time.Minute
	// failWeight is the weight of the newest result in the moving failure rate.
	failWeight = 0.15
)

// Loss says how a server was found lost.
type Loss int

const (
	// LossReset is a connection that broke off.
	LossReset Loss = iota
	// LossRefused is a connection that could not be opened.
	LossRefused
	// LossSilent is a server that stopped sending.
	LossSilent
	// LossReplaced is another server at the address.
	LossReplaced
)

func (l Loss) String() string { return [...]string{"reset", "refused", "silent", "replaced"}[l] }

type zoneKey struct {
	service    string
	dataCentre ident.DataCentre
}

// Fleet is the set of backend servers that a node knows.
type Fleet struct {
	epoch time.Time
	self  ident.HostID

	mu       sync.Mutex
	servers  map[ident.BackendID]*Server
	zoneLost map[zoneKey]time.Time // time of the newest loss of a data centre
}

// New returns an empty fleet.
func New(self ident.HostID, now time.Time) *Fleet {
	return &Fleet{
		epoch:    now,
		self:     self,
		servers:  map[ident.BackendID]*Server{},
		zoneLost: map[zoneKey]time.Time{},
	}
}

// Heard records that a byte of the server arrived. It takes no lock.
func (f *Fleet) Heard(s *Server, now time.Time) { s.lastHeard.Store(int64(now.Sub(f.epoch))) }

func (f *Fleet) heardAt(s *Server) time.Time {
	return f.epoch.Add(time.Duration(s.lastHeard.Load()))
}

// HeardSince reports whether anything arrived from the server since a time.
func (f *Fleet) HeardSince(s *Server, at time.Time) bool { return f.heardAt(s).After(at) }

// Put takes over an entry of the list.
func (f *Fleet) Put(now time.Time, e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[e.ID]
	if s != nil && s.Born == e.Born && s.Address == e.Address && s.Service == e.Service {
		if e.Born != 0 && e.Sequence < s.Sequence {
			return // an older list, of a peer
		}
		s.unlisted = false
		if e.Sequence > s.Sequence {
			s.reportAt = now
			if now.Sub(s.lostAt) > reportLag {
				s.lostUntil = time.Time{}
			}
		}
		s.Draining, s.Sequence, s.removedAt = e.Draining, e.Sequence, time.Time{}
		return
	}
	if s != nil && e.Born < s.Born {
		return // an old report of an earlier life
	}
	f.servers[e.ID] = &Server{
		Entry:     e,
		firstSeen: now,
		pace:      f.meanPace(e.Service),
		runs:      map[runKey]*run{},
		copies:    map[runKey]int{},
		prompts:   map[uint64]cached{},
	}
}

// meanPace is the pace expected of an engine that is not known yet: that of the
// others of its service, so that all hosts do not rush to it.
func (f *Fleet) meanPace(service string) float64 {
	const unit = 1e-6 // whole numbers, so that the order of the map does not matter
	sum, count := 0, 0
	for _, s := range f.servers {
		if s.Service == service {
			sum += int(s.pace / unit)
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return float64(sum) * unit / float64(count)
}

// Found adds a server that is not on the list yet, which was found at the
// address of one that was lost while the list could not be read.
func (f *Fleet) Found(now time.Time, e Entry) bool {
	f.mu.Lock()
	known := f.servers[e.ID] != nil
	f.mu.Unlock()
	if known {
		return false
	}
	f.Put(now, e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[e.ID].unlisted = true
	return true
}

// DropUnlisted removes servers that were found and have not been listed since
// the list could be read again.
func (f *Fleet) DropUnlisted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		if s.unlisted {
			delete(f.servers, id)
		}
	}
}

// Missing returns the servers of a service that were found gone, or whose data
// centre was lost, and for whose address no other server is known.
func (f *Fleet) Missing(now time.Time, service string) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := map[string]bool{}
	var missing []*Server
	for _, s := range f.servers {
		switch {
		case s.Service != service || s.Draining:
		case s.gone && now.Sub(s.lostAt) < missingFor, f.inLostZone(s, now):
			missing = append(missing, s)
		default:
			present[s.Address] = true
		}
	}
	return slices.DeleteFunc(missing, func(s *Server) bool { return present[s.Address] })
}

// Remove takes a server off the list. With lapsed, the entry disappeared during
// an outage of the store, and the server goes on getting work for lapseGrace.
func (f *Fleet) Remove(now time.Time, id ident.BackendID, lapsed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	if lapsed && !s.Draining {
		s.removedAt = now
		return
	}
	delete(f.servers, id)
}

// Expire removes servers whose grace after a lapsed entry has passed, and what
// is too old to count.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		if !s.removedAt.IsZero() && now.Sub(s.removedAt) > lapseGrace {
			delete(f.servers, id)
		}
		for key, r := range s.runs {
			if now.Sub(r.started) > runFor {
				delete(s.runs, key)
			}
		}
		for part, c := range s.prompts {
			if now.Sub(c.at) > promptFor {
				delete(s.prompts, part)
			}
		}
	}
}

// IDs returns the ids of all listed servers.
func (f *Fleet) IDs() []ident.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]ident.BackendID, 0, len(f.servers))
	for id := range f.servers {
		ids = append(ids, id)
	}
	return ids
}

// Entries returns the entries of all listed servers.
func (f *Fleet) Entries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := make([]Entry, 0, len(f.servers))
	for _, s := range f.servers {
		entries = append(entries, s.Entry)
	}
	return entries
}

// Server returns the server of an id, or nil.
func (f *Fleet) Server(id ident.BackendID) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id]
}

// Lost records a sign that a server is lost and reports whether it is the first
// one of this loss, which peers should learn.
func (f *Fleet) Lost(now time.Time, id ident.BackendID, how Loss) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return false
	}
	first := !now.Before(s.lostUntil) || how != LossReset && !s.gone
	wait := resetFor
	if how != LossReset {
		wait = goneFor
		if !s.gone || !now.Before(s.lostUntil) {
			s.unreachable.Add(1)
		}
		s.prompts = map[uint64]cached{}
	}
	s.gone = how != LossReset || s.gone && now.Before(s.lostUntil)
	if until := now.Add(wait); until.After(s.lostUntil) {
		s.lostUntil = until
	}
	s.lostAt = now
	if how != LossReset {
		s.goneAt = now
		f.noteZone(now, s)
	}
	return first
}

// Verified records that a server whose connection was reset has answered.
func (f *Fleet) Verified(now time.Time, s *Server) {
	f.Heard(s, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.gone {
		s.lostUntil = time.Time{}
	}
}

// noteZone records the loss of the data centre of s if enough of its servers
// were found gone within the window. Resets do not count: a fault of a host or a
// link resets the connections to servers that live.
func (f *Fleet) noteZone(now time.Time, s *Server) {
	lost := 0
	for _, other := range f.servers {
		if other.Service == s.Service && other.DataCentre == s.DataCentre && now.Sub(other.goneAt) < zoneLossWindow {
			lost++
		}
	}
	if lost >= zoneLossServers {
		f.zoneLost[zoneKey{s.Service, s.DataCentre}] = now
	}
}

// ZoneLost reports whether the data centre of s was lost a moment ago and s has
// not shown since that it lives.
func (f *Fleet) ZoneLost(s *Server, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inLostZone(s, now)
}

// zoneLossNear is how close to the loss of a data centre the end of one of its
// servers counts as part of it.
const zoneLossNear = 1500 * time.Millisecond

// ZoneLostAt reports whether a data centre was lost near a time.
func (f *Fleet) ZoneLostAt(service string, zone ident.DataCentre, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost, ok := f.zoneLost[zoneKey{service, zone}]
	return ok && at.Sub(lost).Abs() < zoneLossNear
}

func (f *Fleet) inLostZone(s *Server, now time.Time) bool {
	at, ok := f.zoneLost[zoneKey{s.Service, s.DataCentre}]
	if !ok || now.Sub(at) > goneFor {
		return false
	}
	shown := s.firstSeen.After(at) || f.heardAt(s).After(at) || s.reportAt.Sub(at) > reportLag
	return !shown
}

// Full records that a server refused a request as full.
func (f *Fleet) Full(s *Server, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.fullUntil = now.Add(fullFor)
}

// Result records whether a server answered a request well.
func (f *Fleet) Result(s *Server, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := 1.0
	if ok {
		failed = 0
	}
	s.failRate += failWeight * (failed - s.failRate)
}

// Reported takes over the load that came with an answer.
func (f *Fleet) Reported(s *Server, now time.Time, load Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reported, s.reportedAt = load, now
}

// ReportedLoad returns the number of requests in the last report of a server.
func (f *Fleet) ReportedLoad(s *Server) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.reported.Running + s.reported.Waiting
}
