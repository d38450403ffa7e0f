package streamversion

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// historyMemory is how long after its last server a version may have streams whose clients
// return.
const historyMemory = 90 * time.Second

// History knows which versions each service had lately. While a service has had one version
// only, a stream whose version is not recorded began at that one.
type History struct {
	mu sync.Mutex
	// complete is set once the history before the start of this host is known. Guarded by
	// mu, like seen, which holds the latest time at which a server of a version was known,
	// by service and version.
	complete bool
	seen     map[string]map[string]time.Time
}

// Update records the versions that the servers of each service have now.
func (h *History) Update(now time.Time, current map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, versions := range current {
		for _, v := range versions {
			h.saw(service, v, now)
		}
	}
}

// saw records that a version had servers at a time. The lock is held.
func (h *History) saw(service, version string, at time.Time) {
	if h.seen == nil {
		h.seen = map[string]map[string]time.Time{}
	}
	if h.seen[service] == nil {
		h.seen[service] = map[string]time.Time{}
	}
	if at.After(h.seen[service][version]) {
		h.seen[service][version] = at
	}
}

// recent returns the versions that a service had within historyMemory. The lock is held.
func (h *History) recent(now time.Time, service string) (versions []string) {
	for v, at := range h.seen[service] {
		if now.Sub(at) <= historyMemory {
			versions = append(versions, v)
		} else {
			delete(h.seen[service], v)
		}
	}
	return versions
}

// Sole returns the only version that a service has and had lately. It returns false if
// there are several, or if this host does not know what was before its start.
func (h *History) Sole(now time.Time, service string) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := h.recent(now, service)
	if !h.complete || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Complete reports whether the history before the start of this host is known.
func (h *History) Complete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.complete
}

// Snapshot is a History for a peer or the store: by service and version, the milliseconds
// since a server of the version was last known. It is 0 for versions that have servers.
type Snapshot map[string]map[string]int64

// SnapshotOf returns the history, given the versions that the servers have now.
func (h *History) SnapshotOf(now time.Time, current map[string][]string) Snapshot {
	h.Update(now, current)
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Snapshot{}
	for service := range h.seen {
		s[service] = map[string]int64{}
		for _, v := range h.recent(now, service) {
			age := int64(0)
			if !slices.Contains(current[service], v) {
				age = max(1, now.Sub(h.seen[service][v]).Milliseconds())
			}
			s[service][v] = age
		}
	}
	return s
}

// SameVersions reports whether two snapshots have the same versions, and the same of them
// with servers.
func (s Snapshot) SameVersions(other Snapshot) bool {
	return maps.EqualFunc(s, other, func(a, b map[string]int64) bool {
		return maps.EqualFunc(a, b, func(x, y int64) bool { return (x == 0) == (y == 0) })
	})
}

// Mixed reports whether a service in the snapshot has several versions.
func (s Snapshot) Mixed() bool {
	for _, versions := range s {
		if len(versions) > 1 {
			return true
		}
	}
	return false
}

// Load adds a snapshot that was made the given time ago, after which the history before the
// start of this host is known. A version that had servers then may have had them until now.
func (h *History) Load(now time.Time, s Snapshot, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
	for service, versions := range s {
		for v, ms := range versions {
			at := now
			if ms > 0 {
				at = now.Add(-age - time.Duration(ms)*time.Millisecond)
			}
			h.saw(service, v, at)
		}
	}
}
