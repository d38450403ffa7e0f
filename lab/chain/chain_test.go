package chain

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/labtest"
)

// generate returns the first n tokens of an answer.
func generate(prompt string, salt uint64, n int) []string {
	var out []string
	for s := New(prompt); len(out) < n; {
		token := s.Token(salt)
		out = append(out, token)
		s = s.Append(token)
	}
	return out
}

// fits reports whether tokens are a valid start of an answer to prompt.
func fits(prompt string, tokens []string) bool {
	s := New(prompt)
	for _, token := range tokens {
		if !s.Fits(token) {
			return false
		}
		s = s.Append(token)
	}
	return true
}

// Guards against a digest that does not detect a changed answer. After a missing,
// repeated or replaced token, the digests must no longer match.
func TestDigestDetectsEveryChange(t *testing.T) {
	labtest.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		salt := rapid.Uint64().Draw(t, "salt")
		n := rapid.IntRange(3, 60).Draw(t, "n")
		tokens := generate("a prompt", salt, n)
		if !fits("a prompt", tokens) {
			t.Fatal("unchanged answer rejected")
		}
		at := rapid.IntRange(1, n-2).Draw(t, "at")
		other := generate("a prompt", salt+1, n)
		for name, changed := range map[string][]string{
			"missing":     append(append([]string{}, tokens[:at]...), tokens[at+1:]...),
			"repeated":    append(append([]string{}, tokens[:at+1]...), tokens[at:]...),
			"regenerated": append(append([]string{}, tokens[:at]...), other[at:]...),
		} {
			if fits("a prompt", changed) {
				t.Errorf("%s token at %d is not detected", name, at)
			}
		}
		if fits("another prompt", tokens) {
			t.Error("the answer to another prompt is not detected")
		}
	})
}

// Guards against a Split that loses text, or whose number of tokens differs from
// the token count in continue_from.
func TestSplitKeepsText(t *testing.T) {
	labtest.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.RuneFrom([]rune("ab \n\té"))).Draw(t, "text")
		tokens := Split(text)
		if strings.Join(tokens, "") != text {
			t.Fatalf("concatenated tokens %q differ from %q", tokens, text)
		}
		if got, want := len(tokens), len(strings.Fields(text)); got != want && got != want+1 {
			t.Fatalf("%q has %d tokens, want %d", text, got, want)
		}
	})
	answer := generate("p", 7, 20)
	if got := Split(strings.Join(answer, "")); len(got) != 20 || got[19] != answer[19] {
		t.Errorf("an answer of 20 tokens splits into %q", got)
	}
}

// Guards against an answer length that ignores the length in the prompt or the
// token limit.
func TestLength(t *testing.T) {
	for _, c := range []struct {
		prompt    string
		maxTokens int
		want      int
		finish    string
	}{
		{"write length=40 please", 0, 40, backendapi.FinishStop},
		{"length=40", 10, 10, backendapi.FinishLength},
		{"length=40", 40, 40, backendapi.FinishStop},
	} {
		if n, finish := Length(c.prompt, c.maxTokens); n != c.want || finish != c.finish {
			t.Errorf("Length(%q, %d) = %d %s, want %d %s", c.prompt, c.maxTokens, n, finish, c.want, c.finish)
		}
	}
	if n, _ := Length("no statement", 0); n < minLength || n >= minLength+lengthRange {
		t.Errorf("length is %d without a length in the prompt", n)
	}
}
