//go:build linux

package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/scrape"
)

// Guards against answers that are lost or spoilt with the node that owned them.
func TestNodeKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(9, 160)
	a.awaitTokens(d, 20)
	d.nodes[0].kill(t)
	requireBound(t, a.whole(t))
}

// Guards against an answer that only its node and its engine's stream could
// continue: a copy on another node must cover all that the caller has.
func TestNodeAndEngineKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(1, 160, d.nodes[0])
	a.awaitTokens(d, 30)
	engine := d.busyEngine(d.engines...)
	engine.signal(t, 9)
	d.nodes[0].signal(t, 9)
	requireBound(t, a.whole(t))
}

// Guards against tokens that reach the caller before another node has a copy:
// the nodes that could take one are frozen before owner and engine die.
func TestNoReleaseWithoutCopy(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, settings: "[copies]\nacknowledge_timeout = \"5s\"\n"})
	a := d.startAnswers(1, 160, d.nodes[0])
	a.awaitTokens(d, 30)
	engine := d.busyEngine(d.engines...)
	for _, n := range d.nodes[1:] {
		n.freeze(t)
	}
	pause(500 * time.Millisecond) // 20 tokens
	engine.kill(t)
	d.nodes[0].kill(t)
	for _, n := range d.nodes[1:] {
		n.thaw(t)
	}
	requireBound(t, a.whole(t))
}

// Guards against harm by a node that was frozen while its callers went on
// elsewhere: it must not disturb the streams that other nodes took over, and
// must serve again.
func TestNodeFrozen(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, tokenRate: 25})
	a := d.startAnswers(6, 200)
	a.awaitTokens(d, 20)
	frozen := d.nodes[0]
	frozen.freeze(t)
	pause(callerSilence + time.Second)
	frozen.thaw(t)
	a.whole(t)
	d.await(startLimit, "no engine works for a finished answer", d.idle)
	d.awaitReady(frozen)
	d.startAnswers(2, 40, frozen).whole(t)
	if moved := d.metric(scrape.Resumes, "way", "new_attempt"); moved > 0 {
		t.Errorf("%v answers were computed again in a new attempt although no engine failed", moved)
	}
}

// Guards against a node that cannot continue an answer for a caller that kept
// nothing but the cursor.
func TestCursorOnly(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	for _, ownerDies := range []bool{false, true} {
		r := newRawAnswer(t, 120)
		r.post(d.nodes[0], 40)
		if ownerDies {
			d.nodes[0].kill(t)
		}
		r.get(d.nodes[2], allTokens)
		r.whole()
	}
}

// Guards against a second generation, or lost tokens, when a caller's own
// connection breaks and it returns to the same node.
func TestCallerReturns(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	for _, gap := range []time.Duration{0, 300 * time.Millisecond} {
		r := newRawAnswer(t, 120)
		r.post(d.nodes[0], 30)
		pause(gap)
		r.post(d.nodes[0], 30)
		pause(gap)
		r.get(d.nodes[0], allTokens)
		r.whole()
	}
	pause(metricsLag)
	if opened := d.metric("yuccahatch_attempts_total"); opened != 2 {
		t.Errorf("%v attempts for 2 answers", opened)
	}
	if resumed := d.metric(scrape.Resumes, "way", "new_attempt"); resumed != 0 {
		t.Errorf("%v answers were computed again in a new attempt", resumed)
	}
}

// Guards against an answer that continues after the engine's stream, the owner
// and all copies are gone with anything but the caller's own text.
func TestCallerSuppliesText(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, settings: "[copies]\nmode = \"off\"\n"})
	r := newRawAnswer(t, 120)
	r.post(d.nodes[0], 40)
	d.busyEngine(d.engines...).kill(t)
	d.nodes[0].kill(t)
	url := "http://" + d.nodes[1].callers + callerapi.RouteCompletions
	header := map[string]string{callerapi.HeaderLastEventID: r.cursor}
	refused := do(http.MethodPost, url, callerKey, header, r.body())
	if f := refused.failure(t); refused.status != http.StatusConflict || f.Code != callerapi.CodeCursorNeedsText || f.Outcome != callerapi.OutcomePartial {
		t.Fatalf("without text: status %d, %+v", refused.status, f)
	}
	text := r.text.String()
	wrong := text[:len(text)-1] + "x" // digests have hexadecimal digits only
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
	r.whole()
}

// metricsLag is above the time after which counters show on the metrics page.
const metricsLag = 1500 * time.Millisecond
