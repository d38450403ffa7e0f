package replica

import (
	"container/list"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// copyOverheadBytes is added to the content of each copy in the accounting of
// memory: map entry, list element and struct.
const copyOverheadBytes = 512

// Journal is a copy as it is read back.
type Journal struct {
	Head     *nodepb.JournalHead
	Tokens   []string
	Finished bool
	// FinishReason is set with Finished.
	FinishReason string
	// Owner is the node that sent the copy.
	Owner ident.HostID
}

// Store holds the copies of journals for other nodes. It is bounded in bytes.
// Under pressure it drops finished copies, the oldest first, and then refuses
// to grow: dropping a copy that is in use would only make its owner send all of
// it again. It may be used by any number of goroutines.
type Store struct {
	limit     int64
	retention time.Duration

	mu sync.Mutex
	// mu guards the fields below.
	copies   map[string]*held
	running  *list.List // of *held; the least recently changed is in front
	finished *list.List // as running, for finished generations
	bytes    int64
	evicted  uint64
	refused  uint64
}

// held is one copy. Tokens are kept as one text with end positions, which takes
// 4 bytes a token instead of the 32 of a separate string.
type held struct {
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
	in           *list.List
	bytes        int64
}

// NewStore returns an empty store that holds at most limitBytes and keeps each
// copy for retention after its last change.
func NewStore(limitBytes int64, retention time.Duration) *Store {
	return &Store{
		limit: limitBytes, retention: retention,
		copies: map[string]*held{}, running: list.New(), finished: list.New(),
	}
}

// Apply stores the updates of one batch. The acknowledgement names the
// generations that were not stored because their start is missing or because
// the memory is used up.
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
	// Tokens of the same copy that arrive again are equal to those present.
	if known := int64(len(c.ends)) - u.GetFirstIndex(); known < int64(len(u.GetTokens())) {
		c.append(u.GetTokens()[known:])
	}
	if u.GetFinished() {
		c.finished, c.finishReason = true, u.GetFinishReason()
	}
	c.changed = now
	s.place(c)
	s.account(c)
	if !s.makeRoom(c) {
		s.remove(c)
		s.refused++
		return false
	}
	return true
}

// replaces reports whether an update that starts a copy is newer than the copy
// present. Between owners the last to arrive wins: two owners exist only after
// a takeover, and readers check the text against the digest of their cursor.
func replaces(c *held, sender *nodepb.Sender, u *nodepb.JournalUpdate) bool {
	if c.owner.GetHostId() != sender.GetHostId() {
		return true
	}
	if c.owner.GetIncarnation() != sender.GetIncarnation() {
		return sender.GetIncarnation() > c.owner.GetIncarnation()
	}
	return u.GetCopyId() > c.copyID
}

func sameCopy(c *held, sender *nodepb.Sender, u *nodepb.JournalUpdate) bool {
	return c.owner.GetHostId() == sender.GetHostId() && c.owner.GetIncarnation() == sender.GetIncarnation() && c.copyID == u.GetCopyId()
}

func (s *Store) start(sender *nodepb.Sender, u *nodepb.JournalUpdate) *held {
	c := &held{generation: u.GetGenerationId(), owner: sender, copyID: u.GetCopyId(), head: u.GetHead()}
	s.copies[c.generation] = c
	return c
}

func (c *held) append(tokens []string) {
	for _, t := range tokens {
		c.text = append(c.text, t...)
		c.ends = append(c.ends, uint32(len(c.text)))
	}
}

// place moves a changed copy to the back of the list it belongs to.
func (s *Store) place(c *held) {
	in := s.running
	if c.finished {
		in = s.finished
	}
	switch {
	case c.in == in:
		in.MoveToBack(c.element)
		return
	case c.in != nil:
		c.in.Remove(c.element)
	}
	c.in, c.element = in, in.PushBack(c)
}

func (s *Store) account(c *held) {
	h := c.head
	size := copyOverheadBytes + len(h.GetBody()) + len(h.GetRequestId()) + len(h.GetCustomer()) + len(h.GetRoute()) +
		len(c.generation) + cap(c.text) + 4*cap(c.ends)
	s.bytes += int64(size) - c.bytes
	c.bytes = int64(size)
}

// makeRoom drops finished copies other than keep until the limit is respected.
func (s *Store) makeRoom(keep *held) bool {
	for e := s.finished.Front(); e != nil && s.bytes > s.limit; {
		c := e.Value.(*held)
		e = e.Next()
		if c != keep {
			s.remove(c)
			s.evicted++
		}
	}
	return s.bytes <= s.limit
}

func (s *Store) remove(c *held) {
	delete(s.copies, c.generation)
	if c.in != nil {
		c.in.Remove(c.element)
	}
	s.bytes -= c.bytes
}

// expire drops copies that did not change for the retention time.
func (s *Store) expire(now time.Time) {
	for _, l := range []*list.List{s.running, s.finished} {
		for e := l.Front(); e != nil; e = l.Front() {
			c := e.Value.(*held)
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
	// Evicted counts finished copies dropped before their retention ended.
	Evicted uint64
	// Refused counts updates that were not stored for lack of memory.
	Refused uint64
}

// Stats returns a snapshot.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStats{Copies: len(s.copies), Bytes: s.bytes, Evicted: s.evicted, Refused: s.refused}
}
