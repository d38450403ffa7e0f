//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
)

const newKey = "e2e-new-caller"

// rekeyed is the contract with the new key instead of the caller's.
func rekeyed() string {
	return strings.Replace(contractText(""), keyHash(callerKey), keyHash(newKey), 1)
}

// knows reports whether a node accepts a key.
func knows(n *nodeProcess, key string) bool {
	return do(http.MethodGet, "http://"+n.callers+callerapi.RouteModels, key, nil, nil).status == http.StatusOK
}

// generate asks a node for a short answer in one body.
func generate(n *nodeProcess, key string) answered {
	body := fmt.Sprintf(`{"model":%q,"prompt":"short length=2"}`, model)
	return do(http.MethodPost, "http://"+n.callers+callerapi.RouteCompletions, key, nil, []byte(body))
}

// Guards against nodes that keep an old contract or return to it.
func TestContractInForceEverywhere(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	result := d.putContract(d.nodes[1], rekeyed())
	if !result.Accepted || len(result.InForce) != 3 || result.Contract.Version != 2 {
		t.Errorf("answer to the change: %+v", result)
	}
	begun := time.Now()
	for _, n := range d.nodes {
		d.await(startLimit, n.id+" knows the new key", func() bool { return knows(n, newKey) })
	}
	t.Logf("in force on all nodes %d ms after the answer", time.Since(begun).Milliseconds())
	for range 30 {
		for _, n := range d.nodes {
			if !knows(n, newKey) || knows(n, callerKey) {
				t.Fatalf("%s has returned to the old contract", n.id)
			}
		}
		pause(50 * time.Millisecond)
	}
}

// Guards against two operators overwriting each other's change.
func TestRacingChanges(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	for base := int64(1); base < 6; base++ {
		answers := make([]answered, 6)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() {
				document := contractText(fmt.Sprintf("# change %d of %d", i, base))
				answers[i] = d.tryPut(d.nodes[i%3], document, base)
			})
		}
		wg.Wait()
		won := 0
		for _, a := range answers {
			switch a.status {
			case http.StatusOK, http.StatusAccepted:
				won++
			case http.StatusConflict:
				var e operatorapi.Error
				a.into(t, &e)
				if e.Current == nil || e.Current.Version != base+1 {
					t.Errorf("conflict names %+v as the current version, want %d", e.Current, base+1)
				}
			default:
				t.Errorf("status %d, %s, %v", a.status, a.body, a.err)
			}
		}
		if won != 1 {
			t.Errorf("%d changes of version %d won, want 1", won, base)
		}
	}
}

// Guards against a change that is refused during an outage and comes into force
// all the same.
func TestChangeDuringOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	d.setFaults(outage())
	a := d.tryPut(d.nodes[0], rekeyed(), newestVersion)
	var e operatorapi.Error
	a.into(t, &e)
	if a.status != http.StatusServiceUnavailable || e.Code != "store_unavailable" {
		t.Errorf("status %d, %+v", a.status, e)
	}
	d.setFaults(nil)
	pause(2 * time.Second) // four polls of the change log
	for _, n := range d.nodes {
		status, ok := d.status(n)
		if !ok || status.Sequence != 1 || knows(n, newKey) || !knows(n, callerKey) {
			t.Errorf("%s is at change %d, want 1 and the old key in force", n.id, status.Sequence)
		}
	}
}

// Guards against work that a node admits under a contract that was changed
// while it was frozen. Requests wait in its sockets when it wakes up.
func TestNodeFrozenDuringChange(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	frozen := d.nodes[2]
	frozen.freeze(t)
	if result := d.putContract(d.nodes[0], rekeyed()); !result.Accepted {
		t.Errorf("a change without one of three nodes is not accepted: %+v", result)
	}
	pause(5500 * time.Millisecond) // beyond contracts.staleness_limit
	var wg sync.WaitGroup
	answers := make([]answered, 20)
	for i := range answers {
		wg.Go(func() { answers[i] = generate(frozen, callerKey) })
	}
	pause(500 * time.Millisecond)
	frozen.thaw(t)
	begun := time.Now()
	d.await(startLimit, "the change is in force on the node that was frozen", func() bool { return knows(frozen, newKey) })
	t.Logf("in force %d ms after the node woke up", time.Since(begun).Milliseconds())
	wg.Wait()
	for _, a := range answers {
		if a.status != http.StatusUnauthorized && a.status != http.StatusServiceUnavailable {
			t.Errorf("request with the removed key: status %d, %.200s, %v", a.status, a.body, a.err)
		}
	}
}

// Guards against work that a node admits under a contract that was changed
// while it was frozen and that it cannot learn of when it wakes up.
func TestNodeFrozenAndCutOff(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true, linked: true})
	frozen, platform := d.nodes[2], d.linkedNode(2)
	frozen.incoming.sever()
	platform.sever()
	frozen.freeze(t)
	if result := d.putContract(d.nodes[0], rekeyed()); !result.Accepted || len(result.InForce) != 2 {
		t.Errorf("change that one of three nodes cannot hear of: %+v", result)
	}
	pause(5500 * time.Millisecond) // beyond contracts.staleness_limit
	for _, n := range d.others(frozen) {
		n.freeze(t)
	}
	frozen.thaw(t)
	for range 20 {
		a := generate(frozen, callerKey)
		if f := a.failure(t); a.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeNodeIsolated {
			t.Errorf("request with the removed key: status %d, %+v", a.status, f)
		}
	}
	for _, n := range d.others(frozen) {
		n.thaw(t)
	}
	d.await(startLimit, "the node learns of the change from its peers", func() bool { return knows(frozen, newKey) })
	if knows(frozen, callerKey) {
		t.Error("the removed key is known")
	}
}

// quietNow returns quiet hours that began a minute ago and last for 10 minutes
// or a little longer.
func quietNow(now time.Time) string {
	return fmt.Sprintf(`[[quiet_hours]]
start = %q
end = %q
time_zone = "UTC"
applies_to = ["model:*", "service:booking"]`,
		now.UTC().Add(-time.Minute).Format("15:04"), now.UTC().Add(10*time.Minute).Format("15:04"))
}

// Guards against quiet hours that cut off a running answer, admit new work or
// keep a caller from the stored result of its booking.
func TestQuietHours(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2})
	booked := d.book(0, "k1", once)
	running := d.startAnswers(3, 160)
	running.awaitTokens(d, 10)
	d.putContract(d.nodes[0], contractText(quietNow(time.Now())))
	d.awaitSequence(2)
	for _, n := range d.nodes {
		a := generate(n, callerKey)
		f := a.failure(t)
		if a.status != http.StatusForbidden || f.Code != callerapi.CodeQuietHours || f.Outcome != callerapi.OutcomeNotRun || a.header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, Retry-After %q, %+v", n.id, a.status, a.header.Get("Retry-After"), f)
		}
		if left := f.RetryAfter(); left < 8*time.Minute || left > 11*time.Minute {
			t.Errorf("%s: come back after %s, the quiet hours end in 9 to 10 minutes", n.id, left)
		}
	}
	if again := d.book(1, "k1", once); !again.Replayed || again.Body != booked.Body {
		t.Errorf("repeat of a booking made before: %+v", again)
	}
	requireOutcome(t, "new booking", d.book(1, "k2", once), string(callerapi.OutcomeNotRun), false)
	running.whole(t)
	d.requireRuns("k1", 1)
	d.requireRuns("k2", 0)
}

// linkedNode restarts a node with a link to the platform that can be cut.
func (d *deployment) linkedNode(i int) *link {
	d.t.Helper()
	n := d.nodes[i]
	l := newLink(d.t, strings.TrimPrefix(d.table, "http://"))
	n.kill(d.t)
	d.write(n.id+".toml", []byte(d.nodeSettings(i, n, l.url())))
	d.startNode(n)
	d.awaitReady(n)
	d.awaitSequence(1)
	return l
}

// Guards against a node that stops serving because only its own way to the
// platform is cut, and against one that goes on when it hears nobody.
func TestNodeCutOff(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	cut := d.nodes[2]
	d.linkedNode(2).sever()
	pause(6 * time.Second) // beyond contracts.staleness_limit
	d.startAnswers(2, 20, cut).whole(t)
	d.putContract(d.nodes[0], rekeyed())
	d.await(startLimit, "a change reaches the node through its peers", func() bool { return knows(cut, newKey) })

	running := newRawAnswer(t, 400)
	running.key = newKey
	running.post(cut, 10)
	for _, n := range d.others(cut) {
		n.freeze(t)
	}
	var refused answered
	d.await(startLimit, "the node counts itself as isolated", func() bool {
		refused = generate(cut, newKey)
		return refused.status != http.StatusOK
	})
	f := refused.failure(t)
	if refused.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeNodeIsolated || f.Outcome != callerapi.OutcomeNotRun || f.RetryAfterMillis == 0 {
		t.Errorf("status %d, %+v", refused.status, f)
	}
	for _, n := range d.others(cut) {
		n.thaw(t)
	}
	d.await(startLimit, "the node serves again", func() bool { return generate(cut, newKey).status == http.StatusOK })
}

// Guards against a node that never read a host list and calls valid keys
// invalid, which tells callers not to come back.
func TestNodeWithoutPlatform(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	n := d.nodes[2]
	n.kill(t)
	d.write(n.id+".toml", []byte(d.nodeSettings(2, n, "http://"+freePorts(t, loopback(), 1)[0])))
	d.startNode(n)
	d.await(startLimit, "the node answers", func() bool { return generate(n, callerKey).err == nil })
	for _, key := range []string{callerKey, "unknown"} {
		a := generate(n, key)
		if f := a.failure(t); a.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeNodeIsolated || f.Outcome != callerapi.OutcomeNotRun || f.RetryAfterMillis == 0 {
			t.Errorf("status %d, %+v", a.status, f)
		}
	}
	ctx := t.Context()
	result := d.caller(2).Generate(ctx, caller.Request{Model: model, Prompt: "elsewhere length=8", First: n.callers})
	if !result.Complete || !result.Clean {
		t.Errorf("caller that met the node first: %+v, %+v", result, result.Error)
	}
}
