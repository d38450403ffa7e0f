// Package claimwriter reads and writes claim rows in groups, so that the number
// of calls to the table does not grow with the number of claims. A Writer holds
// the queues of pending operations; one goroutine calls Run, and any number of
// goroutines may call Read and Write.
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
	// GroupDelay is the time that a group waits for more operations, counted
	// from the arrival of its first one. A group also waits for the previous
	// call to return.
	GroupDelay = 5 * time.Millisecond
	// QueueLength is the maximum number of waiting operations, separately for
	// reads and for writes. An operation fails at once if its queue is full.
	QueueLength = 1024
	// maxGroupBytes is the maximum total size of the values in one transaction.
	// A single row that is larger is written in a group of its own.
	maxGroupBytes = 4 << 20
	// callTimeout is the timeout of one call to the table.
	callTimeout = 2 * time.Second
)

// Writer groups operations on claim rows. At most one transaction and one read
// are in progress at a time. Run must be called once; the other methods are safe
// for concurrent use.
type Writer struct {
	table   table.Table
	log     logrus.FieldLogger
	metrics tally.Scope
	reads   chan *operation
	writes  chan *operation
	// stopped is closed when Run returns.
	stopped chan struct{}
}

// operation is one read or write of one row.
type operation struct {
	key      string
	row      claim.Row
	value    []byte
	version  int64
	enqueued time.Time
	// reply has capacity 1, for the single event that answers the operation.
	reply chan claim.Event
}

// New returns a Writer for the table t.
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

// Run executes operations until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.loop(ctx, w.reads, w.readGroup) })
	loops.Go(func() { w.loop(ctx, w.writes, w.writeGroup) })
	loops.Wait()
	close(w.stopped)
}

// Read reads the row with the key and returns claim.EventRow or
// claim.EventReadFailed.
func (w *Writer) Read(key string) claim.Event {
	event := w.enqueue(w.reads, &operation{key: key})
	if event.Kind != claim.EventRow {
		return claim.Event{Kind: claim.EventReadFailed}
	}
	return event
}

// Write writes the row on condition that the stored row has the version. It
// returns claim.EventCommitted, EventConflict, EventUnavailable or EventUnknown.
func (w *Writer) Write(key string, row claim.Row, version int64) claim.Event {
	value, err := row.Encode()
	if err != nil {
		w.log.WithError(err).Error("cannot encode claim row")
		return claim.Event{Kind: claim.EventUnavailable}
	}
	return w.enqueue(w.writes, &operation{key: key, row: row, value: value, version: version})
}

func (w *Writer) enqueue(queue chan *operation, op *operation) claim.Event {
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

// loop takes operations from the queue and executes them in groups. An operation
// that does not fit into a group is kept for the next one.
func (w *Writer) loop(ctx context.Context, queue chan *operation, execute func(context.Context, []*operation)) {
	var pending []*operation
	for {
		if len(pending) == 0 {
			select {
			case op := <-queue:
				pending = append(pending, op)
			case <-ctx.Done():
				return
			}
		}
		if !sleepUntil(ctx, pending[0].enqueued.Add(GroupDelay)) {
			return
		}
		var group []*operation
		group, pending = splitGroup(drain(queue, pending))
		execute(ctx, group)
	}
}

// sleepUntil sleeps until the given time and reports whether ctx is still active.
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

// drain appends the operations that wait in the queue to pending, up to
// QueueLength operations in total.
func drain(queue chan *operation, pending []*operation) []*operation {
	for len(pending) < QueueLength {
		select {
		case op := <-queue:
			pending = append(pending, op)
		default:
			return pending
		}
	}
	return pending
}

// splitGroup returns the next group and the remaining operations, both in order.
// A group holds at most one operation per key, because two writes conditional on
// the same version in one transaction would both pass their condition.
func splitGroup(ops []*operation) (group, rest []*operation) {
	keys, size := make(map[string]bool, len(ops)), 0
	for _, op := range ops {
		exceedsSize := len(group) > 0 && size+len(op.value) > maxGroupBytes
		if exceedsSize || keys[op.key] {
			// Later operations on this key must not be executed before this one.
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
