package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/chain"
)

// Config is the configuration of a Caller. DefaultConfig returns usable values.
type Config struct {
	// Nodes are the configured node addresses (IP:port). Addresses that the nodes
	// return are used first. In direct mode, Nodes are addresses of engines.
	Nodes []string
	// Key is the bearer key; empty sends none.
	Key string
	// Direct connects to the first of Nodes as to an engine and never resumes
	// an answer.
	Direct bool
	// SilenceTimeout is the time without data, from the request on, after which
	// a connection counts as broken. For calls to services it limits each
	// attempt as a whole.
	SilenceTimeout time.Duration
	// MaxAttempts is the maximum number of connections for one request.
	MaxAttempts int
	// RetryRefused retries a refused request after the delay that the refusal
	// states. Otherwise the refusal is the result.
	RetryRefused bool
	// SendText makes the caller send the received text when a node requires it to
	// resume an answer.
	SendText bool
	// Client sends the HTTP requests.
	Client *http.Client
}

// DefaultConfig returns the default configuration, without nodes.
func DefaultConfig() Config {
	return Config{
		SilenceTimeout: 5 * time.Second,
		MaxAttempts:    20,
		SendText:       true,
		Client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		}},
	}
}

// Caller sends requests to the nodes, or to an engine in direct mode. It is safe
// for concurrent use.
type Caller struct {
	cfg       Config
	addresses *addressCache
}

// New returns a caller with the given configuration.
func New(cfg Config) *Caller {
	return &Caller{cfg: cfg, addresses: newAddressCache(cfg.Client, cfg.Nodes)}
}

// pick returns the address for the next connection. last is the address of the
// previous one, empty for the first.
func (c *Caller) pick(ctx context.Context, first, last string) (string, error) {
	if last == "" && first != "" {
		return first, nil
	}
	return c.addresses.pick(ctx, last)
}

// Request is one generation request.
type Request struct {
	Model  string
	Prompt string
	// Messages, if not empty, makes this a chat request. The expected prompt is
	// then chain.RenderChat(Messages).
	Messages  []callerapi.Message
	MaxTokens int
	// RequestID is generated if empty.
	RequestID string
	// First is the address of the first connection. If empty, it comes from the
	// address list of the nodes, as the addresses of all later connections do.
	First string
	// Priority is used in direct mode only.
	Priority int
	// Observe, if not nil, is called for each event with tokens, in the goroutine
	// that called Generate. Result.Gaps then stays empty.
	Observe func(TokenArrival)
}

// TokenArrival is the arrival of one event with tokens.
type TokenArrival struct {
	At time.Time
	// Silence is the time since the previous event with tokens, or since the
	// request for the first one.
	Silence time.Duration
	First   bool // the first event with tokens
	// AfterBreak reports whether the answer was interrupted since the previous
	// event. See Break.
	AfterBreak bool
}

func (r Request) prompt() string {
	if len(r.Messages) > 0 {
		return chain.RenderChat(r.Messages)
	}
	return r.Prompt
}

// Break is one interruption of an answer.
type Break struct {
	Address string `json:"address"` // of the connection
	Reason  string `json:"reason"`
	// Position is the number of tokens received before the interruption.
	Position int `json:"position"`
	// Silence is the time from the last token before the break, or from the
	// request if there was none, to the first token after it. It is 0 if no
	// token followed.
	Silence time.Duration `json:"silence_ns"`
}

// Result is the result of one generation request.
type Result struct {
	RequestID string `json:"request_id"`
	// Complete reports whether the answer ended with the correct length and
	// finish reason.
	Complete bool `json:"complete"`
	// Clean reports whether no token was missing, repeated or mixed.
	Clean  bool   `json:"clean"`
	Counts Counts `json:"counts"`
	// FirstToken is the time from the request to the first token. Total is the
	// time to the end of the request, MaxGap the longest gap between tokens.
	FirstToken time.Duration `json:"first_token_ns"`
	Total      time.Duration `json:"total_ns"`
	MaxGap     time.Duration `json:"max_gap_ns"`
	// Gaps holds the times between successive events with tokens.
	Gaps     []time.Duration `json:"-"`
	Breaks   []Break         `json:"breaks"`
	Attempts int             `json:"attempts"` // number of connections
	// Error is the last error, nil if the answer ended without one.
	Error *Failure `json:"error,omitempty"`
	// Text is the answer as received.
	Text string `json:"-"`
}

// Failure is the reason why an attempt or a request failed.
type Failure struct {
	Status  int               `json:"status"` // HTTP status, 0 if there was no response with an error status
	Code    callerapi.Code    `json:"code,omitempty"`
	Outcome callerapi.Outcome `json:"outcome,omitempty"`
	Message string            `json:"message"`
	// RetryAfter is the delay before a retry that the node stated, 0 if none.
	RetryAfter time.Duration       `json:"retry_after_ns,omitempty"`
	addresses  []callerapi.Address // other nodes to use
}

// namesOtherNodes reports whether the node refused the request only for itself,
// because it is leaving or isolated, and returned the addresses of other nodes.
func (f *Failure) namesOtherNodes() bool {
	return len(f.addresses) > 0 && (f.Code == callerapi.CodeNodeLeaving || f.Code == callerapi.CodeNodeIsolated)
}

// Bounds of the backoff between connections that return no new token.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// backoff returns the delay after n consecutive connections without a new token.
// The first retry goes to another node immediately.
func backoff(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	return min(maxBackoff, firstBackoff<<min(n-2, 10))
}

// sleep returns after d, or with the error of ctx as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestID returns the given request ID, or a new one if it is empty.
func requestID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}
