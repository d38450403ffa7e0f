// Package audit writes the audit trail of contract changes to the platform's
// table and reads pages of it. A Trail queues records in memory until its Run
// goroutine writes them; any number of goroutines may call Record. The functions
// Page and WriteOf have no state.
package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/contract"
)

// Outcomes of a contract change.
const (
	OutcomeRecorded = "recorded" // committed in the table
	OutcomeAccepted = "accepted" // acknowledged by a majority of the hosts
	OutcomeRefused  = "refused"
	OutcomeApplied  = "applied" // in force on the host of the record
)

// ActionPut is the action of every contract change.
const ActionPut = "contract.put"

const keyPrefix = "audit/"

// unknownTeam replaces the team in the keys of records without a valid team. No
// team can have this name.
const unknownTeam = "-"

// WriteOf returns the write that adds a record. Each call uses a new key, so a
// retried transaction must reuse the write to add the record only once.
func WriteOf(record operatorapi.AuditRecord) (platformapi.Write, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return platformapi.Write{}, newError(CodeCorrupt).Wrapf(err, "encode audit record")
	}
	return platformapi.Write{Key: timeKeyPrefix(record.Customer, record.At) + "-" + uuid.NewString(), Value: value}, nil
}

// timeKeyPrefix returns the prefix of the keys of a team's records of one instant.
// The keys of one team sort by time.
func timeKeyPrefix(team string, at time.Time) string {
	return fmt.Sprintf("%s%019d", teamPrefix(team), max(0, at.UnixNano()))
}

func teamPrefix(team string) string {
	if !contract.ValidTeam(team) {
		team = unknownTeam
	}
	return keyPrefix + team + "/"
}
