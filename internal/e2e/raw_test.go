//go:build linux

package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
)

// rawAnswer receives one answer over connections that the test controls. It
// serves the cases that lab/caller does not produce, such as GET with a cursor.
type rawAnswer struct {
	t      *testing.T
	key    string
	prompt string
	verify *caller.Verifier
	cursor string
	finish string
	text   strings.Builder
	done   bool // the end mark has arrived
}

func newRawAnswer(t *testing.T, length int) *rawAnswer {
	prompt := fmt.Sprintf("raw programme length=%d", length)
	return &rawAnswer{t: t, key: callerKey, prompt: prompt, verify: caller.NewVerifier(prompt, 0)}
}

func (r *rawAnswer) body() []byte {
	return mustJSON(r.t, callerapi.CompletionRequest{Model: model, Prompt: r.prompt, Stream: true})
}

// post reads up to a number of tokens over one POST and drops the connection.
func (r *rawAnswer) post(n *nodeProcess, tokens int) {
	r.t.Helper()
	r.read(http.MethodPost, "http://"+n.callers+callerapi.RouteCompletions, r.body(), tokens)
}

// get is post over GET /v1/generations.
func (r *rawAnswer) get(n *nodeProcess, tokens int) {
	r.t.Helper()
	r.read(http.MethodGet, "http://"+n.callers+callerapi.RouteGenerations, nil, tokens)
}

func (r *rawAnswer) read(method, url string, body []byte, tokens int) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	if r.cursor != "" {
		req.Header.Set(callerapi.HeaderLastEventID, r.cursor)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(resp.Body)
		r.t.Fatalf("%s %s: status %d, %s", method, url, resp.StatusCode, message)
	}
	r.events(resp.Body, tokens)
}

// events reads events until the end mark or the number of tokens.
func (r *rawAnswer) events(body io.Reader, tokens int) {
	r.t.Helper()
	lines := bufio.NewScanner(body)
	for received := 0; received < tokens && lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			r.cursor = id
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			r.done = true
			return
		default:
			received += r.event(data)
		}
	}
	if err := lines.Err(); err != nil {
		r.t.Fatal(err)
	}
}

// event returns the number of tokens of an event.
func (r *rawAnswer) event(data string) int {
	r.t.Helper()
	var chunk callerapi.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		r.t.Fatalf("event %q: %v", data, err)
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		r.finish = *choice.FinishReason
	}
	if choice.Text == nil || *choice.Text == "" {
		return 0
	}
	r.text.WriteString(*choice.Text)
	r.verify.AddText(*choice.Text)
	return 1
}

// whole requires the complete answer without a wrong token.
func (r *rawAnswer) whole() {
	r.t.Helper()
	complete := r.verify.End(r.finish)
	if !r.done || !complete || !r.verify.Clean() {
		r.t.Errorf("end mark %t, complete %t, %+v", r.done, complete, r.verify.Counts())
	}
}

// allTokens reads an answer to its end.
const allTokens = 1 << 30

// pause lets time pass that a scenario needs, such as a node's pause.
func pause(d time.Duration) { time.Sleep(d) }
