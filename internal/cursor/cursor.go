// Package cursor encodes and authenticates the position of a caller in the output
// of a generation. A cursor is the id of each server-sent event; a caller sends
// the last one it received to any node to continue the generation.
//
// The package holds no state. A Codec is safe for concurrent use; an Encoder
// must only be used by the goroutine of one generation.
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

// DigestBytes is the length of a digest in a cursor. With 128 bits of SHA-256,
// accidental collisions do not occur and deliberate ones are infeasible.
const DigestBytes = 16

// macBytes is the length of the truncated HMAC at the end of a cursor.
const macBytes = 16

// maxCursorBytes is the maximum length of an encoded cursor that is accepted for
// decoding.
const maxCursorBytes = 4096

// MinKeyBytes is the minimum length of the deployment key.
const MinKeyBytes = 32

// ErrInvalid is returned for a cursor that is malformed, was altered or was
// created by another deployment.
var ErrInvalid = errors.New("cursor is not valid")

// Digest is a SHA-256 hash truncated to DigestBytes.
type Digest [DigestBytes]byte

// Cursor is the position of a caller in the output of a generation.
type Cursor struct {
	Generation ident.GenerationID
	Request    ident.RequestID
	Team       ident.Team
	// Backend and Attempt identify the stream on the engine.
	Backend ident.BackendID
	Attempt ident.AttemptID
	// Owner and Replicas are the hosts that hold the journal.
	Owner    ident.HostID
	Replicas []ident.HostID
	// RequestDigest identifies the route and body of the request.
	RequestDigest Digest
	// Tokens is the number of tokens that the caller has received.
	Tokens int
	// TextDigest is the digest of the text of these tokens.
	TextDigest Digest
}

// Codec encodes and decodes cursors with one deployment key.
type Codec struct {
	key []byte
}

// NewCodec returns a Codec for the deployment key, which must have at least
// MinKeyBytes bytes.
func NewCodec(key []byte) (*Codec, error) {
	if len(key) < MinKeyBytes {
		return nil, errors.New("cursor key is shorter than 32 bytes")
	}
	return &Codec{key: append([]byte(nil), key...)}, nil
}

// Encoder encodes the cursors of one generation. The fields other than Tokens and
// TextDigest are encoded only by NewEncoder and Update, not for every token.
type Encoder struct {
	mac         hash.Hash
	fixedFields []byte
	buf         []byte
	sum         []byte
}

// NewEncoder returns an Encoder with the fields of cur other than Tokens and
// TextDigest.
func (c *Codec) NewEncoder(cur Cursor) *Encoder {
	e := &Encoder{mac: hmac.New(sha256.New, c.key)}
	e.Update(cur)
	return e
}

// Update replaces all fields other than Tokens and TextDigest with those of cur.
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
	// Marshal fails only if a string is not valid UTF-8. All of these strings were
	// checked when the node received them.
	e.fixedFields, _ = proto.Marshal(message)
}

// Encode returns the encoded cursor for a caller that has received the given
// number of tokens. The argument text is the digest of their text.
func (e *Encoder) Encode(tokens int, text Digest) string {
	// The concatenation of two encodings of a protobuf message is an encoding of
	// the merged message, so only the changing fields are encoded here.
	e.buf = append(e.buf[:0], e.fixedFields...)
	changing := &cursorpb.Cursor{Tokens: uint32(tokens), TextDigest: text[:]}
	e.buf, _ = proto.MarshalOptions{}.MarshalAppend(e.buf, changing)
	e.mac.Reset()
	e.mac.Write(e.buf)
	e.sum = e.mac.Sum(e.sum[:0])
	e.buf = append(e.buf, e.sum[:macBytes]...)
	return base64.RawURLEncoding.EncodeToString(e.buf)
}

// Decode authenticates and decodes a cursor that a caller sent. It returns
// ErrInvalid for anything that Encode did not produce with the same key.
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

// Sum returns the digest of parts. Each part is preceded by its length, so that
// different splits of the same bytes have different digests.
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
