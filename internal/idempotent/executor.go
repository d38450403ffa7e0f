// Package idempotent executes calls of services that must not run twice. It
// carries out the decisions of package claim.
package idempotent

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/claim"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// maxRowBody is the largest body of a result that is stored in the claim's
	// row. A larger one goes to the object store.
	maxRowBody = 64 << 10
	// maxClockDrift is how far wall and monotonic clock may move apart between
	// two steps of a call. More means that the host was suspended or its clock
	// was set.
	maxClockDrift = time.Second
	// storeLimit is how long a caller waits for the table before anything is
	// sent. Callers wait a few seconds at most; with a table that took 2 s for
	// each call the answer came after 5 s.
	storeLimit = 1500 * time.Millisecond
	// objectTimeout bounds one call to the object store.
	objectTimeout = 2 * time.Second
)

// Call is one call of a service.
type Call struct {
	Team ident.Team
	// Key is the caller's idempotency key.
	Key       string
	RequestID ident.RequestID
	Service   string
	Method    string
	Path      string
	Header    map[string][]string
	Body      []byte
	// Refusal is set if the call must not run, e.g. because of quiet hours.
	// Execute then only looks for the result of an earlier attempt.
	Refusal    callerapi.Code
	RetryAfter time.Duration
}

// Response is what a service returned.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Replayed tells that an earlier attempt ran, not this one.
	Replayed bool
}

// Sender sends a call to a service. It returns ErrNotSent only if no byte of
// the request was written, and never writes a request twice.
type Sender interface {
	Send(ctx context.Context, call Call) (Response, error)
}

// Claims reads and writes claim rows; *claimwriter.Writer implements it.
type Claims interface {
	Read(key string) claim.Event
	Write(key string, row claim.Row, version int64) claim.Event
}

// Objects holds large results.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Config holds what an Executor works with.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	Claims      Claims
	Sender      Sender
	Objects     Objects
	// SendTimeout bounds one send. A result that arrives after the caller was
	// answered is still stored for a retry.
	SendTimeout time.Duration
	Log         logrus.FieldLogger
	Metrics     tally.Scope
	// Now reads both clocks; nil means the clocks of the process.
	Now func() claim.Now
}

// Executor executes calls. It may be used by any number of goroutines.
type Executor struct {
	config Config
	// calls counts the calls that are not finished, also those whose caller has
	// its answer, and their operations.
	calls sync.WaitGroup
}

// New returns an executor.
func New(config Config) *Executor {
	if config.Now == nil {
		config.Now = processClock()
	}
	config.Metrics = config.Metrics.SubScope("idempotent")
	return &Executor{config: config}
}

func processClock() func() claim.Now {
	start := time.Now()
	return func() claim.Now {
		now := time.Now()
		return claim.Now{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

// Execute executes a call at most once and returns the result of the attempt
// that ran. When ctx ends it returns at once; what is left to store is stored in
// the background. FailureOf tells what to answer on an error.
func (e *Executor) Execute(ctx context.Context, call Call) (Response, error) {
	r := &run{
		executor: e,
		call:     call,
		rowKey:   claim.RowKey(call.Team, call.Key),
		attempt:  ident.NewAttemptID(),
		events:   make(chan claim.Event, 1),
		answer:   make(chan claim.Action, 1),
		done:     make(chan struct{}),
	}
	r.machine = claim.New(claim.Call{
		Attempt:     r.attempt,
		Host:        e.config.Host,
		Incarnation: e.config.Incarnation,
		Fingerprint: claim.Fingerprint(call.Method, call.Service+"/"+call.Path, call.Body),
	})
	e.calls.Go(func() { r.loop(ctx.Done()) })
	// The machine answers when ctx ends, so that its answer is never missed.
	return r.response(<-r.answer)
}

// Wait returns when every call is finished, including the storing of results in
// the background, or when ctx ends. No call may begin meanwhile.
func (e *Executor) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() { e.calls.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
