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

// read starts a goroutine that reads one connection of an attempt.
func (r *Run) read(id ident.AttemptID, connect func(context.Context) (Stream, error)) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.streams[id] = cancel
	go func() {
		defer cancel()
		stream, err := connect(ctx)
		if err != nil {
			r.postBroken(ctx, id, err)
			return
		}
		defer stream.Close()
		stopClose := context.AfterFunc(ctx, stream.Close)
		defer stopClose()
		r.postBroken(ctx, id, r.readTokens(ctx, id, stream))
	}()
}

// readTokens posts the tokens of a stream until it ends.
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
			r.send(message{prepare: func() { r.promptRead(event.PromptTokens, event.CachedPromptTokens) }})
		}
		if finish, ok := finishOnly(event); ok {
			r.post(continuation.Ended{Attempt: id, Finish: finish})
			continue
		}
		r.post(tokenOf(id, event, detector.Silence()))
	}
}

// finishOnly returns the finish reason of an event without a token, which an
// engine sends if the text that it continues is the whole answer already.
func finishOnly(event backendapi.StreamEvent) (string, bool) {
	if len(event.Choices) == 0 || event.Choices[0].Text != "" || event.Choices[0].FinishReason == nil {
		return "", false
	}
	return *event.Choices[0].FinishReason, true
}

// promptRead learns how much of the prompt an attempt had to compute.
func (r *Run) promptRead(tokens, cached int) {
	resume := r.machine.Journal().Len() > 0
	if !resume {
		r.result.PromptTokens = tokens
	}
	r.deps.Observer.Opened(r.request, resume, tokens, cached)
}

func tokenOf(id ident.AttemptID, event backendapi.StreamEvent, limit time.Duration) continuation.Token {
	token := continuation.Token{Attempt: id, Index: event.Index, SilenceLimit: limit}
	if len(event.Choices) > 0 {
		token.Text = event.Choices[0].Text
		if reason := event.Choices[0].FinishReason; reason != nil {
			token.Finish = *reason
		}
	}
	return token
}

// postBroken reports the end of a connection, unless the generation closed it.
func (r *Run) postBroken(ctx context.Context, id ident.AttemptID, err error) {
	if ctx.Err() != nil {
		return
	}
	// Only the bare io.EOF of Stream.Next is the end of an answer. Connection
	// errors may wrap io.EOF.
	if err == io.EOF {
		r.post(continuation.Ended{Attempt: id})
		return
	}
	code := backend.CodeOf(err)
	rejected := code == backend.CodeRejected || code == backend.CodeUnknownStream || code == backend.CodeConnect
	r.post(continuation.Broken{Attempt: id, Rejected: rejected, Reason: err.Error()})
}
