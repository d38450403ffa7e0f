// Package objects implements the client for the platform's object store and for
// its rate-limited weight store.
//
// A Client has no state besides its pool of connections and is safe for concurrent
// use.
package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

// Store reads and writes objects of the object store.
type Store interface {
	// Put writes an object and replaces an existing one of the same name. It is
	// idempotent, so it may be retried after CodeUnknown.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the content of an object.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Weights acquires permits to load weights from the rate-limited weight store.
type Weights interface {
	// AcquirePermit returns nil if the weights may be loaded now. For an error with
	// CodeRateLimited, RetryAfter returns the time to wait.
	AcquirePermit(ctx context.Context, fetch platformapi.WeightFetch) error
}

// maxObjectBytes is the maximum size of an object that is read.
const maxObjectBytes = 64 << 20

// maxErrorBytes is the maximum number of bytes read from an error response.
const maxErrorBytes = 4 << 10

// defaultRetryAfter is used if the weight store sends no valid Retry-After.
const defaultRetryAfter = time.Second

// Client implements Store and Weights over HTTP. It does not retry calls itself, but
// net/http may send a request again over another connection if the platform had
// closed the idle connection that was used first.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var (
	_ Store   = (*Client)(nil)
	_ Weights = (*Client)(nil)
)

// NewClient returns a Client for the platform at the base URL, for example
// "http://127.0.0.1:7000". The timeout applies to each call.
func NewClient(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	route, err := objectRoute(name)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPut, route, "application/octet-stream", content)
	return err
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	route, err := objectRoute(name)
	if err != nil {
		return nil, err
	}
	return c.do(ctx, http.MethodGet, route, "", nil)
}

// AcquirePermit implements Weights.
func (c *Client) AcquirePermit(ctx context.Context, fetch platformapi.WeightFetch) error {
	body, err := json.Marshal(fetch)
	if err != nil {
		return newError(CodeRejected).Wrapf(err, "encode weight fetch")
	}
	_, err = c.do(ctx, http.MethodPost, platformapi.RouteWeights, "application/json", body)
	return err
}

// objectRoute returns the URL path of an object. The name may contain slashes; its
// segments are escaped separately. Empty, "." and ".." segments are rejected
// because HTTP libraries may remove them from the path, which would name another
// object.
func objectRoute(name string) (string, error) {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		if segment == "" || segment == "." || segment == ".." {
			return "", newError(CodeRejected).Errorf("object name %q has an empty or relative part", name)
		}
		segments[i] = url.PathEscape(segment)
	}
	return platformapi.RouteObjects + strings.Join(segments, "/"), nil
}

func (c *Client) do(ctx context.Context, method, route, contentType string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+route, bytes.NewReader(body))
	if err != nil {
		return nil, newError(CodeRejected).Wrapf(err, "build call of %s", route)
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, newError(transportErrorCode(err)).Wrapf(err, "call %s %s", method, route)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return nil, errorFromResponse(resp, method, route)
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxObjectBytes+1))
	if err != nil {
		return nil, newError(CodeUnknown).Wrapf(err, "read answer of %s %s", method, route)
	}
	if len(content) > maxObjectBytes {
		return nil, newError(CodeRejected).Errorf("answer of %s %s has more than %d bytes", method, route, maxObjectBytes)
	}
	return content, nil
}

// errorFromResponse returns the error for a response with an error status.
func errorFromResponse(resp *http.Response, method, route string) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	code := CodeUnknown
	switch resp.StatusCode {
	case http.StatusNotFound:
		code = CodeNotFound
	case http.StatusServiceUnavailable:
		code = CodeUnavailable
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		code = CodeRejected
	case http.StatusTooManyRequests:
		wait := defaultRetryAfter
		if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds >= 0 {
			wait = time.Duration(seconds) * time.Second
		}
		return newError(CodeRateLimited).With(retryAfterKey, wait).Errorf("%s permits the next call in %v", route, wait)
	}
	return newError(code).Errorf("%s %s answered with status %d: %.200s", method, route, resp.StatusCode, body)
}

// transportErrorCode classifies an error of net/http by whether the request may
// have reached the store. Only a failure to connect proves that it did not.
func transportErrorCode(err error) Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return CodeUnavailable
	}
	return CodeUnknown
}
