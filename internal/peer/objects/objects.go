// Package objects is the client of the platform's object store and of its
// rate-limited weight store.
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

// Store is the object store as the rest of the node uses it.
type Store interface {
	// Put writes an object, replacing one of the same name. Repeating it with
	// the same content is harmless, so CodeUnknown may be answered by a retry.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the content of an object.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Weights is the weight store as the rest of the node uses it.
type Weights interface {
	// Permit returns nil if the weights may be loaded now. After CodeRateLimited
	// RetryAfter tells how long to wait.
	Permit(ctx context.Context, fetch platformapi.WeightFetch) error
}

// maxObjectBytes bounds an object that is read.
const maxObjectBytes = 64 << 20

// maxErrorBytes bounds the part of an error answer that is read.
const maxErrorBytes = 4 << 10

// defaultRetryAfter applies when the weight store names no wait.
const defaultRetryAfter = time.Second

// Client is a Store and Weights over HTTP. Apart from the retry of net/http on an
// idle connection that the platform had closed, it repeats no call. It
// may be used by any number of goroutines.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var (
	_ Store   = (*Client)(nil)
	_ Weights = (*Client)(nil)
)

// NewClient returns a client for the platform at base, e.g.
// "http://127.0.0.1:7000". The timeout bounds each call.
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

// Permit implements Weights.
func (c *Client) Permit(ctx context.Context, fetch platformapi.WeightFetch) error {
	body, err := json.Marshal(fetch)
	if err != nil {
		return newError(CodeRejected).Wrapf(err, "encode weight fetch")
	}
	_, err = c.do(ctx, http.MethodPost, platformapi.RouteWeights, "application/json", body)
	return err
}

// objectRoute escapes each part of a name, which may contain slashes. Parts
// that HTTP libraries would resolve are refused.
func objectRoute(name string) (string, error) {
	parts := strings.Split(name, "/")
	for i, part := range parts {
		if part == "" || part == "." || part == ".." {
			return "", newError(CodeRejected).Errorf("object name %q has an empty or relative part", name)
		}
		parts[i] = url.PathEscape(part)
	}
	return platformapi.RouteObjects + strings.Join(parts, "/"), nil
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
		return nil, newError(codeOfTransport(err)).Wrapf(err, "call %s %s", method, route)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return nil, refusal(resp, method, route)
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

// refusal translates an error answer.
func refusal(resp *http.Response, method, route string) error {
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

// codeOfTransport tells whether a failed call may have reached the store. Only
// a failure to connect proves that it did not.
func codeOfTransport(err error) Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return CodeUnavailable
	}
	return CodeUnknown
}
