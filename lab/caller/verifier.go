// Package caller implements a client of the nodes that verifies the answers: it
// gets node addresses from the nodes, streams answers, resumes them after breaks
// and counts missing, repeated and mixed tokens. It also calls services with an
// idempotency key. A Caller caches addresses in memory and is safe for concurrent
// use; a Verifier belongs to one goroutine.
package caller

import (
	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/lab/chain"
)

// Counts holds the token counts of one answer.
type Counts struct {
	// Tokens is the number of received tokens, correct or not.
	Tokens int `json:"tokens"`
	// Missing is the number of positions that were skipped or are absent at the
	// end of the answer.
	Missing int `json:"missing"`
	// Repeated is the number of tokens that had already been received at the
	// same position.
	Repeated int `json:"repeated"`
	// Mixed is the number of tokens that belong to another generation or another
	// prompt, or are not valid tokens.
	Mixed int `json:"mixed"`
	// Unverified is the number of tokens after a missing one. Their digests
	// cover text that the caller does not have, so they cannot be checked.
	Unverified int `json:"unverified"`
}

// Verifier checks the tokens of one answer as they arrive. It is not safe for
// concurrent use.
type Verifier struct {
	state  chain.State
	length int
	finish string

	next   int      // position of the next expected token
	seen   []uint64 // hash of the token at each position, 0 where missing
	gap    bool     // a token is missing, so digests cannot be checked
	mixed  bool     // a token was invalid or had a wrong digest, so later tokens count as mixed
	counts Counts
}

// NewVerifier returns a verifier for the answer to a prompt. A maxTokens of 0 means
// no limit.
func NewVerifier(prompt string, maxTokens int) *Verifier {
	length, finish := chain.Length(prompt, maxTokens)
	return &Verifier{state: chain.New(prompt), length: length, finish: finish}
}

// AddText checks the text of one event, which may hold several tokens.
func (v *Verifier) AddText(text string) { v.Add([]byte(text)) }

// Add is like AddText for a byte slice. It does not retain the slice.
func (v *Verifier) Add(text []byte) {
	for len(text) > 0 {
		var token []byte
		token, text = chain.Cut(text)
		v.add(token)
	}
}

// add checks one token.
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

// place checks a token at or after the expected position and records it.
func (v *Verifier) place(t chain.Token, token []byte) {
	if skipped := min(t.Index, v.length) - v.next; skipped > 0 {
		v.counts.Missing += skipped
		v.gap = true
		v.seen = append(v.seen, make([]uint64, skipped)...)
		v.next += skipped
	}
	switch {
	case t.Index >= v.length:
		v.counts.Mixed++ // beyond the end of the answer to this prompt
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

// End checks the end of an answer that the node reported as complete. It reports
// whether the length and the finish reason are correct.
func (v *Verifier) End(finish string) bool {
	missing := v.length - v.next
	v.counts.Missing += missing
	v.next = v.length
	return missing == 0 && finish == v.finish
}

// Counts returns the counts so far.
func (v *Verifier) Counts() Counts { return v.counts }

// Clean reports whether no token has been missing, repeated or mixed so far.
func (v *Verifier) Clean() bool {
	return v.counts.Missing == 0 && v.counts.Repeated == 0 && v.counts.Mixed == 0
}
