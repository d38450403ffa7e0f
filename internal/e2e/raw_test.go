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

// rawAnswer receives one streamed answer over connections that the test controls.
// It covers requests that lab/caller does not send, such as GET with a cursor.
type rawAnswer struct {
	t            *testing.T
	key          string
	prompt       string
	verifier     *caller.Verifier
	cursor       string
	finishReason string
	text         strings.Builder
	done         bool // the end marker has arrived
}

func newRawAnswer(t *testing.T, length int) *rawAnswer {
	prompt := fmt.Sprintf("raw programme length=%d", length)
	return &rawAnswer{t: t, key: callerKey, prompt: prompt, verifier: caller.NewVerifier(prompt, 0)}
}

func (r *rawAnswer) body() []byte {
	return mustJSON(r.t, callerapi.CompletionRequest{Model: model, Prompt: r.prompt, Stream: true})
}

// post requests the answer with POST /v1/completions, from the cursor on if there
// is one, reads up to the given number of tokens and closes the connection.
func (r *rawAnswer) post(n *nodeProcess, tokens int) {
	r.t.Helper()
	r.read(http.MethodPost, "http://"+n.callerAddress+callerapi.RouteCompletions, r.body(), tokens)
}

// get is like post but uses GET /v1/generations, which needs a cursor.
func (r *rawAnswer) get(n *nodeProcess, tokens int) {
	r.t.Helper()
	r.read(http.MethodGet, "http://"+n.callerAddress+callerapi.RouteGenerations, nil, tokens)
}

func (r *rawAnswer) read(method, url string, body []byte, tokens int) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
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
	r.readEvents(resp.Body, tokens)
}

// readEvents reads events until the end marker or until it has read the given
// number of tokens.
func (r *rawAnswer) readEvents(body io.Reader, tokens int) {
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
			received += r.addEvent(data)
		}
	}
	if err := lines.Err(); err != nil {
		r.t.Fatal(err)
	}
}

// addEvent adds the text of an event to the answer and returns the number of its
// tokens, 0 or 1.
func (r *rawAnswer) addEvent(data string) int {
	r.t.Helper()
	var chunk callerapi.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		r.t.Fatalf("event %q: %v", data, err)
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		r.finishReason = *choice.FinishReason
	}
	if choice.Text == nil || *choice.Text == "" {
		return 0
	}
	r.text.WriteString(*choice.Text)
	r.verifier.AddText(*choice.Text)
	return 1
}

// requireComplete requires that the answer is complete and has no wrong token.
func (r *rawAnswer) requireComplete() {
	r.t.Helper()
	complete := r.verifier.End(r.finishReason)
	if !r.done || !complete || !r.verifier.Clean() {
		r.t.Errorf("end marker %t, complete %t, %+v", r.done, complete, r.verifier.Counts())
	}
}

// allTokens, as the number of tokens, makes rawAnswer read to the end of the answer.
const allTokens = 1 << 30

// sleep waits for a time that is part of a scenario, such as the time for which a
// node stays frozen.
func sleep(d time.Duration) { time.Sleep(d) }
