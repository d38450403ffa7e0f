package audit

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

const (
	// queueCapacity is the number of records that wait for the table.
	queueCapacity = 1024
	// groupInterval is how long records are collected for one transaction.
	groupInterval = 200 * time.Millisecond
	// maxGroup bounds one transaction.
	maxGroup = 256
	// retryInterval separates attempts to write while the table is down.
	retryInterval = 500 * time.Millisecond
	// flushLimit bounds the last write when the node stops.
	flushLimit = 2 * time.Second
)

// Trail is the worker that writes records in groups. Record may be called by
// any number of goroutines.
type Trail struct {
	table   table.Table
	queue   queue
	log     logrus.FieldLogger
	written tally.Counter
	dropped tally.Counter
	failed  tally.Counter
}

// queue is a bounded queue of records.
type queue chan operatorapi.AuditRecord

// offer adds a record unless the queue is full.
func (q queue) offer(record operatorapi.AuditRecord) bool {
	select {
	case q <- record:
		return true
	default:
		return false
	}
}

// NewTrail returns a trail whose worker is started by Run.
func NewTrail(t table.Table, log logrus.FieldLogger, scope tally.Scope) *Trail {
	return &Trail{
		table: t, queue: make(queue, queueCapacity), log: log,
		written: scope.Counter("audit_records_written"),
		dropped: scope.Counter("audit_records_dropped"),
		failed:  scope.Counter("audit_writes_failed"),
	}
}

// Record hands a record to the worker without waiting. If the queue is full,
// the record is dropped, counted and logged, and Record returns false.
func (t *Trail) Record(record operatorapi.AuditRecord) bool {
	if t.queue.offer(record) {
		return true
	}
	t.dropped.Inc(1)
	t.log.WithFields(logrus.Fields{"event": "audit_record_dropped", "record": record}).Error("audit queue is full")
	return false
}

// Run writes records until the context ends, and then what is still queued.
func (t *Trail) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			t.flush(ctx)
			return
		case first := <-t.queue:
			group := t.collect(ctx, first)
			t.write(ctx, group)
		}
	}
}

// collect gathers records for one group interval.
func (t *Trail) collect(ctx context.Context, first operatorapi.AuditRecord) []operatorapi.AuditRecord {
	group := []operatorapi.AuditRecord{first}
	timer := time.NewTimer(groupInterval)
	defer timer.Stop()
	for len(group) < maxGroup {
		select {
		case record := <-t.queue:
			group = append(group, record)
		case <-timer.C:
			return group
		case <-ctx.Done():
			return group
		}
	}
	return group
}

// flush writes what is queued when the node stops.
func (t *Trail) flush(ctx context.Context) {
	for {
		var group []operatorapi.AuditRecord
		for len(group) < maxGroup && len(t.queue) > 0 {
			group = append(group, <-t.queue)
		}
		if len(group) == 0 {
			return
		}
		t.write(ctx, group)
	}
}

// write repeats a group until the table has it. A repetition is harmless: it
// writes the same rows. After the end of the context only one bounded attempt
// is made.
func (t *Trail) write(ctx context.Context, group []operatorapi.AuditRecord) {
	txn := platformapi.TxnRequest{ID: "audit-" + uuid.NewString()}
	for _, record := range group {
		write, err := WriteOf(record)
		if err != nil {
			t.drop([]operatorapi.AuditRecord{record}, err)
			continue
		}
		txn.Writes = append(txn.Writes, write)
	}
	for {
		last := ctx.Err() != nil
		err := t.attempt(ctx, txn)
		if err == nil {
			t.written.Inc(int64(len(txn.Writes)))
			return
		}
		t.failed.Inc(1)
		// A rejected group would block the queue for good.
		if last || table.CodeOf(err) == table.CodeRejected {
			t.drop(group, err)
			return
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

func (t *Trail) attempt(ctx context.Context, txn platformapi.TxnRequest) error {
	if ctx.Err() != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), flushLimit)
		defer cancel()
	}
	_, err := t.table.Txn(ctx, txn)
	return err
}

func (t *Trail) drop(group []operatorapi.AuditRecord, cause error) {
	t.dropped.Inc(int64(len(group)))
	for _, record := range group {
		t.log.WithFields(logrus.Fields{"event": "audit_record_dropped", "record": record}).WithError(cause).Error("audit record could not be written")
	}
}
