// Package contractlog commits contract changes to the platform's table and reads
// them back.
//
// A change is one transaction that writes the contract's row, the head of the
// change log, the new log entry, the row of the change id and an audit record.
// Conflicts between concurrent changes are resolved only by the conditions that the
// table checks for each transaction.
//
// A Log has no mutable state and may be used by any number of goroutines.
package contractlog

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/audit"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

// BaseNewest as the base of a change stands for the version that is the newest when
// Put first reads the contract. If another change of the contract is committed after
// that read, Put fails with CodeConflict.
const BaseNewest ident.ContractVersion = -1

const (
	// retryTimeout is the time after which a change is not retried any more. If its
	// outcome is still unresolved and the response to an attempt was lost, the error
	// has CodeOutcomeUnknown.
	retryTimeout = 3 * time.Second
	// The backoff between attempts doubles from the initial to the maximum.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxAttempts is the maximum number of attempts to commit one change. At the
	// target load the log receives about one change per second, so this many
	// conflicts with other changes indicate a fault.
	maxAttempts = 32
)

// Recorder receives the audit records of rejected changes.
type Recorder interface {
	Record(record operatorapi.AuditRecord) bool
}

// Log commits and reads contract changes. It has no mutable state and may be
// used by any number of goroutines.
type Log struct {
	table  table.Table
	audit  Recorder
	hostID ident.HostID
	now    func() time.Time
}

// New returns a log for the node on the host hostID, which appears in audit
// records.
func New(t table.Table, recorder Recorder, hostID ident.HostID, now func() time.Time) *Log {
	return &Log{table: t, audit: recorder, hostID: hostID, now: now}
}

// change holds the arguments of one call of Put.
type change struct {
	team     ident.Team
	document string
	base     ident.ContractVersion
	id       string
	actor    string
}

// snapshot holds the rows that a change depends on, read in one call.
type snapshot struct {
	contractVersion, headVersion int64 // versions of the rows
	contract                     entryRow
	head                         headRow
	change                       changeRow
}

// Put commits a document as the next version of its team's contract. The base is
// the version that the change is based on, 0 for a new contract, or BaseNewest. If
// the same change was committed before under the same change id, Put returns its
// entry. An empty change id is replaced by a random one.
//
// On CodeConflict, CodeRefused, CodeStoreUnavailable and CodeBusy the change has
// not taken and will not take effect.
func (l *Log) Put(ctx context.Context, document []byte, base ident.ContractVersion, changeID, actor string) (contractset.Entry, error) {
	if changeID == "" {
		changeID = uuid.NewString()
	}
	if !changeIDPattern.MatchString(changeID) {
		return contractset.Entry{}, newError(CodeBadChangeID).Errorf("change id %q does not match %s", changeID, changeIDPattern)
	}
	parsed, err := contract.Parse(document)
	if err != nil {
		l.recordRefusal(contract.TeamOf(document), 0, actor, err)
		return contractset.Entry{}, newError(CodeRefused).Wrapf(err, "refuse contract")
	}
	c := change{team: parsed.Team, document: string(document), base: base, id: changeID, actor: actor}
	entry, err := l.putWithRetries(ctx, &c)
	switch CodeOf(err) {
	case CodeConflict, CodeChangeIDReused, CodeStoreUnavailable, CodeBusy:
		l.recordRefusal(c.team, c.base, actor, err)
	}
	return entry, err
}

// recordRefusal writes an audit record of a change that did not take effect.
func (l *Log) recordRefusal(team ident.Team, base ident.ContractVersion, actor string, cause error) {
	from := max(int64(base), 0)
	l.audit.Record(operatorapi.AuditRecord{
		At: l.now(), Actor: actor, HostID: string(l.hostID), Action: audit.ActionPut, Customer: string(team),
		From: from, To: from, Outcome: audit.OutcomeRefused, Reason: cause.Error(),
	})
}

// putWithRetries repeats attempts until the outcome is known or a limit is reached.
// A transaction whose response was lost may still reach the table. It cannot take
// effect once a later attempt has a known outcome: all attempts share the condition
// that the row of the change id is absent, and after a conflict the other
// conditions of the transaction can never hold again.
func (l *Log) putWithRetries(ctx context.Context, c *change) (contractset.Entry, error) {
	deadline := l.now().Add(retryTimeout)
	mayHaveCommitted := false
	for attempt := 1; ; attempt++ {
		entry, err := l.attempt(ctx, c)
		switch CodeOf(err) {
		case "", CodeConflict, CodeChangeIDReused:
			return entry, err
		case CodeOutcomeUnknown:
			mayHaveCommitted = true
		case CodeStoreUnavailable, CodeCorrupt:
			if !mayHaveCommitted {
				return entry, err
			}
		}
		if attempt >= maxAttempts || l.now().After(deadline) || !waitBackoff(ctx, attempt) {
			if mayHaveCommitted {
				return entry, newError(CodeOutcomeUnknown).With(attrChangeID, c.id).
					Errorf("the change may have taken effect; repeat it with change id %s: %v", c.id, err)
			}
			return entry, err
		}
	}
}

// waitBackoff waits for the backoff after an attempt. It returns false if the
// context ends first.
func waitBackoff(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(min(initialBackoff<<min(attempt-1, 10), maxBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt tries once to commit the change. CodeBusy means that another change
// was committed at the same log position and that a further attempt may succeed.
func (l *Log) attempt(ctx context.Context, c *change) (contractset.Entry, error) {
	s, err := l.readSnapshot(ctx, c)
	if err != nil {
		return contractset.Entry{}, err
	}
	if s.change.Sequence > 0 {
		return l.committedEntry(ctx, c, s.change.Sequence)
	}
	if c.base == BaseNewest {
		c.base = ident.ContractVersion(s.contract.Version)
	}
	if int64(c.base) != s.contract.Version {
		return contractset.Entry{}, conflictError(c, s.contract)
	}
	return l.commit(ctx, c, s)
}

func conflictError(c *change, current entryRow) error {
	e := newError(CodeConflict)
	if current.Version > 0 {
		e = e.With(attrCurrent, current.toEntry())
	}
	return e.Errorf("contract of %q has version %d, the change is based on version %d", c.team, current.Version, c.base)
}

func (l *Log) readSnapshot(ctx context.Context, c *change) (snapshot, error) {
	var s snapshot
	rows, err := l.table.Read(ctx, contractKey(c.team), headKey, changeKey(c.id))
	if err != nil {
		return s, unavailableError(err, "read the contract")
	}
	s.contractVersion, s.headVersion = rows[0].Version, rows[1].Version
	for i, into := range []any{&s.contract, &s.head, &s.change} {
		if err := decode(rows[i], into); err != nil {
			return s, err
		}
	}
	return s, nil
}

// committedEntry returns the entry of a change id that was committed before.
func (l *Log) committedEntry(ctx context.Context, c *change, sequence int64) (contractset.Entry, error) {
	row, err := l.readEntry(ctx, sequence)
	if err != nil {
		if CodeOf(err) == CodeStoreUnavailable {
			// CodeStoreUnavailable means that a change has not taken effect, but
			// this one has.
			err = newError(CodeOutcomeUnknown).With(attrChangeID, c.id).Errorf("read the committed change: %v", err)
		}
		return contractset.Entry{}, err
	}
	if row.Team != string(c.team) || row.Document != c.document {
		return contractset.Entry{}, newError(CodeChangeIDReused).
			Errorf("change id %q belongs to version %d of the contract of %q", c.id, row.Version, row.Team)
	}
	return row.toEntry(), nil
}

func (l *Log) commit(ctx context.Context, c *change, s snapshot) (contractset.Entry, error) {
	row := entryRow{
		Sequence: s.head.Sequence + 1, Team: string(c.team), Version: s.contract.Version + 1,
		Document: c.document, ChangedBy: c.actor, ChangedAt: l.now().UTC(), ChangeID: c.id, Previous: s.contract.Sequence,
	}
	txn, err := l.transaction(c, s, row)
	if err != nil {
		return contractset.Entry{}, err
	}
	_, err = l.table.Txn(ctx, txn)
	switch table.CodeOf(err) {
	case "":
		if err == nil {
			return row.toEntry(), nil
		}
	case table.CodeConflict:
		return contractset.Entry{}, newError(CodeBusy).Errorf("another change took position %d of the change log", row.Sequence)
	case table.CodeUnavailable, table.CodeRejected:
		return contractset.Entry{}, unavailableError(err, "commit the change")
	}
	return contractset.Entry{}, newError(CodeOutcomeUnknown).With(attrChangeID, c.id).Errorf("commit the change: %v", err)
}

func (l *Log) transaction(c *change, s snapshot, row entryRow) (platformapi.TxnRequest, error) {
	record, err := audit.WriteOf(operatorapi.AuditRecord{
		At: row.ChangedAt, Actor: c.actor, HostID: string(l.hostID), Action: audit.ActionPut, Customer: row.Team,
		From: s.contract.Version, To: row.Version, Outcome: audit.OutcomeRecorded, Reason: fmt.Sprintf("change %s", c.id),
	})
	if err != nil {
		return platformapi.TxnRequest{}, newError(CodeCorrupt).Errorf("encode the audit record: %v", err)
	}
	txn := platformapi.TxnRequest{
		ID: "contract-" + c.id,
		Conditions: []platformapi.Condition{
			{Key: contractKey(c.team), Version: s.contractVersion},
			{Key: headKey, Version: s.headVersion},
			{Key: changeKey(c.id), Version: 0},
		},
		Writes: []platformapi.Write{record},
	}
	for key, value := range map[string]any{
		contractKey(c.team): row,
		headKey:             headRow{Sequence: row.Sequence},
		entryKey(ident.LogSequence(row.Sequence)): row,
		changeKey(c.id): changeRow{Sequence: row.Sequence},
	} {
		write, err := encode(key, value)
		if err != nil {
			return platformapi.TxnRequest{}, err
		}
		txn.Writes = append(txn.Writes, write)
	}
	return txn, nil
}
