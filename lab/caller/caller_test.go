package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/chain"
	"github.com/yuccahatch/yuccahatch/lab/pipenet"
)

const (
	testPrompt = "q length=30"
	interval   = 100 * time.Millisecond
)

// fakeNodes is a set of nodes that serve answers to testPrompt. The n-th step
// handles the n-th connection, and the last step all further connections.
type fakeNodes struct {
	steps    []func(*exchange)
	count    int
	attempts []string // address and Last-Event-ID of each connection
}

// exchange is one request to a fake node.
type exchange struct {
	w    http.ResponseWriter
	from int // position after the cursor
	body callerapi.CompletionRequest
	chat bool
}

func (f *fakeNodes) handler(address string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == callerapi.RouteAddresses {
			json.NewEncoder(w).Encode(callerapi.Addresses{LifetimeSeconds: 5, Addresses: []callerapi.Address{ //nolint:errcheck // memory
				{Address: "node:1"}, {Address: "node:2"}}})
			return
		}
		last := r.Header.Get("Last-Event-ID")
		f.attempts = append(f.attempts, address+" "+last)
		e := &exchange{w: w, chat: r.URL.Path == callerapi.RouteChatCompletions}
		json.NewDecoder(r.Body).Decode(&e.body) //nolint:errcheck // checked by the test's result
		if at, err := strconv.Atoi(last); err == nil {
			e.from = at + 1
		}
		step := f.steps[min(f.count, len(f.steps)-1)]
		f.count++
		step(e)
	})
}

// send streams one token per interval, with the position as the cursor.
func (e *exchange) send(tokens []string, from int) {
	for i, token := range tokens {
		time.Sleep(interval)
		choice := callerapi.Choice{Text: &token}
		if e.chat {
			choice = callerapi.Choice{Delta: &callerapi.Delta{Content: token}}
		}
		if from+i == 29 {
			stop := "stop"
			choice.FinishReason = &stop
		}
		data, _ := json.Marshal(callerapi.Chunk{Choices: []callerapi.Choice{choice}})
		fmt.Fprintf(e.w, "id: %d\ndata: %s\n\n", from+i, data)
		e.w.(http.Flusher).Flush()
	}
}

func (e *exchange) sendDone() { fmt.Fprint(e.w, "data: [DONE]\n\n") }

func (e *exchange) refuse(status int, d callerapi.ErrorDetail) {
	e.w.WriteHeader(status)
	json.NewEncoder(e.w).Encode(callerapi.Error{Error: d}) //nolint:errcheck // memory
}

// run starts the nodes and returns a caller and a function that stops them. It must
// be called inside a synctest bubble.
func (f *fakeNodes) run(t *testing.T, change func(*Config)) (*Caller, func()) {
	network := pipenet.New()
	stop1 := network.Serve("node:1", f.handler("node:1"))
	stop2 := network.Serve("node:2", f.handler("node:2"))
	cfg := DefaultConfig()
	cfg.Client, cfg.Nodes, cfg.Key = network.Client(), []string{"node:1"}, "key"
	change(&cfg)
	return New(cfg), func() {
		cfg.Client.CloseIdleConnections()
		stop1()
		stop2()
		time.Sleep(time.Minute) // lets sleeping handlers return
		synctest.Wait()
	}
}

func sendFirst12(e *exchange) { e.send(generate(testPrompt, 1, nil)[:12], 0) }

func sendFirst12AndAbort(e *exchange) { sendFirst12(e); panic(http.ErrAbortHandler) }

// resumeAnswer returns a step that continues the answer after the cursor with
// another salt and modifies the continuation with change.
func resumeAnswer(change func(known, tail []string) []string) func(*exchange) {
	return func(e *exchange) {
		known := generate(testPrompt, 1, nil)[:e.from]
		tail := change(known, generate(testPrompt, 2, known)[e.from:])
		e.send(tail, 30-len(tail))
		e.sendDone()
	}
}

func unchanged(_, tail []string) []string { return tail }

// Guards against a caller that does not resume an answer after a break, resumes it
// at the wrong position, or does not detect an incorrect resume.
func TestGenerate(t *testing.T) {
	partial := func(e *exchange) {
		sendFirst12(e)
		data, _ := json.Marshal(callerapi.Error{Error: callerapi.ErrorDetail{
			Code: callerapi.CodeBackendUnavailable, Outcome: callerapi.OutcomePartial, RetryAfterMillis: 2000}})
		fmt.Fprintf(e.w, "data: %s\n\n", data)
	}
	cases := map[string]struct {
		steps    []func(*exchange)
		complete bool
		counts   Counts
		silence  time.Duration // of the only break
	}{
		"undisturbed":                {[]func(*exchange){resumeAnswer(unchanged)}, true, Counts{Tokens: 30}, 0},
		"broken connection":          {[]func(*exchange){sendFirst12AndAbort, resumeAnswer(unchanged)}, true, Counts{Tokens: 30}, interval},
		"silent connection":          {[]func(*exchange){func(e *exchange) { sendFirst12(e); time.Sleep(time.Minute) }, resumeAnswer(unchanged)}, true, Counts{Tokens: 30}, 5*time.Second + interval},
		"partial with a retry delay": {[]func(*exchange){partial, resumeAnswer(unchanged)}, true, Counts{Tokens: 30}, 2*time.Second + interval},
		"resume skips a token": {[]func(*exchange){sendFirst12AndAbort, resumeAnswer(func(_, tail []string) []string { return tail[1:] })},
			true, Counts{Tokens: 29, Missing: 1, Unverified: 17}, interval},
		"resume repeats a token": {[]func(*exchange){sendFirst12AndAbort, resumeAnswer(func(known, tail []string) []string { return join(known[11:], tail) })},
			true, Counts{Tokens: 31, Repeated: 1}, interval},
		"resume regenerates and skips ahead": {[]func(*exchange){sendFirst12AndAbort, resumeAnswer(func(known, _ []string) []string { return generate(testPrompt, 2, nil)[len(known):] })},
			true, Counts{Tokens: 30, Mixed: 18}, interval},
		"refused without a retry delay": {[]func(*exchange){func(e *exchange) {
			e.refuse(400, callerapi.ErrorDetail{Code: callerapi.CodeUnknownModel, Outcome: callerapi.OutcomeNotRun})
		}}, false, Counts{}, 0},
		"node leaves": {[]func(*exchange){func(e *exchange) {
			e.refuse(503, callerapi.ErrorDetail{Code: callerapi.CodeNodeLeaving, Outcome: callerapi.OutcomeNotRun,
				Addresses: []callerapi.Address{{Address: "node:2"}}})
		}, resumeAnswer(unchanged)}, true, Counts{Tokens: 30}, 0},
		"node needs the text": {[]func(*exchange){sendFirst12AndAbort, func(e *exchange) {
			e.refuse(409, callerapi.ErrorDetail{Code: callerapi.CodeCursorNeedsText, Outcome: callerapi.OutcomePartial})
		}, func(e *exchange) {
			if e.body.ReceivedText != nil && *e.body.ReceivedText == strings.Join(generate(testPrompt, 1, nil)[:12], "") {
				resumeAnswer(unchanged)(e)
			}
		}}, true, Counts{Tokens: 30}, interval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeNodes{steps: c.steps}
				caller, stop := f.run(t, func(*Config) {})
				defer stop()
				r := caller.Generate(t.Context(), Request{Model: "m", Prompt: testPrompt})
				want := c.counts
				// A missing token affects Clean, but not Complete.
				clean := want.Missing+want.Repeated+want.Mixed == 0
				if r.Complete != c.complete || r.Clean != clean || r.Counts != want {
					t.Errorf("complete %v, clean %v, %+v, error %+v; want complete %v, %+v", r.Complete, r.Clean, r.Counts, r.Error, c.complete, want)
				}
				if c.silence != 0 && (len(r.Breaks) == 0 || r.Breaks[0].Silence != c.silence || r.MaxGap != c.silence) {
					t.Errorf("breaks %+v, longest gap %s, want a silence of %s", r.Breaks, r.MaxGap, c.silence)
				}
				if len(f.attempts) > 1 && f.attempts[0][:6] == f.attempts[1][:6] {
					t.Errorf("second connection went to the same node: %q", f.attempts)
				}
				if c.complete && r.FirstToken != interval {
					t.Errorf("first token after %s", r.FirstToken)
				}
			})
		})
	}
}

// Guards against a chat answer that is verified against the wrong prompt.
func TestGenerateChat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		messages := []callerapi.Message{{Role: "user", Content: "hello length=30"}}
		f := &fakeNodes{steps: []func(*exchange){func(e *exchange) {
			e.send(generate(chain.RenderChat(e.body.Messages), 1, nil), 0)
			e.sendDone()
		}}}
		caller, stop := f.run(t, func(*Config) {})
		defer stop()
		if r := caller.Generate(t.Context(), Request{Model: "m", Messages: messages}); !r.Complete || !r.Clean {
			t.Errorf("result %+v", r)
		}
	})
}

// Guards against calls that are retried with a new key or at the wrong time, and
// against a result with the wrong outcome.
func TestCall(t *testing.T) {
	outcome := func(o callerapi.Outcome, c callerapi.Code, millis int64) func(*exchange) {
		return func(e *exchange) {
			e.refuse(503, callerapi.ErrorDetail{Code: c, Outcome: o, RetryAfterMillis: millis})
		}
	}
	lost := func(*exchange) { panic(http.ErrAbortHandler) }
	done := func(e *exchange) { e.w.WriteHeader(http.StatusCreated) }
	for name, c := range map[string]struct {
		steps    []func(*exchange)
		noKey    bool
		outcome  string
		attempts int
	}{
		"done":                      {[]func(*exchange){done}, false, OutcomeDone, 1},
		"answer lost":               {[]func(*exchange){lost, done}, false, OutcomeDone, 2},
		"answer lost without a key": {[]func(*exchange){lost, done}, true, "unknown", 1},
		"unknown, then done":        {[]func(*exchange){outcome("unknown", "outcome_unknown", 500), done}, false, OutcomeDone, 2},
		"not run":                   {[]func(*exchange){outcome("not_run", "quiet_hours", 500), done}, false, "not_run", 1},
		"attempt not run after unknown": {[]func(*exchange){lost, outcome("attempt_not_run", "store_unavailable", 0)},
			false, "unknown", 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeNodes{steps: c.steps}
				caller, stop := f.run(t, func(*Config) {})
				defer stop()
				r := caller.Call(t.Context(), Call{Service: "booking", Path: "/bookings", Body: []byte(`{}`), NoKey: c.noKey})
				if r.Outcome != c.outcome || r.Attempts != c.attempts || (r.Key == "") != c.noKey {
					t.Errorf("result %+v, want outcome %s after %d attempts", r, c.outcome, c.attempts)
				}
			})
		})
	}
}
