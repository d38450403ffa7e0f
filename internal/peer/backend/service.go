package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// maxServiceAnswerBytes bounds the answer of a plain service.
const maxServiceAnswerBytes = 8 << 20

// Call is one request to a plain service.
type Call struct {
	Method string
	// Path is the path and query below the service's base address.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a plain service's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a call over a new connection, once. An error with CodeConnect
// proves that nothing was sent; after any other error the call may have run.
func (c *Client) Do(ctx context.Context, url string, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, url+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, newError(CodeConnect).Wrapf(err, "build call")
	}
	// Without GetBody net/http never sends a body a second time.
	req.GetBody = nil
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	resp, err := c.fresh.Do(req)
	if err != nil {
		return Answer{}, newError(codeOfTransport(err)).Wrapf(err, "call service")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswerBytes+1))
	if err != nil {
		return Answer{}, newError(CodeBroken).Wrapf(err, "read answer of service")
	}
	if len(body) > maxServiceAnswerBytes {
		return Answer{}, newError(CodeProtocol).Errorf("answer of service is longer than %d bytes", maxServiceAnswerBytes)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
