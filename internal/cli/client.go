package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
)

// maxResponseBytes is the maximum size of a response body that is read from a
// node.
const maxResponseBytes = 64 << 20

// client sends each call to the nodes in turn until one responds, and uses that
// node first for later calls. Retrying a call on another node is safe: reads
// change nothing, and a change carries its change id.
type client struct {
	nodes []string
	key   string
	http  *http.Client
	next  int // index of the node to try first
}

func newChangeID() string { return uuid.NewString() }

// call sends a request and decodes the JSON response into the value that into
// points to. If into is a *[]byte, it receives the body unchanged. The status is
// 0 if no node responded. A status of 400 or more is returned with an error.
func (c *client) call(ctx context.Context, method, path string, header map[string]string, body []byte, into any) (int, error) {
	var lastErr error
	for range c.nodes {
		node := c.nodes[c.next%len(c.nodes)]
		status, respBody, err := c.send(ctx, node, method, path, header, body)
		if err == nil {
			return status, decodeResponse(status, respBody, into)
		}
		if ctx.Err() != nil {
			return 0, NewError(CodeFailed, "interrupted: %v", ctx.Err())
		}
		lastErr = err
		c.next++
	}
	return 0, NewError(CodeUnreachable, "no node answered; the last error: %v", lastErr)
}

func (c *client) send(ctx context.Context, node, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	if !strings.Contains(node, "://") {
		node = "http://" + node
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(node, "/")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, respBody, err
}

func decodeResponse(status int, respBody []byte, into any) error {
	if status >= http.StatusBadRequest {
		var body operatorapi.Error
		// If the response is not JSON, the message stays empty.
		_ = json.Unmarshal(respBody, &body)
		return responseError(status, body)
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = respBody
		return nil
	}
	if err := json.Unmarshal(respBody, into); err != nil {
		return NewError(CodeFailed, "decode the node's response: %v", err)
	}
	return nil
}

func (c *client) get(ctx context.Context, path string, into any) error {
	_, err := c.call(ctx, http.MethodGet, path, nil, nil, into)
	return err
}
