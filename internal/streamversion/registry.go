// Package streamversion knows which software version of a service began each stream. What
// two versions generate does not fit together, so a stream may continue only at the
// version that began it, also when its client returns at another host.
//
// Load pattern: a release runs two versions side by side for seconds to minutes, in which
// engines are lost every few seconds and hosts end, one or all of them. The host that
// begins a stream tells all others before the client has the first event, and the versions
// are kept in the platform's store while a service has more than one.
//
// A Registry and a History are safe for concurrent use. Their methods take the current
// time as an argument and do no I/O.
package streamversion

import (
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// recordTTL is how long the version of a stream is kept after its first event. It is
	// above the time for which clients wait for an answer, over all their attempts.
	recordTTL = 3 * time.Minute
	// maxRecords bounds the memory of a registry to some megabytes. The oldest records
	// are dropped first.
	maxRecords = 50_000
	// storeTTL is the age up to which records are written to the store.
	storeTTL = time.Minute
)

// Unknown is the version of a stream that began at a server whose version nobody has told
// yet. It is not the same as that of any other stream.
const Unknown = "unknown"

// Key identifies a stream. ID is the hash of the id of the client's attempt that brought
// its first event, and Content that of the request without its id, for clients that do not
// name the attempt. A hash of 0 is not set.
type Key struct {
	ID      uint64 `json:"i,omitempty"`
	Content uint64 `json:"c,omitempty"`
}

// KeyOf returns the key of the stream that an attempt begins. target is the method, path
// and team of the request.
func KeyOf(id ident.RequestID, target string, body []byte) Key {
	return Key{ID: HashID(id), Content: xxh3.HashSeed(body, xxh3.HashString(target))}
}

// HashID returns the hash of an id in a Key; 0 if there is no id.
func HashID(id ident.RequestID) uint64 {
	if id == "" {
		return 0
	}
	return xxh3.HashString(string(id))
}

// Record is the version that began a stream.
type Record struct {
	Key
	Version string `json:"v"`
	AgeMs   int64  `json:"a,omitempty"` // milliseconds since the first event
	// Server is the incarnation of the server that began the stream, if Version is Unknown.
	Server Server `json:"s,omitzero"`
}

// Server identifies one incarnation of a server.
type Server struct {
	ID          ident.BackendID `json:"i"`
	Incarnation int64           `json:"b,omitempty"`
}

// entry is what is kept of a stream. version is empty if two versions were reported for
// its key.
type entry struct {
	version string
	at      time.Time
}

// Registry holds the versions of the streams that began lately, on all hosts. The zero
// value is ready to use.
type Registry struct {
	mu        sync.Mutex
	byID      map[uint64]entry // guarded by mu
	byContent map[uint64]entry // guarded by mu
	// records holds all records in the order in which they were added. Guarded by mu.
	records []timedRecord
	// unresolved is the number of records whose version is Unknown. Guarded by mu.
	unresolved int
}

type timedRecord struct {
	Record
	at     time.Time
	stored bool // the platform's store has it
}

// Add records the version that began a stream.
func (r *Registry) Add(now time.Time, x Record) { r.add(now, x, false) }

// AddStored is Add for a record that was read from the platform's store.
func (r *Registry) AddStored(now time.Time, x Record) { r.add(now, x, true) }

func (r *Registry) add(now time.Time, x Record, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID, r.byContent = map[uint64]entry{}, map[uint64]entry{}
	}
	at := now.Add(-time.Duration(max(0, x.AgeMs)) * time.Millisecond)
	if now.Sub(at) > recordTTL || r.knows(x) {
		return
	}
	add(r.byID, x.ID, entry{x.Version, at})
	add(r.byContent, x.Content, entry{x.Version, at})
	r.records = append(r.records, timedRecord{x, at, stored})
	if x.Version == Unknown {
		r.unresolved++
	}
	r.expire(now)
}

// knows reports whether a record says nothing new. The lock is held.
func (r *Registry) knows(x Record) bool {
	known, ok := r.byID[x.ID]
	return ok && x.ID != 0 && (known.version == x.Version || x.Version == Unknown)
}

// Resolve replaces the unknown versions of records by those of their servers, as far as
// versionOf knows them by now. It returns an empty version for one that it does not know.
func (r *Registry) Resolve(versionOf func(Server) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unresolved == 0 {
		return
	}
	for i := range r.records {
		x := &r.records[i]
		if x.Version != Unknown {
			continue
		}
		version := versionOf(x.Server)
		if version == "" || version == Unknown {
			continue
		}
		x.Version, x.Server, x.stored = version, Server{}, false
		r.unresolved--
		resolve(r.byID, x.ID, version)
		resolve(r.byContent, x.Content, version)
	}
}

// resolve replaces the unknown version of a key.
func resolve(m map[uint64]entry, key uint64, version string) {
	if e, ok := m[key]; ok && e.version == Unknown {
		e.version = version
		m[key] = e
	}
}

// add adds an entry to a map of the registry. Two versions for one key leave it unknown
// which of them holds.
func add(m map[uint64]entry, key uint64, e entry) {
	if key == 0 {
		return
	}
	if known, ok := m[key]; ok && (known.version != e.version || e.version == Unknown) {
		e.version = ""
	}
	m[key] = e
}

// expire drops the records that are too old or too many. The lock is held.
func (r *Registry) expire(now time.Time) {
	drop := max(0, len(r.records)-maxRecords)
	for drop < len(r.records) && now.Sub(r.records[drop].at) > recordTTL {
		drop++
	}
	for _, x := range r.records[:drop] {
		remove(r.byID, x.ID, x.at)
		remove(r.byContent, x.Content, x.at)
		if x.Version == Unknown {
			r.unresolved--
		}
	}
	r.records = r.records[drop:]
}

// remove removes the entry of a record, unless a later record has the same key.
func remove(m map[uint64]entry, key uint64, at time.Time) {
	if m[key].at.Equal(at) {
		delete(m, key)
	}
}

// Version returns the version that began the stream with a key, which may be Unknown. It
// goes by the id, and by the content only if the key has no id.
func (r *Registry) Version(now time.Time, k Key) (version string, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[k.ID]
	if k.ID == 0 {
		e = r.byContent[k.Content]
	}
	return e.version, e.version != "" && now.Sub(e.at) <= recordTTL
}

// Unstored returns up to limit records that are not in the store yet, without those that are
// too old to be of use after the end of all hosts. The newest come first: a host that has just
// become the writer does not know which of the older ones the host before has stored.
func (r *Registry) Unstored(now time.Time, limit int) (records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for _, x := range slices.Backward(r.records) {
		if len(records) == limit {
			break
		}
		if age := now.Sub(x.at); !x.stored && age <= storeTTL {
			x.AgeMs = age.Milliseconds()
			records = append(records, x.Record)
		}
	}
	return records
}

// MarkStored records that records that Unstored returned are in the store.
func (r *Registry) MarkStored(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	written := make(map[Key]string, len(records))
	for _, x := range records {
		written[x.Key] = x.Version
	}
	for i := range r.records {
		// A record whose version has become known meanwhile is written once more.
		if version, ok := written[r.records[i].Key]; ok && version == r.records[i].Version {
			r.records[i].stored = true
		}
	}
}

// MarkUnstored records that the store may have lost what was written to it.
func (r *Registry) MarkUnstored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.records {
		r.records[i].stored = false
	}
}
