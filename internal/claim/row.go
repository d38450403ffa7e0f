// Package claim ensures that one call of a non-idempotent service runs at most
// once. A row of the platform's table holds the claim; Machine decides what to
// read, write, send and answer. The package does no I/O and reads no clock; a
// Machine holds the state of one attempt and is not safe for concurrent use.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// State is the state of a claim row.
type State string

// States of a claim row. An absent row means that no attempt has claimed the
// key.
const (
	// StateClaimed means that the request of the attempt in the row may have
	// been sent or may still be sent. Only the node of that attempt changes this
	// state.
	StateClaimed State = "claimed"
	// StateDone means that the call ran and that Result is its result. It is
	// final.
	StateDone State = "done"
	// StateVoid means that no attempt has run and that no attempt that started
	// at or before VoidedAt will run. An attempt that starts later may claim the key.
	StateVoid State = "void"
)

// Row is the value of a claim row.
type Row struct {
	Attempt     ident.AttemptID   `json:"attempt"`
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Fingerprint string            `json:"fingerprint"`
	State       State             `json:"state"`
	// VoidedAt is set in StateVoid. It is the time of the void by the wall clock
	// of the host that wrote it, and never before the start of its attempt.
	VoidedAt time.Time `json:"voided_at,omitzero"`
	// Result is set in StateDone.
	Result *Result `json:"result,omitempty"`
}

// Result is the response of the service.
type Result struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Object is the name of the object that holds the body if the body is too
	// large for a row.
	Object string `json:"object,omitempty"`
}

// RowKey returns the key of the claim row of a team's idempotency key. Both parts
// are escaped, so that two different pairs never share a row.
func RowKey(team ident.Team, key string) string {
	return "claim/" + url.PathEscape(string(team)) + "/" + url.PathEscape(key)
}

// Fingerprint returns a hash of the content of a call, used to detect that one
// key is used for two different calls.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(method), method, len(path), path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Encode returns the row as JSON.
func (r Row) Encode() (json.RawMessage, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, newError(CodeRowInvalid).Wrapf(err, "encode claim row of attempt %q", r.Attempt)
	}
	return value, nil
}

// DecodeRow decodes the JSON value of a row. An absent row has an empty value and
// decodes to the zero Row.
func DecodeRow(value json.RawMessage) (Row, error) {
	var row Row
	if len(value) == 0 {
		return row, nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, newError(CodeRowInvalid).Wrapf(err, "decode claim row")
	}
	switch {
	case row.State != StateClaimed && row.State != StateDone && row.State != StateVoid:
		return Row{}, newError(CodeRowInvalid).Errorf("claim row has unknown state %q", row.State)
	case row.State == StateDone && row.Result == nil:
		return Row{}, newError(CodeRowInvalid).Errorf("claim row of attempt %q is done without a result", row.Attempt)
	}
	return row, nil
}
