// Package claim decides how one call of a non-idempotent service runs at most
// once. A row of the platform's table holds the claim; Machine decides what to
// read, write, send and answer. The package does no I/O and reads no clock.
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

// States of a claim row. An absent row means that nobody claimed the key.
const (
	// StateClaimed: the attempt in the row may have been sent or may be sent.
	// Only that attempt's own node leaves this state.
	StateClaimed State = "claimed"
	// StateDone: the call ran and Result is its result. It is final.
	StateDone State = "done"
	// StateVoid: no attempt has run, and no attempt that started at VoidedAt or
	// before will run. A later attempt may claim the key.
	StateVoid State = "void"
)

// Row is the value of a claim row.
type Row struct {
	Attempt     ident.AttemptID   `json:"attempt"`
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Fingerprint string            `json:"fingerprint"`
	State       State             `json:"state"`
	// VoidedAt is set in StateVoid: the wall clock of the host that wrote it.
	VoidedAt time.Time `json:"voided_at,omitzero"`
	// Result is set in StateDone.
	Result *Result `json:"result,omitempty"`
}

// Result is what the service returned.
type Result struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Object names the object that holds the body if it is too large for a row.
	Object string `json:"object,omitempty"`
}

// RowKey returns the key of the claim row. Both parts are escaped, so that two
// different pairs never share a row.
func RowKey(team ident.Team, key string) string {
	return "claim/" + url.PathEscape(string(team)) + "/" + url.PathEscape(key)
}

// Fingerprint identifies the content of a call, so that the use of one key for
// two different calls is noticed.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(method), method, len(path), path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Encode returns the JSON of the row.
func (r Row) Encode() (json.RawMessage, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, newError(CodeRowInvalid).Wrapf(err, "encode claim row of attempt %q", r.Attempt)
	}
	return value, nil
}

// DecodeRow returns the row with the JSON value. An absent row has an empty
// value and decodes to the zero Row.
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
