// Package chain defines the text that the stand-in engine generates. Every
// token carries its position and a digest over the prompt and all tokens before
// it, so that a reader can tell whether tokens are missing, repeated or from
// another generation.
//
// A token reads " w417-17-1f9ac27b": a word that depends on the engine's salt,
// the position in the answer and the digest. The digest does not depend on the
// salt, but it covers the words of all earlier tokens. An answer that another
// engine generated from the start therefore does not fit behind the known part.
package chain

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// words is the number of different words; two salts pick the same word for a
// token with a probability of 1 in words.
const words = 100_000

// Bounds of the length of an answer whose prompt does not state one.
const (
	minLength  = 32
	lengthSpan = 224
)

// State is the digest over a prompt and the tokens so far.
type State struct {
	sum  uint64
	next int
}

// New returns the state before the first token of an answer.
func New(prompt string) State {
	return State{sum: xxh3.HashString(prompt)}
}

// Next returns the position of the next token.
func (s State) Next() int { return s.next }

// text is what tokens are read from. Readers of many streams pass the bytes of
// their buffers, so that a token costs no allocation.
type text interface{ ~string | ~[]byte }

// Append returns the state after a token.
func (s State) Append(token string) State { return After(s, token) }

// After returns the state after a token.
func After[T text](s State, token T) State {
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), s.sum)
	return State{sum: xxh3.Hash(append(buf, token...)), next: s.next + 1}
}

// Token returns the next token as an engine with this salt generates it.
func (s State) Token(salt uint64) string {
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, 16), s.sum)
	word := xxh3.Hash(binary.LittleEndian.AppendUint64(buf, salt)) % words
	out := make([]byte, 0, 32)
	out = append(out, " w"...)
	out = strconv.AppendUint(out, word, 10)
	out = append(out, '-')
	out = strconv.AppendInt(out, int64(s.next), 10)
	return fmt.Sprintf("%s-%08x", out, uint32(s.sum))
}

// Fits reports whether a token can follow, whatever the salt.
func (s State) Fits(token string) bool {
	t, ok := Parse(token)
	return ok && s.FitsToken(t)
}

// FitsToken is Fits for a token that Parse has read.
func (s State) FitsToken(t Token) bool {
	return t.Index == s.next && t.Digest == uint32(s.sum)
}

// Token is the content of one token.
type Token struct {
	Index  int
	Digest uint32
}

// Digits of the largest values that the fields of a token can have.
const (
	maxWordDigits  = 10
	maxIndexDigits = 9
	digestDigits   = 8
)

// Parse reads one token. It fails on any text that Token cannot return.
func Parse[T text](token T) (Token, bool) {
	if len(token) < 2 || token[0] != ' ' || token[1] != 'w' {
		return Token{}, false
	}
	_, at, ok := decimal(token, 2, maxWordDigits)
	if !ok {
		return Token{}, false
	}
	index, at, ok := decimal(token, at, maxIndexDigits)
	if !ok || len(token)-at != digestDigits {
		return Token{}, false
	}
	digest, ok := hexadecimal(token[at:])
	return Token{Index: index, Digest: digest}, ok
}

// decimal reads a number that ends with '-' and returns the position behind.
func decimal[T text](token T, at, maxDigits int) (value, next int, ok bool) {
	for i := at; i < len(token) && i-at <= maxDigits; i++ {
		c := token[i]
		if c == '-' {
			return value, i + 1, i > at
		}
		if c < '0' || c > '9' {
			break
		}
		value = value*10 + int(c-'0')
	}
	return 0, 0, false
}

func hexadecimal[T text](digits T) (uint32, bool) {
	value := uint32(0)
	for i := range len(digits) {
		c := digits[i]
		switch {
		case c >= '0' && c <= '9':
			value = value<<4 | uint32(c-'0')
		case c >= 'a' && c <= 'f':
			value = value<<4 | uint32(c-'a'+10)
		default:
			return 0, false
		}
	}
	return value, true
}

// Cut returns the first token of a text and the rest.
func Cut[T text](text T) (token, rest T) {
	end := tokenEnd(text, 0)
	return text[:end], text[end:]
}

// Split cuts text into tokens: runs of non-space bytes with the white space
// before them. White space at the end is a token of its own, so that the
// concatenation of the tokens is the text.
func Split(text string) []string {
	var tokens []string
	for start := 0; start < len(text); {
		end := tokenEnd(text, start)
		tokens = append(tokens, text[start:end])
		start = end
	}
	return tokens
}

func tokenEnd[T text](text T, at int) int {
	for at < len(text) && isSpace(text[at]) {
		at++
	}
	for at < len(text) && !isSpace(text[at]) {
		at++
	}
	return at
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\n' || b == '\t' || b == '\r' || b == '\v' || b == '\f'
}

var lengthPattern = regexp.MustCompile(`\blength=(\d{1,7})\b`)

// Length returns the number of tokens of the answer to a prompt and the finish
// reason. "length=N" in the prompt sets the number, otherwise it follows from a
// hash of the prompt. maxTokens of 0 means no limit.
func Length(prompt string, maxTokens int) (int, string) {
	length := minLength + int(xxh3.HashString(prompt)%lengthSpan)
	if m := lengthPattern.FindStringSubmatch(prompt); m != nil {
		length, _ = strconv.Atoi(m[1])
	}
	if maxTokens > 0 && maxTokens < length {
		return maxTokens, backendapi.FinishLength
	}
	return length, backendapi.FinishStop
}

// RenderChat returns the prompt that a node is expected to build from chat
// messages: one line "role: content" for each message, then "assistant:".
func RenderChat(messages []callerapi.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	b.WriteString("assistant:")
	return b.String()
}
