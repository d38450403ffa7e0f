// Package callerapi defines the JSON types of the HTTP interface for callers,
// which follows the OpenAI completions API. docs/api.md describes the interface.
// The package keeps no state.
package callerapi

import "time"

// Routes for callers.
const (
	RouteChatCompletions = "/v1/chat/completions"
	RouteCompletions     = "/v1/completions"
	RouteGenerations     = "/v1/generations" // GET with Last-Event-ID
	RouteModels          = "/v1/models"
	RouteAddresses       = "/v1/addresses"
	RouteServices        = "/v1/services/" // followed by SERVICE/PATH
)

// Headers for callers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Idempotent-Replayed"
)

// CompletionRequest is the request body of both completion routes. Messages is
// used on the chat route, Prompt on the completions route.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens in the chat API.
	MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
	Stream              bool `json:"stream,omitempty"`
	// N must be absent or 1.
	N int `json:"n,omitempty"`
	// ReceivedText is an extension to the OpenAI API. Sent together with
	// Last-Event-ID, it is the generated text that the caller already has. It
	// allows a generation to be resumed when neither the engine's stream nor a
	// copy of the journal is available any more.
	ReceivedText *string `json:"received_text,omitempty"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is the data of one server-sent event of a streamed response.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice holds generated text: in Delta on the streaming chat route, in Text on
// the completions route, and in Message of a chat response that is not streamed.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the part of a chat message that one chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Completion is the body of a response that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Usage is the number of tokens of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ModelList is the response body of RouteModels.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model that the customer may use.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// Addresses is the response body of RouteAddresses.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// LifetimeSeconds is how long the list may be used, in seconds.
	LifetimeSeconds int `json:"lifetime_seconds"`
}

// Address is the address of one node that accepts requests.
type Address struct {
	Address    string `json:"address"` // IP:port
	DataCentre string `json:"data_centre"`
}

// Outcome states whether a request that failed may have been executed.
type Outcome string

// Outcomes.
const (
	// OutcomeNotRun guarantees that the request did not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeAttemptNotRun guarantees that this attempt did not run and will not
	// run; an earlier attempt with the same idempotency key may have run.
	OutcomeAttemptNotRun Outcome = "attempt_not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomePartial means that the response was interrupted; it can be resumed
	// from its cursor.
	OutcomePartial Outcome = "partial"
)

// Error is the body of every response with a status of 400 or more, and the data
// of an `error` event in a stream. It has the format of the OpenAI API with
// extensions.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Code    `json:"code"`
	Param   *string `json:"param"` // the invalid field of the request
	// Outcome is an extension to the OpenAI API.
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis is an extension: the time in milliseconds after which to
	// retry; 0 means that the request should not be retried.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Addresses is an extension: the addresses of other nodes to use.
	Addresses []Address `json:"addresses,omitempty"`
}

// Code is a public error code.
type Code string

// Public error codes. docs/api.md lists the status and outcome of each code.
const (
	CodeInvalidRequest     Code = "invalid_request"
	CodeInvalidAPIKey      Code = "invalid_api_key"
	CodeNoContract         Code = "no_contract"
	CodeUnknownModel       Code = "unknown_model"
	CodeUnknownService     Code = "unknown_service"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeCursorInvalid      Code = "cursor_invalid"
	CodeCursorNeedsText    Code = "cursor_needs_text"
	CodeKeyRequired        Code = "idempotency_key_required"
	CodeKeyReused          Code = "idempotency_key_reused"
	CodeQuietHours         Code = "quiet_hours"
	CodeOverShare          Code = "over_share"
	CodeOverloaded         Code = "overloaded"
	CodeNodeLeaving        Code = "node_leaving"
	CodeNodeIsolated       Code = "node_isolated"
	CodeStoreUnavailable   Code = "store_unavailable"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeRequestCrashes     Code = "request_crashes_backend"
	CodeBackendUnavailable Code = "backend_unavailable"
	CodeGenerationFailed   Code = "generation_failed"
	CodeNotFound           Code = "not_found"
	CodeInternal           Code = "internal"
)

// RetryAfter returns RetryAfterMillis as a duration.
func (d ErrorDetail) RetryAfter() time.Duration {
	return time.Duration(d.RetryAfterMillis) * time.Millisecond
}
