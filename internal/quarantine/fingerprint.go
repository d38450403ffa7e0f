// Package quarantine decides which requests may have crashed backend servers
// and keeps them from crashing more. It does no I/O and reads no clock.
package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Fingerprint identifies what a team sent, so that a retry under a new
// request id is recognised.
type Fingerprint string

// fingerprintBytes keeps accidental and constructed collisions infeasible at
// half the size of a SHA-256 digest, since evidence carries many of them.
const fingerprintBytes = 16

// ignoredFields do not change what a backend server computes: ids, the form of
// the answer, and the part of the answer that a caller sends back.
var ignoredFields = []string{"request_id", "stream", "received_text"}

// FingerprintOf returns the fingerprint of a request body. Key order and white
// space of JSON do not count; a body that is not JSON counts as it is.
func FingerprintOf(team ident.Team, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0})
	h.Write(normalise(body))
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

func normalise(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	// Numbers keep their digits: float64 would merge large integers.
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return body
	}
	if _, err := decoder.Token(); err != io.EOF {
		return body
	}
	if object, ok := value.(map[string]any); ok {
		for _, field := range ignoredFields {
			delete(object, field)
		}
	}
	normal, err := json.Marshal(value) // sorts keys
	if err != nil {
		return body
	}
	return normal
}
