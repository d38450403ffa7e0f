// Package claimwriter reads and writes claim rows in groups, so that the number
// of calls to the table does not grow with the number of claims.
package claimwriter

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/internal/claim"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

const (
	// GroupDelay is how long a group waits for more operations. A group also
	// waits until the previous call returned.
	GroupDelay = 5 * time.Millisecond
	// QueueLength bounds the operations that wait, for reads and for writes.
	// An operation that finds the queue full fails at once.
	QueueLength = 1024
	// maxGroupBytes bounds the values of one transaction. A single larger row
	// still makes a group of its own.
	maxGroupBytes = 4 << 20
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
)

// Writer groups operations on claim rows. It has one transaction and one read
// under way at a time. Run must be called once; the other methods may be used
// by any number of goroutines.
type Writer struct {
	table   table.Table
	log     logrus.FieldLogger
	metrics tally.Scope
	reads   chan *operation
	writes  chan *operation
	// stopped is closed when Run has ended.
	stopped chan struct{}
}

// operation is one read or write of one row.
type operation struct {
	key      string
	row      claim.Row
	value    []byte
	version  int64
	enqueued time.Time
	// reply has room for the one event.
	reply chan claim.Event
}

// New returns a writer on the table.
func New(t table.Table, log logrus.FieldLogger, metrics tally.Scope) *Writer {
	return &Writer{
		table:   t,
		log:     log,
		metrics: metrics.SubScope("claim_writer"),
		reads:   make(chan *operation, QueueLength),
		writes:  make(chan *operation, QueueLength),
		stopped: make(chan struct{}),
	}
}

// Run executes operations until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.loop(ctx, w.reads, w.readGroup) })
	loops.Go(func() { w.loop(ctx, w.writes, w.writeGroup) })
	loops.Wait()
	close(w.stopped)
}

// Read returns claim.EventRow or claim.EventRowUnreadable.
func (w *Writer) Read(key string) claim.Event {
	event := w.do(w.reads, &operation{key: key})
	if event.Kind != claim.EventRow {
		return claim.Event{Kind: claim.EventRowUnreadable}
	}
	return event
}

// Write writes the row on condition of the version and returns
// claim.EventCommitted, EventConflict, EventUnavailable or EventUnknown.
func (w *Writer) Write(key string, row claim.Row, version int64) claim.Event {
	value, err := row.Encode()
	if err != nil {
		w.log.WithError(err).Error("claim row not encoded")
		return claim.Event{Kind: claim.EventUnavailable}
	}
	return w.do(w.writes, &operation{key: key, row: row, value: value, version: version})
}

func (w *Writer) do(queue chan *operation, op *operation) claim.Event {
	op.enqueued, op.reply = time.Now(), make(chan claim.Event, 1)
	select {
	case <-w.stopped:
		return claim.Event{Kind: claim.EventUnavailable}
	default:
	}
	select {
	case queue <- op:
	default:
		w.metrics.Counter("queue_overflow").Inc(1)
		return claim.Event{Kind: claim.EventUnavailable}
	}
	select {
	case event := <-op.reply:
		return event
	case <-w.stopped:
	}
	select {
	case event := <-op.reply:
		return event
	default:
		// The operation may have been part of the last group.
		return claim.Event{Kind: claim.EventUnknown}
	}
}

func (op *operation) answer(event claim.Event) { op.reply <- event }

// loop forms groups of the queue. An operation that cannot join the present
// group opens the next one.
func (w *Writer) loop(ctx context.Context, queue chan *operation, execute func(context.Context, []*operation)) {
	var held []*operation
	for {
		if len(held) == 0 {
			select {
			case op := <-queue:
				held = append(held, op)
			case <-ctx.Done():
				return
			}
		}
		if !sleepUntil(ctx, held[0].enqueued.Add(GroupDelay)) {
			return
		}
		var group []*operation
		group, held = split(drain(queue, held))
		execute(ctx, group)
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// drain adds what waits in the queue, up to QueueLength operations in all.
func drain(queue chan *operation, held []*operation) []*operation {
	for len(held) < QueueLength {
		select {
		case op := <-queue:
			held = append(held, op)
		default:
			return held
		}
	}
	return held
}

// split returns the next group and the operations left over, both in order. A
// group holds one operation for each key: two writes on one version in one
// transaction would both pass their condition.
func split(ops []*operation) (group, rest []*operation) {
	keys, size := make(map[string]bool, len(ops)), 0
	for _, op := range ops {
		full := len(group) > 0 && size+len(op.value) > maxGroupBytes
		if full || keys[op.key] {
			// A later operation on this key must not overtake this one.
			keys[op.key] = true
			rest = append(rest, op)
			continue
		}
		keys[op.key] = true
		size += len(op.value)
		group = append(group, op)
	}
	return group, rest
}
