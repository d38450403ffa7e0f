package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// Call is one request to a service that is not a model, such as a booking service.
type Call struct {
	Service string
	Method  string // POST if empty
	Path    string // with a leading slash
	Body    []byte
	// Key is the idempotency key, generated if empty. With NoKey, none is sent.
	Key   string
	NoKey bool
	// RequestID is generated if empty.
	RequestID string
	// First is the address of the first attempt. If empty, it comes from the
	// address list of the nodes.
	First string
}

// CallResult is the result of a call.
type CallResult struct {
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	// Status is the HTTP status of the service's answer, 0 if none was received.
	Status   int    `json:"status"`
	Replayed bool   `json:"replayed"` // the answer is the stored one of an earlier run
	Body     string `json:"body"`
	// Outcome is the outcome of the whole call: OutcomeDone if the service
	// answered, otherwise the outcome of the last error. If that error states only
	// that the last attempt did not run, and an earlier attempt may have run, the
	// outcome is "unknown".
	Outcome  string        `json:"outcome"`
	Attempts int           `json:"attempts"`
	Total    time.Duration `json:"total_ns"`
	Error    *Failure      `json:"error,omitempty"`
	// Errors holds the error of each attempt that failed.
	Errors []Failure `json:"errors"`
}

// OutcomeDone is the outcome of a call that the service answered.
const OutcomeDone = "done"

// Call sends a request to a service and retries it with the same key through other
// nodes until the service answers, an error is not to be retried, MaxAttempts is
// reached or ctx ends.
func (c *Caller) Call(ctx context.Context, call Call) CallResult {
	if call.Key == "" && !call.NoKey {
		call.Key = uuid.NewString()
	}
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	call.RequestID = requestID(call.RequestID)
	result := CallResult{Key: call.Key, RequestID: call.RequestID, Errors: []Failure{}}
	started := time.Now()
	c.callWithRetries(ctx, call, &result)
	result.Total = time.Since(started)
	return result
}

// callWithRetries makes the attempts of a call and stores their outcome in result.
func (c *Caller) callWithRetries(ctx context.Context, call Call, result *CallResult) {
	address := ""
	mayHaveRun := false
	for {
		var err error
		if address, err = c.pick(ctx, call.First, address); err != nil {
			result.Error = &Failure{Message: err.Error()}
			return
		}
		result.Attempts++
		failure := c.attemptCall(ctx, address, call, result)
		if failure == nil {
			result.Outcome, result.Error = OutcomeDone, nil
			return
		}
		c.addresses.setAddresses(failure.addresses)
		if failure.Outcome == "" { // no answer, or one of unknown format
			failure.Outcome = callerapi.OutcomeUnknown
			c.addresses.markFailed(address)
		}
		mayHaveRun = mayHaveRun || failure.Outcome == callerapi.OutcomeUnknown
		result.Errors = append(result.Errors, *failure)
		result.Error, result.Outcome = failure, string(failure.Outcome)
		if mayHaveRun && failure.Outcome == callerapi.OutcomeAttemptNotRun {
			result.Outcome = string(callerapi.OutcomeUnknown)
		}
		pause, again := c.retryCall(failure, call, result.Attempts)
		if !again || result.Attempts >= c.cfg.MaxAttempts || sleep(ctx, pause) != nil {
			return
		}
	}
}

// retryCall returns whether to retry a call after a failure, and after which delay.
// Without a key, a call that may have run is not retried.
func (c *Caller) retryCall(f *Failure, call Call, attempts int) (pause time.Duration, again bool) {
	switch {
	case f.Outcome == callerapi.OutcomeUnknown && f.Code == "":
		return backoff(attempts), !call.NoKey
	case f.namesOtherNodes():
		return max(f.RetryAfter, backoff(attempts)), true
	case f.RetryAfter <= 0:
		return 0, false
	case f.Outcome == callerapi.OutcomeNotRun:
		return f.RetryAfter, c.cfg.RetryRefused
	}
	return f.RetryAfter, !call.NoKey
}

// attemptCall makes one attempt. If the service answered, with any status, it
// stores the answer in result and returns nil.
func (c *Caller) attemptCall(ctx context.Context, address string, call Call, result *CallResult) *Failure {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.SilenceTimeout)
	defer cancel()
	url := "http://" + address + callerapi.RouteServices + call.Service + "/" + strings.TrimPrefix(call.Path, "/")
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return &Failure{Message: err.Error()}
	}
	// net/http on its own repeats a request with an idempotency key if a reused
	// connection turns out to be closed, unless the body cannot be read again.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(callerapi.HeaderRequestID, call.RequestID)
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if !call.NoKey {
		req.Header.Set(callerapi.HeaderIdempotencyKey, call.Key)
	}
	resp, err := c.cfg.Client.Do(req)
	if err != nil {
		return connectionFailure(ctx, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return connectionFailure(ctx, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		// Errors of the nodes state an outcome, those of the service do not.
		if f := parseError(resp.StatusCode, data); f.Outcome != "" {
			return f
		}
	}
	result.Status, result.Body = resp.StatusCode, string(data)
	result.Replayed = resp.Header.Get(callerapi.HeaderReplayed) == "true"
	return nil
}
