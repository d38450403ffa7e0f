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

// Guards against answers that are lost or corrupted when the node that owns them
// is killed.
func TestNodeKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(9, 160)
	a.awaitTokens(d, 20)
	d.nodes[0].kill(t)
	requireResumeBound(t, a.requireComplete(t))
}

// Guards against losing an answer when its node and its engine are killed at the
// same time: the copy on another node must contain all tokens that the caller has
// received.
func TestNodeAndEngineKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(1, 160, d.nodes[0])
	a.awaitTokens(d, 30)
	engine := d.busyEngine(d.engines...)
	engine.signal(t, syscall.SIGKILL)
	d.nodes[0].signal(t, syscall.SIGKILL)
	requireResumeBound(t, a.requireComplete(t))
}

// Guards against tokens that are sent to the caller before another node has a copy
// of them: the nodes that could take a copy are frozen before the owner and the
// engine are killed.
func TestNoReleaseWithoutCopy(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, settings: "[copies]\nacknowledge_timeout = \"5s\"\n"})
	a := d.startAnswers(1, 160, d.nodes[0])
	a.awaitTokens(d, 30)
	engine := d.busyEngine(d.engines...)
	for _, n := range d.nodes[1:] {
		n.freeze(t)
	}
	sleep(500 * time.Millisecond) // long enough for 20 tokens
	engine.kill(t)
	d.nodes[0].kill(t)
	for _, n := range d.nodes[1:] {
		n.thaw(t)
	}
	requireResumeBound(t, a.requireComplete(t))
}

// Guards against losing or recomputing answers when the nodes that own them are
// killed and no copies exist (copies are off), although the engines still have the
// streams.
func TestOnlyEngineAndOneNodeLeft(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, settings: "[copies]\nmode = \"off\"\n"})
	a := d.startAnswers(2, 160, d.nodes[0], d.nodes[1])
	a.awaitTokens(d, 30)
	d.nodes[0].signal(t, syscall.SIGKILL)
	d.nodes[1].signal(t, syscall.SIGKILL)
	a.requireComplete(t)
	sleep(metricsLag)
	if newAttempts := d.metric(scrape.Resumes, "way", "new_attempt"); newAttempts != 0 {
		t.Errorf("%v answers were computed again although their engines are alive", newAttempts)
	}
}

// Guards against a node that was frozen while its callers continued through other
// nodes: when it runs again, it must not disturb the streams that other nodes have
// resumed, and it must serve requests again.
func TestNodeFrozen(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, tokenRate: 25})
	a := d.startAnswers(6, 130)
	a.awaitTokens(d, 20)
	frozen := d.nodes[0]
	frozen.freeze(t)
	sleep(callerSilenceTimeout + time.Second)
	frozen.thaw(t)
	a.requireComplete(t)
	d.await(awaitTimeout, "no engine works on a finished answer", d.enginesIdle)
	d.awaitReady(frozen)
	d.startAnswers(2, 40, frozen).requireComplete(t)
	if newAttempts := d.metric(scrape.Resumes, "way", "new_attempt"); newAttempts > 0 {
		t.Errorf("%v answers were computed again in a new attempt although no engine failed", newAttempts)
	}
}

// Guards against a node that cannot resume an answer for a caller that sends
// only the cursor, without the request or the received text.
func TestCursorOnly(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	for _, killOwner := range []bool{false, true} {
		r := newRawAnswer(t, 120)
		r.post(d.nodes[0], 40)
		if killOwner {
			d.nodes[0].kill(t)
		}
		r.get(d.nodes[2], allTokens)
		r.requireComplete()
	}
}

// Guards against a second generation, or lost tokens, when the caller's connection
// breaks and the caller reconnects to the same node.
func TestCallerReconnects(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	for _, gap := range []time.Duration{0, 300 * time.Millisecond} {
		r := newRawAnswer(t, 120)
		r.post(d.nodes[0], 30)
		sleep(gap)
		r.post(d.nodes[0], 30)
		sleep(gap)
		r.get(d.nodes[0], allTokens)
		r.requireComplete()
	}
	sleep(metricsLag)
	if opened := d.metric("yuccahatch_attempts_total"); opened != 2 {
		t.Errorf("%v attempts were opened for 2 answers, want 2", opened)
	}
	if newAttempts := d.metric(scrape.Resumes, "way", "new_attempt"); newAttempts != 0 {
		t.Errorf("%v answers were computed again in a new attempt", newAttempts)
	}
}

// Guards against resuming an answer without the received text, or with an altered
// one, when the engine's stream and the owner are lost and there are no copies. Only
// the text that the caller sends back can then continue the answer.
func TestCallerSuppliesText(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, settings: "[copies]\nmode = \"off\"\n"})
	r := newRawAnswer(t, 120)
	r.post(d.nodes[0], 40)
	d.busyEngine(d.engines...).kill(t)
	d.nodes[0].kill(t)
	url := "http://" + d.nodes[1].callerAddress + callerapi.RouteCompletions
	header := map[string]string{callerapi.HeaderLastEventID: r.cursor}
	refused := do(http.MethodPost, url, callerKey, header, r.body())
	if f := refused.failure(t); refused.status != http.StatusConflict || f.Code != callerapi.CodeCursorNeedsText || f.Outcome != callerapi.OutcomePartial {
		t.Fatalf("without text: status %d, %+v", refused.status, f)
	}
	text := r.text.String()
	wrong := text[:len(text)-1] + "x" // the text consists of hexadecimal digests, so x is wrong
	for _, sent := range []string{wrong, text} {
		body := mustJSON(t, callerapi.CompletionRequest{Model: model, Prompt: r.prompt, Stream: true, ReceivedText: &sent})
		if sent == wrong {
			if f := do(http.MethodPost, url, callerKey, header, body).failure(t); f.Code != callerapi.CodeCursorNeedsText {
				t.Errorf("with altered text: %+v", f)
			}
			continue
		}
		r.read(http.MethodPost, url, body, allTokens)
	}
	r.requireComplete()
}

// metricsLag is longer than the interval at which a node updates its metrics page.
const metricsLag = 1500 * time.Millisecond
