// Package backend implements the HTTP client for backend servers, which are
// model engines and plain services.
//
// A Client holds connection pools and is safe for concurrent use. A Stream must
// be used by one goroutine at a time, except for Close, which any goroutine may
// call.
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
	"github.com/yuccahatch/yuccahatch/internal/connreset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// connectTimeout limits a TCP connect. The network latency between data centres
	// is about 1 ms, so a connect that takes longer than this limit indicates a host
	// that is down.
	connectTimeout = 500 * time.Millisecond
	// headerTimeout limits the wait for response headers on pooled connections.
	// Engines send the headers of a stream before its first token, so an
	// unresponsive pooled connection is detected without waiting for prefill.
	headerTimeout = time.Second
	// idleConnTimeout is the time after which an idle pooled connection is closed.
	// It is short because a network device between the two ends may discard its state
	// for a connection that has been idle for a long time.
	idleConnTimeout = 5 * time.Second
	// maxErrorBytes is the maximum number of bytes read from an error response.
	maxErrorBytes = 64 << 10
	// maxReportBytes is the maximum number of bytes read from a load report, an
	// engine state, a stream status or a page of cache events.
	maxReportBytes = 4 << 20
)

// Client is an HTTP client for backend servers.
type Client struct {
	// pooled reuses connections. unpooled opens a new connection for each request;
	// it is used for probes and for calls that must not depend on a pooled
	// connection, which may be unresponsive.
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a Client with empty connection pools.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return newClient(dialer.DialContext)
}

// newClient returns a Client that opens connections with dial. A service may answer without a
// length, so its end must be told from a reset that the write of the call has taken.
func newClient(dial connreset.DialFunc) *Client {
	dial = connreset.Dialer(dial)
	return &Client{
		pooled: &http.Client{Transport: &http.Transport{
			DialContext:           dial,
			MaxIdleConnsPerHost:   64,
			IdleConnTimeout:       idleConnTimeout,
			ResponseHeaderTimeout: headerTimeout,
			DisableCompression:    true,
		}},
		unpooled: &http.Client{Transport: &http.Transport{
			DialContext:        dial,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

// Open sends a completion request to the engine at url and returns the stream
// of its events.
func (c *Client) Open(ctx context.Context, url string, request backendapi.CompletionRequest) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, newError(CodeProtocol).Wrapf(err, "encode completion request")
	}
	return c.openStream(ctx, c.pooled, http.MethodPost, url+backendapi.RouteCompletions, body, -1)
}

// Resume attaches to an existing stream over a new connection. The stream starts with
// the token whose index is firstIndex.
func (c *Client) Resume(ctx context.Context, url string, id ident.AttemptID, firstIndex int) (*Stream, error) {
	return c.openStream(ctx, c.unpooled, http.MethodGet, url+backendapi.RouteStream+string(id), nil, firstIndex)
}

// openStream sends a request and returns the event stream of the response. It
// sets Last-Event-ID unless firstIndex is negative.
func (c *Client) openStream(ctx context.Context, client *http.Client, method, url string, body []byte, firstIndex int) (*Stream, error) {
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
	if firstIndex >= 0 {
		// Last-Event-ID is the index of the last token that was received, or -1.
		req.Header.Set(backendapi.HeaderLastEventID, strconv.Itoa(firstIndex-1))
	}
	resp, err := client.Do(req)
	if err != nil {
		cancel()
		return nil, newError(transportErrorCode(err)).Wrapf(err, "open stream")
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, errorFromResponse(resp)
	}
	return newStream(resp.Body, cancel), nil
}

// Status returns the status of a stream. It uses a new connection.
func (c *Client) Status(ctx context.Context, url string, id ident.AttemptID) (backendapi.StreamStatus, error) {
	var status backendapi.StreamStatus
	err := c.getJSON(ctx, c.unpooled, url+backendapi.RouteStream+string(id)+"/status", &status)
	return status, err
}

// Cancel requests that the engine end a stream, over a pooled connection.
func (c *Client) Cancel(ctx context.Context, url string, id ident.AttemptID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url+backendapi.RouteStream+string(id), nil)
	if err != nil {
		return newError(CodeProtocol).Wrapf(err, "build request")
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return newError(transportErrorCode(err)).Wrapf(err, "cancel stream %q", id)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errorFromResponse(resp)
	}
	return nil
}

// Load returns the load that a backend server reports for itself.
func (c *Client) Load(ctx context.Context, url string) (backendapi.Load, error) {
	var load backendapi.Load
	err := c.getJSON(ctx, c.pooled, url+backendapi.RouteLoad, &load)
	return load, err
}

// CacheEvents returns the cache events with sequence numbers greater than after.
func (c *Client) CacheEvents(ctx context.Context, url string, after int64) (backendapi.CacheEvents, error) {
	var events backendapi.CacheEvents
	err := c.getJSON(ctx, c.pooled, url+backendapi.RouteCacheEvents+"?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// State returns the actual model placement that an engine reports. It uses a new
// connection.
func (c *Client) State(ctx context.Context, url string) (backendapi.State, error) {
	var state backendapi.State
	err := c.getJSON(ctx, c.unpooled, url+backendapi.RouteState, &state)
	return state, err
}

// SendOrder sends an order, which states the desired model placement, to an engine.
// It uses a new connection.
func (c *Client) SendOrder(ctx context.Context, url string, order backendapi.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return newError(CodeProtocol).Wrapf(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+backendapi.RouteOrders, bytes.NewReader(body))
	if err != nil {
		return newError(CodeProtocol).Wrapf(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return newError(transportErrorCode(err)).Wrapf(err, "send order %q", order.OrderID)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errorFromResponse(resp)
	}
	return nil
}

func (c *Client) getJSON(ctx context.Context, client *http.Client, url string, response any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return newError(CodeProtocol).Wrapf(err, "build request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return newError(transportErrorCode(err)).Wrapf(err, "get %s", req.URL.Path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorFromResponse(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(response); err != nil {
		return newError(CodeProtocol).Wrapf(err, "decode answer of %s", req.URL.Path)
	}
	return nil
}

// errorFromResponse returns the error for a response with an error status and
// closes the response body.
func errorFromResponse(resp *http.Response) error {
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

// transportErrorCode classifies an error of net/http by whether the request may have
// reached the backend server. Only a failure to connect proves that it did not.
func transportErrorCode(err error) Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return CodeConnect
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return CodeTimeout
	}
	return CodeBroken
}
