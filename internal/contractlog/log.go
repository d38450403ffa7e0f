// Package contractlog is the protocol by which contract changes are committed
// to the platform's table and read from it.
//
// A change is one transaction over the contract's row, the head of the change
// log, the new log entry, the row of the change id and an audit record. The
// table alone decides which of several concurrent changes wins.
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

// BaseNewest as the base of a change means the newest version at the time of
// the first read. A change that another one overtakes after that conflicts.
const BaseNewest ident.ContractVersion = -1

const (
	// resolveLimit is how long a change whose answer was lost is repeated before
	// its outcome is reported as unknown.
	resolveLimit = 3 * time.Second
	// The pause between attempts doubles from the first to the last.
	firstPause = 20 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// maxAttempts bounds the attempts of one change. The log takes about one
	// change a second at the target, so that a change that loses its place this
	// often shows a fault.
	maxAttempts = 32
)

// Recorder takes the audit records of refused changes.
type Recorder interface {
	Record(record operatorapi.AuditRecord) bool
}

// Log commits and reads changes. It holds no state and may be used by any
// number of goroutines.
type Log struct {
	table  table.Table
	audit  Recorder
	hostID ident.HostID
	now    func() time.Time
}

// New returns the log as the node on the host uses it.
func New(t table.Table, recorder Recorder, hostID ident.HostID, now func() time.Time) *Log {
	return &Log{table: t, audit: recorder, hostID: hostID, now: now}
}

// change is one call of Put.
type change struct {
	team     ident.Team
	document string
	base     ident.ContractVersion
	id       string
	actor    string
}

// state is what a change is judged by, read in one snapshot.
type state struct {
	contractVersion, headVersion int64 // versions of the rows
	contract                     entryRow
	head                         headRow
	change                       changeRow
}

// Put commits a document as the next version of its team's contract. The
// base is the version that the change is based on, 0 for a new contract, or
// BaseNewest. A change id that was committed before returns its entry again; an
// empty one is replaced by a random one.
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
		l.refused(contract.TeamOf(document), 0, actor, err)
		return contractset.Entry{}, newError(CodeRefused).Wrapf(err, "refuse contract")
	}
	c := change{team: parsed.Team, document: string(document), base: base, id: changeID, actor: actor}
	entry, err := l.put(ctx, &c)
	switch CodeOf(err) {
	case CodeConflict, CodeChangeIDReused, CodeStoreUnavailable, CodeBusy:
		l.refused(c.team, c.base, actor, err)
	}
	return entry, err
}

// refused records a change that did not take effect.
func (l *Log) refused(team ident.Team, base ident.ContractVersion, actor string, cause error) {
	from := max(int64(base), 0)
	l.audit.Record(operatorapi.AuditRecord{
		At: l.now(), Actor: actor, HostID: string(l.hostID), Action: audit.ActionPut, Customer: string(team),
		From: from, To: from, Outcome: audit.OutcomeRefused, Reason: cause.Error(),
	})
}

// put repeats attempts until the outcome is known or the limit is reached. A
// transaction without an answer may still arrive; it cannot take effect after a
// later attempt decided, since all attempts share the condition that the row of
// the change id is absent, and a conflict means that its other conditions can
// never hold again.
func (l *Log) put(ctx context.Context, c *change) (contractset.Entry, error) {
	deadline := l.now().Add(resolveLimit)
	unanswered := false
	for attempt := 1; ; attempt++ {
		entry, err := l.attempt(ctx, c)
		switch CodeOf(err) {
		case "", CodeConflict, CodeChangeIDReused:
			return entry, err
		case CodeOutcomeUnknown:
			unanswered = true
		case CodeStoreUnavailable, CodeCorrupt:
			if !unanswered {
				return entry, err
			}
		}
		if attempt >= maxAttempts || l.now().After(deadline) || !pause(ctx, attempt) {
			if unanswered {
				return entry, newError(CodeOutcomeUnknown).With(attrChangeID, c.id).
					Errorf("the change may have taken effect; repeat it with change id %s: %v", c.id, err)
			}
			return entry, err
		}
	}
}

// pause waits before the next attempt, unless the context ends.
func pause(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(min(firstPause<<min(attempt-1, 10), lastPause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one try. CodeBusy means that another change took the place in
// the log and a further attempt may succeed.
func (l *Log) attempt(ctx context.Context, c *change) (contractset.Entry, error) {
	s, err := l.readState(ctx, c)
	if err != nil {
		return contractset.Entry{}, err
	}
	if s.change.Sequence > 0 {
		return l.repeated(ctx, c, s.change.Sequence)
	}
	if c.base == BaseNewest {
		c.base = ident.ContractVersion(s.contract.Version)
	}
	if int64(c.base) != s.contract.Version {
		return contractset.Entry{}, conflict(c, s.contract)
	}
	return l.commit(ctx, c, s)
}

func conflict(c *change, current entryRow) error {
	e := newError(CodeConflict)
	if current.Version > 0 {
		e = e.With(attrCurrent, current.entry())
	}
	return e.Errorf("contract of %q has version %d, the change is based on version %d", c.team, current.Version, c.base)
}

func (l *Log) readState(ctx context.Context, c *change) (state, error) {
	var s state
	rows, err := l.table.Read(ctx, contractKey(c.team), headKey, changeKey(c.id))
	if err != nil {
		return s, unavailable(err, "read the contract")
	}
	s.contractVersion, s.headVersion = rows[0].Version, rows[1].Version
	for i, into := range []any{&s.contract, &s.head, &s.change} {
		if err := decode(rows[i], into); err != nil {
			return s, err
		}
	}
	return s, nil
}

// repeated returns the entry of a change id that was committed before.
func (l *Log) repeated(ctx context.Context, c *change, sequence int64) (contractset.Entry, error) {
	row, err := l.readEntry(ctx, sequence)
	if err != nil {
		if CodeOf(err) == CodeStoreUnavailable {
			// The change has taken effect, so that "unavailable" would be wrong.
			err = newError(CodeOutcomeUnknown).With(attrChangeID, c.id).Errorf("read the committed change: %v", err)
		}
		return contractset.Entry{}, err
	}
	if row.Team != string(c.team) || row.Document != c.document {
		return contractset.Entry{}, newError(CodeChangeIDReused).
			Errorf("change id %q belongs to version %d of the contract of %q", c.id, row.Version, row.Team)
	}
	return row.entry(), nil
}

func (l *Log) commit(ctx context.Context, c *change, s state) (contractset.Entry, error) {
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
			return row.entry(), nil
		}
	case table.CodeConflict:
		return contractset.Entry{}, newError(CodeBusy).Errorf("another change took position %d of the change log", row.Sequence)
	case table.CodeUnavailable, table.CodeRejected:
		return contractset.Entry{}, unavailable(err, "commit the change")
	}
	return contractset.Entry{}, newError(CodeOutcomeUnknown).With(attrChangeID, c.id).Errorf("commit the change: %v", err)
}

func (l *Log) transaction(c *change, s state, row entryRow) (platformapi.TxnRequest, error) {
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
