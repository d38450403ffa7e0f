// Package callerapi holds the JSON types of the HTTP interface for callers,
// which follows the OpenAI completions interface. docs/api.md describes it.
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

// CompletionRequest is the body of both completion routes. Messages belong to
// the chat route, Prompt to the other.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens in the chat interface.
	MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
	Stream              bool `json:"stream,omitempty"`
	// N must be absent or 1.
	N int `json:"n,omitempty"`
	// ReceivedText is an extension: with Last-Event-ID, the text of the answer
	// that the caller already has. It lets an answer continue when neither the
	// engine's stream nor a copy of the journal is left.
	ReceivedText *string `json:"received_text,omitempty"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is the data of one server-sent event of a streamed answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice holds a piece of the answer: Delta on the chat route, Text on the
// completions route, Message in a chat answer that is not streamed.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is a piece of a chat answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Completion is a whole answer that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ModelList answers RouteModels.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model that the customer may use.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// Addresses answers RouteAddresses.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// LifetimeSeconds tells for how long the answer may be used.
	LifetimeSeconds int `json:"lifetime_seconds"`
}

// Address is one node that takes requests.
type Address struct {
	Address    string `json:"address"` // IP:port
	DataCentre string `json:"data_centre"`
}

// Outcome tells what an error says about the execution of the request.
type Outcome string

// Outcomes.
const (
	// OutcomeNotRun promises that the request did not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeAttemptNotRun promises that this attempt did not run and will not
	// run; an earlier attempt with the same idempotency key may have.
	OutcomeAttemptNotRun Outcome = "attempt_not_run"
	// OutcomeUnknown tells that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomePartial tells that an answer broke off; the cursor continues it.
	OutcomePartial Outcome = "partial"
)

// Error is the body of every answer with a status of 400 or more, and the data
// of an `error` event in a stream. Its shape is that of the OpenAI interface
// with extensions.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells what went wrong.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Code    `json:"code"`
	Param   *string `json:"param"` // the field at fault
	// Outcome is an extension.
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis is an extension: when to come back, 0 if not at all.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Addresses is an extension: other nodes to use.
	Addresses []Address `json:"addresses,omitempty"`
}

// Code is a public error code.
type Code string

// Public error codes. docs/api.md lists status and outcome of each.
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

// RetryAfter returns the time to come back as a duration.
func (d ErrorDetail) RetryAfter() time.Duration {
	return time.Duration(d.RetryAfterMillis) * time.Millisecond
}
