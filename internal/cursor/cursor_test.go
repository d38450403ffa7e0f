package cursor

import (
	"bytes"
	"encoding/base64"
	"errors"
	"reflect"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

var sample = Cursor{
	Generation:    "gen-AAAAAAAAAAAAAAAA",
	Request:       "req-1",
	Team:          "arejo-lisboa",
	Backend:       "engine-1",
	Attempt:       "att-BBBBBBBBBBBBBBBB",
	Owner:         "host-1",
	Replicas:      []ident.HostID{"host-2", "host-3"},
	RequestDigest: Sum([]byte("body")),
	Tokens:        42,
	TextDigest:    Sum([]byte("text")),
}

func newCodec(t testing.TB, fill byte) *Codec {
	t.Helper()
	c, err := NewCodec(bytes.Repeat([]byte{fill}, MinKeyBytes))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against fields that are lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	c := newCodec(t, 1)
	got, err := c.Decode(c.NewEncoder(sample).Encode(sample.Tokens, sample.TextDigest))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, sample) {
		t.Errorf("decoded cursor\n got %+v\nwant %+v", got, sample)
	}
}

// Guards against forged cursors: a cursor with any bit flipped must be rejected.
func TestEveryChangedBitIsRefused(t *testing.T) {
	c := newCodec(t, 1)
	raw, err := base64.RawURLEncoding.DecodeString(c.NewEncoder(sample).Encode(7, sample.TextDigest))
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		for bit := range 8 {
			altered := bytes.Clone(raw)
			altered[i] ^= 1 << bit
			if _, err := c.Decode(base64.RawURLEncoding.EncodeToString(altered)); !errors.Is(err, ErrInvalid) {
				t.Fatalf("byte %d bit %d: altered cursor was accepted", i, bit)
			}
		}
	}
}

// Guards against accepting cursors of another deployment.
func TestCursorWithOtherKeyIsRefused(t *testing.T) {
	other := newCodec(t, 2).NewEncoder(sample).Encode(1, sample.TextDigest)
	if _, err := newCodec(t, 1).Decode(other); !errors.Is(err, ErrInvalid) {
		t.Errorf("Decode of a cursor with another key: got %v, want ErrInvalid", err)
	}
}

// Guards against panics on untrusted input.
func FuzzDecode(f *testing.F) {
	c := newCodec(f, 1)
	f.Add(c.NewEncoder(sample).Encode(1, sample.TextDigest))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, presented string) {
		_, _ = c.Decode(presented)
	})
}

func BenchmarkEncode(b *testing.B) {
	e := newCodec(b, 1).NewEncoder(sample)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Encode(i, sample.TextDigest)
	}
}
