package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// maxIdentifierBytes is the maximum length of a request id or idempotency key.
const maxIdentifierBytes = 200

// readBody returns the body of a request. It fails if the body is longer than
// limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, invalidRequest("body", "the body could not be read: "+err.Error())
	}
	if int64(len(body)) > limit {
		return nil, &Failure{
			Code:    callerapi.CodeBodyTooLarge,
			Param:   "body",
			Message: fmt.Sprintf("the body is longer than %d bytes", limit),
		}
	}
	return body, nil
}

// decodeCompletion decodes and validates the body of a completion request.
// Unknown fields of the OpenAI API are ignored so that unmodified clients work.
func decodeCompletion(route string, body []byte, maxOutputTokens int) (*callerapi.CompletionRequest, error) {
	var request callerapi.CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, jsonFailure(err)
	}
	if request.Model == "" {
		return nil, invalidRequest("model", "model is missing")
	}
	if request.N > 1 {
		return nil, invalidRequest("n", fmt.Sprintf("n is %d; only 1 is served", request.N))
	}
	if request.MaxCompletionTokens > 0 {
		request.MaxTokens = request.MaxCompletionTokens
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxOutputTokens {
		return nil, invalidRequest("max_tokens", fmt.Sprintf("max_tokens is %d; allowed are 1 to %d", request.MaxTokens, maxOutputTokens))
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = maxOutputTokens
	}
	if route == callerapi.RouteChatCompletions {
		return &request, checkMessages(request.Messages)
	}
	if request.Prompt == "" {
		return nil, invalidRequest("prompt", "prompt is missing")
	}
	return &request, nil
}

func checkMessages(messages []callerapi.Message) error {
	if len(messages) == 0 {
		return invalidRequest("messages", "messages is missing or empty")
	}
	for i, message := range messages {
		if message.Role == "" {
			return invalidRequest(fmt.Sprintf("messages[%d].role", i), "role is missing")
		}
	}
	return nil
}

// jsonFailure returns the failure for a JSON error, with the invalid field or
// the position of the syntax error.
func jsonFailure(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return invalidRequest(typeError.Field, fmt.Sprintf("%s must be a %s, found a %s", typeError.Field, typeError.Type, typeError.Value))
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return invalidRequest("body", fmt.Sprintf("the body is not valid JSON at byte %d: %s", syntaxError.Offset, syntaxError))
	}
	return invalidRequest("body", "the body is not valid JSON: "+err.Error())
}

// promptOf returns the prompt of a request in the format that engines expect.
func promptOf(route string, request *callerapi.CompletionRequest) string {
	if route != callerapi.RouteChatCompletions {
		return request.Prompt
	}
	var prompt strings.Builder
	for _, message := range request.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(message.Content)
		prompt.WriteString("\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String()
}

// requestID returns the request id that the caller sent, or a new one if it sent
// none.
func requestID(r *http.Request) (ident.RequestID, error) {
	value := r.Header.Get(callerapi.HeaderRequestID)
	if value == "" {
		return ident.NewRequestID(), nil
	}
	if err := checkIdentifier(callerapi.HeaderRequestID, value); err != nil {
		return "", err
	}
	return ident.RequestID(value), nil
}

func checkIdentifier(name, value string) error {
	if len(value) > maxIdentifierBytes {
		return invalidRequest(name, fmt.Sprintf("%s is longer than %d bytes", name, maxIdentifierBytes))
	}
	if !utf8.ValidString(value) || strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return invalidRequest(name, name+" holds a space, a control character or invalid UTF-8")
	}
	return nil
}

// bearerKey returns the bearer key of the Authorization header, or an empty
// string if there is none.
func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}
