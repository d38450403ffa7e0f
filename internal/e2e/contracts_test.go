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

// contractWithNewKey returns the contract with callerKey replaced by newKey.
func contractWithNewKey() string {
	return strings.Replace(contractText(""), keyHash(callerKey), keyHash(newKey), 1)
}

// acceptsKey reports whether a node accepts an API key.
func acceptsKey(n *nodeProcess, key string) bool {
	return do(http.MethodGet, "http://"+n.callerAddress+callerapi.RouteModels, key, nil, nil).status == http.StatusOK
}

// generate requests a short, non-streamed answer from a node.
func generate(n *nodeProcess, key string) httpResponse {
	body := fmt.Sprintf(`{"model":%q,"prompt":"short length=2"}`, model)
	return do(http.MethodPost, "http://"+n.callerAddress+callerapi.RouteCompletions, key, nil, []byte(body))
}

// Guards against nodes that keep an old contract or revert to it after a change.
func TestContractInForceOnAllNodes(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	result := d.putContract(d.nodes[1], contractWithNewKey())
	if !result.Accepted || len(result.InForce) != 3 || result.Contract.Version != 2 {
		t.Errorf("answer to the change: %+v", result)
	}
	start := time.Now()
	for _, n := range d.nodes {
		d.await(awaitTimeout, n.id+" accepts the new key", func() bool { return acceptsKey(n, newKey) })
	}
	t.Logf("in force on all nodes %d ms after the answer", time.Since(start).Milliseconds())
	for range 30 {
		for _, n := range d.nodes {
			if !acceptsKey(n, newKey) || acceptsKey(n, callerKey) {
				t.Fatalf("%s has reverted to the old contract", n.id)
			}
		}
		sleep(50 * time.Millisecond)
	}
}

// Guards against lost updates: of several concurrent changes with the same base
// version, exactly one may be committed.
func TestConcurrentContractChanges(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	for base := int64(1); base < 6; base++ {
		answers := make([]httpResponse, 6)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() {
				document := contractText(fmt.Sprintf("# change %d of %d", i, base))
				answers[i] = d.sendContract(d.nodes[i%3], document, base)
			})
		}
		wg.Wait()
		committed := 0
		for _, a := range answers {
			switch a.status {
			case http.StatusOK, http.StatusAccepted:
				committed++
			case http.StatusConflict:
				var e operatorapi.Error
				a.decode(t, &e)
				if e.Current == nil || e.Current.Version != base+1 {
					t.Errorf("conflict response lists %+v as the current version, want %d", e.Current, base+1)
				}
			default:
				t.Errorf("status %d, %s, %v", a.status, a.body, a.err)
			}
		}
		if committed != 1 {
			t.Errorf("%d changes with base version %d were committed, want 1", committed, base)
		}
	}
}

// Guards against a contract change that is refused during an outage of the
// platform but comes into force nevertheless.
func TestContractChangeDuringOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	d.setFaults(outage())
	a := d.sendContract(d.nodes[0], contractWithNewKey(), noBaseVersion)
	var e operatorapi.Error
	a.decode(t, &e)
	if a.status != http.StatusServiceUnavailable || e.Code != "store_unavailable" {
		t.Errorf("status %d, %+v", a.status, e)
	}
	d.setFaults(nil)
	sleep(2 * time.Second) // four polling intervals of the change log
	for _, n := range d.nodes {
		status, ok := d.status(n)
		if !ok || status.Sequence != 1 || acceptsKey(n, newKey) || !acceptsKey(n, callerKey) {
			t.Errorf("%s is at change %d, want 1 and the old key in force", n.id, status.Sequence)
		}
	}
}

// Guards against a node that admits work under an outdated contract: the contract
// changes while the node is frozen, and requests are queued in its sockets when
// it continues.
func TestNodeFrozenDuringContractChange(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	frozen := d.nodes[2]
	frozen.freeze(t)
	if result := d.putContract(d.nodes[0], contractWithNewKey()); !result.Accepted {
		t.Errorf("a change that two of three nodes received was not accepted: %+v", result)
	}
	sleep(5500 * time.Millisecond) // longer than contracts.staleness_limit
	var wg sync.WaitGroup
	answers := make([]httpResponse, 20)
	for i := range answers {
		wg.Go(func() { answers[i] = generate(frozen, callerKey) })
	}
	sleep(500 * time.Millisecond)
	frozen.thaw(t)
	start := time.Now()
	d.await(awaitTimeout, "the change is in force on the node that was frozen", func() bool { return acceptsKey(frozen, newKey) })
	t.Logf("in force %d ms after the node continued", time.Since(start).Milliseconds())
	wg.Wait()
	for _, a := range answers {
		if a.status != http.StatusUnauthorized && a.status != http.StatusServiceUnavailable {
			t.Errorf("request with the removed key: status %d, %.200s, %v", a.status, a.body, a.err)
		}
	}
}

// Guards against a node that admits work under an outdated contract: the contract
// changes while the node is frozen, and when it continues neither the platform
// nor its peers can send it the change.
func TestNodeFrozenAndPartitioned(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true, proxied: true})
	frozen, platformProxy := d.nodes[2], d.restartWithProxy(2)
	frozen.proxy.close()
	platformProxy.close()
	frozen.freeze(t)
	if result := d.putContract(d.nodes[0], contractWithNewKey()); !result.Accepted || len(result.InForce) != 2 {
		t.Errorf("change that one of three nodes cannot receive: %+v", result)
	}
	sleep(5500 * time.Millisecond) // longer than contracts.staleness_limit
	for _, n := range d.otherNodes(frozen) {
		n.freeze(t)
	}
	frozen.thaw(t)
	for range 20 {
		a := generate(frozen, callerKey)
		if f := a.failure(t); a.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeNodeIsolated {
			t.Errorf("request with the removed key: status %d, %+v", a.status, f)
		}
	}
	for _, n := range d.otherNodes(frozen) {
		n.thaw(t)
	}
	d.await(awaitTimeout, "the node receives the change from its peers", func() bool { return acceptsKey(frozen, newKey) })
	if acceptsKey(frozen, callerKey) {
		t.Error("the removed key is still accepted")
	}
}

// quietHoursAround returns a quiet_hours section of a contract. The quiet hours
// begin one minute before now and end 9 to 10 minutes after it.
func quietHoursAround(now time.Time) string {
	return fmt.Sprintf(`[[quiet_hours]]
start = %q
end = %q
time_zone = "UTC"
applies_to = ["model:*", "service:booking"]`,
		now.UTC().Add(-time.Minute).Format("15:04"), now.UTC().Add(10*time.Minute).Format("15:04"))
}

// Guards against quiet hours that interrupt a running answer, admit new work or
// withhold the stored result of a booking from its caller.
func TestQuietHours(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2})
	booked := d.book(0, "k1", singleAttempt)
	running := d.startAnswers(3, 160)
	running.awaitTokens(d, 10)
	d.putContract(d.nodes[0], contractText(quietHoursAround(time.Now())))
	d.awaitSequence(2)
	for _, n := range d.nodes {
		a := generate(n, callerKey)
		f := a.failure(t)
		if a.status != http.StatusForbidden || f.Code != callerapi.CodeQuietHours || f.Outcome != callerapi.OutcomeNotRun || a.header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, Retry-After %q, %+v", n.id, a.status, a.header.Get("Retry-After"), f)
		}
		if retryAfter := f.RetryAfter(); retryAfter < 8*time.Minute || retryAfter > 11*time.Minute {
			t.Errorf("%s: retry after %s, the quiet hours end in 9 to 10 minutes", n.id, retryAfter)
		}
	}
	if again := d.book(1, "k1", singleAttempt); !again.Replayed || again.Body != booked.Body {
		t.Errorf("repeat of a booking made before: %+v", again)
	}
	requireOutcome(t, "new booking", d.book(1, "k2", singleAttempt), string(callerapi.OutcomeNotRun), false)
	running.requireComplete(t)
	d.requireRuns("k1", 1)
	d.requireRuns("k2", 0)
}

// restartWithProxy restarts the i-th node so that it reaches the platform through
// a proxy, and returns the proxy. Closing the proxy disconnects the node.
func (d *deployment) restartWithProxy(i int) *tcpProxy {
	d.t.Helper()
	n := d.nodes[i]
	proxy := newTCPProxy(d.t, strings.TrimPrefix(d.platformURL, "http://"))
	n.kill(d.t)
	d.writeFile(n.id+".toml", []byte(d.nodeSettings(i, n, proxy.url())))
	d.startNode(n)
	d.awaitReady(n)
	d.awaitSequence(1)
	return proxy
}

// Guards against a node that stops serving although only its own connection to
// the platform is lost, and against a node that keeps serving when it can reach
// neither the platform nor any peer.
func TestNodePartitioned(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true})
	partitioned := d.nodes[2]
	d.restartWithProxy(2).close()
	sleep(6 * time.Second) // longer than contracts.staleness_limit
	d.startAnswers(2, 20, partitioned).requireComplete(t)
	d.putContract(d.nodes[0], contractWithNewKey())
	d.await(awaitTimeout, "a change reaches the node through its peers", func() bool { return acceptsKey(partitioned, newKey) })

	running := newRawAnswer(t, 400)
	running.key = newKey
	running.post(partitioned, 10)
	for _, n := range d.otherNodes(partitioned) {
		n.freeze(t)
	}
	var refused httpResponse
	d.await(awaitTimeout, "the node considers itself isolated", func() bool {
		refused = generate(partitioned, newKey)
		return refused.status != http.StatusOK
	})
	f := refused.failure(t)
	if refused.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeNodeIsolated || f.Outcome != callerapi.OutcomeNotRun || f.RetryAfterMillis == 0 {
		t.Errorf("status %d, %+v", refused.status, f)
	}
	for _, n := range d.otherNodes(partitioned) {
		n.thaw(t)
	}
	d.await(awaitTimeout, "the node serves again", func() bool { return generate(partitioned, newKey).status == http.StatusOK })
}

// Guards against a node that has never read a host list and rejects valid keys as
// invalid, an error after which callers do not retry.
func TestNodeWithoutPlatform(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, noService: true})
	n := d.nodes[2]
	n.kill(t)
	d.writeFile(n.id+".toml", []byte(d.nodeSettings(2, n, "http://"+freePorts(t, newLoopbackIP(), 1)[0])))
	d.startNode(n)
	d.await(awaitTimeout, "the node answers", func() bool { return generate(n, callerKey).err == nil })
	for _, key := range []string{callerKey, "unknown"} {
		a := generate(n, key)
		if f := a.failure(t); a.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeNodeIsolated || f.Outcome != callerapi.OutcomeNotRun || f.RetryAfterMillis == 0 {
			t.Errorf("status %d, %+v", a.status, f)
		}
	}
	ctx := t.Context()
	result := d.caller(2).Generate(ctx, caller.Request{Model: model, Prompt: "elsewhere length=8", First: n.callerAddress})
	if !result.Complete || !result.Clean {
		t.Errorf("caller that contacted the node first: %+v, %+v", result, result.Error)
	}
}
