//go:build linux

package e2e

import (
	"bytes"
	"net/http"
	"net/url"
	"testing"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/trace"
)

// Guards against losing the explanation and the trace of an interrupted request
// when the node that served it is killed, and against reporting a store error
// instead of not found for an unknown request.
func TestExplanationSurvivesNodeKill(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	const request = "explained/1"
	done := make(chan httpResponse, 1)
	go func() {
		body := callerapi.CompletionRequest{Model: model, Prompt: "explained length=100", Stream: true}
		done <- do(http.MethodPost, "http://"+d.nodes[0].callerAddress+callerapi.RouteCompletions, callerKey,
			map[string]string{callerapi.HeaderRequestID: request}, mustJSON(t, body))
	}()
	d.busyEngine(d.engines...).kill(t)
	if a := <-done; a.err != nil || a.status != http.StatusOK {
		t.Fatalf("answer: status %d, %v", a.status, a.err)
	}
	d.await(awaitTimeout, "the explanation is stored", func() bool {
		return d.metric("yuccahatch_explain_objects_total", "outcome", "written") > 0
	})
	requireExplained(t, d, request)
	d.nodes[0].kill(t)
	requireExplained(t, d, request)
	if a := getFromOperatorAPI(d, operatorapi.RouteTrace, "never-sent"); a.status != http.StatusNotFound {
		t.Errorf("unknown request: status %d, %s", a.status, a.body)
	}
}

// getFromOperatorAPI fetches a request's record from the operator API of the last
// node.
func getFromOperatorAPI(d *deployment, route, request string) httpResponse {
	return do(http.MethodGet, "http://"+d.nodes[2].operatorAddress+route+url.PathEscape(request), operatorKey, nil, nil)
}

// requireExplained requires an explanation with every decision exactly once,
// whether the node, the object store or both hold it, and a trace that can be
// replayed.
func requireExplained(t *testing.T, d *deployment, request string) {
	t.Helper()
	var explanation operatorapi.Explanation
	getFromOperatorAPI(d, operatorapi.RouteExplain, request).decode(t, &explanation)
	events := map[string]int{}
	for _, decision := range explanation.Decisions {
		events[decision.Event]++
	}
	if explanation.Customer != team || events["placed"] != 2 || events["lost"] != 1 || events["resumed"] != 1 {
		t.Errorf("explanation %+v", explanation)
	}
	found := getFromOperatorAPI(d, operatorapi.RouteTrace, request)
	report, err := trace.Replay(bytes.NewReader(found.body))
	if err != nil || !report.OK() || len(report.Sessions) != 1 || len(report.Sessions[0].Resumes) != 1 {
		t.Errorf("trace: status %d, %v, report %+v", found.status, err, report)
	}
}
