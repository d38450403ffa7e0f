package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/chain"
)

// Config sets up a caller. DefaultConfig returns usable values.
type Config struct {
	// Nodes are addresses (IP:port) that are known from the start. In direct
	// mode they are engines.
	Nodes []string
	// Key is the bearer key.
	Key string
	// Direct speaks to the first of Nodes as to an engine, without any resume.
	Direct bool
	// SilenceTimeout is how long a connection may be without data, from the
	// request on, before it counts as broken.
	SilenceTimeout time.Duration
	// MaxAttempts bounds the connections made for one request.
	MaxAttempts int
	// RetryRefused repeats a refused request at the time that the refusal
	// states; otherwise the refusal is the result.
	RetryRefused bool
	// SendText sends the received text when a node asks for it.
	SendText bool
	// Client makes the connections.
	Client *http.Client
}

// DefaultConfig returns the configuration of an ordinary caller without nodes.
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

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	cfg       Config
	addresses *addressBook
}

// New returns a caller.
func New(cfg Config) *Caller {
	return &Caller{cfg: cfg, addresses: newAddressBook(cfg.Client, cfg.Nodes)}
}

// pick returns the address of the next connection; last is that of the one
// before, empty for the first.
func (c *Caller) pick(ctx context.Context, first, last string) (string, error) {
	if last == "" && first != "" {
		return first, nil
	}
	return c.addresses.pick(ctx, last)
}

// Request is one generation to ask for.
type Request struct {
	Model  string
	Prompt string
	// Messages makes it a chat request; the expected prompt is then
	// chain.RenderChat of them.
	Messages  []callerapi.Message
	MaxTokens int
	// RequestID is made up if it is empty.
	RequestID string
	// First is the address of the first connection; empty: one that the nodes
	// name. Later connections follow the nodes' addresses.
	First string
	// Priority is used in direct mode only.
	Priority int
	// Observe, if set, is called for each event with tokens, from the goroutine
	// that reads the answer. Result.Gaps then stays empty.
	Observe func(Arrival)
}

// Arrival tells when an event with tokens arrived.
type Arrival struct {
	At time.Time
	// Silence is the time since the event before, or since the request.
	Silence time.Duration
	First   bool // the first event of the answer
	// AfterBreak reports that the connection broke since the event before.
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
	Address string `json:"address"` // that the connection was to
	Reason  string `json:"reason"`
	// Position is the number of tokens received before.
	Position int `json:"position"`
	// Silence is the time without tokens: from the last token before the break,
	// or from the request, to the first one after it. 0 if none came.
	Silence time.Duration `json:"silence_ns"`
}

// Result describes one answer.
type Result struct {
	RequestID string `json:"request_id"`
	// Complete reports that the answer came to its end, with the right length
	// and finish reason.
	Complete bool `json:"complete"`
	// Clean reports that no token was missing, repeated or mixed.
	Clean  bool   `json:"clean"`
	Counts Counts `json:"counts"`
	// FirstToken is the time from the request to the first token.
	FirstToken time.Duration `json:"first_token_ns"`
	Total      time.Duration `json:"total_ns"`
	MaxGap     time.Duration `json:"max_gap_ns"`
	// Gaps holds the times between successive events with tokens.
	Gaps     []time.Duration `json:"-"`
	Breaks   []Break         `json:"breaks"`
	Attempts int             `json:"attempts"` // connections made
	// Error is the last error, nil for a complete answer.
	Error *Failure `json:"error,omitempty"`
	// Text is the answer as received.
	Text string `json:"-"`
}

// Failure tells why a request ended without a complete answer.
type Failure struct {
	Status  int               `json:"status"` // HTTP status, 0 without an answer
	Code    callerapi.Code    `json:"code,omitempty"`
	Outcome callerapi.Outcome `json:"outcome,omitempty"`
	Message string            `json:"message"`
	// RetryAfter is the time that the node stated, 0 if none.
	RetryAfter time.Duration       `json:"retry_after_ns,omitempty"`
	addresses  []callerapi.Address // other nodes to use
}

// namesOtherNodes reports that only this node refuses and that it names others.
func (f *Failure) namesOtherNodes() bool {
	return len(f.addresses) > 0 && (f.Code == callerapi.CodeNodeLeaving || f.Code == callerapi.CodeNodeIsolated)
}

// Backoff between connections that bring nothing new.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// backoff returns how long to wait after n connections in a row without a new
// token. The first repeat goes to another node at once.
func backoff(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	return min(maxBackoff, firstBackoff<<min(n-2, 10))
}

// wait pauses until d has passed or ctx ends.
func wait(ctx context.Context, d time.Duration) error {
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

func requestID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}
