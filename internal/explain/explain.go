// Package explain records the decisions that a node made for each request, so that
// an operator can find out why a request was handled in a particular way. It also
// records the sessions of generations and writes the records of disturbed requests
// to the object store.
//
// A Store may be used by any number of goroutines; one mutex guards it. It holds up
// to maxRequests requests; at this limit the oldest one is dropped.
package explain

import (
	"container/list"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// maxRequests bounds the memory of a Store, at about 1 KiB per request.
	maxRequests = 10_000
	// maxDecisions bounds the decisions of one request. When it is reached, each new
	// decision replaces the last one.
	maxDecisions = 64
)

// Decision is one step in the handling of a request.
type Decision struct {
	At     time.Time    `json:"at"`
	Host   ident.HostID `json:"host"`
	Event  string       `json:"event"`
	Detail string       `json:"detail"`
}

// Record holds the decisions for one request of one team.
type Record struct {
	Request   ident.RequestID
	Team      ident.Team
	Decisions []Decision
}

// interruptionEvents are the events after which the record of a request is written
// to the object store. A failure alone is not among them, because an overload
// refuses many requests that way. A failure after a loss is part of the kept trace.
var interruptionEvents = map[string]bool{"lost": true, "resumed": true, "taken_over": true}

type recordKey struct {
	team    ident.Team
	request ident.RequestID
}

// Store holds the newest records of a node.
type Store struct {
	host ident.HostID
	// onChange is called, without mu, after an interruption was recorded.
	onChange func(ident.Team, ident.RequestID)

	mu sync.Mutex
	// order, byKey and byRequest are guarded by mu. order holds *Record, oldest
	// first. byRequest may hold several records per id, because request ids are
	// unique only within a team.
	order     *list.List
	byKey     map[recordKey]*list.Element
	byRequest map[ident.RequestID][]*Record
	dropped   int
}

// NewStore returns an empty store for the given host.
func NewStore(host ident.HostID) *Store {
	return &Store{
		host:      host,
		onChange:  func(ident.Team, ident.RequestID) {},
		order:     list.New(),
		byKey:     map[recordKey]*list.Element{},
		byRequest: map[ident.RequestID][]*Record{},
	}
}

// OnChange sets the function that is called after an interruption was recorded. It
// must be called before the first decision is added.
func (s *Store) OnChange(changed func(ident.Team, ident.RequestID)) { s.onChange = changed }

// Add records one decision on a request and, if it is an interruption, calls the
// function that OnChange set.
func (s *Store) Add(now time.Time, team ident.Team, request ident.RequestID, event, detail string) {
	s.add(now, team, request, event, detail)
	if interruptionEvents[event] {
		s.onChange(team, request)
	}
}

func (s *Store) add(now time.Time, team ident.Team, request ident.RequestID, event, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.record(recordKey{team, request})
	decision := Decision{At: now, Host: s.host, Event: event, Detail: detail}
	if len(record.Decisions) == maxDecisions {
		record.Decisions[maxDecisions-1] = decision
		return
	}
	record.Decisions = append(record.Decisions, decision)
}

// record returns the record of a key and creates it if needed. The caller must
// hold mu.
func (s *Store) record(k recordKey) *Record {
	if element, ok := s.byKey[k]; ok {
		return element.Value.(*Record)
	}
	if s.order.Len() == maxRequests {
		s.dropOldest()
	}
	record := &Record{Request: k.request, Team: k.team}
	s.byKey[k] = s.order.PushBack(record)
	s.byRequest[k.request] = append(s.byRequest[k.request], record)
	return record
}

// dropOldest removes the oldest record. The caller must hold mu.
func (s *Store) dropOldest() {
	oldest := s.order.Front()
	record := s.order.Remove(oldest).(*Record)
	delete(s.byKey, recordKey{record.Team, record.Request})
	s.dropped++
	var rest []*Record
	for _, r := range s.byRequest[record.Request] {
		if r != record {
			rest = append(rest, r)
		}
	}
	if len(rest) == 0 {
		delete(s.byRequest, record.Request)
		return
	}
	s.byRequest[record.Request] = rest
}

// Get returns copies of the records of a request id, one for each team that used
// it.
func (s *Store) Get(request ident.RequestID) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []Record
	for _, r := range s.byRequest[request] {
		copied := *r
		copied.Decisions = append([]Decision(nil), r.Decisions...)
		records = append(records, copied)
	}
	return records
}
