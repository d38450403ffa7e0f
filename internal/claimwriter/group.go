package claimwriter

import (
	"context"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/claim"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

func (w *Writer) readGroup(ctx context.Context, group []*operation) {
	rows, err := w.read(ctx, group)
	for i, op := range group {
		if err != nil {
			op.answer(claim.Event{Kind: claim.EventReadFailed})
			continue
		}
		op.answer(w.rowEvent(rows[i], claim.EventRow, claim.EventReadFailed))
	}
}

// read returns the rows of the operations in the group, in the same order.
func (w *Writer) read(ctx context.Context, group []*operation) ([]platformapi.Row, error) {
	keys := make([]string, 0, len(group))
	for _, op := range group {
		keys = append(keys, op.key)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.metrics.Counter("reads").Inc(1)
	return w.table.Read(ctx, keys...)
}

// writeGroup writes the group in one transaction. If conditions fail, it answers
// the operations whose conditions failed and retries the others without them, so
// that the result of each operation depends on its own condition only.
func (w *Writer) writeGroup(ctx context.Context, group []*operation) {
	for len(group) > 0 {
		answer, err := w.write(ctx, group)
		switch table.CodeOf(err) {
		case table.CodeConflict:
			group = w.removeConflicts(group, answer.Conflicts)
			continue
		case table.CodeUnavailable:
			answerAll(group, claim.EventUnavailable)
		case table.CodeRejected:
			w.log.WithError(newError(CodeTable).Wrap(err)).Error("claim transaction rejected")
			answerAll(group, claim.EventUnavailable)
		default:
			if err != nil {
				w.resolveLostAnswer(ctx, group)
				break
			}
			for _, op := range group {
				op.answer(claim.Event{Kind: claim.EventCommitted, Version: answer.Versions[op.key]})
			}
		}
		return
	}
}

func (w *Writer) write(ctx context.Context, group []*operation) (platformapi.TxnResponse, error) {
	txn := platformapi.TxnRequest{ID: "claims-" + uuid.NewString()}
	for _, op := range group {
		txn.Conditions = append(txn.Conditions, platformapi.Condition{Key: op.key, Version: op.version})
		txn.Writes = append(txn.Writes, platformapi.Write{Key: op.key, Value: op.value})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.metrics.Counter("transactions").Inc(1)
	w.metrics.Counter("rows").Inc(int64(len(group)))
	return w.table.Txn(ctx, txn)
}

// removeConflicts answers the operations whose condition failed and returns the
// others.
func (w *Writer) removeConflicts(group []*operation, conflicts []platformapi.Row) []*operation {
	rows := make(map[string]platformapi.Row, len(conflicts))
	for _, row := range conflicts {
		rows[row.Key] = row
	}
	var rest []*operation
	for _, op := range group {
		if row, ok := rows[op.key]; ok {
			w.answerVersionMismatch(op, row)
		} else {
			rest = append(rest, op)
		}
	}
	if len(rest) == len(group) {
		// The table reported a conflict but named no row of this group. Nothing
		// was applied.
		w.log.WithError(newError(CodeTable).Errorf("table reported a conflict but named none of the %d rows of the transaction", len(group))).Error("claim transaction failed")
		answerAll(rest, claim.EventUnavailable)
		return nil
	}
	return rest
}

// resolveLostAnswer determines the outcome of a transaction whose answer was lost. It
// reads the rows again and compares their attempt IDs with those of the operations.
// The outcome for an unchanged row stays unknown, since the transaction may still
// reach the table later.
func (w *Writer) resolveLostAnswer(ctx context.Context, group []*operation) {
	w.metrics.Counter("answers_lost").Inc(1)
	rows, err := w.read(ctx, group)
	if err != nil {
		answerAll(group, claim.EventUnknown)
		return
	}
	for i, op := range group {
		if rows[i].Version == op.version {
			op.answer(claim.Event{Kind: claim.EventUnknown})
		} else {
			w.answerVersionMismatch(op, rows[i])
		}
	}
}

// answerVersionMismatch answers an operation whose row no longer has the version
// that its write is conditional on. If the row holds the attempt and state of the
// operation, this write took effect, or an earlier write of the same attempt whose
// answer was lost; the operation counts as committed. Otherwise another write
// changed the row, and the operation conflicts.
func (w *Writer) answerVersionMismatch(op *operation, row platformapi.Row) {
	event := w.rowEvent(row, claim.EventConflict, claim.EventUnavailable)
	if event.Row.Attempt == op.row.Attempt && event.Row.State == op.row.State {
		op.answer(claim.Event{Kind: claim.EventCommitted, Version: row.Version})
		return
	}
	op.answer(event)
}

// rowEvent returns an event of the given kind with the decoded row, or an event of
// kind invalidKind if the value is not a claim row.
func (w *Writer) rowEvent(row platformapi.Row, kind, invalidKind claim.EventKind) claim.Event {
	decoded, err := claim.DecodeRow(row.Value)
	if err != nil {
		w.log.WithError(newError(CodeRow).Wrapf(err, "row %q", row.Key)).Error("cannot decode claim row")
		return claim.Event{Kind: invalidKind}
	}
	return claim.Event{Kind: kind, Row: decoded, Version: row.Version}
}

func answerAll(group []*operation, kind claim.EventKind) {
	for _, op := range group {
		op.answer(claim.Event{Kind: kind})
	}
}
