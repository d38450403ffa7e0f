package generation

import (
	"context"
	"io"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
)

// startReader starts a goroutine that reads one connection of an attempt.
func (r *Run) startReader(id ident.AttemptID, connect func(context.Context) (Stream, error)) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.streams[id] = cancel
	go func() {
		defer cancel()
		stream, err := connect(ctx)
		if err != nil {
			r.postStreamEnd(ctx, id, err)
			return
		}
		defer stream.Close()
		stopClose := context.AfterFunc(ctx, stream.Close)
		defer stopClose()
		r.postStreamEnd(ctx, id, r.readTokens(ctx, id, stream))
	}()
}

// readTokens posts the tokens of a stream as events until the stream ends, and
// returns the error that ended it.
func (r *Run) readTokens(ctx context.Context, id ident.AttemptID, stream Stream) error {
	detector := r.detector()
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if event.PromptTokens > 0 {
			r.send(queuedEvent{prepare: func() { r.recordPromptTokens(event.PromptTokens, event.CachedPromptTokens) }})
		}
		if finish, ok := finishWithoutToken(event); ok {
			r.post(continuation.Ended{Attempt: id, Finish: finish})
			continue
		}
		r.post(tokenEvent(id, event, detector.SilenceLimit()))
	}
}

// finishWithoutToken returns the finish reason of an event that carries no
// token. An engine sends such an event if the text it continues from is already
// complete.
func finishWithoutToken(event backendapi.StreamEvent) (string, bool) {
	if len(event.Choices) == 0 || event.Choices[0].Text != "" || event.Choices[0].FinishReason == nil {
		return "", false
	}
	return *event.Choices[0].FinishReason, true
}

// recordPromptTokens records how many prompt tokens an attempt has and how many
// of them the engine had cached.
func (r *Run) recordPromptTokens(tokens, cached int) {
	resume := r.machine.Journal().Len() > 0
	if !resume {
		r.result.PromptTokens = tokens
	}
	r.deps.Observer.PromptProcessed(r.request, resume, tokens, cached)
}

func tokenEvent(id ident.AttemptID, event backendapi.StreamEvent, limit time.Duration) continuation.Token {
	token := continuation.Token{Attempt: id, Index: event.Index, SilenceLimit: limit}
	if len(event.Choices) > 0 {
		token.Text = event.Choices[0].Text
		if reason := event.Choices[0].FinishReason; reason != nil {
			token.Finish = *reason
		}
	}
	return token
}

// postStreamEnd posts the end of a connection as an event, unless the generation
// closed the connection itself.
func (r *Run) postStreamEnd(ctx context.Context, id ident.AttemptID, err error) {
	if ctx.Err() != nil {
		return
	}
	// Only the unwrapped io.EOF of Stream.Next marks the end of a response.
	// Connection errors may wrap io.EOF, so errors.Is must not be used.
	if err == io.EOF {
		r.post(continuation.Ended{Attempt: id})
		return
	}
	code := backend.CodeOf(err)
	rejected := code == backend.CodeRejected || code == backend.CodeUnknownStream || code == backend.CodeConnect
	r.post(continuation.Broken{Attempt: id, Rejected: rejected, Reason: err.Error()})
}
