package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// maxServiceResponseBytes is the maximum size of a response body of a plain service.
const maxServiceResponseBytes = 8 << 20

// Call is one request to a plain service.
type Call struct {
	Method string
	// Path is the path and query relative to the service's base URL.
	Path   string
	Header http.Header
	Body   []byte
}

// Response is the response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a call once, over a new connection, without retries. An error with
// CodeConnect proves that nothing was sent; after any other error the service may
// have executed the call.
func (c *Client) Do(ctx context.Context, url string, call Call) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, url+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, newError(CodeConnect).Wrapf(err, "build call")
	}
	// Without GetBody, net/http cannot resend the body on a retry.
	req.GetBody = nil
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return Response{}, newError(transportErrorCode(err)).Wrapf(err, "call service")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceResponseBytes+1))
	if err != nil {
		return Response{}, newError(CodeBroken).Wrapf(err, "read answer of service")
	}
	if len(body) > maxServiceResponseBytes {
		return Response{}, newError(CodeProtocol).Errorf("answer of service is longer than %d bytes", maxServiceResponseBytes)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
