package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/chain"
	"github.com/yuccahatch/yuccahatch/lab/pipenet"
)

// testEngine is one engine behind an in-memory network.
type testEngine struct {
	t      *testing.T
	engine *Engine
	client *http.Client
}

// startEngine starts an engine. It must be called inside a synctest bubble.
func startEngine(t *testing.T, change func(*Config)) *testEngine {
	cfg := DefaultConfig()
	cfg.Models = []backendapi.LoadedModel{{Model: "m", Version: "1"}}
	change(&cfg)
	e, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go e.Run(ctx)
	network := pipenet.New()
	stop := network.Serve("engine:1", e.Handler())
	client := network.Client()
	t.Cleanup(func() {
		client.CloseIdleConnections()
		stop()
		cancel()
		synctest.Wait()
	})
	return &testEngine{t: t, engine: e, client: client}
}

func (e *testEngine) do(method, path string, body any, header map[string]string) *http.Response {
	data, _ := json.Marshal(body)
	req, _ := http.NewRequest(method, "http://engine:1"+path, bytes.NewReader(data))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// events reads at most n events; done reports whether the [DONE] marker was read.
func events(resp *http.Response, n int) (out []backendapi.StreamEvent, done bool) {
	lines := bufio.NewScanner(resp.Body)
	for len(out) < n && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return out, true
		}
		var e backendapi.StreamEvent
		json.Unmarshal([]byte(data), &e) //nolint:errcheck // the callers' checks of the content would fail
		out = append(out, e)
	}
	return out, false
}

func request(id, prompt string) backendapi.CompletionRequest {
	return backendapi.CompletionRequest{Model: "m", Prompt: prompt, Stream: true, AttemptID: id}
}

func text(events []backendapi.StreamEvent) string {
	var b strings.Builder
	for _, e := range events {
		b.WriteString(e.Choices[0].Text)
	}
	return b.String()
}

func checkAnswer(t *testing.T, prompt, answer string, length int) {
	t.Helper()
	s := chain.New(prompt)
	for _, token := range chain.Split(answer) {
		if !s.Fits(token) {
			t.Fatalf("token %q does not fit at %d", token, s.Next())
		}
		s = s.Append(token)
	}
	if s.Next() != length {
		t.Fatalf("answer has %d tokens, want %d", s.Next(), length)
	}
}

// Guards against streams that stop when their reader disconnects, against resumed
// streams with missing or repeated tokens, and against a wrong retention period.
func TestStreamOutlivesReaderAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startEngine(t, func(*Config) {})
		const prompt = "tell me length=50"
		resp := b.do("POST", "/v1/completions", request("a1", prompt), nil)
		head, _ := events(resp, 5)
		resp.Body.Close()
		if head[0].PromptTokens != 3 {
			t.Errorf("first event has %d prompt tokens, want 3", head[0].PromptTokens)
		}
		time.Sleep(time.Second)
		var status backendapi.StreamStatus
		resp = b.do("GET", "/v1/streams/a1/status", nil, nil)
		json.NewDecoder(resp.Body).Decode(&status) //nolint:errcheck // checked below
		resp.Body.Close()
		if status.State != backendapi.StreamRunning || status.Tokens < 20 {
			t.Errorf("a second after the reader left: %+v", status)
		}
		resp = b.do("GET", "/v1/streams/a1", nil, map[string]string{"Last-Event-ID": "4"})
		tail, done := events(resp, 100)
		resp.Body.Close()
		if !done || *tail[len(tail)-1].Choices[0].FinishReason != backendapi.FinishStop {
			t.Error("resumed stream has no end")
		}
		checkAnswer(t, prompt, text(head)+text(tail), 50)

		time.Sleep(29 * time.Second)
		if resp = b.do("GET", "/v1/streams/a1", nil, nil); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d before the end of the retention", resp.StatusCode)
		}
		events(resp, 100)
		resp.Body.Close()
		time.Sleep(32 * time.Second)
		resp = b.do("GET", "/v1/streams/a1", nil, nil)
		resp.Body.Close()
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("status %d after the retention, want 404", resp.StatusCode)
		}
	})
}

// Guards against continuations on another engine that generate the output from the
// start or number its tokens from 0.
func TestContinueFromOnAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prompt = "tell me length=30"
		first := startEngine(t, func(c *Config) { c.Salt = 1 })
		head, _ := events(first.do("POST", "/v1/completions", request("a1", prompt), nil), 12)
		second := startEngine(t, func(c *Config) { c.Salt = 2 })
		req := request("a2", prompt)
		req.ContinueFrom = &backendapi.ContinueFrom{Tokens: 11, Text: text(head)}
		if resp := second.do("POST", "/v1/completions", req, nil); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("wrong token count: status %d, want 400", resp.StatusCode)
		}
		req.ContinueFrom.Tokens = 12
		tail, done := events(second.do("POST", "/v1/completions", req, nil), 100)
		if !done || tail[0].Index != 12 || tail[0].PromptTokens != 15 {
			t.Errorf("continuation starts with %+v, done %v", tail[0], done)
		}
		checkAnswer(t, prompt, text(head)+text(tail), 30)
		req.AttemptID, req.ContinueFrom = "a3", &backendapi.ContinueFrom{Tokens: 30, Text: text(head) + text(tail)}
		end, done := events(second.do("POST", "/v1/completions", req, nil), 100)
		if !done || len(end) != 1 || text(end) != "" || end[0].Choices[0].FinishReason == nil {
			t.Errorf("continuation of a complete answer: %+v, done %v", end, done)
		}
	})
}

// Guards against cancelled streams that look complete to their reader, and against
// a graceful shutdown that accepts new streams or interrupts running ones.
func TestCancelAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startEngine(t, func(*Config) {})
		cancelled := b.do("POST", "/v1/completions", request("a1", "length=100"), nil)
		events(cancelled, 3)
		if resp := b.do("DELETE", "/v1/streams/a1", nil, nil); resp.StatusCode != http.StatusNoContent {
			t.Errorf("cancel: status %d", resp.StatusCode)
		}
		if _, done := events(cancelled, 1000); done {
			t.Error("cancelled stream ends with the [DONE] marker")
		}
		if _, err := io.ReadAll(cancelled.Body); err == nil {
			t.Error("response of a cancelled stream ends as if it were complete")
		}
		running := b.do("POST", "/v1/completions", request("a2", "length=20"), nil)
		b.engine.Leave()
		if resp := b.do("POST", "/v1/completions", request("a3", "length=20"), nil); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("new stream while leaving: status %d", resp.StatusCode)
		}
		select {
		case <-b.engine.Drained():
			t.Error("drained with a stream running")
		default:
		}
		if got, done := events(running, 100); !done || len(got) != 20 {
			t.Errorf("stream of a leaving engine: %d events, done %v", len(got), done)
		}
		synctest.Wait()
		select {
		case <-b.engine.Drained():
		default:
			t.Error("not drained after the last stream")
		}
	})
}

// Guards against load reports that ignore LoadLag, and against a CrashOn text that
// takes effect before its request enters the batch.
func TestLoadLagAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var crashed atomic.Bool
		b := startEngine(t, func(c *Config) {
			c.LoadLag, c.MaxRunning = time.Second, 1
			c.CrashOn, c.Crash = "poison", func() { crashed.Store(true) }
		})
		b.do("POST", "/v1/completions", request("a1", "length=34"), nil)
		b.do("POST", "/v1/completions", request("a2", "poison"), nil)
		synctest.Wait()
		if running := b.engine.load(time.Now()).Running; running != 0 || crashed.Load() {
			t.Errorf("at once: %d running in the lagging report, crashed %v", running, crashed.Load())
		}
		time.Sleep(1100 * time.Millisecond)
		if load := b.engine.load(time.Now()); load.Running != 1 || load.Waiting != 1 {
			t.Errorf("after the lag: %+v", load)
		}
		time.Sleep(2 * time.Second)
		if !crashed.Load() {
			t.Error("Crash was not called when the request with the CrashOn text ran")
		}
	})
}

// Guards against a simulated network failure (Engine.Silence) that closes the
// connection, ends the stream or affects new connections.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startEngine(t, func(*Config) {})
		silent := b.do("POST", "/v1/completions", request("a1", "length=40"), nil)
		head, _ := events(silent, 5)
		b.do("POST", "/admin/silence", nil, nil)
		got := make(chan int, 1)
		go func() {
			more, _ := events(silent, 100)
			got <- len(more)
		}()
		time.Sleep(20 * time.Second)
		select {
		case n := <-got:
			t.Errorf("silent connection gave %d events and ended", n)
		default:
		}
		tail, done := events(b.do("GET", "/v1/streams/a1", nil, map[string]string{"Last-Event-ID": "4"}), 100)
		if !done {
			t.Error("new connection has no end")
		}
		checkAnswer(t, "length=40", text(head)+text(tail), 40)
		silent.Body.Close()
		<-got
	})
}
