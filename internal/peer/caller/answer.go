package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/generation"
)

// writeTimeout bounds one write to a caller. A connection that takes nothing
// for so long has gone silent; the caller comes back on a new one.
const writeTimeout = 5 * time.Second

// digestOf identifies the content of a request in cursors. It leaves out
// received_text and stream, which may differ when the caller comes back.
func digestOf(route string, request *callerapi.CompletionRequest) cursor.Digest {
	content, err := json.Marshal(struct {
		Model     string
		Prompt    string
		MaxTokens int
	}{request.Model, promptOf(route, request), request.MaxTokens})
	if err != nil {
		// Strings and an integer always marshal.
		return cursor.Digest{}
	}
	return cursor.Sum([]byte(route), content)
}

// answer is the sink of one generation: a stream of events or, if the caller
// asked for no stream, one JSON body at the end.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	chunk   callerapi.Chunk
	chat    bool
	stream  bool
	// begun tells that the status and headers of a stream were sent.
	begun  bool
	text   bytes.Buffer
	finish string
	buf    bytes.Buffer
}

var _ generation.Sink = (*answer)(nil)

func newAnswer(w http.ResponseWriter, route string, request *GenerationRequest, stream bool) *answer {
	a := &answer{
		w:       w,
		control: http.NewResponseController(w),
		chat:    route == callerapi.RouteChatCompletions,
		stream:  stream || request.Cursor != "",
		chunk: callerapi.Chunk{
			ID:      "cmpl-" + string(request.Request),
			Object:  "text_completion",
			Created: time.Now().Unix(),
			Model:   request.Model,
			Choices: make([]callerapi.Choice, 1),
		},
	}
	if a.chat {
		a.chunk.ID = "chatcmpl-" + string(request.Request)
		a.chunk.Object = "chat.completion.chunk"
	}
	return a
}

// Tokens implements generation.Sink.
func (a *answer) Tokens(tokens []generation.ReleasedToken) error {
	if !a.stream {
		for _, token := range tokens {
			a.text.WriteString(token.Text)
		}
		return nil
	}
	a.begin()
	a.buf.Reset()
	for _, token := range tokens {
		a.writeEvent(token.Cursor, a.choice(token.Text, token.Index == 0, nil))
	}
	return a.flush()
}

// Finish implements generation.Sink.
func (a *answer) Finish(reason string) error {
	a.finish = reason
	if !a.stream {
		return nil
	}
	a.begin()
	a.buf.Reset()
	a.writeEvent("", a.choice("", false, &reason))
	a.buf.WriteString("data: [DONE]\n\n")
	return a.flush()
}

// begin sends the status and headers of a stream once.
func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	header := a.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) choice(text string, first bool, finish *string) callerapi.Choice {
	choice := callerapi.Choice{FinishReason: finish}
	if !a.chat {
		choice.Text = &text
		return choice
	}
	choice.Delta = &callerapi.Delta{Content: text}
	if first {
		choice.Delta.Role = "assistant"
	}
	return choice
}

func (a *answer) writeEvent(id string, choice callerapi.Choice) {
	a.chunk.Choices[0] = choice
	if id != "" {
		a.buf.WriteString("id: ")
		a.buf.WriteString(id)
		a.buf.WriteByte('\n')
	}
	a.buf.WriteString("data: ")
	// Encode ends the line; a chunk of strings always encodes.
	_ = json.NewEncoder(&a.buf).Encode(&a.chunk)
	a.buf.WriteByte('\n')
}

func (a *answer) flush() error {
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write(a.buf.Bytes()); err != nil {
		return err
	}
	return a.control.Flush()
}

// end writes what is still owed after the generation ended.
func (a *answer) end(result generation.Result, err error) {
	// The connection may serve further requests with their own deadlines.
	defer func() { _ = a.control.SetWriteDeadline(time.Time{}) }()
	switch {
	case err != nil && a.begun:
		a.buf.Reset()
		a.buf.WriteString("data: ")
		_ = json.NewEncoder(&a.buf).Encode(failureOf(err).body())
		a.buf.WriteByte('\n')
		_ = a.flush()
	case err != nil:
		writeFailure(a.w, err)
	case !a.stream && a.finish != "":
		a.writeWhole(result)
	}
}

func (a *answer) writeWhole(result generation.Result) {
	choice := callerapi.Choice{FinishReason: &a.finish}
	text := a.text.String()
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		choice.Message = &callerapi.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	writeJSON(a.w, http.StatusOK, callerapi.Completion{
		ID:      a.chunk.ID,
		Object:  object,
		Created: a.chunk.Created,
		Model:   a.chunk.Model,
		Choices: []callerapi.Choice{choice},
		Usage: callerapi.Usage{
			PromptTokens:     result.PromptTokens,
			CompletionTokens: result.Tokens,
			TotalTokens:      result.PromptTokens + result.Tokens,
		},
	})
}

// writeServiceAnswer passes on the answer of a plain service.
func writeServiceAnswer(w http.ResponseWriter, answer ServiceAnswer) {
	if contentType := answer.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	if answer.Replayed {
		w.Header().Set(callerapi.HeaderReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
