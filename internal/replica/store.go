package replica

import (
	"container/list"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// copyOverheadBytes is the memory accounted for each copy beyond its content: map
// entry, list element and struct.
const copyOverheadBytes = 512

// Journal is the content of a copy as Fetch returns it.
type Journal struct {
	Head     *nodepb.JournalHead
	Tokens   []string
	Finished bool
	// FinishReason is set with Finished.
	FinishReason string
	// Owner is the node that sent the copy.
	Owner ident.HostID
}

// Store holds copies of journals for other nodes, up to a limit in bytes. At the
// limit it evicts finished copies, the least recently changed first. If that is
// not enough, it rejects the update and removes the updated copy: evicting other
// copies that are in use would only make their owners send all of them again. A
// Store may be used by any number of goroutines.
type Store struct {
	limit     int64
	retention time.Duration

	mu       sync.Mutex // guards the fields below
	copies   map[string]*storedCopy
	running  *list.List // of *storedCopy, least recently changed first
	finished *list.List // like running, for finished generations
	bytes    int64
	evicted  uint64
	refused  uint64
}

// storedCopy is one copy. Tokens are stored as one text with the end offset of each
// token. The overhead is 4 bytes per token; that of separate strings is 32 bytes.
type storedCopy struct {
	generation string
	owner      *nodepb.Sender
	copyID     int64
	head       *nodepb.JournalHead
	text       []byte
	ends       []uint32
	finished   bool
	// finishReason is set with finished.
	finishReason string
	changed      time.Time
	element      *list.Element
	list         *list.List
	bytes        int64
}

// NewStore returns an empty store that holds at most limitBytes and keeps each
// copy for retention after its last change.
func NewStore(limitBytes int64, retention time.Duration) *Store {
	return &Store{
		limit: limitBytes, retention: retention,
		copies: map[string]*storedCopy{}, running: list.New(), finished: list.New(),
	}
}

// Apply stores the updates of one batch. The acknowledgement lists the
// generations whose update was not stored because the start of the copy is
// missing, the update does not fit the copy present or the memory limit is
// reached.
func (s *Store) Apply(now time.Time, batch *nodepb.JournalBatch) *nodepb.JournalAck {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	ack := &nodepb.JournalAck{Batch: batch.GetBatch()}
	for _, u := range batch.GetUpdates() {
		if !s.apply(now, batch.GetSender(), u) {
			ack.Unknown = append(ack.Unknown, u.GetGenerationId())
		}
	}
	return ack
}

func (s *Store) apply(now time.Time, sender *nodepb.Sender, u *nodepb.JournalUpdate) bool {
	c := s.copies[u.GetGenerationId()]
	if u.GetHead() != nil && (c == nil || replaces(c, sender, u)) {
		if c != nil {
			s.remove(c)
		}
		c = s.start(sender, u)
	}
	if c == nil || !sameCopy(c, sender, u) || u.GetFirstIndex() < 0 || u.GetFirstIndex() > int64(len(c.ends)) {
		return false
	}
	// Tokens of the same copy that arrive again are equal to those present, so
	// they are skipped.
	if present := int64(len(c.ends)) - u.GetFirstIndex(); present < int64(len(u.GetTokens())) {
		c.append(u.GetTokens()[present:])
	}
	if u.GetFinished() {
		c.finished, c.finishReason = true, u.GetFinishReason()
	}
	c.changed = now
	s.moveToBack(c)
	s.updateSize(c)
	if !s.evictFinished(c) {
		s.remove(c)
		s.refused++
		return false
	}
	return true
}

// replaces reports whether an update that starts a copy is newer than the copy c. If
// the owners differ, the last update to arrive is the newer one: two owners exist
// only after a takeover, and readers check the text against the digest in their
// cursor.
func replaces(c *storedCopy, sender *nodepb.Sender, u *nodepb.JournalUpdate) bool {
	if c.owner.GetHostId() != sender.GetHostId() {
		return true
	}
	if c.owner.GetIncarnation() != sender.GetIncarnation() {
		return sender.GetIncarnation() > c.owner.GetIncarnation()
	}
	return u.GetCopyId() > c.copyID
}

func sameCopy(c *storedCopy, sender *nodepb.Sender, u *nodepb.JournalUpdate) bool {
	return c.owner.GetHostId() == sender.GetHostId() && c.owner.GetIncarnation() == sender.GetIncarnation() && c.copyID == u.GetCopyId()
}

func (s *Store) start(sender *nodepb.Sender, u *nodepb.JournalUpdate) *storedCopy {
	c := &storedCopy{generation: u.GetGenerationId(), owner: sender, copyID: u.GetCopyId(), head: u.GetHead()}
	s.copies[c.generation] = c
	return c
}

func (c *storedCopy) append(tokens []string) {
	for _, t := range tokens {
		c.text = append(c.text, t...)
		c.ends = append(c.ends, uint32(len(c.text)))
	}
}

// moveToBack moves a changed copy to the back of the list for its state, running
// or finished.
func (s *Store) moveToBack(c *storedCopy) {
	target := s.running
	if c.finished {
		target = s.finished
	}
	switch {
	case c.list == target:
		target.MoveToBack(c.element)
		return
	case c.list != nil:
		c.list.Remove(c.element)
	}
	c.list, c.element = target, target.PushBack(c)
}

func (s *Store) updateSize(c *storedCopy) {
	h := c.head
	size := copyOverheadBytes + len(h.GetBody()) + len(h.GetRequestId()) + len(h.GetCustomer()) + len(h.GetRoute()) +
		len(c.generation) + cap(c.text) + 4*cap(c.ends)
	s.bytes += int64(size) - c.bytes
	c.bytes = int64(size)
}

// evictFinished evicts finished copies other than keep until the store is within
// its limit, and reports whether it is.
func (s *Store) evictFinished(keep *storedCopy) bool {
	for e := s.finished.Front(); e != nil && s.bytes > s.limit; {
		c := e.Value.(*storedCopy)
		e = e.Next()
		if c != keep {
			s.remove(c)
			s.evicted++
		}
	}
	return s.bytes <= s.limit
}

func (s *Store) remove(c *storedCopy) {
	delete(s.copies, c.generation)
	if c.list != nil {
		c.list.Remove(c.element)
	}
	s.bytes -= c.bytes
}

// expire removes copies that have not changed for the retention time.
func (s *Store) expire(now time.Time) {
	for _, l := range []*list.List{s.running, s.finished} {
		for e := l.Front(); e != nil; e = l.Front() {
			c := e.Value.(*storedCopy)
			if now.Sub(c.changed) < s.retention {
				break
			}
			s.remove(c)
		}
	}
}

// Fetch returns the copy of a generation, and false if there is none.
func (s *Store) Fetch(now time.Time, generation ident.GenerationID) (Journal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	c := s.copies[string(generation)]
	if c == nil {
		return Journal{}, false
	}
	text, tokens, start := string(c.text), make([]string, len(c.ends)), uint32(0)
	for i, end := range c.ends {
		tokens[i] = text[start:end]
		start = end
	}
	return Journal{Head: c.head, Tokens: tokens, Finished: c.finished, FinishReason: c.finishReason, Owner: ident.HostID(c.owner.GetHostId())}, true
}

// StoreStats is a snapshot of a Store.
type StoreStats struct {
	Copies int
	Bytes  int64
	// Evicted is the number of finished copies removed before their retention
	// time ended.
	Evicted uint64
	// Refused is the number of updates that were not stored for lack of memory.
	Refused uint64
}

// Stats returns the present contents of the store and its counters since its start.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStats{Copies: len(s.copies), Bytes: s.bytes, Evicted: s.evicted, Refused: s.refused}
}
