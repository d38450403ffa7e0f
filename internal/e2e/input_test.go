//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

const secondKey = "e2e-other-customer"

// secondContract returns the contract of a second team.
func secondContract() string {
	text := strings.Replace(contractText(""), keyHash(callerKey), keyHash(secondKey), 1)
	return strings.Replace(text, team, "arejo-porto", 1)
}

// badInputCase is one request that must be refused, with the expected error.
type badInputCase struct {
	name, method, path, key string
	header                  map[string]string
	body                    string
	status                  int
	code                    callerapi.Code
	param                   string
	outcome                 callerapi.Outcome // not_run if empty
}

func completionBody(fields string) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"raw programme length=60"%s}`, model, fields)
}

// badInputCases returns a case for each refusal in docs/api.md that is caused by
// the caller's input. The cursor must come from a rawAnswer of 60 tokens.
func badInputCases(cursor string) []badInputCase {
	post, completions, bookings := http.MethodPost, callerapi.RouteCompletions, callerapi.RouteServices+"booking/bookings"
	altered := []byte(cursor)
	altered[len(altered)/2] ^= 1
	withCursor := func(cursor string) map[string]string { return map[string]string{callerapi.HeaderLastEventID: cursor} }
	idempotent := map[string]string{callerapi.HeaderIdempotencyKey: "k1"}
	return []badInputCase{
		{"no key", post, completions, "", nil, completionBody(""), 401, callerapi.CodeInvalidAPIKey, "", ""},
		{"unknown key", post, completions, "nobody", nil, completionBody(""), 401, callerapi.CodeInvalidAPIKey, "", ""},
		{"unknown key with an idempotency key", post, bookings, "nobody", idempotent, "{}", 401, callerapi.CodeInvalidAPIKey, "", callerapi.OutcomeAttemptNotRun},
		{"unknown model", post, completions, callerKey, nil, `{"model":"m","prompt":"p"}`, 404, callerapi.CodeUnknownModel, "model", ""},
		{"no model", post, completions, callerKey, nil, `{"prompt":"p"}`, 400, callerapi.CodeInvalidRequest, "model", ""},
		{"no prompt", post, completions, callerKey, nil, fmt.Sprintf(`{"model":%q}`, model), 400, callerapi.CodeInvalidRequest, "prompt", ""},
		{"no messages", post, callerapi.RouteChatCompletions, callerKey, nil, fmt.Sprintf(`{"model":%q}`, model), 400, callerapi.CodeInvalidRequest, "messages", ""},
		{"two answers", post, completions, callerKey, nil, completionBody(`,"n":2`), 400, callerapi.CodeInvalidRequest, "n", ""},
		{"negative length", post, completions, callerKey, nil, completionBody(`,"max_tokens":-1`), 400, callerapi.CodeInvalidRequest, "max_tokens", ""},
		{"wrong type", post, completions, callerKey, nil, completionBody(`,"max_tokens":"many"`), 400, callerapi.CodeInvalidRequest, "max_tokens", ""},
		{"truncated JSON", post, completions, callerKey, nil, `{"model":`, 400, callerapi.CodeInvalidRequest, "body", ""},
		{"long body", post, completions, callerKey, nil, completionBody(`,"user":"` + strings.Repeat("x", 1<<16) + `"`), 413, callerapi.CodeBodyTooLarge, "body", ""},
		{"long body of a service call", post, bookings, callerKey, idempotent, `{"x":"` + strings.Repeat("x", 1<<16) + `"}`, 413, callerapi.CodeBodyTooLarge, "body", callerapi.OutcomeAttemptNotRun},
		{"long request id", post, completions, callerKey, map[string]string{callerapi.HeaderRequestID: strings.Repeat("r", 201)}, completionBody(""), 400, callerapi.CodeInvalidRequest, callerapi.HeaderRequestID, ""},
		{"altered cursor", post, completions, callerKey, withCursor(string(altered)), completionBody(`,"stream":true`), 400, callerapi.CodeCursorInvalid, callerapi.HeaderLastEventID, ""},
		{"truncated cursor", post, completions, callerKey, withCursor(cursor[:len(cursor)-4]), completionBody(`,"stream":true`), 400, callerapi.CodeCursorInvalid, callerapi.HeaderLastEventID, ""},
		{"cursor that is a plain number", http.MethodGet, callerapi.RouteGenerations, callerKey, withCursor("17"), "", 400, callerapi.CodeCursorInvalid, callerapi.HeaderLastEventID, ""},
		{"no cursor", http.MethodGet, callerapi.RouteGenerations, callerKey, nil, "", 400, callerapi.CodeInvalidRequest, callerapi.HeaderLastEventID, ""},
		{"cursor of another customer", post, completions, secondKey, withCursor(cursor), completionBody(`,"stream":true`), 400, callerapi.CodeCursorInvalid, callerapi.HeaderLastEventID, ""},
		{"cursor of another customer without a request", http.MethodGet, callerapi.RouteGenerations, secondKey, withCursor(cursor), "", 400, callerapi.CodeCursorInvalid, callerapi.HeaderLastEventID, ""},
		{"cursor with another body", post, completions, callerKey, withCursor(cursor), completionBody(`,"stream":true,"max_tokens":9`), 400, callerapi.CodeCursorInvalid, callerapi.HeaderLastEventID, ""},
		{"no idempotency key", post, bookings, callerKey, nil, "{}", 400, callerapi.CodeKeyRequired, callerapi.HeaderIdempotencyKey, ""},
		{"no idempotency key, escaped path", post, callerapi.RouteServices + "booking/x/..%2Fbook%69ngs", callerKey, nil, "{}", 400, callerapi.CodeKeyRequired, callerapi.HeaderIdempotencyKey, ""},
		{"long idempotency key", post, bookings, callerKey, map[string]string{callerapi.HeaderIdempotencyKey: strings.Repeat("k", 201)}, "{}", 400, callerapi.CodeInvalidRequest, callerapi.HeaderIdempotencyKey, callerapi.OutcomeAttemptNotRun},
		{"unknown service", post, callerapi.RouteServices + "taxi/rides", callerKey, nil, "{}", 404, callerapi.CodeUnknownService, "service", ""},
		{"unknown route", http.MethodGet, "/v1/nothing", callerKey, nil, "", 404, callerapi.CodeNotFound, "", ""},
		{"wrong method", http.MethodDelete, completions, callerKey, nil, "", 404, callerapi.CodeNotFound, "", ""},
	}
}

func (c badInputCase) check(t *testing.T, n *nodeProcess) {
	a := do(c.method, "http://"+n.callerAddress+c.path, c.key, c.header, []byte(c.body))
	f := a.failure(t)
	param := ""
	if f.Param != nil {
		param = *f.Param
	}
	want := orDefault(c.outcome, callerapi.OutcomeNotRun)
	if a.status != c.status || f.Code != c.code || param != c.param || f.Outcome != want || f.RetryAfterMillis != 0 || f.Message == "" {
		t.Errorf("status %d, param %q, %+v; want %d, %s, %q, %s", a.status, param, f, c.status, c.code, c.param, want)
	}
}

// Guards against invalid input that is reported with the wrong error or reaches a
// backend server.
func TestBadInput(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, settings: "[limits]\nmax_body_bytes = 32768\n"})
	d.putSecondContract(secondContract())
	d.awaitSequence(2)
	answer := newRawAnswer(t, 60)
	answer.post(d.nodes[0], allTokens)
	answer.requireComplete()
	d.await(awaitTimeout, "the engine is idle", d.enginesIdle)
	sleep(metricsLag)
	opened := d.metric("yuccahatch_attempts_total")
	for _, c := range badInputCases(answer.cursor) {
		t.Run(c.name, func(t *testing.T) { c.check(t, d.nodes[1]) })
	}
	sleep(metricsLag)
	if now := d.metric("yuccahatch_attempts_total"); now != opened || !d.enginesIdle() {
		t.Errorf("%v attempts were opened for refused requests", now-opened)
	}
	if runs := d.runs(); runs.Total != 0 {
		t.Errorf("the service ran %+v", runs)
	}
}

// Guards against a repeated booking that gets the outcome not_run because the node
// has reached its connection limit, although the first attempt ran.
func TestNodeAtConnectionLimit(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, settings: "[limits]\nmax_connections = 2\n"})
	requireOutcome(t, "booking", d.book(0, "k1", singleAttempt), "done", false)
	a := d.startAnswers(2, 120, d.nodes[0])
	a.awaitTokens(d, 5)
	refused := do(http.MethodPost, "http://"+d.nodes[0].callerAddress+callerapi.RouteServices+"booking/bookings", callerKey,
		map[string]string{callerapi.HeaderIdempotencyKey: "k1"}, []byte(`{"seat":1}`))
	if f := refused.failure(t); refused.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeOverloaded || f.Outcome != callerapi.OutcomeAttemptNotRun || f.RetryAfterMillis == 0 {
		t.Errorf("booking at a node at its connection limit: status %d, %+v", refused.status, f)
	}
	if f := generate(d.nodes[0], callerKey).failure(t); f.Code != callerapi.CodeOverloaded || f.Outcome != callerapi.OutcomeNotRun {
		t.Errorf("generation at a node at its connection limit: %+v", f)
	}
	a.requireComplete(t)
	d.requireRuns("k1", 1)
}
