//go:build linux

package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/scrape"
)

// Guards against answers that are truncated, restart from the beginning or mix
// two texts when their engine is killed.
func TestEngineKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(4, 120)
	a.awaitTokens(d, 20)
	d.busyEngine(d.engines...).kill(t)
	requireResumeBound(t, a.requireComplete(t))
	if newAttempts := d.metric(scrape.Resumes, "way", "new_attempt"); newAttempts == 0 {
		t.Error("no answer was resumed in a new attempt, so the killed engine had no streams")
	}
}

// Guards against delivering tokens of an engine that was frozen and runs again after
// its answer was resumed on another engine.
func TestEngineFrozen(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(4, 160)
	a.awaitTokens(d, 20)
	frozen := d.busyEngine(d.engines...)
	frozen.freeze(t)
	d.await(awaitTimeout, "an answer was resumed", func() bool { return d.metric(scrape.Resumes, "way", "new_attempt") > 0 })
	frozen.thaw(t)
	requireResumeBound(t, a.requireComplete(t))
	d.await(awaitTimeout, "no engine works on a finished answer", d.enginesIdle)
}

// Guards against recomputing an answer when its engine is alive and only the
// connections to it no longer deliver data.
func TestEngineConnectionsSilent(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(4, 160)
	a.awaitTokens(d, 20)
	for _, e := range d.engines {
		if answer := do(http.MethodPost, e.url+"/admin/silence", "", nil, nil); answer.status >= http.StatusBadRequest || answer.err != nil {
			t.Fatalf("silence the connections of %s: status %d, %v", e.id, answer.status, answer.err)
		}
	}
	requireResumeBound(t, a.requireComplete(t))
	if same := d.metric(scrape.Resumes, "way", "same_stream"); same != 4 {
		t.Errorf("%v answers resumed the same stream, want 4", same)
	}
	if opened := d.metric("yuccahatch_attempts_total"); opened != 4 {
		t.Errorf("%v attempts were opened, want 4", opened)
	}
}

// Guards against losing an answer when the engine on which it is resumed is killed
// before it sends the first token.
func TestEngineKilledDuringResume(t *testing.T) {
	t.Parallel()
	// At this prefill rate, 100 tokens of the answer and the prompt take a second,
	// which gives the test time to kill the engine during the resume.
	d := deploy(t, options{engines: 3, noService: true, engineFlags: []string{"--prefill-rate", "100", "--cache-blocks", "1"}})
	a := d.startAnswers(1, 160)
	a.awaitTokens(d, 100)
	first := d.busyEngine(d.engines...)
	first.kill(t)
	var rest []*backendProcess
	for _, e := range d.engines {
		if e != first {
			rest = append(rest, e)
		}
	}
	second := d.busyEngine(rest...)
	before := a.tokens[0].Load()
	second.kill(t)
	if now := a.tokens[0].Load(); now != before {
		t.Errorf("the second engine was killed after the answer had resumed")
	}
	requireResumeBound(t, a.requireComplete(t))
}

// Guards against losing answers when a rack failure takes down a quarter of the
// engines at once under load.
func TestQuarterOfEnginesKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 8, noService: true})
	a := d.startAnswers(60, 160)
	a.awaitTokens(d, 20)
	for _, e := range d.engines[:2] {
		e.signal(t, syscall.SIGKILL)
	}
	a.requireComplete(t)
	if d.metric(scrape.Resumes, "way", "new_attempt") == 0 {
		t.Error("no answer was resumed in a new attempt, so the killed engines had no streams")
	}
}

// Guards against interrupted answers that are not resumed after an outage of all
// engines, and against new requests that wait without a response during it.
func TestAllEnginesKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(4, 160)
	a.awaitTokens(d, 20)
	for _, e := range d.engines {
		e.kill(t)
	}
	sleep(time.Second)
	start := time.Now()
	refused := generate(d.nodes[0], callerKey)
	t.Logf("request refused after %d ms", time.Since(start).Milliseconds())
	if f := refused.failure(t); refused.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeBackendUnavailable || f.Outcome != callerapi.OutcomeNotRun || f.RetryAfterMillis == 0 {
		t.Errorf("new request without an engine: status %d, %+v", refused.status, f)
	}
	sleep(5 * time.Second) // longer than the time for which a node tries to resume
	d.startEngine(d.engines[1])
	a.requireComplete(t)
}
