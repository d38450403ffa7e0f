package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// maxReportGap is the longest usual time between two reports of a server that this node
	// reads: three of the 1.2 s after which a server reports itself again.
	maxReportGap = 3600 * time.Millisecond
	// unreachableBackoff is how long no work is sent to a server after it was found
	// unreachable, unless it reports again earlier. A server that crashed restarts
	// under a new id.
	unreachableBackoff = 5 * time.Second
	// maxReportAge is the longest time after a loss at which a report that the server
	// made before the loss may still arrive. A report that arrives later shows that
	// the server is running.
	maxReportAge = 1500 * time.Millisecond
	// resetBackoff is how long no work is sent to a server after one of its
	// connections was reset. It is short because an answer that is lost on the network
	// also causes a reset.
	resetBackoff = 300 * time.Millisecond
	// unansweredBackoff is how long no work is sent to a server that accepted a connection
	// and did not answer, unless it sends something before. It is above the silence of a
	// sound server and below the time after which the list shows that a server has ended.
	unansweredBackoff = 1500 * time.Millisecond
	// A data centre counts as lost when dataCentreLossServers servers of one service
	// in it were found unreachable within dataCentreLossWindow.
	dataCentreLossWindow  = 500 * time.Millisecond
	dataCentreLossServers = 3
	// lapsedEntryGrace is how long work may still be sent to a server whose entry
	// disappeared right after an outage of the platform's store. Running servers are
	// listed again soon. No work may be sent to a stopped server later than 2 s after
	// its entry was removed, and reading the list takes up to 600 ms of these 2 s.
	lapsedEntryGrace = 1200 * time.Millisecond
	// maxSequenceStep is the number of reports by which two that are read of one incarnation
	// cannot differ: a server makes one a second or so. Larger steps come from odd rows of
	// other writers, before or after those of the server.
	maxSequenceStep = 1 << 20
	// departedTTL is how long older rows of a server that was removed are ignored. A
	// restored copy of the store is some seconds old.
	departedTTL = time.Minute
	// missingTTL is how long after its loss the node searches for the successor of a
	// server.
	missingTTL = 10 * time.Second
	// fullBackoff is how long other servers are preferred to one that refused a request
	// as full.
	fullBackoff = 100 * time.Millisecond
	// cachedPromptTTL is how long an engine is expected to keep a prompt in its cache.
	cachedPromptTTL = 20 * time.Second
	// runTTL is how long after its start a run is counted at most. It bounds the effect
	// of a lost message about the end of a run.
	runTTL = time.Minute
	// failureRateWeight is the weight, from 0 to 1, of the newest result in the moving
	// average of the failure rate.
	failureRateWeight = 0.15
)

// Fleet is a node's record of the backend servers, of their losses, and of the runs
// and copies on them. All its methods are safe for concurrent use.
type Fleet struct {
	epoch time.Time
	self  ident.HostID

	mu               sync.Mutex
	servers          map[ident.BackendID]*Server
	departed         map[ident.BackendID]departure        // servers that were removed less than departedTTL ago
	dataCentreLostAt map[dataCentreKey]time.Time          // time of the latest loss of each data centre, per service
	remembered       map[incarnationKey]removedStatements // of incarnations that were removed less than statementTTL ago
	digest           uint64                               // see ListDigest; 0 if it must be computed
}

// New returns an empty fleet for the host self.
func New(self ident.HostID, now time.Time) *Fleet {
	return &Fleet{
		epoch:            now,
		self:             self,
		servers:          map[ident.BackendID]*Server{},
		departed:         map[ident.BackendID]departure{},
		dataCentreLostAt: map[dataCentreKey]time.Time{},
		remembered:       map[incarnationKey]removedStatements{},
	}
}

// RecordData records that data from the server arrived at now. It takes no lock, unless the
// server was found silent: a sound server may be silent for a second or so, and its data
// ends the loss.
func (f *Fleet) RecordData(s *Server, now time.Time) {
	s.lastDataNanos.Store(int64(now.Sub(f.epoch)))
	if s.silent.Load() {
		f.endSilence(s)
	}
}

func (f *Fleet) lastDataAt(s *Server) time.Time {
	return f.epoch.Add(time.Duration(s.lastDataNanos.Load()))
}

// DataSince reports whether data from the server has arrived after the given time.
func (f *Fleet) DataSince(s *Server, at time.Time) bool { return f.lastDataAt(s).After(at) }

// Put adds or updates a server from its entry in the list. It ignores entries of an
// earlier incarnation and, if Incarnation is not 0, entries of the same incarnation
// with a lower Sequence. It reports whether the list shows a change: a new server or
// incarnation, one that begins or ceases to be draining, or one that was known but not
// listed, because its entry had lapsed or it was discovered without the list. A server that
// is known to be draining from its answers changes in the list once more.
func (f *Fleet) Put(now time.Time, e Entry) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.put(now, e)
}

// put implements Put. The lock is held.
func (f *Fleet) put(now time.Time, e Entry) (changed bool) {
	s := f.servers[e.ID]
	if s != nil && s.isSame(e) {
		if e.Incarnation != 0 && e.Sequence < s.Sequence && s.Sequence-e.Sequence < maxSequenceStep {
			return false // from an older list, received from a peer
		}
		if e.Sequence-s.Sequence >= maxSequenceStep {
			return false // not from the server itself
		}
		wasListed, version := s.listed(), s.Version
		s.unlisted = false
		if e.Version != UnknownVersion {
			s.Version = e.Version
		}
		if e.Incarnation == 0 || e.Sequence > s.Sequence {
			s.removedAt = time.Time{}
		}
		if e.Sequence > s.Sequence {
			s.entryReportedAt = now
			if now.Sub(s.lostAt) > maxReportAge {
				s.lostUntil = time.Time{}
			}
		}
		changed = s.listed() != wasListed || s.listedDraining != e.Draining || s.Version != version
		f.invalidateDigest(changed)
		s.listedDraining, s.Draining = e.Draining, e.Draining || s.leaving
		s.Sequence = e.Sequence
		return changed
	}
	if s != nil && e.Incarnation < s.Incarnation {
		return false // a delayed report of an earlier incarnation
	}
	if d, ok := f.departed[e.ID]; ok && d.covers(e) {
		return false // an older row, from a list of a peer or a restored copy of the store
	}
	delete(f.departed, e.ID)
	f.invalidateDigest(true)
	if s != nil {
		f.rememberStatements(now, s)
	}
	said := f.initialStatements(now, e)
	listedDraining := e.Draining
	e.Draining = e.Draining || said.leaving
	f.servers[e.ID] = &Server{
		Entry:          e,
		statements:     said,
		firstSeen:      now,
		listedDraining: listedDraining,
		slowdown:       f.meanSlowdown(e.Service),
		runs:           map[runKey]*run{},
		copies:         map[runKey]int{},
		cachedPrompts:  map[uint64]cachedPrompt{},
	}
	return true
}

// isSame reports whether an entry is of the same start of a server. A server that reports
// no incarnation may have started again with another version.
func (s *Server) isSame(e Entry) bool {
	sameVersion := s.Version == e.Version || s.Version == UnknownVersion || e.Version == UnknownVersion
	return s.Incarnation == e.Incarnation && s.Address == e.Address && s.Service == e.Service && sameVersion
}

// meanSlowdown returns the mean slowdown of the known engines of a service. It is
// the initial value for a new engine, so that not all hosts prefer the new engine at
// once.
func (f *Fleet) meanSlowdown(service string) float64 {
	const unit = 1e-6 // sum integers, so that the result does not depend on the map's iteration order
	sum, count := 0, 0
	for _, s := range f.servers {
		if s.Service == service {
			sum += int(s.slowdown / unit)
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return float64(sum) * unit / float64(count)
}

// AddDiscovered adds a server that is not in the list yet and was discovered at the
// address of a lost server while the list could not be read. Only the list tells its
// version. It reports whether the server was added; it does nothing if the server is already
// in the fleet, or was removed from it a short time ago.
func (f *Fleet) AddDiscovered(now time.Time, e Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.Version = UnknownVersion
	if f.servers[e.ID] != nil || !f.put(now, e) {
		return false
	}
	f.servers[e.ID].unlisted = true
	return true
}

// DropUnlisted removes servers that were added by AddDiscovered and have not appeared
// in the list since. It is called some time after the list has become readable again.
func (f *Fleet) DropUnlisted(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		if s.unlisted {
			f.rememberStatements(now, s)
			delete(f.servers, id)
		}
	}
}

// Missing returns the servers of a service that were found unreachable less than
// missingTTL ago or are in a lost data centre, except draining servers and those whose
// address is now used by another server of the service.
func (f *Fleet) Missing(now time.Time, service string) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := map[string]bool{}
	var missing []*Server
	for _, s := range f.servers {
		switch {
		case s.Service != service || s.Draining:
		case s.unreachable && now.Sub(s.lostAt) < missingTTL, f.inLostDataCentre(s, now):
			missing = append(missing, s)
		default:
			present[s.Address] = true
		}
	}
	return slices.DeleteFunc(missing, func(s *Server) bool { return present[s.Address] })
}

// Remove removes a server whose entry is no longer in the list. If lapsed is set, the
// entry disappeared during an outage of the store, and the server is kept for
// lapsedEntryGrace after the first removal unless it is draining. It reports whether the
// server was known.
func (f *Fleet) Remove(now time.Time, id ident.BackendID, lapsed bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	switch {
	case s == nil:
		return false
	case !lapsed || s.Draining:
		f.remove(now, s)
	case s.removedAt.IsZero():
		s.removedAt = now
		f.invalidateDigest(true)
	}
	return true
}

// Expire removes servers whose lapsedEntryGrace has passed, and runs and cached
// prompts that are past their TTL.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, d := range f.departed {
		if now.Sub(d.at) > departedTTL {
			delete(f.departed, id)
		}
	}
	f.expireStatements(now)
	for _, s := range f.servers {
		if !s.removedAt.IsZero() && now.Sub(s.removedAt) > lapsedEntryGrace {
			f.remove(now, s)
		}
		for key, r := range s.runs {
			if now.Sub(r.started) > runTTL {
				delete(s.runs, key)
			}
		}
		for hash, c := range s.cachedPrompts {
			if now.Sub(c.at) > cachedPromptTTL {
				delete(s.cachedPrompts, hash)
			}
		}
	}
}

// IDs returns the ids of all servers.
func (f *Fleet) IDs() []ident.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]ident.BackendID, 0, len(f.servers))
	for id := range f.servers {
		ids = append(ids, id)
	}
	return ids
}

// Server returns the server with the given id, or nil.
func (f *Fleet) Server(id ident.BackendID) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id]
}

// RecordFull records that a server refused a request as full.
func (f *Fleet) RecordFull(s *Server, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.fullUntil = now.Add(fullBackoff)
}

// RecordResult records whether a server answered a request successfully.
func (f *Fleet) RecordResult(s *Server, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := 1.0
	if ok {
		failed = 0
	}
	s.failureRate += failureRateWeight * (failed - s.failureRate)
}

// RecordLoad stores the load that a server reported with an answer.
func (f *Fleet) RecordLoad(s *Server, now time.Time, load Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reportedLoad, s.loadReportedAt = load, now
}

// ReportedLoad returns the number of running and waiting requests in the latest load
// report of a server.
func (f *Fleet) ReportedLoad(s *Server) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.reportedLoad.Running + s.reportedLoad.Waiting
}
