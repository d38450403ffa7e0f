// Package chain defines the text that the simulated engine generates. Every token
// contains its position and a digest of the prompt and all previous tokens, so
// that a reader can detect tokens that are missing, repeated or from another
// generation. The package has no mutable state and may be used by any goroutine.
//
// An example of a token is " w417-17-1f9ac27b": a word that depends on the
// engine's salt, the position in the answer and the digest. The digest does not
// depend on the salt, but it covers the words of all previous tokens. The tokens
// of an answer that another engine generated from the beginning are therefore not
// a valid continuation of the tokens received so far.
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

// vocabularySize is the number of different words. Two salts yield the same word
// for a token with a probability of 1 in vocabularySize.
const vocabularySize = 100_000

// The length of an answer whose prompt does not state one is at least minLength
// and less than minLength+lengthRange tokens.
const (
	minLength   = 32
	lengthRange = 224
)

// State is the digest of a prompt and the tokens so far. It is an immutable value.
type State struct {
	digest uint64
	next   int
}

// New returns the state before the first token of an answer.
func New(prompt string) State {
	return State{digest: xxh3.HashString(prompt)}
}

// Next returns the position of the next token.
func (s State) Next() int { return s.next }

// text is the type of the text from which tokens are read. Readers of many streams
// pass the bytes of their buffers, so that no token needs an allocation.
type text interface{ ~string | ~[]byte }

// Append returns the state after a token. It is After for a string.
func (s State) Append(token string) State { return After(s, token) }

// After returns the state after a token.
func After[T text](s State, token T) State {
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), s.digest)
	return State{digest: xxh3.Hash(append(buf, token...)), next: s.next + 1}
}

// Token returns the next token that an engine with the given salt generates.
func (s State) Token(salt uint64) string {
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, 16), s.digest)
	word := xxh3.Hash(binary.LittleEndian.AppendUint64(buf, salt)) % vocabularySize
	out := make([]byte, 0, 32)
	out = append(out, " w"...)
	out = strconv.AppendUint(out, word, 10)
	out = append(out, '-')
	out = strconv.AppendInt(out, int64(s.next), 10)
	return fmt.Sprintf("%s-%08x", out, uint32(s.digest))
}

// Fits reports whether token is a valid next token for any salt.
func (s State) Fits(token string) bool {
	t, ok := Parse(token)
	return ok && s.FitsToken(t)
}

// FitsToken is like Fits, for a token that Parse returned.
func (s State) FitsToken(t Token) bool {
	return t.Index == s.next && t.Digest == uint32(s.digest)
}

// Token is the position and the digest of one token.
type Token struct {
	Index  int
	Digest uint32
}

// Maximum numbers of digits of the word and the index of a token, and the number
// of digits of its digest.
const (
	maxWordDigits  = 10
	maxIndexDigits = 9
	digestDigits   = 8
)

// Parse parses one token. It returns false for text that does not have the format
// of State.Token.
func Parse[T text](token T) (Token, bool) {
	if len(token) < 2 || token[0] != ' ' || token[1] != 'w' {
		return Token{}, false
	}
	_, at, ok := parseDecimal(token, 2, maxWordDigits)
	if !ok {
		return Token{}, false
	}
	index, at, ok := parseDecimal(token, at, maxIndexDigits)
	if !ok || len(token)-at != digestDigits {
		return Token{}, false
	}
	digest, ok := parseHexadecimal(token[at:])
	return Token{Index: index, Digest: digest}, ok
}

// parseDecimal parses the number at position at, which must end with '-', and
// returns the position after the '-'.
func parseDecimal[T text](token T, at, maxDigits int) (value, next int, ok bool) {
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

func parseHexadecimal[T text](digits T) (uint32, bool) {
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

// Cut returns the first token of text, as Split defines it, and the rest.
func Cut[T text](text T) (token, rest T) {
	end := tokenEnd(text, 0)
	return text[:end], text[end:]
}

// Split splits text into tokens. A token is a run of non-space bytes with the white
// space before it. White space at the end of the text is a separate token, so that
// the concatenated tokens are equal to the text.
func Split(text string) []string {
	var tokens []string
	for start := 0; start < len(text); {
		end := tokenEnd(text, start)
		tokens = append(tokens, text[start:end])
		start = end
	}
	return tokens
}

// tokenEnd returns the end of the token that starts at position at.
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

// Length returns the number of tokens in the answer to a prompt, and the finish
// reason. The number is N if the prompt contains "length=N" and otherwise depends
// on a hash of the prompt. A maxTokens of 0 means no limit.
func Length(prompt string, maxTokens int) (int, string) {
	length := minLength + int(xxh3.HashString(prompt)%lengthRange)
	if m := lengthPattern.FindStringSubmatch(prompt); m != nil {
		length, _ = strconv.Atoi(m[1])
	}
	if maxTokens > 0 && maxTokens < length {
		return maxTokens, backendapi.FinishLength
	}
	return length, backendapi.FinishStop
}

// RenderChat returns the prompt that a node must build from chat messages: a line
// "role: content" for each message, then "assistant:".
func RenderChat(messages []callerapi.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	b.WriteString("assistant:")
	return b.String()
}
