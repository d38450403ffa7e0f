// Package cursor encodes and authenticates the position of a caller in an
// answer. A cursor is the id of each server-sent event; a caller presents the
// last one it received to any node to continue the answer.
//
// The package holds no state. A Codec may be used by any number of goroutines;
// an Encoder belongs to the goroutine of one generation.
package cursor

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"hash"

	"google.golang.org/protobuf/proto"

	"github.com/yuccahatch/yuccahatch/internal/cursor/cursorpb"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// DigestBytes is the length of the digests inside a cursor. 128 bits of SHA-256
// exclude accidental and feasible deliberate collisions.
const DigestBytes = 16

// macBytes is the length of the authentication code at the end of a cursor.
const macBytes = 16

// maxCursorBytes bounds a presented cursor before it is decoded.
const maxCursorBytes = 4096

// MinKeyBytes is the shortest accepted deployment key.
const MinKeyBytes = 32

// ErrInvalid is returned for a cursor that was altered or made by another
// deployment.
var ErrInvalid = errors.New("cursor is not valid")

// Digest is a truncated SHA-256.
type Digest [DigestBytes]byte

// Cursor is the position of a caller in an answer.
type Cursor struct {
	Generation ident.GenerationID
	Request    ident.RequestID
	Team       ident.Team
	// Backend and Attempt lead to the engine's stream.
	Backend ident.BackendID
	Attempt ident.AttemptID
	// Owner and Replicas are the hosts that hold the journal.
	Owner    ident.HostID
	Replicas []ident.HostID
	// RequestDigest identifies the route and body of the request.
	RequestDigest Digest
	// Tokens is how many tokens of the answer the caller has.
	Tokens int
	// TextDigest is the digest of the text of these tokens.
	TextDigest Digest
}

// Codec encodes and decodes cursors under one deployment key.
type Codec struct {
	key []byte
}

// NewCodec returns a codec. The key must have at least MinKeyBytes bytes.
func NewCodec(key []byte) (*Codec, error) {
	if len(key) < MinKeyBytes {
		return nil, errors.New("cursor key is shorter than 32 bytes")
	}
	return &Codec{key: append([]byte(nil), key...)}, nil
}

// Encoder encodes the cursors of one generation. The fields that do not change
// with every token are encoded once.
type Encoder struct {
	mac    hash.Hash
	static []byte
	buf    []byte
	sum    []byte
}

// NewEncoder returns an encoder for the fields of c other than Tokens and
// TextDigest.
func (c *Codec) NewEncoder(cur Cursor) *Encoder {
	e := &Encoder{mac: hmac.New(sha256.New, c.key)}
	e.Update(cur)
	return e
}

// Update replaces the fields other than Tokens and TextDigest.
func (e *Encoder) Update(cur Cursor) {
	message := &cursorpb.Cursor{
		GenerationId:  string(cur.Generation),
		RequestId:     string(cur.Request),
		Customer:      string(cur.Team),
		BackendId:     string(cur.Backend),
		AttemptId:     string(cur.Attempt),
		Owner:         string(cur.Owner),
		RequestDigest: cur.RequestDigest[:],
	}
	for _, host := range cur.Replicas {
		message.Replicas = append(message.Replicas, string(host))
	}
	// Marshalling a message of strings cannot fail unless one is not UTF-8;
	// all of them are checked when they enter the node.
	e.static, _ = proto.Marshal(message)
}

// Encode returns the cursor after tokens tokens whose text has the digest.
func (e *Encoder) Encode(tokens int, text Digest) string {
	// Concatenated encodings of a protobuf message are the encoding of the
	// merged message, so only the changing fields are encoded here.
	e.buf = append(e.buf[:0], e.static...)
	changing := &cursorpb.Cursor{Tokens: uint32(tokens), TextDigest: text[:]}
	e.buf, _ = proto.MarshalOptions{}.MarshalAppend(e.buf, changing)
	e.mac.Reset()
	e.mac.Write(e.buf)
	e.sum = e.mac.Sum(e.sum[:0])
	e.buf = append(e.buf, e.sum[:macBytes]...)
	return base64.RawURLEncoding.EncodeToString(e.buf)
}

// Decode checks and decodes a presented cursor. It returns ErrInvalid for
// anything that Encode did not produce under the same key.
func (c *Codec) Decode(presented string) (Cursor, error) {
	if len(presented) > maxCursorBytes {
		return Cursor{}, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(presented)
	if err != nil || len(raw) < macBytes {
		return Cursor{}, ErrInvalid
	}
	body, sum := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	mac := hmac.New(sha256.New, c.key)
	mac.Write(body)
	if subtle.ConstantTimeCompare(mac.Sum(nil)[:macBytes], sum) != 1 {
		return Cursor{}, ErrInvalid
	}
	var message cursorpb.Cursor
	if err := proto.Unmarshal(body, &message); err != nil {
		return Cursor{}, ErrInvalid
	}
	return fromMessage(&message)
}

func fromMessage(m *cursorpb.Cursor) (Cursor, error) {
	cur := Cursor{
		Generation: ident.GenerationID(m.GetGenerationId()),
		Request:    ident.RequestID(m.GetRequestId()),
		Team:       ident.Team(m.GetCustomer()),
		Backend:    ident.BackendID(m.GetBackendId()),
		Attempt:    ident.AttemptID(m.GetAttemptId()),
		Owner:      ident.HostID(m.GetOwner()),
		Tokens:     int(m.GetTokens()),
	}
	for _, host := range m.GetReplicas() {
		cur.Replicas = append(cur.Replicas, ident.HostID(host))
	}
	if len(m.GetRequestDigest()) != DigestBytes || len(m.GetTextDigest()) != DigestBytes {
		return Cursor{}, ErrInvalid
	}
	copy(cur.RequestDigest[:], m.GetRequestDigest())
	copy(cur.TextDigest[:], m.GetTextDigest())
	return cur, nil
}

// Sum returns the digest of parts, each preceded by its length so that two
// different divisions never have the same digest.
func Sum(parts ...[]byte) Digest {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		for i := range length {
			length[i] = byte(len(part) >> (8 * i))
		}
		h.Write(length[:])
		h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}
