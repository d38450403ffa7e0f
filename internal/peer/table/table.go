// Package table is the client of the platform's transactional table service.
//
// The client holds no state but its connections and may be used by any number
// of goroutines. It never repeats a call by itself: whether a call whose answer
// was lost may be repeated is the decision of its caller.
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

// Table is the table service as the rest of the node uses it.
type Table interface {
	// Txn applies a transaction. On CodeConflict the result holds the present
	// state of the rows whose conditions failed.
	Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error)
	// Read returns one row for each key, in order, from one snapshot.
	Read(ctx context.Context, keys ...string) ([]platformapi.Row, error)
	// Scan returns at most limit rows with the prefix and a key greater than
	// after, in key order, and whether there are more.
	Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, bool, error)
}

// maxAnswerBytes bounds an answer of the table, so that a faulty platform
// cannot exhaust the node's memory.
const maxAnswerBytes = 16 << 20

// Client is a Table over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Table = (*Client)(nil)

// NewClient returns a client for the platform at base, e.g.
// "http://127.0.0.1:7000". The timeout bounds each call.
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
	var answer platformapi.TxnResponse
	status, err := c.post(ctx, platformapi.RouteTxn, txn, &answer)
	if err != nil {
		return platformapi.TxnResponse{}, err
	}
	if status == http.StatusConflict {
		return answer, newError(CodeConflict).Errorf("%d conditions of transaction %q failed", len(answer.Conflicts), txn.ID)
	}
	return answer, nil
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]platformapi.Row, error) {
	var answer platformapi.ReadResponse
	if _, err := c.post(ctx, platformapi.RouteRead, platformapi.ReadRequest{Keys: keys}, &answer); err != nil {
		return nil, err
	}
	if len(answer.Rows) != len(keys) {
		return nil, newError(CodeUnknown).Errorf("table returned %d rows for %d keys", len(answer.Rows), len(keys))
	}
	return answer.Rows, nil
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
	var answer platformapi.ScanResponse
	if _, err := c.do(req, &answer); err != nil {
		return nil, false, err
	}
	return answer.Rows, answer.More, nil
}

func (c *Client) post(ctx context.Context, route string, body, answer any) (int, error) {
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
	// net/http repeats a request on a stale connection only if it can rewind
	// the body; a transaction must not be sent twice without the caller knowing.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, answer)
}

// do returns the status 200 or 409 with the decoded answer, or an error.
func (c *Client) do(req *http.Request, answer any) (int, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, newError(codeOfTransport(err)).Wrapf(err, "call table %s", req.URL.Path)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, newError(CodeUnknown).Wrapf(err, "read answer of table %s", req.URL.Path)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		if err := json.Unmarshal(body, answer); err != nil {
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

// codeOfTransport tells whether a failed call may have reached the table. Only
// a failure to connect proves that it did not.
func codeOfTransport(err error) Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return CodeUnavailable
	}
	return CodeUnknown
}
