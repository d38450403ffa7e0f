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

// maxAnswerBytes bounds an answer of a node.
const maxAnswerBytes = 64 << 20

// client calls the nodes in order until one answers, and stays with that one.
// Calls may be repeated: reads change nothing and a change carries its id.
type client struct {
	nodes []string
	key   string
	http  *http.Client
	next  int // index of the node to try first
}

func newChangeID() string { return uuid.NewString() }

// call sends a request and decodes the answer; a *[]byte receives it as it is. The status is 0 if no node
// answered; one of 400 or more comes with an error.
func (c *client) call(ctx context.Context, method, path string, header map[string]string, body []byte, into any) (int, error) {
	var last error
	for range c.nodes {
		node := c.nodes[c.next%len(c.nodes)]
		status, answer, err := c.send(ctx, node, method, path, header, body)
		if err == nil {
			return status, decodeAnswer(status, answer, into)
		}
		if ctx.Err() != nil {
			return 0, NewError(CodeFailed, "interrupted: %v", ctx.Err())
		}
		last = err
		c.next++
	}
	return 0, NewError(CodeUnreachable, "no node answered; the last error: %v", last)
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, answer, err
}

func decodeAnswer(status int, answer []byte, into any) error {
	if status >= http.StatusBadRequest {
		var body operatorapi.Error
		// An answer that is no JSON leaves the message empty.
		_ = json.Unmarshal(answer, &body)
		return errorOf(status, body)
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = answer
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return NewError(CodeFailed, "the node's answer cannot be read: %v", err)
	}
	return nil
}

func (c *client) get(ctx context.Context, path string, into any) error {
	_, err := c.call(ctx, http.MethodGet, path, nil, nil, into)
	return err
}
