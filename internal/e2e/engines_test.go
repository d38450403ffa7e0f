//go:build linux

package e2e

import (
	"net/http"
	"testing"

	"github.com/yuccahatch/yuccahatch/lab/scrape"
)

// Guards against answers that break off, restart or mix two texts when their
// engine dies.
func TestEngineKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(4, 120)
	a.awaitTokens(d, 20)
	d.busyEngine(d.engines...).kill(t)
	requireBound(t, a.whole(t))
	if resumed := d.metric(scrape.Resumes, "way", "new_attempt"); resumed == 0 {
		t.Error("no answer continued in a new attempt, so the kill hit none")
	}
}

// Guards against tokens of a frozen engine that wakes up after its answer went
// on elsewhere.
func TestEngineFrozen(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(4, 160)
	a.awaitTokens(d, 20)
	frozen := d.busyEngine(d.engines...)
	frozen.freeze(t)
	d.await(startLimit, "an answer continued", func() bool { return d.metric(scrape.Resumes, "way", "new_attempt") > 0 })
	frozen.thaw(t)
	requireBound(t, a.whole(t))
	d.await(startLimit, "no engine works for a finished answer", d.idle)
}

// Guards against recomputing an answer whose engine lives while only the
// connections to it have gone silent.
func TestEngineConnectionsSilent(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	a := d.startAnswers(4, 160)
	a.awaitTokens(d, 20)
	for _, e := range d.engines {
		if answer := do(http.MethodPost, e.url+"/admin/silence", "", nil, nil); answer.status >= http.StatusBadRequest || answer.err != nil {
			t.Fatalf("silence of %s: %d, %v", e.id, answer.status, answer.err)
		}
	}
	requireBound(t, a.whole(t))
	if same := d.metric(scrape.Resumes, "way", "same_stream"); same != 4 {
		t.Errorf("%v answers resumed the same stream, want 4", same)
	}
	if opened := d.metric("yuccahatch_attempts_total"); opened != 4 {
		t.Errorf("%v attempts were opened, want 4", opened)
	}
}

// Guards against a resume that is lost because its new engine dies before the
// first token.
func TestEngineKilledDuringResume(t *testing.T) {
	t.Parallel()
	// 100 answer tokens and the prompt take a second to read, which keeps the
	// resume under way for long enough to be hit.
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
		t.Errorf("the second engine was killed after the resume had ended")
	}
	requireBound(t, a.whole(t))
}

// Guards against losing answers when a rack takes a quarter of the engines down
// at once under load.
func TestQuarterOfEnginesKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 8, noService: true})
	a := d.startAnswers(60, 160)
	a.awaitTokens(d, 20)
	for _, e := range d.engines[:2] {
		e.signal(t, 9)
	}
	a.whole(t)
	if d.metric(scrape.Resumes, "way", "new_attempt") == 0 {
		t.Error("no answer continued in a new attempt, so the kills hit none")
	}
}
