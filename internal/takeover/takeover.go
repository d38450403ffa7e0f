// Package takeover finds what is needed to continue an answer on this node
// after the node that owned it is gone: the text that the caller has, from the
// owner, from a replica, from the caller itself or from the engine's stream.
//
// It holds no state.
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
	// copyTimeout bounds the wait for the owner and the replicas. A live node
	// answers in a few milliseconds; a dead one must not use up the 4 s within
	// which the answer goes on.
	copyTimeout = 400 * time.Millisecond
	// engineTimeout bounds reading the text back from the engine's stream.
	engineTimeout = time.Second
)

// ErrNeedsText is returned if only the caller can supply the text.
var ErrNeedsText = errors.New("no copy of the answer covers the cursor")

// Copy is a journal that some node holds.
type Copy struct {
	Tokens []string
	// Finished is the finish reason if the answer is whole.
	Finished string
	Route    string
	Body     []byte
}

// Peers reads journals from other nodes and from this one.
type Peers interface {
	// Release ends the generation at its owner and returns its journal.
	Release(ctx context.Context, owner ident.HostID, id ident.GenerationID) (Copy, error)
	// Fetch returns the copy that a replica holds.
	Fetch(ctx context.Context, replica ident.HostID, id ident.GenerationID) (Copy, error)
}

// Engines opens existing streams.
type Engines interface {
	Resume(ctx context.Context, id ident.BackendID, attempt ident.AttemptID, from int) (generation.Stream, error)
}

// Finder finds the start of a continued generation.
type Finder struct {
	Peers   Peers
	Engines Engines
}

// FindCopy returns the first copy that covers the cursor. The owner is asked
// to stop in any case, so that it does not go on for a caller that left.
func (f *Finder) FindCopy(ctx context.Context, cur cursor.Cursor) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	sources := 1 + len(cur.Replicas)
	found := make(chan Copy, sources)
	ask := func(read func() (Copy, error)) {
		c, err := read()
		if err != nil || !covers(c, cur) {
			c = Copy{}
		}
		found <- c
	}
	go ask(func() (Copy, error) {
		// The owner must stop even if a replica answers first.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
		defer cancel()
		return f.Peers.Release(ctx, cur.Owner, cur.Generation)
	})
	for _, replica := range cur.Replicas {
		go ask(func() (Copy, error) { return f.Peers.Fetch(ctx, replica, cur.Generation) })
	}
	for range sources {
		select {
		case c := <-found:
			if c.Tokens != nil {
				return c, nil
			}
		case <-ctx.Done():
			return Copy{}, ErrNeedsText
		}
	}
	return Copy{}, ErrNeedsText
}

// covers tells that a copy holds at least what the caller has, of the same
// text. Continuing from less would mix two texts.
func covers(c Copy, cur cursor.Cursor) bool {
	if len(c.Tokens) < cur.Tokens || len(c.Tokens) == 0 {
		return false
	}
	journal := continuation.JournalFromTokens(c.Tokens)
	return continuation.TextDigest([]byte(journal.TextOf(cur.Tokens))) == cur.TextDigest
}

// Find returns where the generation of the cursor goes on. The received text
// is what the caller sent along, or nil.
func (f *Finder) Find(ctx context.Context, cur cursor.Cursor, received *string) (generation.Start, error) {
	start := generation.Start{Released: cur.Tokens, Attempt: cur.Attempt, Backend: cur.Backend}
	if c, err := f.FindCopy(ctx, cur); err == nil {
		start.Journal = continuation.JournalFromTokens(c.Tokens)
		start.Finished = c.Finished
		return start, nil
	}
	if received != nil && continuation.TextDigest([]byte(*received)) == cur.TextDigest {
		start.Journal = continuation.JournalFromText(cur.Tokens, *received)
		return start, nil
	}
	tokens, err := f.readBack(ctx, cur)
	if err != nil {
		return generation.Start{}, err
	}
	start.Journal = continuation.JournalFromTokens(tokens)
	return start, nil
}

// readBack reads the caller's text from the engine's stream. It succeeds only
// if the stream began with the first token of the answer.
func (f *Finder) readBack(ctx context.Context, cur cursor.Cursor) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	if cur.Attempt == "" {
		return nil, ErrNeedsText
	}
	stream, err := f.Engines.Resume(ctx, cur.Backend, cur.Attempt, 0)
	if err != nil {
		return nil, ErrNeedsText
	}
	defer stream.Close()
	var tokens []string
	for len(tokens) < cur.Tokens {
		event, err := stream.Next()
		if err != nil || event.Index != len(tokens) || len(event.Choices) == 0 {
			return nil, ErrNeedsText
		}
		tokens = append(tokens, event.Choices[0].Text)
	}
	if !covers(Copy{Tokens: tokens}, cur) {
		return nil, ErrNeedsText
	}
	return tokens, nil
}
