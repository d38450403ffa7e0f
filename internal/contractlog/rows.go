package contractlog

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Keys and key prefixes of the table.
const (
	contractPrefix = "contract/"        // followed by the team; the newest version of its contract
	headKey        = "contractlog/head" // the newest log position
	// entryPrefix matches the entries but not the head: positions have 19 digits,
	// of which the first is 0 for the first 10^18 changes.
	entryPrefix  = "contractlog/0"
	changePrefix = "contractchange/" // followed by the change id; the log position of the change
)

func contractKey(team ident.Team) string { return contractPrefix + string(team) }

func entryKey(sequence ident.LogSequence) string { return fmt.Sprintf("contractlog/%019d", sequence) }

func changeKey(id string) string { return changePrefix + id }

// changeIDPattern restricts change ids to those that can be used in table keys.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// entryRow is the value of the contract rows and of the log entries.
type entryRow struct {
	Sequence  int64     `json:"sequence"`
	Team      string    `json:"customer"`
	Version   int64     `json:"version"`
	Document  string    `json:"document"`
	ChangedBy string    `json:"changed_by"`
	ChangedAt time.Time `json:"changed_at"`
	ChangeID  string    `json:"change_id"`
	// Previous is the log position of the previous version, or 0 for the first
	// version. History follows it to read the versions of one team without a
	// scan of the log.
	Previous int64 `json:"previous,omitempty"`
}

type headRow struct {
	Sequence int64 `json:"sequence"`
}

// changeRow is the value of the row of a change id. It prevents a second use of
// the id, even after later changes have replaced the contract's row.
type changeRow struct {
	Sequence int64 `json:"sequence"`
}

func (r entryRow) toEntry() contractset.Entry {
	return contractset.Entry{
		Sequence: ident.LogSequence(r.Sequence), Team: ident.Team(r.Team),
		Version: ident.ContractVersion(r.Version), Document: r.Document,
		ChangedBy: r.ChangedBy, ChangedAt: r.ChangedAt, ChangeID: r.ChangeID,
	}
}

// decode decodes a row's value. If the row is absent, it leaves into unchanged.
func decode(row platformapi.Row, into any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return newError(CodeCorrupt).Wrapf(err, "decode row %q", row.Key)
	}
	return nil
}

func encode(key string, value any) (platformapi.Write, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return platformapi.Write{}, newError(CodeCorrupt).Wrapf(err, "encode row %q", key)
	}
	return platformapi.Write{Key: key, Value: encoded}, nil
}

// readEntry returns one log entry. The error is CodeCorrupt if it does not exist.
func (l *Log) readEntry(ctx context.Context, sequence int64) (entryRow, error) {
	var entry entryRow
	rows, err := l.table.Read(ctx, entryKey(ident.LogSequence(sequence)))
	if err != nil {
		return entry, unavailableError(err, "read the change log")
	}
	if rows[0].Version == 0 {
		return entry, newError(CodeCorrupt).Errorf("change log has no entry %d", sequence)
	}
	return entry, decode(rows[0], &entry)
}
