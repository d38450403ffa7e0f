// Package listsync decides when a node reads its list of backend servers anew because it
// differs from those of its peers.
//
// Load pattern: the list is told by its changes, which are lost now and then: a datagram does
// not arrive, a node is suspended, or a node judges a row otherwise than the one that reads
// for all. Heartbeats carry a digest of the list, so that no difference lasts. After an
// outage of the store hundreds of nodes may differ at once, and the reads of the whole list
// are spread over a second.
//
// A Monitor is safe for concurrent use. Its methods take the current time as an argument and
// do no I/O.
package listsync

import (
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// minDifference is the shortest time for which two lists must differ. Changes on their
	// way between two nodes arrive within some heartbeats.
	minDifference = 300 * time.Millisecond
	// spread and spreadPerHost are the parts of the span over which the hosts of a
	// deployment spread their reads: the store answers all of them.
	spread        = 100 * time.Millisecond
	spreadPerHost = 3 * time.Millisecond
	// readerDelay is the additional time for which the reader waits: a list that differs
	// from its own is more likely wrong than its own, and is read again first.
	readerDelay = 700 * time.Millisecond
	// comparisonTTL is the time after which a comparison with a host counts no more.
	comparisonTTL = 3 * time.Second
	// minRetry and maxRetry bound the time between two reads that do not end a difference.
	// It doubles with each read: two nodes may judge a row differently for good.
	minRetry = 2 * time.Second
	maxRetry = 30 * time.Second
)

// Summary describes a node's list of servers.
type Summary struct {
	// Read is the position in the store up to which the list has been read, and Changed
	// that of the newest change that the node knows.
	Read, Changed ident.StorePosition
	// Digest is a hash of the listed servers; 0 if it is not known.
	Digest uint64
}

// Differs reports whether two lists that hold the same changes have other servers. known is
// false if one of them has a change that the other may lack.
func (s Summary) Differs(other Summary) (differs, known bool) {
	if s.Digest == 0 || other.Digest == 0 || s.Read.Era != other.Read.Era {
		return false, false
	}
	if s.Read.Before(other.Changed) || other.Read.Before(s.Changed) {
		return false, false
	}
	return s.Digest != other.Digest, true
}

// difference is a list of a peer that differs.
type difference struct{ since, last time.Time }

// Monitor collects the comparisons of a node's list with those of peers.
type Monitor struct {
	// Place is the place of this host in the span over which the hosts spread their reads,
	// from 0 to 1.
	Place float64

	mu          sync.Mutex
	differences map[ident.HostID]difference // guarded by mu
	reads       int                         // guarded by mu; reads since the lists last agreed
	lastRead    time.Time                   // guarded by mu
}

// Observe records a comparison with the list of a peer, and reports whether this node should
// read the whole list now. hosts is the number of hosts, and reader is set if this node reads
// the list for all.
func (m *Monitor) Observe(now time.Time, peer ident.HostID, differs bool, hosts int, reader bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !differs {
		delete(m.differences, peer)
		if len(m.differences) == 0 {
			m.reads = 0
		}
		return false
	}
	if m.differences == nil {
		m.differences = map[ident.HostID]difference{}
	}
	d := m.differences[peer]
	if d.since.IsZero() || now.Sub(d.last) > comparisonTTL {
		d.since = now
	}
	d.last = now
	m.differences[peer] = d
	m.expire(now)
	if now.Sub(d.since) < m.delay(hosts, reader) || m.reads > 0 && now.Sub(m.lastRead) < m.retryAfter() {
		return false
	}
	m.reads++
	m.lastRead = now
	return true
}

// delay returns the time for which a list must differ before this node reads its own anew.
func (m *Monitor) delay(hosts int, reader bool) time.Duration {
	d := minDifference + time.Duration(m.Place*float64(spread+time.Duration(hosts)*spreadPerHost))
	if reader {
		d += readerDelay
	}
	return d
}

// retryAfter returns the minimum time until the next read. The lock is held.
func (m *Monitor) retryAfter() time.Duration {
	d := minRetry
	for range m.reads - 1 {
		d = min(2*d, maxRetry)
	}
	return d
}

// expire drops comparisons with hosts that have not been heard. The lock is held.
func (m *Monitor) expire(now time.Time) {
	for host, d := range m.differences {
		if now.Sub(d.last) > comparisonTTL {
			delete(m.differences, host)
		}
	}
}
