// Package takeover recovers the state that is needed to continue, on this node, a
// generation that another node owns or owned before it failed. The text that the
// caller has received is read from the owner, a replica, the caller's request or
// the stream on the engine.
//
// The package holds no state.
package takeover

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// copyTimeout limits the wait for the owner and the replicas. A running node
	// answers within a few milliseconds; a failed one must not use up the 4 s
	// within which the response has to continue.
	copyTimeout = 400 * time.Millisecond
	// streamReadTimeout limits reading the text from the stream on the engine.
	streamReadTimeout = time.Second
)

// ErrTextRequired reports that no node or engine supplied the text that the
// caller has received, so the caller must send it.
var ErrTextRequired = errors.New("no copy of the answer covers the cursor")

// Copy is a copy of a journal on any node, with the caller's request.
type Copy struct {
	Tokens []string
	// FinishReason is the finish reason if the journal is complete, empty otherwise.
	FinishReason string
	Route        string
	Body         []byte
}

// Peers reads journals from other nodes and from this one.
type Peers interface {
	// Release ends the generation at its owner and returns its journal.
	Release(ctx context.Context, owner ident.HostID, id ident.GenerationID) (Copy, error)
	// Fetch returns the copy that a replica holds.
	Fetch(ctx context.Context, replica ident.HostID, id ident.GenerationID) (Copy, error)
}

// Engines reconnects to existing streams.
type Engines interface {
	Resume(ctx context.Context, id ident.BackendID, attempt ident.AttemptID, from int) (generation.Stream, error)
}

// Finder determines the state from which a generation continues.
type Finder struct {
	Peers   Peers
	Engines Engines
}

// FindCopy returns the first copy to arrive that covers the cursor. It always
// requests that the owner end the generation, so that the owner does not continue
// generating for a caller that has disconnected from it.
func (f *Finder) FindCopy(ctx context.Context, cur cursor.Cursor) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	sources := 1 + len(cur.Replicas)
	found := make(chan Copy, sources)
	query := func(read func() (Copy, error)) {
		c, err := read()
		if err != nil || !covers(c, cur) {
			c = Copy{}
		}
		found <- c
	}
	go query(func() (Copy, error) {
		// Not cancelled with ctx: the owner must stop even if a replica answers
		// first.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
		defer cancel()
		return f.Peers.Release(ctx, cur.Owner, cur.Generation)
	})
	for _, replica := range cur.Replicas {
		go query(func() (Copy, error) { return f.Peers.Fetch(ctx, replica, cur.Generation) })
	}
	for range sources {
		select {
		case c := <-found:
			if c.Tokens != nil {
				return c, nil
			}
		case <-ctx.Done():
			return Copy{}, ErrTextRequired
		}
	}
	return Copy{}, ErrTextRequired
}

// covers reports whether a copy holds at least the tokens that the caller has,
// with the same text. Continuing from anything else would mix two texts.
func covers(c Copy, cur cursor.Cursor) bool {
	if len(c.Tokens) < cur.Tokens || len(c.Tokens) == 0 {
		return false
	}
	journal := continuation.NewJournalFromTokens(c.Tokens)
	return continuation.TextDigest([]byte(journal.TextPrefix(cur.Tokens))) == cur.TextDigest
}

// Find returns the state from which the generation of the cursor continues. The
// received text is the text that the caller sent with the request, or nil. The
// sources are tried in this order: copies on nodes, the received text, the
// stream on the engine.
func (f *Finder) Find(ctx context.Context, cur cursor.Cursor, received *string) (generation.StartState, error) {
	start := generation.StartState{Released: cur.Tokens, Attempt: cur.Attempt, Backend: cur.Backend}
	if c, err := f.FindCopy(ctx, cur); err == nil {
		start.Journal = continuation.NewJournalFromTokens(c.Tokens)
		start.FinishReason = c.FinishReason
		return start, nil
	}
	if received != nil && continuation.TextDigest([]byte(*received)) == cur.TextDigest {
		start.Journal = continuation.NewJournalFromText(cur.Tokens, *received)
		return start, nil
	}
	tokens, err := f.readFromStream(ctx, cur)
	if err != nil {
		return generation.StartState{}, err
	}
	start.Journal = continuation.NewJournalFromTokens(tokens)
	return start, nil
}

// readFromStream reads the tokens that the caller has from the stream on the
// engine. It succeeds only if the stream began with the first token of the
// generation.
func (f *Finder) readFromStream(ctx context.Context, cur cursor.Cursor) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, streamReadTimeout)
	defer cancel()
	if cur.Attempt == "" {
		return nil, ErrTextRequired
	}
	stream, err := f.Engines.Resume(ctx, cur.Backend, cur.Attempt, 0)
	if err != nil {
		return nil, ErrTextRequired
	}
	defer stream.Close()
	var tokens []string
	for len(tokens) < cur.Tokens {
		event, err := stream.Next()
		if err != nil || event.Index != len(tokens) || len(event.Choices) == 0 {
			return nil, ErrTextRequired
		}
		tokens = append(tokens, event.Choices[0].Text)
	}
	if !covers(Copy{Tokens: tokens}, cur) {
		return nil, ErrTextRequired
	}
	return tokens, nil
}
