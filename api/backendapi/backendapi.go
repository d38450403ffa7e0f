// Package backendapi holds the JSON types of the HTTP protocol between a node
// and a backend server. docs/backend-protocol.md describes routes, order of
// events and errors.
package backendapi

import "time"

// Routes of a model engine. Plain services serve RouteLoad and RouteHealth too.
const (
	RouteCompletions = "/v1/completions"
	RouteStream      = "/v1/streams/" // followed by the stream id
	RouteLoad        = "/v1/load"
	RouteCacheEvents = "/v1/cache/events" // ?after=SEQUENCE
	RouteOrders      = "/v1/orders"
	RouteState       = "/v1/state"
	RouteHealth      = "/healthz"
)

// Headers of the backend protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// CompletionRequest starts a stream. The fields up to Stream are those of the
// OpenAI completions interface; the rest are extensions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`

	// Priority orders requests inside the engine; a higher value runs first.
	Priority int `json:"priority"`
	// RequestID correlates the stream with the caller's request.
	RequestID string `json:"request_id"`
	// AttemptID names this attempt. The engine uses it as the stream id.
	AttemptID string `json:"attempt_id"`
	// ContinueFrom is the text accepted so far from earlier attempts.
	ContinueFrom *ContinueFrom `json:"continue_from,omitempty"`
}

// ContinueFrom carries the part of an answer that already exists. The engine
// treats Text as a continuation of the prompt, generates the next tokens and
// numbers them from Tokens on.
type ContinueFrom struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

// StreamEvent is the data of one server-sent event of a stream. The event's id
// is Index in decimal. The last event is followed by `data: [DONE]`.
type StreamEvent struct {
	// ID is the stream id, equal to the attempt id of the request.
	ID string `json:"id"`
	// Index is the position of the token in the whole answer, from 0.
	Index   int      `json:"index"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	// CachedPromptTokens is set on the first event of an attempt only.
	CachedPromptTokens int `json:"cached_prompt_tokens,omitempty"`
	// PromptTokens is set on the first event of an attempt only. It counts the
	// prompt and the text of ContinueFrom.
	PromptTokens int `json:"prompt_tokens,omitempty"`
}

// Choice holds the text of one token and, on the last event, why it ended.
type Choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Finish reasons of a stream.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// StreamStatus answers GET RouteStream{id}/status.
type StreamStatus struct {
	ID    string `json:"id"`
	State string `json:"state"` // StreamQueued, StreamRunning or StreamFinished
	// Tokens is the index of the next token that the stream will produce.
	Tokens int `json:"tokens"`
}

// States of a stream.
const (
	StreamQueued   = "queued"
	StreamRunning  = "running"
	StreamFinished = "finished"
)

// Load is an engine's or service's report of its own load. It may lag.
type Load struct {
	MeasuredAt time.Time `json:"measured_at"`
	// Incarnation changes when the process restarts.
	Incarnation int64 `json:"incarnation"`
	// Running and Waiting count requests in the batch and in the queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MaxRunning is the largest batch.
	MaxRunning int `json:"max_running"`
	// WaitingTokens estimates prompt tokens not yet prefilled.
	WaitingTokens int `json:"waiting_tokens"`
	// TokensPerSecond is the output rate of one stream at the present batch.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// PrefillTokensPerSecond is the rate at which uncached prompts are read.
	PrefillTokensPerSecond float64  `json:"prefill_tokens_per_second"`
	Models                 []string `json:"models"`
	Leaving                bool     `json:"leaving"`
}

// CacheEvent tells that a prompt prefix entered or left the engine's cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"` // CacheStored, CacheEvicted or CacheCleared
	// PrefixHash identifies the prefix: xxh3 of the first Tokens prompt tokens,
	// 16 lower-case hexadecimal digits.
	PrefixHash string `json:"prefix_hash,omitempty"`
	Tokens     int    `json:"tokens,omitempty"`
	// Model names the model whose cache changed, as requests name it. Empty on
	// CacheCleared, which covers all models.
	Model string `json:"model,omitempty"`
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
	CacheCleared = "cleared"
)

// CacheBlockTokens is the granularity of cached prefixes: only prefixes of a
// multiple of this many tokens are cached and reported. A token is a run of
// non-space bytes with the white space before it.
const CacheBlockTokens = 16

// CacheEvents answers RouteCacheEvents. A sequence that skips numbers is a gap:
// events were lost.
type CacheEvents struct {
	Incarnation int64        `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Order states the desired placement on one engine. Orders are idempotent.
type Order struct {
	OrderID string `json:"order_id"`
	// FencingToken rises with every new planner. Some engines refuse an order
	// with a token older than the newest they saw, others ignore it.
	FencingToken int64         `json:"fencing_token"`
	Role         string        `json:"role"`
	Models       []LoadedModel `json:"models"`
}

// LoadedModel names a model, its version and the adapters on it.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// State is the engine's actual placement.
type State struct {
	Incarnation  int64         `json:"incarnation"`
	LastOrderID  string        `json:"last_order_id"`
	FencingToken int64         `json:"fencing_token"`
	Role         string        `json:"role"`
	Models       []LoadedModel `json:"models"`
	Loading      []LoadedModel `json:"loading"`
}

// Error is the body of every answer with a status of 400 or more.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells what went wrong.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error codes of engines.
const (
	CodeUnknownStream = "unknown_stream" // 404: never existed or its retention ended
	CodeUnknownModel  = "unknown_model"  // 404
	CodeStaleFencing  = "stale_fencing"  // 409: order with an old fencing token
	CodeBadRequest    = "bad_request"    // 400
	CodeOverloaded    = "overloaded"     // 503
	CodeLeaving       = "leaving"        // 503
)
