package audit

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

// MaxPage is the largest limit of a page, in records. A page can exceed its limit,
// since records of one instant are not split.
const MaxPage = 500

// maxKeySuffix sorts after every character that occurs in keys. A prefix followed
// by it sorts after all keys with this prefix, such as those of one instant.
const maxKeySuffix = "~"

// Page returns the first limit records later than after, ordered by time. Records
// of one instant are never split across pages: the page includes all records with
// the time of its last record, so that passing this time as after returns the next
// page. A limit that is not between 1 and MaxPage is replaced with MaxPage. If team
// is empty, the trails of all teams are merged, which takes at least two reads per
// team.
func Page(ctx context.Context, t table.Table, team string, after time.Time, limit int) (operatorapi.AuditPage, error) {
	if limit <= 0 || limit > MaxPage {
		limit = MaxPage
	}
	if team != "" {
		records, err := scanTeam(ctx, t, teamPrefix(team), after, limit)
		return operatorapi.AuditPage{Records: records}, err
	}
	var all []operatorapi.AuditRecord
	for next := keyPrefix; ; {
		rows, _, err := t.Scan(ctx, keyPrefix, next, 1)
		if err != nil {
			return operatorapi.AuditPage{}, unavailableError(err, "list customers of the audit trail")
		}
		if len(rows) == 0 {
			break
		}
		name, _, _ := strings.Cut(strings.TrimPrefix(rows[0].Key, keyPrefix), "/")
		records, err := scanTeam(ctx, t, keyPrefix+name+"/", after, limit)
		if err != nil {
			return operatorapi.AuditPage{}, err
		}
		all = append(all, records...)
		next = keyPrefix + name + "/" + maxKeySuffix
	}
	slices.SortStableFunc(all, func(a, b operatorapi.AuditRecord) int { return a.At.Compare(b.At) })
	return operatorapi.AuditPage{Records: truncate(all, limit)}, nil
}

// scanTeam returns the records later than after whose keys start with
// teamKeyPrefix, up to the number that truncate allows.
func scanTeam(ctx context.Context, t table.Table, teamKeyPrefix string, after time.Time, limit int) ([]operatorapi.AuditRecord, error) {
	from := teamKeyPrefix
	if !after.IsZero() {
		from = teamKeyPrefix + strings.TrimPrefix(timeKeyPrefix("", after), teamPrefix("")) + maxKeySuffix
	}
	var records []operatorapi.AuditRecord
	for {
		rows, more, err := t.Scan(ctx, teamKeyPrefix, from, limit)
		if err != nil {
			return nil, unavailableError(err, "read the audit trail")
		}
		for _, row := range rows {
			var record operatorapi.AuditRecord
			if err := json.Unmarshal(row.Value, &record); err != nil {
				return nil, newError(CodeCorrupt).Wrapf(err, "decode audit record %q", row.Key)
			}
			records = append(records, record)
			from = row.Key
		}
		if !more || len(truncate(records, limit)) < len(records) {
			return truncate(records, limit), nil
		}
	}
}

// truncate returns the first limit records, followed by the records of the same
// instant as the last of them.
func truncate(records []operatorapi.AuditRecord, limit int) []operatorapi.AuditRecord {
	end := min(limit, len(records))
	for end > 0 && end < len(records) && records[end].At.Equal(records[end-1].At) {
		end++
	}
	return records[:end]
}
