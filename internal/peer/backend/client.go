// Package backend is the client of backend servers: model engines and plain
// services.
//
// A Client holds connection pools and may be used by any number of goroutines.
// A Stream belongs to one goroutine, except that Close may be called by any.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// connectTimeout bounds a TCP connect. Data centres are about 1 ms apart; a
	// connect that takes longer than this met a dead host.
	connectTimeout = 500 * time.Millisecond
	// headerTimeout bounds the time until an engine accepts a stream. Engines
	// send headers before the first token, so that a pooled connection that
	// went silent is noticed without waiting for prefill.
	headerTimeout = time.Second
	// idleConnTimeout keeps pooled connections short-lived, because a connection
	// that is idle for long may have been forgotten by something between the
	// two ends.
	idleConnTimeout = 5 * time.Second
	// maxErrorBytes bounds the body of an error.
	maxErrorBytes = 64 << 10
	// maxReportBytes bounds load reports, states and cache events.
	maxReportBytes = 4 << 20
)

// Client talks to backend servers.
type Client struct {
	// streams uses pooled connections; fresh makes a new connection for each
	// request, for probes and for calls that must not meet a silent connection.
	streams *http.Client
	fresh   *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		streams: &http.Client{Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			MaxIdleConnsPerHost:   64,
			IdleConnTimeout:       idleConnTimeout,
			ResponseHeaderTimeout: headerTimeout,
			DisableCompression:    true,
		}},
		fresh: &http.Client{Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

// Open starts a stream on the engine at url.
func (c *Client) Open(ctx context.Context, url string, request backendapi.CompletionRequest) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, newError(CodeProtocol).Wrapf(err, "encode completion request")
	}
	return c.openStream(ctx, c.streams, http.MethodPost, url+backendapi.RouteCompletions, body, -1)
}

// Resume opens a new connection to an existing stream, from the token with the
// given index on.
func (c *Client) Resume(ctx context.Context, url string, id ident.AttemptID, from int) (*Stream, error) {
	return c.openStream(ctx, c.fresh, http.MethodGet, url+backendapi.RouteStream+string(id), nil, from)
}

// openStream sends Last-Event-ID when from is not negative.
func (c *Client) openStream(ctx context.Context, client *http.Client, method, url string, body []byte, from int) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, newError(CodeProtocol).Wrapf(err, "build request")
	}
	req.Header.Set("Accept", "text/event-stream")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if from >= 0 {
		// Last-Event-ID names the last event that was received.
		req.Header.Set(backendapi.HeaderLastEventID, strconv.Itoa(from-1))
	}
	resp, err := client.Do(req)
	if err != nil {
		cancel()
		return nil, newError(codeOfTransport(err)).Wrapf(err, "open stream")
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, errorOf(resp)
	}
	return newStream(resp.Body, cancel), nil
}

// Status asks over a new connection about a stream.
func (c *Client) Status(ctx context.Context, url string, id ident.AttemptID) (backendapi.StreamStatus, error) {
	var status backendapi.StreamStatus
	err := c.getJSON(ctx, c.fresh, url+backendapi.RouteStream+string(id)+"/status", &status)
	return status, err
}

// Cancel ends a stream.
func (c *Client) Cancel(ctx context.Context, url string, id ident.AttemptID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url+backendapi.RouteStream+string(id), nil)
	if err != nil {
		return newError(CodeProtocol).Wrapf(err, "build request")
	}
	resp, err := c.streams.Do(req)
	if err != nil {
		return newError(codeOfTransport(err)).Wrapf(err, "cancel stream %q", id)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errorOf(resp)
	}
	return nil
}

// Load reads a backend server's report of its own load.
func (c *Client) Load(ctx context.Context, url string) (backendapi.Load, error) {
	var load backendapi.Load
	err := c.getJSON(ctx, c.streams, url+backendapi.RouteLoad, &load)
	return load, err
}

// CacheEvents reads the cache events after a sequence.
func (c *Client) CacheEvents(ctx context.Context, url string, after int64) (backendapi.CacheEvents, error) {
	var events backendapi.CacheEvents
	err := c.getJSON(ctx, c.streams, url+backendapi.RouteCacheEvents+"?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// State reads an engine's placement.
func (c *Client) State(ctx context.Context, url string) (backendapi.State, error) {
	var state backendapi.State
	err := c.getJSON(ctx, c.fresh, url+backendapi.RouteState, &state)
	return state, err
}

// Order states the desired placement of an engine.
func (c *Client) Order(ctx context.Context, url string, order backendapi.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return newError(CodeProtocol).Wrapf(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+backendapi.RouteOrders, bytes.NewReader(body))
	if err != nil {
		return newError(CodeProtocol).Wrapf(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.fresh.Do(req)
	if err != nil {
		return newError(codeOfTransport(err)).Wrapf(err, "send order %q", order.OrderID)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errorOf(resp)
	}
	return nil
}

func (c *Client) getJSON(ctx context.Context, client *http.Client, url string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return newError(CodeProtocol).Wrapf(err, "build request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return newError(codeOfTransport(err)).Wrapf(err, "get %s", req.URL.Path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorOf(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(answer); err != nil {
		return newError(CodeProtocol).Wrapf(err, "decode answer of %s", req.URL.Path)
	}
	return nil
}

// errorOf translates an answer with an error status.
func errorOf(resp *http.Response) error {
	defer resp.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body backendapi.Error
	_ = json.Unmarshal(raw, &body)
	code := CodeRejected
	if body.Error.Code == backendapi.CodeUnknownStream {
		code = CodeUnknownStream
	}
	return newError(code).Errorf("backend server answered with status %d, code %q: %s", resp.StatusCode, body.Error.Code, body.Error.Message)
}

// codeOfTransport tells whether a failed call may have reached the backend
// server. Only a failure to connect proves that it did not.
func codeOfTransport(err error) Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return CodeConnect
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return CodeSilent
	}
	return CodeBroken
}
