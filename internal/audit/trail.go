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
	// queueCapacity is the maximum number of records that wait to be written.
	queueCapacity = 1024
	// batchInterval is how long records are collected for one transaction.
	batchInterval = 200 * time.Millisecond
	// maxBatchSize is the maximum number of records in one transaction.
	maxBatchSize = 256
	// retryInterval is the delay between attempts to write a batch while the
	// table is unavailable.
	retryInterval = 500 * time.Millisecond
	// flushTimeout is the time limit of each write while the node stops.
	flushTimeout = 2 * time.Second
)

// Trail queues audit records and writes them to the table in batches. Record may be
// called by any number of goroutines.
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

// tryAdd adds a record unless the queue is full, and reports whether it was added.
func (q queue) tryAdd(record operatorapi.AuditRecord) bool {
	select {
	case q <- record:
		return true
	default:
		return false
	}
}

// NewTrail returns a trail. Records are written while Run is running.
func NewTrail(t table.Table, log logrus.FieldLogger, scope tally.Scope) *Trail {
	return &Trail{
		table: t, queue: make(queue, queueCapacity), log: log,
		written: scope.Counter("audit_records_written"),
		dropped: scope.Counter("audit_records_dropped"),
		failed:  scope.Counter("audit_writes_failed"),
	}
}

// Record queues a record without blocking. If the queue is full, the record is
// dropped, counted and logged, and Record returns false.
func (t *Trail) Record(record operatorapi.AuditRecord) bool {
	if t.queue.tryAdd(record) {
		return true
	}
	t.dropped.Inc(1)
	t.log.WithFields(logrus.Fields{"event": "audit_record_dropped", "record": record}).Error("audit queue is full; record dropped")
	return false
}

// Run writes records until the context ends, and then the records that are still
// queued.
func (t *Trail) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			t.flush(ctx)
			return
		case first := <-t.queue:
			batch := t.collectBatch(ctx, first)
			t.writeBatch(ctx, batch)
		}
	}
}

// collectBatch returns first and the records queued within batchInterval. It
// returns earlier if the batch is full or the context ends.
func (t *Trail) collectBatch(ctx context.Context, first operatorapi.AuditRecord) []operatorapi.AuditRecord {
	batch := []operatorapi.AuditRecord{first}
	timer := time.NewTimer(batchInterval)
	defer timer.Stop()
	for len(batch) < maxBatchSize {
		select {
		case record := <-t.queue:
			batch = append(batch, record)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// flush writes the records that are still queued when the node stops.
func (t *Trail) flush(ctx context.Context) {
	for {
		var batch []operatorapi.AuditRecord
		for len(batch) < maxBatchSize && len(t.queue) > 0 {
			batch = append(batch, <-t.queue)
		}
		if len(batch) == 0 {
			return
		}
		t.writeBatch(ctx, batch)
	}
}

// writeBatch writes a batch and retries until the table has stored it. A retry is
// harmless, because it writes the same rows. Once the context has ended, only one
// more attempt is made, limited by flushTimeout. A batch that the table rejects is
// dropped.
func (t *Trail) writeBatch(ctx context.Context, batch []operatorapi.AuditRecord) {
	txn := platformapi.TxnRequest{ID: "audit-" + uuid.NewString()}
	for _, record := range batch {
		write, err := WriteOf(record)
		if err != nil {
			t.drop([]operatorapi.AuditRecord{record}, err)
			continue
		}
		txn.Writes = append(txn.Writes, write)
	}
	for {
		last := ctx.Err() != nil
		err := t.writeOnce(ctx, txn)
		if err == nil {
			t.written.Inc(int64(len(txn.Writes)))
			return
		}
		t.failed.Inc(1)
		// Retrying a batch that the table rejects would block the queue forever.
		if last || table.CodeOf(err) == table.CodeRejected {
			t.drop(batch, err)
			return
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

func (t *Trail) writeOnce(ctx context.Context, txn platformapi.TxnRequest) error {
	if ctx.Err() != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
	}
	_, err := t.table.Txn(ctx, txn)
	return err
}

func (t *Trail) drop(batch []operatorapi.AuditRecord, cause error) {
	t.dropped.Inc(int64(len(batch)))
	for _, record := range batch {
		t.log.WithFields(logrus.Fields{"event": "audit_record_dropped", "record": record}).WithError(cause).Error("cannot write audit record; record dropped")
	}
}
