// Package caller is a caller that verifies what it gets: it takes addresses
// from the nodes, streams answers, continues them after breaks and counts
// missing, repeated and mixed tokens.
package caller

import (
	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/lab/chain"
)

// Counts sums up the tokens of one answer.
type Counts struct {
	// Tokens counts all tokens received, right or wrong.
	Tokens int `json:"tokens"`
	// Missing counts positions that were skipped, or that the answer lacks at
	// its end.
	Missing int `json:"missing"`
	// Repeated counts tokens that had already been received at their position.
	Repeated int `json:"repeated"`
	// Mixed counts tokens of another generation or another prompt, and text
	// that is no token.
	Mixed int `json:"mixed"`
	// Unverified counts tokens behind a missing one: their digests cover text
	// that the caller does not have.
	Unverified int `json:"unverified"`
}

// Verifier checks the tokens of one answer as they arrive.
type Verifier struct {
	state  chain.State
	length int
	finish string

	next   int      // expected position
	seen   []uint64 // hash of the token at each position, 0 where missing
	gap    bool     // a token is missing, so digests cannot be checked
	mixed  bool     // a token of another generation took a position
	counts Counts
}

// NewVerifier returns a verifier of the answer to a prompt.
func NewVerifier(prompt string, maxTokens int) *Verifier {
	length, finish := chain.Length(prompt, maxTokens)
	return &Verifier{state: chain.New(prompt), length: length, finish: finish}
}

// AddText checks the text of one event, which may hold several tokens.
func (v *Verifier) AddText(text string) { v.Add([]byte(text)) }

// Add is AddText for bytes, which it does not keep.
func (v *Verifier) Add(text []byte) {
	for len(text) > 0 {
		var token []byte
		token, text = chain.Cut(text)
		v.add(token)
	}
}

func (v *Verifier) add(token []byte) {
	v.counts.Tokens++
	t, ok := chain.Parse(token)
	switch {
	case !ok:
		v.mixed = true
		v.counts.Mixed++
	case t.Index < v.next && v.seen[t.Index] == xxh3.Hash(token):
		v.counts.Repeated++
	case t.Index < v.next:
		v.counts.Mixed++
	default:
		v.place(t, token)
	}
}

// place takes a token at or behind the expected position.
func (v *Verifier) place(t chain.Token, token []byte) {
	if skipped := min(t.Index, v.length) - v.next; skipped > 0 {
		v.counts.Missing += skipped
		v.gap = true
		v.seen = append(v.seen, make([]uint64, skipped)...)
		v.next += skipped
	}
	switch {
	case t.Index >= v.length:
		v.counts.Mixed++ // the answer to this prompt has no such position
		return
	case v.mixed:
		v.counts.Mixed++
	case v.gap:
		v.counts.Unverified++
	case !v.state.FitsToken(t):
		v.mixed = true
		v.counts.Mixed++
	}
	v.state = chain.After(v.state, token)
	v.seen = append(v.seen, xxh3.Hash(token))
	v.next++
}

// End checks the end of an answer that is said to be complete and reports
// whether its length and finish reason are right.
func (v *Verifier) End(finish string) bool {
	missing := v.length - v.next
	v.counts.Missing += missing
	v.next = v.length
	return missing == 0 && finish == v.finish
}

// Counts returns the counts so far.
func (v *Verifier) Counts() Counts { return v.counts }

// Clean reports that no token was missing, repeated or mixed so far.
func (v *Verifier) Clean() bool {
	return v.counts.Missing == 0 && v.counts.Repeated == 0 && v.counts.Mixed == 0
}
