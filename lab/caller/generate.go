package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// maxErrorBody is the maximum number of bytes that are read of an error response.
const maxErrorBody = 1 << 20

// generation is the state of one answer while it is being received.
type generation struct {
	caller *Caller
	req    Request
	verify *Verifier
	result Result

	started              time.Time
	lastToken            time.Time
	text                 []byte
	cursor               []byte // ID of the last event, from which the answer is resumed
	finish               string
	sendText             bool
	attemptsWithoutToken int // consecutive connections without a new token
	openBreaks           int // breaks after which no token has arrived yet
}

// Generate sends one request, resumes the answer after breaks and returns the
// result. It returns when the answer is complete, on an error that is not to be
// retried, after Config.MaxAttempts connections, or when ctx ends.
func (c *Caller) Generate(ctx context.Context, req Request) Result {
	req.RequestID = requestID(req.RequestID)
	g := &generation{
		caller: c, req: req, verify: NewVerifier(req.prompt(), req.MaxTokens),
		started: time.Now(), result: Result{RequestID: req.RequestID, Breaks: []Break{}},
	}
	g.result.Error = g.run(ctx)
	if g.result.Error == nil {
		g.result.Complete = g.verify.End(g.finish)
	}
	g.result.Clean, g.result.Counts = g.verify.Clean(), g.verify.Counts()
	g.result.Total, g.result.Text = time.Since(g.started), string(g.text)
	return g.result
}

func (g *generation) run(ctx context.Context) *Failure {
	address := ""
	for {
		var err error
		if address, err = g.address(ctx, address); err != nil {
			return &Failure{Message: err.Error()}
		}
		g.result.Attempts++
		g.attemptsWithoutToken++
		failure := g.attempt(ctx, address)
		if failure == nil {
			return nil
		}
		g.recordBreak(address, failure)
		pause, again := g.retry(failure)
		if !again || g.result.Attempts >= g.caller.cfg.MaxAttempts {
			return failure
		}
		if sleep(ctx, pause) != nil {
			return failure
		}
	}
}

func (g *generation) address(ctx context.Context, last string) (string, error) {
	if !g.caller.cfg.Direct {
		return g.caller.pick(ctx, g.req.First, last)
	}
	if len(g.caller.cfg.Nodes) == 0 {
		return "", errors.New("no engine address is set")
	}
	return g.caller.cfg.Nodes[0], nil
}

// recordBreak records an interruption if the answer had begun or the failure has no
// HTTP status, as when the connection broke. It marks a node whose connection broke
// as failed, and caches the node addresses that an error response contains.
func (g *generation) recordBreak(address string, f *Failure) {
	if f.Status == 0 && f.Code == "" {
		g.caller.addresses.markFailed(address)
	}
	g.caller.addresses.setAddresses(f.addresses)
	if len(g.cursor) > 0 || f.Status == 0 {
		g.result.Breaks = append(g.result.Breaks, Break{
			Address: address, Reason: f.Message, Position: g.verify.Counts().Tokens,
		})
		g.openBreaks++
	}
}

// retry returns whether to connect again after a failure, and after which delay.
func (g *generation) retry(f *Failure) (pause time.Duration, again bool) {
	cfg := g.caller.cfg
	switch {
	case cfg.Direct:
		return 0, false
	case f.Status == 0 && f.Code == "": // the connection broke
		return backoff(g.attemptsWithoutToken), true
	case f.Code == callerapi.CodeCursorNeedsText && cfg.SendText && !g.sendText:
		g.sendText = true
		return 0, true
	case f.namesOtherNodes():
		return max(f.RetryAfter, backoff(g.attemptsWithoutToken)), true
	case f.RetryAfter <= 0:
		return 0, false
	case f.Outcome == callerapi.OutcomePartial, len(g.cursor) > 0:
		return f.RetryAfter, true
	}
	return f.RetryAfter, cfg.RetryRefused
}

// attempt makes one connection and reads events. It returns nil when the answer is
// complete, and a failure when the node reports an error or the connection breaks.
func (g *generation) attempt(ctx context.Context, address string) *Failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := g.caller.cfg.SilenceTimeout
	timer := time.AfterFunc(silence, func() { cancel(fmt.Errorf("no data for %s", silence)) })
	defer timer.Stop()

	resp, err := g.send(ctx, address)
	if err != nil {
		return connectionFailure(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorResponseFailure(resp)
	}
	events := newSSEReader(resp.Body)
	for {
		e, err := events.next()
		if err != nil {
			return connectionFailure(ctx, err)
		}
		timer.Reset(silence)
		if string(e.data) == doneMarker {
			return nil
		}
		if failure := g.handleEvent(e); failure != nil {
			return failure
		}
	}
}

// connectionFailure returns the failure for a broken connection. It has neither a
// status nor a code.
func connectionFailure(ctx context.Context, err error) *Failure {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &Failure{Message: err.Error()}
}

// send sends the request. If there is a cursor, it requests the rest of the answer.
func (g *generation) send(ctx context.Context, address string) (*http.Response, error) {
	route, body := g.body()
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+route, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(callerapi.HeaderRequestID, g.req.RequestID)
	if g.caller.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+g.caller.cfg.Key)
	}
	if len(g.cursor) > 0 {
		req.Header.Set(callerapi.HeaderLastEventID, string(g.cursor))
	}
	return g.caller.cfg.Client.Do(req)
}

func (g *generation) body() (route string, body any) {
	if g.caller.cfg.Direct {
		return backendapi.RouteCompletions, backendapi.CompletionRequest{
			Model: g.req.Model, Prompt: g.req.prompt(), MaxTokens: g.req.MaxTokens, Stream: true,
			Priority: g.req.Priority, RequestID: g.req.RequestID, AttemptID: g.req.RequestID,
		}
	}
	request := callerapi.CompletionRequest{
		Model: g.req.Model, Prompt: g.req.Prompt, Messages: g.req.Messages,
		MaxTokens: g.req.MaxTokens, Stream: true,
	}
	if g.sendText && len(g.cursor) > 0 {
		text := string(g.text)
		request.ReceivedText = &text
	}
	if len(g.req.Messages) > 0 {
		return callerapi.RouteChatCompletions, request
	}
	return callerapi.RouteCompletions, request
}

// handleEvent processes one event of the answer. The fields that it reads are the
// same in the events of nodes and of engines.
func (g *generation) handleEvent(e sseEvent) *Failure {
	if len(e.id) > 0 {
		g.cursor = append(g.cursor[:0], e.id...)
	}
	if string(e.name) == "error" {
		return parseError(0, e.data)
	}
	if text, ok := plainText(e.data); ok {
		if len(text) > 0 {
			g.addText(time.Now(), text)
		}
		return nil
	}
	var chunk struct {
		Choices []callerapi.Choice     `json:"choices"`
		Error   *callerapi.ErrorDetail `json:"error"`
	}
	if err := json.Unmarshal(e.data, &chunk); err != nil {
		return &Failure{Message: "event is not valid: " + err.Error()}
	}
	if chunk.Error != nil {
		return parseError(0, e.data)
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			g.finish = *choice.FinishReason
		}
		switch {
		case choice.Text != nil && *choice.Text != "":
			g.addText(time.Now(), []byte(*choice.Text))
		case choice.Delta != nil && choice.Delta.Content != "":
			g.addText(time.Now(), []byte(choice.Delta.Content))
		}
	}
	return nil
}

// Keys before the text, and ends, of an event with a single choice and no finish
// reason, as encoding/json writes them.
var (
	textKey    = []byte(`"text":"`)
	contentKey = []byte(`"content":"`)
	textTail   = []byte(`,"finish_reason":null}]}`)
	deltaTail  = []byte(`},"finish_reason":null}]}`)
)

// plainText returns the text of a common event without decoding its JSON. It
// returns false for events with a finish reason, text with escape sequences and
// events of any other form; the caller of plainText then decodes the whole event.
func plainText(data []byte) (text []byte, ok bool) {
	key, tail := textKey, textTail
	body, ok := bytes.CutSuffix(data, deltaTail)
	if ok {
		key = contentKey
	} else if body, ok = bytes.CutSuffix(data, tail); !ok {
		return nil, false
	}
	// Quotes inside a JSON string are escaped, so only a key can match.
	at := bytes.LastIndex(body, key)
	if at < 0 {
		return nil, false
	}
	text, ok = bytes.CutSuffix(body[at+len(key):], []byte(`"`))
	if !ok || bytes.IndexByte(text, '"') >= 0 || bytes.IndexByte(text, '\\') >= 0 {
		return nil, false
	}
	return text, true
}

// addText verifies new text that arrived at the given time and records the time
// since the previous text.
func (g *generation) addText(now time.Time, text []byte) {
	since, first := g.started, g.lastToken.IsZero()
	if first {
		g.result.FirstToken = now.Sub(g.started)
	} else {
		since = g.lastToken
		g.result.MaxGap = max(g.result.MaxGap, now.Sub(since))
		if g.req.Observe == nil {
			g.result.Gaps = append(g.result.Gaps, now.Sub(since))
		}
	}
	if g.req.Observe != nil {
		g.req.Observe(TokenArrival{At: now, Silence: now.Sub(since), First: first, AfterBreak: g.openBreaks > 0})
	}
	for ; g.openBreaks > 0; g.openBreaks-- {
		g.result.Breaks[len(g.result.Breaks)-g.openBreaks].Silence = now.Sub(since)
	}
	g.lastToken, g.attemptsWithoutToken = now, 0
	g.text = append(g.text, text...)
	g.verify.Add(text)
}

// errorResponseFailure returns the failure that an error response describes.
func errorResponseFailure(resp *http.Response) *Failure {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		return &Failure{Message: "error answer broke off: " + err.Error()}
	}
	return parseError(resp.StatusCode, data)
}

// parseError decodes the body of an error. A body that does not have the published
// form gets the code "internal", so that it is not mistaken for a broken
// connection.
func parseError(status int, data []byte) *Failure {
	var body callerapi.Error
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &Failure{Status: status, Code: callerapi.CodeInternal, Message: fmt.Sprintf("error of unknown shape: %.200q", data)}
	}
	d := body.Error
	return &Failure{Status: status, Code: d.Code, Outcome: d.Outcome, Message: d.Message, RetryAfter: d.RetryAfter(), addresses: d.Addresses}
}
