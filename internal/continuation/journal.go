package continuation

import (
	"crypto/sha256"

	"github.com/yuccahatch/yuccahatch/internal/cursor"
)

// Journal holds the accepted tokens of one generation: their text in one
// buffer and the end offset of each token.
type Journal struct {
	text []byte
	ends []uint32
}

// NewJournalFromTokens returns a journal with the given tokens.
func NewJournalFromTokens(tokens []string) *Journal {
	j := &Journal{}
	for _, token := range tokens {
		j.Append(token)
	}
	return j
}

// NewJournalFromText returns a journal whose first count tokens have the given
// text. The token boundaries are unknown: the whole text is stored as the last
// token, and the tokens before it are empty.
func NewJournalFromText(count int, text string) *Journal {
	j := &Journal{}
	if count > 0 {
		j.ends = make([]uint32, count-1)
		j.Append(text)
	}
	return j
}

// Append adds a token to the end of the journal.
func (j *Journal) Append(token string) {
	j.text = append(j.text, token...)
	j.ends = append(j.ends, uint32(len(j.text)))
}

// Len returns the number of tokens.
func (j *Journal) Len() int { return len(j.ends) }

// Text returns the text of all tokens.
func (j *Journal) Text() string { return string(j.text) }

// TextPrefix returns the text of the first count tokens.
func (j *Journal) TextPrefix(count int) string { return string(j.text[:j.end(count)]) }

// Token returns the text of the token at index.
func (j *Journal) Token(index int) string {
	return string(j.text[j.end(index):j.end(index+1)])
}

// Tokens returns the texts of the tokens in the range [from, to).
func (j *Journal) Tokens(from, to int) []string {
	tokens := make([]string, 0, to-from)
	for i := from; i < to; i++ {
		tokens = append(tokens, j.Token(i))
	}
	return tokens
}

// end returns the length in bytes of the text of the first count tokens.
func (j *Journal) end(count int) uint32 {
	if count == 0 {
		return 0
	}
	return j.ends[count-1]
}

// TextDigest returns the digest of an answer's text in the form that cursors
// store.
func TextDigest(text []byte) cursor.Digest {
	sum := sha256.Sum256(text)
	var d cursor.Digest
	copy(d[:], sum[:])
	return d
}
