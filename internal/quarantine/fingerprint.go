// Package quarantine decides which requests may have crashed backend servers and
// prevents them from crashing more. It does no I/O and reads no clock. A Tracker
// holds the state and has no lock, so it must not be used by two goroutines at
// once.
package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Fingerprint identifies the content of a team's request, so that a retry under a
// new request id is recognised.
type Fingerprint string

// fingerprintBytes is the length of a fingerprint in bytes before encoding. It is half
// that of a SHA-256 digest, because evidence carries many fingerprints. Accidental and
// constructed collisions are still infeasible.
const fingerprintBytes = 16

// ignoredFields are the fields of a request that do not change what a backend server
// computes: the id, the form of the answer, and the part of the answer that the
// caller already received and sends back.
var ignoredFields = []string{"request_id", "stream", "received_text"}

// FingerprintOf returns the fingerprint of a request body. Key order and white space
// of JSON are ignored; a body that is not JSON is hashed as it is.
func FingerprintOf(team ident.Team, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0})
	h.Write(normalise(body))
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// normalise returns the canonical form of a JSON body without ignoredFields, and any
// other body unchanged.
func normalise(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	// Keep the digits of numbers: float64 would make different large integers equal.
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
