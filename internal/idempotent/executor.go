// Package idempotent executes calls to services at most once per idempotency key.
// It performs the I/O that the state machine of package claim decides on. An
// Executor counts its unfinished calls, keeps no other state and is safe for
// concurrent use.
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
	// maxRowBody is the maximum size in bytes of a result body that is stored in
	// the claim row. A larger body is stored in the object store.
	maxRowBody = 64 << 10
	// maxClockDrift is the maximum difference between the progress of the wall
	// clock and of the monotonic clock between two steps of a call. A larger
	// difference means that the host was suspended or its clock was set.
	maxClockDrift = time.Second
	// storeTimeout is the maximum time that a call waits for the table before its
	// request is sent; after it, the caller is answered without a result. Callers
	// time out after a few seconds, and without this limit a table that took 2 s per
	// operation delayed the answer to 5 s.
	storeTimeout = 1500 * time.Millisecond
	// objectTimeout is the timeout of one call to the object store.
	objectTimeout = 2 * time.Second
)

// Call is one call to a service.
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
	// Refusal is set if the call must not run, for example because of quiet
	// hours. Execute then only looks up the outcome of an earlier attempt.
	Refusal    callerapi.Code
	RetryAfter time.Duration
}

// Response is the response of a service.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Replayed reports whether this is the stored result of an earlier attempt.
	Replayed bool
}

// Sender sends a call to a service. Send returns ErrNotSent only if no byte of
// the request was written, and never writes a request twice.
type Sender interface {
	Send(ctx context.Context, call Call) (Response, error)
}

// Claims reads and writes claim rows; *claimwriter.Writer implements it.
type Claims interface {
	Read(key string) claim.Event
	Write(key string, row claim.Row, version int64) claim.Event
}

// Objects stores the bodies of large results.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Config holds the dependencies and settings of an Executor.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	Claims      Claims
	Sender      Sender
	Objects     Objects
	// SendTimeout is the timeout of one send. A result that arrives after the
	// caller was answered is still stored for a retry.
	SendTimeout time.Duration
	Log         logrus.FieldLogger
	Metrics     tally.Scope
	// Now reads the wall clock and the monotonic clock; if nil, the clocks of the
	// process are used.
	Now func() claim.ClockReading
}

// Executor executes calls. It is safe for concurrent use.
type Executor struct {
	config Config
	// calls counts the goroutines of unfinished calls and of their operations,
	// including calls whose caller already has an answer.
	calls sync.WaitGroup
}

// New returns an Executor, whose metrics have the prefix "idempotent".
func New(config Config) *Executor {
	if config.Now == nil {
		config.Now = processClock()
	}
	config.Metrics = config.Metrics.SubScope("idempotent")
	return &Executor{config: config}
}

// processClock returns a function that reads the clocks of the process. Its
// monotonic clock starts at 0.
func processClock() func() claim.ClockReading {
	start := time.Now()
	return func() claim.ClockReading {
		now := time.Now()
		return claim.ClockReading{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

// Execute executes a call at most once and returns the result of the attempt that
// ran. It returns at once when ctx is done; remaining writes continue in the
// background. If it returns an error, FailureOf extracts from it the Failure to
// send to the caller.
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
	// The machine also answers when ctx is done, so this receive does not select
	// on ctx.
	return r.response(<-r.answer)
}

// Wait returns when every call is finished, including background writes of
// results, or when ctx is done. No call may be started while Wait is running.
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
