// Package connlimit bounds what clients that nobody controls can make a node hold: open
// connections, and the memory of the heads of requests.
//
// Load pattern: hundreds of clients open connections and leave them, send heads without end, or
// heads of a legal size that consist of thousands of lines, each of which takes many times its
// length in memory once it is parsed. What a head takes is therefore counted as its bytes
// arrive, before they are parsed. When the room is used up, the connections that use most of it
// and whose requests are not being served are closed.
//
// A Book decides and has no clock and no input or output; Listener applies its decisions. Both
// are safe for concurrent use.
package connlimit

import (
	"sync"
	"time"
)

const (
	// bytesFactor and bytesPerLine estimate the memory of a head: that of its bytes, which are
	// buffered and parsed, and that of each line, an entry of a map with its value.
	bytesFactor  = 2
	bytesPerLine = 64
	// headShare is the part of the machine's memory that all heads together may take.
	headShare = 0.1
	// connectionShare is the part of the machine's memory that all connections may take, at
	// bytesPerConnection each: buffers and the stack of a goroutine.
	connectionShare    = 0.2
	bytesPerConnection = 16 << 10
	// descriptorShare is the part of the machine's descriptors that connections of clients
	// may use. The others are for servers, other hosts and the store.
	descriptorShare = 0.5
)

// Limits bound all connections of a node together. The zero value bounds nothing.
type Limits struct {
	Connections int   // 0 for any number
	HeadBytes   int64 // estimated memory of all heads; 0 for any
}

// LimitsFor returns the limits on a machine with some memory in bytes and some file
// descriptors; 0 if they are not known.
func LimitsFor(memory int64, descriptors int) Limits {
	l := Limits{HeadBytes: int64(headShare * float64(memory))}
	byMemory := int(connectionShare * float64(memory) / bytesPerConnection)
	byDescriptors := int(descriptorShare * float64(descriptors))
	switch {
	case byMemory > 0 && byDescriptors > 0:
		l.Connections = min(byMemory, byDescriptors)
	default:
		l.Connections = max(byMemory, byDescriptors)
	}
	return l
}

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	// Reading: the head of a request is not complete.
	Reading Phase = iota
	// ReadingBody: the body of a request is not complete.
	ReadingBody
	// Idle: an answer has been sent, and no byte of another request has arrived.
	Idle
	// Serving: a whole request has been read. The connection is never closed for room.
	Serving
)

// Reason is why a connection is closed.
type Reason string

// Reasons for which connections are closed.
const (
	TooManyConnections Reason = "connections"
	HeadsTooLarge      Reason = "heads"
)

// Entry is one connection in a Book.
type Entry struct {
	// Close closes the connection. It is called without locks held.
	Close func(Reason)

	// Guarded by Book.mu.
	phase Phase
	cost  int64 // of the head of the current request
	since time.Time
	open  bool
}

// Book keeps the connections of a node.
type Book struct {
	limits Limits

	mu    sync.Mutex
	open  map[*Entry]bool // guarded by mu
	heads int64           // guarded by mu
}

// NewBook returns an empty book.
func NewBook(l Limits) *Book { return &Book{limits: l, open: map[*Entry]bool{}} }

// Open adds a connection. If there are too many, another one is closed, or this one if all
// others are being served.
func (b *Book) Open(now time.Time, close func(Reason)) *Entry {
	e := &Entry{Close: close, since: now, open: true}
	var closed *Entry
	b.mu.Lock()
	b.open[e] = true
	if b.limits.Connections > 0 && len(b.open) > b.limits.Connections {
		closed = b.leastUseful(e)
		b.remove(closed)
	}
	b.mu.Unlock()
	if closed != nil {
		closed.Close(TooManyConnections)
	}
	return e
}

// leastUseful returns the connection that is closed to make room for another one: the one that
// has been reading a request for longest, or else idle for longest, or else the new one.
func (b *Book) leastUseful(added *Entry) *Entry {
	best := added
	for e := range b.open {
		switch {
		case e == added || e.phase == Serving:
		case best == added, e.idle() != best.idle() && best.idle(), e.idle() == best.idle() && e.since.Before(best.since):
			best = e
		}
	}
	return best
}

// Read counts bytes and lines of the head of a request on a connection, before they are parsed.
// If all heads take too much, the largest one of those that are being read is dropped with its
// connection.
func (b *Book) Read(now time.Time, e *Entry, bytes, lines int) {
	for _, x := range b.count(now, e, costOf(bytes, lines)) {
		x.Close(HeadsTooLarge)
	}
}

// count adds to the cost of a connection, and returns the connections that were removed for it.
func (b *Book) count(now time.Time, e *Entry, cost int64) (removed []*Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !e.open || e.phase == ReadingBody || e.phase == Serving {
		return nil
	}
	if e.phase == Idle {
		e.phase, e.since = Reading, now
	}
	e.cost += cost
	b.heads += cost
	for b.limits.HeadBytes > 0 && b.heads > b.limits.HeadBytes {
		largest := e
		for x := range b.open {
			if x.phase <= ReadingBody && x.cost > largest.cost {
				largest = x
			}
		}
		b.remove(largest)
		removed = append(removed, largest)
		if largest == e {
			break
		}
	}
	return removed
}

func (e *Entry) idle() bool { return e.phase == Idle }

// HeadRead records that the head of a request was read, which has some bytes and lines. What
// arrives from then on is its body, which counts elsewhere.
func (b *Book) HeadRead(now time.Time, e *Entry, bytes, lines int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !e.open {
		return
	}
	cost := costOf(bytes, lines)
	b.heads += cost - e.cost
	e.cost, e.phase, e.since = cost, ReadingBody, now
}

func costOf(bytes, lines int) int64 { return int64(bytes*bytesFactor + lines*bytesPerLine) }

// Enter records that a connection has entered a phase. What its head takes is held until it is
// idle.
func (b *Book) Enter(now time.Time, e *Entry, p Phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !e.open || e.phase == p {
		return
	}
	if p == Idle {
		b.heads -= e.cost
		e.cost = 0
	}
	e.phase, e.since = p, now
}

// Closed removes a connection.
func (b *Book) Closed(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(e)
}

func (b *Book) remove(e *Entry) {
	if !e.open {
		return
	}
	e.open = false
	b.heads -= e.cost
	delete(b.open, e)
}

// Held returns the number of open connections and the estimated memory of their heads.
func (b *Book) Held() (connections int, heads int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open), b.heads
}
