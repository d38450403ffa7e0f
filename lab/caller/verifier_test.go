package caller

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/lab/chain"
	"github.com/yuccahatch/yuccahatch/lab/labtest"
)

// generate returns an answer to a prompt that starts with the known tokens and
// whose remaining tokens are generated with the salt.
func generate(prompt string, salt uint64, known []string) []string {
	length, _ := chain.Length(prompt, 0)
	out := slices.Clone(known)
	s := chain.New(prompt)
	for _, token := range known {
		s = s.Append(token)
	}
	for len(out) < length {
		token := s.Token(salt)
		out = append(out, token)
		s = s.Append(token)
	}
	return out
}

func join(parts ...[]string) []string { return slices.Concat(parts...) }

// Guards against a verifier that misses an error or counts it as another kind of
// error. Every case changes an answer of 30 tokens at a random position.
func TestVerifierDetects(t *testing.T) {
	labtest.FixSeed(t)
	const prompt = "q length=30"
	cases := map[string]struct {
		change func(a []string, at int) []string
		want   Counts
	}{
		"undisturbed": {
			func(a []string, _ int) []string { return a },
			Counts{Tokens: 30},
		},
		"continued on another salt": {
			func(a []string, at int) []string { return generate(prompt, 99, a[:at]) },
			Counts{Tokens: 30},
		},
		"missing token": {
			func(a []string, at int) []string { return join(a[:at], a[at+1:]) },
			Counts{Tokens: 29, Missing: 1},
		},
		"repeated token": {
			func(a []string, at int) []string { return join(a[:at], a[at-1:]) },
			Counts{Tokens: 31, Repeated: 1},
		},
		"one token of another generation": {
			func(a []string, at int) []string {
				return join(a[:at], generate(prompt, 99, nil)[at:at+1], a[at+1:])
			},
			Counts{Tokens: 30, Mixed: -1},
		},
		"token of another prompt": {
			func(a []string, at int) []string {
				return join(a[:at], generate("other length=30", 1, nil)[at:at+1], a[at:])
			},
			Counts{Tokens: 31, Mixed: -1},
		},
		"regenerated on another salt and skipped ahead": {
			func(a []string, at int) []string { return join(a[:at], generate(prompt, 99, nil)[at:]) },
			Counts{Tokens: 30, Mixed: -1},
		},
		"regenerated on another salt without a skip": {
			func(a []string, at int) []string { return join(a[:at], generate(prompt, 99, nil)) },
			Counts{Tokens: -1, Mixed: -1},
		},
		"cut off": {
			func(a []string, at int) []string { return a[:at] },
			Counts{Tokens: -1, Missing: -1},
		},
		"text that is not a token": {
			func(a []string, at int) []string { return join(a[:at], []string{" hello"}, a[at:]) },
			Counts{Tokens: 31, Mixed: -1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				answer := generate(prompt, rapid.Uint64Max(50).Draw(t, "salt"), nil)
				at := rapid.IntRange(2, 28).Draw(t, "at")
				v := NewVerifier(prompt, 0)
				for piece := range slices.Chunk(c.change(answer, at), rapid.IntRange(1, 5).Draw(t, "batch")) {
					v.AddText(strings.Join(piece, ""))
				}
				v.End("stop")
				got := v.Counts()
				got.Unverified = 0
				// An expected count of -1 means at least 1.
				for _, pair := range [][2]*int{{&got.Tokens, &c.want.Tokens}, {&got.Missing, &c.want.Missing},
					{&got.Repeated, &c.want.Repeated}, {&got.Mixed, &c.want.Mixed}} {
					if have, want := *pair[0], *pair[1]; have != want && (want != -1 || have < 1) {
						t.Fatalf("counts are %+v, want %+v", got, c.want)
					}
				}
				if faulty := c.want != (Counts{Tokens: 30}); v.Clean() == faulty {
					t.Fatalf("clean is %v", v.Clean())
				}
			})
		})
	}
}

// Guards against an answer that counts as complete although it ended early or has
// the wrong finish reason.
func TestVerifierChecksEnd(t *testing.T) {
	for _, c := range []struct {
		maxTokens, tokens int
		finish            string
		want              bool
	}{{0, 30, "stop", true}, {0, 30, "length", false}, {0, 29, "stop", false}, {8, 8, "length", true}, {8, 8, "stop", false}} {
		v := NewVerifier("q length=30", c.maxTokens)
		v.AddText(strings.Join(generate("q length=30", 1, nil)[:c.tokens], ""))
		if got := v.End(c.finish); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
