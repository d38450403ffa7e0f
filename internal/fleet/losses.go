package fleet

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Loss is the kind of evidence that a server is lost.
type Loss int

const (
	// LossReset means that a connection to the server was reset.
	LossReset Loss = iota
	// LossRefused means that the server's address refused a connection.
	LossRefused
	// LossSilent means that the server stopped sending data, or accepted no connection
	// in time. A running server may be silent for a second or so.
	LossSilent
	// LossReplaced means that another server answers at the address.
	LossReplaced
	// LossUnanswered means that the server accepted a connection and did not answer. Its
	// host runs, and most likely the server is only silent for a second or so.
	LossUnanswered
)

var lossNames = [...]string{"reset", "refused", "silent", "replaced", "unanswered"}

// unreachable reports whether the evidence shows that the server cannot be reached at all.
func (l Loss) unreachable() bool { return l != LossReset && l != LossUnanswered }

// backoff returns how long no work is sent to a server after such evidence.
func (l Loss) backoff() time.Duration {
	switch l {
	case LossReset:
		return resetBackoff
	case LossUnanswered:
		return unansweredBackoff
	}
	return unreachableBackoff
}

func (l Loss) String() string {
	if l < 0 || int(l) >= len(lossNames) {
		return "unknown" // from a peer of another version
	}
	return lossNames[l]
}

type dataCentreKey struct {
	service    string
	dataCentre ident.DataCentre
}

// RecordLoss records evidence that a server is lost. It reports whether this is the
// first evidence of this loss, in which case the caller should notify the peers.
func (f *Fleet) RecordLoss(now time.Time, id ident.BackendID, how Loss) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return false
	}
	gone := how == LossRefused || how == LossReplaced
	first := !now.Before(s.lostUntil) || how.unreachable() && !s.unreachable || gone && !s.gone
	if gone && (!s.gone || !now.Before(s.lostUntil)) {
		s.goneCount.Add(1)
	}
	s.gone = gone || s.gone && now.Before(s.lostUntil)
	s.silent.Store((how == LossSilent || how == LossUnanswered) && !s.gone)
	if how.unreachable() && (!s.unreachable || !now.Before(s.lostUntil)) {
		s.lossCount.Add(1)
	}
	if gone {
		s.cachedPrompts = map[uint64]cachedPrompt{}
	}
	s.unreachable = how.unreachable() || s.unreachable && now.Before(s.lostUntil)
	if until := now.Add(how.backoff()); until.After(s.lostUntil) {
		s.lostUntil = until
	}
	s.lostAt = now
	if how.unreachable() {
		s.unreachableAt = now
		f.recordDataCentreLoss(now, s)
	}
	return first
}

// RecordReport records the report of a peer that a server is lost, and reports whether it
// makes a difference. An answer that shows that the server was replaced is a fact at all
// hosts. Anything else may only mean that the peer has no path to the server: the server
// is suspected until data from it arrives at this node.
func (f *Fleet) RecordReport(now time.Time, id ident.BackendID, how Loss) bool {
	if how == LossReplaced {
		return f.RecordLoss(now, id, how)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return false
	}
	first := !f.suspected(s, now)
	s.reportedAt = now
	if how.unreachable() {
		s.unreachableReportedAt = now
	}
	if until := now.Add(how.backoff()); until.After(s.suspectUntil) {
		s.suspectUntil = until
	}
	if how.unreachable() {
		f.recordDataCentreLoss(now, s)
	}
	return first && now.Before(s.suspectUntil)
}

// suspected reports whether a peer has reported the server lost and this node has not heard
// from it since. The lock must be held.
func (f *Fleet) suspected(s *Server, now time.Time) bool {
	return now.Before(s.suspectUntil) && !f.lastDataAt(s).After(s.reportedAt)
}

// Suspected reports whether a server may be lost although this node has not found it so: a
// peer has reported it, or other servers of its data centre were lost a moment ago.
func (f *Fleet) Suspected(s *Server, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspected(s, now) || f.inLostDataCentre(s, now)
}

// MayHaveRestarted reports whether a server was found lost, by this node or a peer, later than
// it last reported itself in the list that this node has read: what runs at its address now may
// be another incarnation under the same id.
func (f *Fleet) MayHaveRestarted(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lostAt := s.unreachableAt
	if s.unreachableReportedAt.After(lostAt) {
		lostAt = s.unreachableReportedAt
	}
	return !lostAt.IsZero() && s.entryReportedAt.Sub(lostAt) <= maxReportAge
}

// ReportedLately reports whether this node has read a report of the server in the list within
// maxReportGap. A server that starts again is away for longer, so no other incarnation runs at
// its address, unless it was found lost.
func (f *Fleet) ReportedLately(s *Server, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(s.entryReportedAt) <= maxReportGap
}

// ForgetLosses clears the losses of the servers of a service that this node found since a
// time, because it had no path to them. Servers that are lost are found so again.
func (f *Fleet) ForgetLosses(service string, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.Service == service && !s.lostAt.Before(since) {
			s.lostUntil, s.unreachableAt, s.unreachable, s.gone = time.Time{}, time.Time{}, false, false
		}
	}
	for key, at := range f.dataCentreLostAt {
		if key.service == service && !at.Before(since) {
			delete(f.dataCentreLostAt, key)
		}
	}
}

// RecordReachable records that a server has answered after its connection was reset.
func (f *Fleet) RecordReachable(now time.Time, s *Server) {
	f.RecordData(s, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.unreachable {
		s.lostUntil = time.Time{}
	}
}

// endSilence ends the loss of a server that was only silent.
func (f *Fleet) endSilence(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.silent.Store(false)
	if !s.gone {
		s.unreachable, s.lostUntil = false, time.Time{}
	}
}

// recordDataCentreLoss marks the data centre of s as lost if enough of its servers
// were found unreachable within dataCentreLossWindow, at least one of them by this node:
// hosts that have lost their own paths report servers in all data centres. Resets are not
// counted, because a fault of a host or a link also resets connections to running servers.
func (f *Fleet) recordDataCentreLoss(now time.Time, s *Server) {
	found, reported := 0, 0
	for _, other := range f.servers {
		switch {
		case other.Service != s.Service || other.DataCentre != s.DataCentre:
		case now.Sub(other.unreachableAt) < dataCentreLossWindow:
			found++
		case now.Sub(other.unreachableReportedAt) < dataCentreLossWindow && f.suspected(other, now):
			reported++
		}
	}
	if found > 0 && found+reported >= dataCentreLossServers {
		f.dataCentreLostAt[dataCentreKey{s.Service, s.DataCentre}] = now
	}
}

// dataCentreLossProximity is the longest time between the loss of a data centre and
// the crash of one of its servers at which the crash is attributed to that loss.
const dataCentreLossProximity = 1500 * time.Millisecond

// DataCentreLostNear reports whether the latest loss of a data centre was less than
// dataCentreLossProximity before or after the given time. It was not lost if one of its
// other servers was heard later: some of its servers also crash shortly after each other
// when requests crash them one by one.
func (f *Fleet) DataCentreLostNear(service string, dataCentre ident.DataCentre, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost, ok := f.dataCentreLostAt[dataCentreKey{service, dataCentre}]
	if !ok || at.Sub(lost).Abs() >= dataCentreLossProximity {
		return false
	}
	after := at.Add(lateDataTime)
	for _, s := range f.servers {
		if s.Service == service && s.DataCentre == dataCentre && !s.firstSeen.After(at) && f.heardSince(s, after) {
			return false
		}
	}
	return true
}

// lateDataTime is how long after the loss of a server data may still be read that it
// sent before.
const lateDataTime = 100 * time.Millisecond

// HeardSince reports whether an incarnation of a server was heard later than
// lateDataTime after the given time: it cannot have been lost then.
func (f *Fleet) HeardSince(id ident.BackendID, incarnation int64, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && s.Incarnation == incarnation && f.heardSince(s, at.Add(lateDataTime))
}

// heardSince reports whether this node or a peer has received data from the server after
// the given time, or the server has reported itself since. The first report that a node
// reads may be older than its start. The lock is held.
func (f *Fleet) heardSince(s *Server, at time.Time) bool {
	reported := s.firstSeen.Before(at) && s.entryReportedAt.Sub(at) > maxReportAge
	return reported || f.lastDataAt(s).After(at) || s.lastPrefillAt.After(at)
}

// inLostDataCentre reports whether the data centre of s was lost less than
// unreachableBackoff ago and s has sent neither data nor a new report since.
func (f *Fleet) inLostDataCentre(s *Server, now time.Time) bool {
	at, ok := f.dataCentreLostAt[dataCentreKey{s.Service, s.DataCentre}]
	if !ok || now.Sub(at) > unreachableBackoff {
		return false
	}
	alive := s.firstSeen.After(at) || f.lastDataAt(s).After(at) || s.entryReportedAt.Sub(at) > maxReportAge
	return !alive
}
