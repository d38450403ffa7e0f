//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/ledger"
	"github.com/yuccahatch/yuccahatch/lab/scrape"
)

// leavingBound is the product's limit on the time for which a leaving host or
// engine still gets new work.
const leavingBound = 3 * time.Second

// requireUnlisted waits until no other node lists n for callers any more and
// requires that this takes at most leavingBound.
func (d *deployment) requireUnlisted(n *nodeProcess) {
	d.t.Helper()
	start := time.Now()
	for _, other := range d.otherNodes(n) {
		d.await(awaitTimeout, other.id+" no longer lists "+n.id, func() bool {
			return !slices.Contains(d.callerAddresses(other), n.callerAddress)
		})
	}
	unlisted := time.Since(start)
	d.t.Logf("%s was removed from the address lists after %d ms", n.id, unlisted.Milliseconds())
	if unlisted > leavingBound {
		d.t.Errorf("%s was still listed after %s, the limit is %s", n.id, unlisted, leavingBound)
	}
}

// requireRefusal requires that a leaving node refuses new work and that the refusal
// lists as many addresses as there are other nodes.
func (d *deployment) requireRefusal(n *nodeProcess) {
	d.t.Helper()
	var a httpResponse
	d.await(awaitTimeout, n.id+" refuses new work", func() bool {
		a = generate(n, callerKey)
		return a.status != http.StatusOK
	})
	f := a.failure(d.t)
	if a.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeNodeLeaving || f.Outcome != callerapi.OutcomeNotRun || f.RetryAfterMillis == 0 {
		d.t.Errorf("leaving %s: status %d, %+v", n.id, a.status, f)
	}
	if len(f.Addresses) != len(d.nodes)-1 {
		d.t.Errorf("leaving %s lists %+v, want the %d other nodes", n.id, f.Addresses, len(d.nodes)-1)
	}
}

// requireUninterrupted requires that every answer is complete and arrived over a
// single connection.
func (a *answers) requireUninterrupted(t *testing.T) {
	t.Helper()
	a.requireComplete(t)
	for _, r := range a.results {
		if len(r.Breaks) > 0 || r.Attempts > 1 {
			t.Errorf("answer %s took %d connections, breaks %+v", r.RequestID, r.Attempts, r.Breaks)
		}
	}
}

// Guards against a graceful shutdown that interrupts answers, accepts new work,
// leaves the node in the address lists for callers or never finishes.
func TestNodeLeaves(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, tokenRate: 25})
	a := d.startAnswers(6, 130)
	a.awaitTokens(d, 10)
	leaving := d.nodes[0]
	leaving.terminate(t)
	d.requireUnlisted(leaving)
	d.requireRefusal(leaving)
	a.requireUninterrupted(t)
	leaving.requireExit(t)
}

// Guards against a node that keeps serving when the host list marks its own host as
// leaving, because it handles the mark like that of another host. The platform sets
// the mark when it replaces a host.
func TestHostListMarksNode(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, noService: true, tokenRate: 25})
	a := d.startAnswers(6, 130)
	a.awaitTokens(d, 10)
	leaving := d.nodes[0]
	d.setHostState("host_id", leaving.id, "leaving")
	d.requireUnlisted(leaving)
	d.requireRefusal(leaving)
	a.requireUninterrupted(t)
	leaving.requireExit(t)
}

// Guards against a graceful shutdown that interrupts a booking, or that loses the
// result of one while the platform's table cannot store it.
func TestNodeLeavesDuringBooking(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, serviceArgs: []string{"--latency", "2500ms"}})
	results := make(chan caller.CallResult, 1)
	go func() { results <- d.book(0, "k1", singleAttempt) }()
	d.await(awaitTimeout, "the booking has run", func() bool { return d.runs().Keys["k1"] > 0 })
	d.setFaults(map[string]any{"txn": map[string]any{"outage": true}})
	leaving := d.nodes[0]
	leaving.terminate(t)
	first := <-results
	requireOutcome(t, "booking", first, caller.OutcomeDone, false)
	sleep(2 * time.Second)
	d.setFaults(nil)
	leaving.requireExit(t)
	again := d.book(1, "k1", singleAttempt)
	requireOutcome(t, "repeat", again, caller.OutcomeDone, true)
	if again.Body != first.Body {
		t.Errorf("repeat got %q, first got %q", again.Body, first.Body)
	}
	d.requireRuns("k1", 1)
}

// testEngineLeaves requires that a leaving engine finishes its streams and gets
// no new work once leavingBound has passed. It returns the engine.
func testEngineLeaves(t *testing.T, leave func(*deployment, *backendProcess)) *backendProcess {
	d := deploy(t, options{engines: 3, noService: true, tokenRate: 25})
	a := d.startAnswers(12, 160)
	a.awaitTokens(d, 10)
	leaving := d.busyEngine(d.engines...)
	leave(d, leaving)
	sleep(leavingBound)
	before := d.load(leaving).Running
	if before == 0 {
		t.Error("the streams of the engine ended before new work was sent, so the test checks nothing")
	}
	later := d.startAnswers(12, 40)
	later.awaitTokens(d, 1)
	if now := d.load(leaving).Running; now > before {
		t.Errorf("the leaving engine has %d streams, before the new answers it had %d", now, before)
	}
	later.requireUninterrupted(t)
	a.requireUninterrupted(t)
	if resumes := d.metric(scrape.Resumes); resumes != 0 {
		t.Errorf("%v answers were resumed although the engine finishes its streams", resumes)
	}
	return leaving
}

// Guards against sending new work to an engine that the host list marks as
// leaving, and against moving its running answers to other engines.
func TestHostListMarksEngine(t *testing.T) {
	t.Parallel()
	testEngineLeaves(t, func(d *deployment, e *backendProcess) { d.setHostState("backend_id", e.id, "leaving") })
}

// Guards against the same faults as TestHostListMarksEngine, for an engine that
// itself reports that it is leaving.
func TestEngineLeaves(t *testing.T) {
	t.Parallel()
	testEngineLeaves(t, func(_ *deployment, e *backendProcess) { e.terminate(t) }).requireExit(t)
}

// Guards against losing answers or bookings in a rolling restart under load.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2, serviceArgs: []string{"--latency", "50ms"}})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var bookings []ledger.Booking
	total := 0
	for worker := range 6 {
		wg.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				default:
				}
				r := d.caller(worker+round).Generate(t.Context(), caller.Request{
					Model: model, Prompt: fmt.Sprintf("worker %d round %d length=50", worker, round),
				})
				b := ledger.Booking{Key: fmt.Sprintf("k%d-%d", worker, round)}
				b.First = d.book(worker+round, b.Key)
				b.Second = d.book(worker+round+1, b.Key)
				if slow := max(r.Total, b.First.Total, b.Second.Total); slow > answerTimeout/4 {
					why := do(http.MethodGet, "http://"+d.nodes[0].operatorAddress+operatorapi.RouteExplain+r.RequestID, operatorKey, nil, nil)
					t.Logf("slow: answer %s in %d connections, %s; booking %s, %+v, then %s, %+v", r.Total, r.Attempts, why.body, b.First.Total, b.First.Errors, b.Second.Total, b.Second.Errors)
				}
				mu.Lock()
				total++
				bookings = append(bookings, b)
				mu.Unlock()
				if !r.Complete || !r.Clean || len(r.Breaks) > 0 {
					t.Errorf("answer: complete %t, %+v, breaks %+v, error %+v", r.Complete, r.Counts, r.Breaks, r.Error)
				}
				if b.First.Outcome != caller.OutcomeDone || b.Second.Body != b.First.Body {
					t.Errorf("booking %s: %+v, then %+v", b.Key, b.First, b.Second)
				}
			}
		})
	}
	for _, n := range d.nodes {
		start := time.Now()
		n.terminate(t)
		n.requireExit(t)
		exited := time.Since(start)
		d.startNode(n)
		d.awaitReady(n)
		t.Logf("%s exited after %d ms and was ready again after %d ms", n.id, exited.Milliseconds(), time.Since(start).Milliseconds())
	}
	close(stop)
	start := time.Now()
	wg.Wait()
	t.Logf("%d answers; the last ones took %d ms", total, time.Since(start).Milliseconds())
	if s := d.checkBookings(bookings); s.Unanswered > 0 {
		t.Errorf("%d bookings have no answer", s.Unanswered)
	}
}
