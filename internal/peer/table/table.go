// Package table implements the client for the platform's transactional table
// service.
//
// A Client holds only its connections and is safe for concurrent use. It never
// retries a call: the caller decides whether a call whose response was lost may
// be retried.
package table

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
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

// Table provides transactions and reads on the table service.
type Table interface {
	// Txn applies a transaction. On CodeConflict the result holds the current
	// state of the rows whose conditions failed.
	Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error)
	// Read returns one row for each key, in order, from one snapshot.
	Read(ctx context.Context, keys ...string) ([]platformapi.Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater than
	// after, in key order, and reports whether there are more.
	Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, bool, error)
}

// maxResponseBytes is the maximum number of bytes read from a response, so that a
// faulty platform cannot exhaust the node's memory.
const maxResponseBytes = 16 << 20

// Client is a Table that calls the platform over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Table = (*Client)(nil)

// NewClient returns a Client for the platform at the base URL, for example
// "http://127.0.0.1:7000". The timeout applies to each call.
func NewClient(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Txn implements Table.
func (c *Client) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	var response platformapi.TxnResponse
	status, err := c.post(ctx, platformapi.RouteTxn, txn, &response)
	if err != nil {
		return platformapi.TxnResponse{}, err
	}
	if status == http.StatusConflict {
		return response, newError(CodeConflict).Errorf("%d conditions of transaction %q failed", len(response.Conflicts), txn.ID)
	}
	return response, nil
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]platformapi.Row, error) {
	var response platformapi.ReadResponse
	if _, err := c.post(ctx, platformapi.RouteRead, platformapi.ReadRequest{Keys: keys}, &response); err != nil {
		return nil, err
	}
	if len(response.Rows) != len(keys) {
		return nil, newError(CodeUnknown).Errorf("table returned %d rows for %d keys", len(response.Rows), len(keys))
	}
	return response.Rows, nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, bool, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+platformapi.RouteScan+"?"+query.Encode(), nil)
	if err != nil {
		return nil, false, newError(CodeRejected).Wrapf(err, "build scan of %q", prefix)
	}
	var response platformapi.ScanResponse
	if _, err := c.do(req, &response); err != nil {
		return nil, false, err
	}
	return response.Rows, response.More, nil
}

func (c *Client) post(ctx context.Context, route string, body, response any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, newError(CodeRejected).Wrapf(err, "encode call of %s", route)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+route, bytes.NewReader(encoded))
	if err != nil {
		return 0, newError(CodeRejected).Wrapf(err, "build call of %s", route)
	}
	// net/http retries a request on a stale connection only if it can rewind the
	// body. A transaction must not be sent twice without the caller's knowledge.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, response)
}

// do sends a request. It decodes the body of a response with status 200 or 409 and
// returns the status; any other status is an error.
func (c *Client) do(req *http.Request, response any) (int, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, newError(transportErrorCode(err)).Wrapf(err, "call table %s", req.URL.Path)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, newError(CodeUnknown).Wrapf(err, "read answer of table %s", req.URL.Path)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		if err := json.Unmarshal(body, response); err != nil {
			return 0, newError(CodeUnknown).Wrapf(err, "decode answer of table %s", req.URL.Path)
		}
		return resp.StatusCode, nil
	case http.StatusServiceUnavailable:
		return 0, newError(CodeUnavailable).Errorf("table %s is unavailable", req.URL.Path)
	case http.StatusBadRequest, http.StatusNotFound:
		return 0, newError(CodeRejected).Errorf("table %s rejected the call: %s", req.URL.Path, body)
	default:
		return 0, newError(CodeUnknown).Errorf("table %s answered with status %d", req.URL.Path, resp.StatusCode)
	}
}

// transportErrorCode classifies an error of net/http by whether the request may
// have reached the table service. Only a failure to connect proves that it did
// not.
func transportErrorCode(err error) Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return CodeUnavailable
	}
	return CodeUnknown
}
