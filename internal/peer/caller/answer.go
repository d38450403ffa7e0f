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

// writeTimeout limits one write to a caller. A connection that accepts no data
// for this long is considered dead; the caller reconnects and continues.
const writeTimeout = 5 * time.Second

// requestDigest returns the digest that identifies the content of a request in
// cursors. It excludes received_text and stream, which may differ when the
// caller continues the generation.
func requestDigest(route string, request *callerapi.CompletionRequest) cursor.Digest {
	content, err := json.Marshal(struct {
		Model     string
		Prompt    string
		MaxTokens int
	}{request.Model, promptOf(route, request), request.MaxTokens})
	if err != nil {
		// Cannot happen: strings and an integer always marshal.
		return cursor.Digest{}
	}
	return cursor.Sum([]byte(route), content)
}

// responseSink is a generation.Sink that writes the HTTP response of one
// generation: server-sent events if the caller requested a stream or continues a
// generation from a cursor, else one JSON body at the end.
type responseSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	chunk   callerapi.Chunk
	chat    bool
	stream  bool
	// headerSent reports whether the status and headers of a stream were sent.
	headerSent   bool
	text         bytes.Buffer
	finishReason string
	buf          bytes.Buffer
}

var _ generation.Sink = (*responseSink)(nil)

func newResponseSink(w http.ResponseWriter, route string, request *GenerationRequest, stream bool) *responseSink {
	s := &responseSink{
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
	if s.chat {
		s.chunk.ID = "chatcmpl-" + string(request.Request)
		s.chunk.Object = "chat.completion.chunk"
	}
	return s
}

// Tokens implements generation.Sink.
func (s *responseSink) Tokens(tokens []generation.ReleasedToken) error {
	if !s.stream {
		for _, token := range tokens {
			s.text.WriteString(token.Text)
		}
		return nil
	}
	s.sendHeader()
	s.buf.Reset()
	for _, token := range tokens {
		s.writeEvent(token.Cursor, s.choice(token.Text, token.Index == 0, nil))
	}
	return s.flush()
}

// Finish implements generation.Sink.
func (s *responseSink) Finish(reason string) error {
	s.finishReason = reason
	if !s.stream {
		return nil
	}
	s.sendHeader()
	s.buf.Reset()
	s.writeEvent("", s.choice("", false, &reason))
	s.buf.WriteString("data: [DONE]\n\n")
	return s.flush()
}

// sendHeader sends the status and headers of a stream if they were not sent yet.
func (s *responseSink) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *responseSink) choice(text string, first bool, finish *string) callerapi.Choice {
	choice := callerapi.Choice{FinishReason: finish}
	if !s.chat {
		choice.Text = &text
		return choice
	}
	choice.Delta = &callerapi.Delta{Content: text}
	if first {
		choice.Delta.Role = "assistant"
	}
	return choice
}

func (s *responseSink) writeEvent(id string, choice callerapi.Choice) {
	s.chunk.Choices[0] = choice
	if id != "" {
		s.buf.WriteString("id: ")
		s.buf.WriteString(id)
		s.buf.WriteByte('\n')
	}
	s.buf.WriteString("data: ")
	// Encode ends the line with a newline. It cannot fail, because a Chunk holds
	// only strings and integers.
	_ = json.NewEncoder(&s.buf).Encode(&s.chunk)
	s.buf.WriteByte('\n')
}

func (s *responseSink) flush() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// complete writes the rest of the response after the generation ended: an error
// event if the stream has started, an error response if it has not, or the JSON
// body of a finished generation without a stream.
func (s *responseSink) complete(result generation.Result, err error) {
	// The write deadline of this response must not apply to later requests on the
	// same connection.
	defer func() { _ = s.control.SetWriteDeadline(time.Time{}) }()
	switch {
	case err != nil && s.headerSent:
		s.buf.Reset()
		s.buf.WriteString("data: ")
		_ = json.NewEncoder(&s.buf).Encode(failureOf(err).body())
		s.buf.WriteByte('\n')
		_ = s.flush()
	case err != nil:
		writeFailure(s.w, err)
	case !s.stream && s.finishReason != "":
		s.writeCompletion(result)
	}
}

func (s *responseSink) writeCompletion(result generation.Result) {
	choice := callerapi.Choice{FinishReason: &s.finishReason}
	text := s.text.String()
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &callerapi.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	writeJSON(s.w, http.StatusOK, callerapi.Completion{
		ID:      s.chunk.ID,
		Object:  object,
		Created: s.chunk.Created,
		Model:   s.chunk.Model,
		Choices: []callerapi.Choice{choice},
		Usage: callerapi.Usage{
			PromptTokens:     result.PromptTokens,
			CompletionTokens: result.Tokens,
			TotalTokens:      result.PromptTokens + result.Tokens,
		},
	})
}

// writeServiceResponse forwards the response of a plain service to the caller.
func writeServiceResponse(w http.ResponseWriter, response ServiceResponse) {
	if contentType := response.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	if response.Replayed {
		w.Header().Set(callerapi.HeaderReplayed, "true")
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
