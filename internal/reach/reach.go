// Package reach decides whether a host has lost its network path to the backend servers of
// a service.
//
// Load pattern: some hosts, also most of a data centre, cannot reach any server for
// seconds, while clients, the store and the other hosts still reach them. Their open
// connections hang or are reset, or work on while new ones are refused. To such a host all
// servers look lost. What it then believes must not take servers out at other hosts, and
// its requests have to go through hosts that still have a path.
//
// Attempts to open a connection count: data may still arrive on connections that were
// opened before the path was lost. So does silence, since a device on the path may accept
// connections and pass nothing on: requests that bring nothing for some time, while nothing
// arrives from any server of the service. Failures at several servers, with no success in
// between, raise a doubt. It is settled by a check: control connections to a few servers chosen at
// random. The path is lost if most of them fail, and back if most succeed in a check that
// follows the first success. A host that reaches one server of many has lost its path: that
// server could not serve all its requests.
//
// A Tracker may be used from any goroutine. It reads no clock and does no I/O.
package reach

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// doubtFailures is the number of servers of a service that could not be reached, with
	// no success in between, from which on the host doubts its path.
	doubtFailures = 2
	// doubtRepeats is the number of failures in a row, also at one server, from which on the
	// host doubts its path: the others may be out of use already.
	doubtRepeats = 3
	// failureTTL is how long a failure counts.
	failureTTL = 5 * time.Second
	// silenceInterval is the minimum time between two checks because of silence: servers
	// that are all slow are silent too.
	silenceInterval = time.Second
)

// Tracker knows the paths of one host to the servers of each service. The zero value is
// ready to use.
type Tracker struct {
	mu    sync.Mutex
	paths map[string]*path // guarded by mu; by service
}

// path is the path to the servers of one service.
type path struct {
	// failed holds the time of the latest failure of each server since the last success.
	failed  map[ident.BackendID]time.Time
	repeats int // failures since the last success or check
	// silent holds the time of the latest request to each server that brought nothing, since
	// the last check.
	silent    map[ident.BackendID]time.Time
	checkedAt time.Time // end of the last check
	lost      bool
	lostAt    time.Time
	checking  bool // a check has begun and not ended
}

func (t *Tracker) path(service string) *path {
	p := t.paths[service]
	if p == nil {
		p = &path{failed: map[ident.BackendID]time.Time{}, silent: map[ident.BackendID]time.Time{}}
		if t.paths == nil {
			t.paths = map[string]*path{}
		}
		t.paths[service] = p
	}
	return p
}

// Opened records that a connection to a server of a service was opened. It reports whether
// a check is to be made now; the caller then calls Checked.
func (t *Tracker) Opened(service string) (check bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(service)
	if !p.lost {
		p.clear()
		return false
	}
	return p.beginCheck()
}

// Failed records that no connection to a server of a service could be opened. It reports
// whether a check is to be made now; the caller then calls Checked.
func (t *Tracker) Failed(now time.Time, service string, server ident.BackendID) (check bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(service)
	p.failed[server] = now
	p.repeats++
	return !p.lost && doubtful(now, p.failed, p.repeats) && p.beginCheck()
}

// Silent records that a request to a server of a service has brought nothing for some time,
// and that nothing has arrived from any other server of the service meanwhile. It reports
// whether a check is to be made now; the caller then calls Checked. The silence of a single
// server raises no doubt: it may be sound, and its runs would be moved from it.
func (t *Tracker) Silent(now time.Time, service string, server ident.BackendID) (check bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(service)
	p.silent[server] = now
	return !p.lost && now.Sub(p.checkedAt) >= silenceInterval && recent(now, p.silent) >= doubtFailures && p.beginCheck()
}

func (p *path) beginCheck() bool {
	if p.checking {
		return false
	}
	p.checking = true
	return true
}

// doubtful reports whether the path may be lost, by the times of the latest failures at each
// server and the number of failures.
func doubtful(now time.Time, failed map[ident.BackendID]time.Time, failures int) bool {
	n := recent(now, failed)
	return n >= doubtFailures || n > 0 && failures >= doubtRepeats
}

// recent returns the number of servers whose failure still counts.
func recent(now time.Time, failed map[ident.BackendID]time.Time) int {
	n := 0
	for _, at := range failed {
		if now.Sub(at) < failureTTL {
			n++
		}
	}
	return n
}

// clear removes the recorded failures.
func (p *path) clear() {
	clear(p.failed)
	p.repeats = 0
}

// Sample is the result of control connections.
type Sample struct{ Opened, Tried int }

// Sound reports whether a sample shows that the host has a path: most of the connections
// were opened.
func (s Sample) Sound() bool { return s.Tried > 0 && 2*s.Opened >= s.Tried }

// Change is what a check has changed.
type Change int

// Changes of a path.
const (
	Unchanged Change = iota
	PathLost
	PathBack
)

// Checked ends a check. For PathBack it returns the time since which the path was lost. A
// check for the end of a loss in which there was no further server to try succeeds.
func (t *Tracker) Checked(now time.Time, service string, s Sample) (change Change, lostAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(service)
	p.checking, p.checkedAt = false, now
	first := p.firstFailure(now)
	clear(p.silent)
	switch {
	case p.lost && (s.Sound() || s.Tried == 0):
		p.lost = false
		p.clear()
		return PathBack, p.lostAt
	case p.lost:
	case s.Sound():
		p.clear()
	default:
		p.lost, p.lostAt = true, first
		return PathLost, p.lostAt
	}
	return Unchanged, time.Time{}
}

// firstFailure returns the time of the earliest failure that still counts.
func (p *path) firstFailure(now time.Time) time.Time {
	first := now
	for _, failures := range []map[ident.BackendID]time.Time{p.failed, p.silent} {
		for _, at := range failures {
			if at.Before(first) && now.Sub(at) < failureTTL {
				first = at
			}
		}
	}
	return first
}

// Checking reports whether a check is being made.
func (t *Tracker) Checking(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[service]
	return p != nil && p.checking
}

// Unreached returns the servers of a service that could not be reached since the last
// success.
func (t *Tracker) Unreached(service string) []ident.BackendID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []ident.BackendID
	for id := range t.path(service).failed {
		list = append(list, id)
	}
	return list
}

// Lost reports whether the path to the servers of a service is lost.
func (t *Tracker) Lost(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[service]
	return p != nil && p.lost
}

// Trusted reports whether a failure to reach a server of a service is evidence about that
// server. It is not while the path is lost or in doubt.
func (t *Tracker) Trusted(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[service]
	return p == nil || !p.lost && !doubtful(now, p.failed, p.repeats)
}

// LostServices returns the services to whose servers the path is lost, sorted by name.
func (t *Tracker) LostServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for service, p := range t.paths {
		if p.lost {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}
