//go:build linux

package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/ledger"
)

// bookingSilenceTimeout is longer than the 2 s for which a node holds a repeated
// call while it waits for the result of the first one.
const bookingSilenceTimeout = 5 * time.Second

// book makes one booking call. The caller contacts the i-th node first; the
// functions in change adjust its configuration.
func (d *deployment) book(i int, key string, change ...func(*caller.Config)) caller.CallResult {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	longTimeout := func(c *caller.Config) { c.SilenceTimeout = bookingSilenceTimeout }
	node := d.nodes[i%len(d.nodes)]
	return d.caller(i, append([]func(*caller.Config){longTimeout}, change...)...).Call(ctx, caller.Call{
		Service: "booking", Path: "/bookings", Body: []byte(`{"seat":1}`), Key: key, First: node.callerAddress,
	})
}

// singleAttempt and twoAttempts limit the attempts of a caller. With the default
// limit a caller keeps retrying a booking whose outcome stays unknown.
func singleAttempt(c *caller.Config) { c.MaxAttempts = 1 }
func twoAttempts(c *caller.Config)   { c.MaxAttempts = 2 }

func requireOutcome(t *testing.T, what string, got caller.CallResult, want string, replayed bool) {
	t.Helper()
	if got.Outcome != want || got.Replayed != replayed {
		t.Errorf("%s: outcome %q, replayed %t, errors %+v; want %q, replayed %t", what, got.Outcome, got.Replayed, got.Errors, want, replayed)
	}
}

func (d *deployment) requireRuns(key string, want int) {
	d.t.Helper()
	if ran := d.runs().Keys[key]; ran != want {
		d.t.Errorf("booking %s ran %d times, want %d", key, ran, want)
	}
}

// Guards against a second run of a booking, or a different answer, when the same
// call is repeated through another node.
func TestBookingRepeatedOnOtherNode(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1})
	first := d.book(0, "k1")
	requireOutcome(t, "first", first, caller.OutcomeDone, false)
	for i := 1; i < 3; i++ {
		again := d.book(i, "k1")
		requireOutcome(t, "repeat", again, caller.OutcomeDone, true)
		if again.Body != first.Body || again.Status != first.Status {
			t.Errorf("repeat got %d %q, first got %d %q", again.Status, again.Body, first.Status, first.Body)
		}
	}
	a := do(http.MethodPost, "http://"+d.nodes[1].callerAddress+callerapi.RouteServices+"booking/bookings", callerKey,
		map[string]string{callerapi.HeaderIdempotencyKey: "k1"}, []byte(`{"seat":2}`))
	if f := a.failure(t); a.status != http.StatusUnprocessableEntity || f.Code != callerapi.CodeKeyReused || f.Outcome != callerapi.OutcomeAttemptNotRun {
		t.Errorf("same key with another body: status %d, %+v", a.status, f)
	}
	d.requireRuns("k1", 1)
}

// Guards against a second run of a booking when the node is killed after the
// service received the call and before it answered.
func TestNodeKilledBeforeAnswer(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, serviceArgs: []string{"--latency", "1500ms"}})
	results := make(chan caller.CallResult, 1)
	go func() { results <- d.book(0, "k1", twoAttempts) }()
	d.await(awaitTimeout, "the booking has run", func() bool { return d.runs().Keys["k1"] > 0 })
	d.nodes[0].kill(t)
	requireOutcome(t, "booking", <-results, string(callerapi.OutcomeUnknown), false)
	requireOutcome(t, "later repeat", d.book(1, "k1", singleAttempt), string(callerapi.OutcomeUnknown), false)
	d.requireRuns("k1", 1)
}

// Guards against a node that sends a call too late: it was frozen between writing
// the claim and sending the call, for longer than the send window.
func TestFrozenNodeDoesNotSend(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1})
	d.setFaults(map[string]any{"txn": map[string]any{"answer_latency_ms": 800}})
	results := make(chan caller.CallResult, 1)
	waitForAnswer := func(c *caller.Config) { c.SilenceTimeout = answerTimeout }
	go func() { results <- d.book(0, "k1", singleAttempt, waitForAnswer) }()
	sleep(300 * time.Millisecond)
	d.nodes[0].freeze(t)
	sleep(3500 * time.Millisecond) // together with the repeat, longer than the send window of 5 s
	requireOutcome(t, "repeat while the node that holds the claim is frozen", d.book(1, "k1", singleAttempt), string(callerapi.OutcomeUnknown), false)
	d.setFaults(nil)
	d.nodes[0].thaw(t)
	if first := <-results; first.Outcome != string(callerapi.OutcomeNotRun) && first.Outcome != string(callerapi.OutcomeAttemptNotRun) {
		t.Errorf("caller of the frozen node: outcome %q, %+v", first.Outcome, first.Error)
	}
	d.requireRuns("k1", 0)
	// The node that holds the claim voids it; after that the booking may run.
	var last caller.CallResult
	d.await(awaitTimeout, "the booking is made", func() bool {
		last = d.book(2, "k1", singleAttempt)
		return last.Outcome == caller.OutcomeDone
	})
	requireOutcome(t, "repeat after the freeze", last, caller.OutcomeDone, false)
	d.requireRuns("k1", 1)
}

// Guards against generations that stop, and bookings that hang or run, during an
// outage of the platform.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 2})
	running := d.startAnswers(6, 160)
	running.awaitTokens(d, 10)
	d.setFaults(outage())
	start := time.Now()
	a := do(http.MethodPost, "http://"+d.nodes[0].callerAddress+callerapi.RouteServices+"booking/bookings", callerKey,
		map[string]string{callerapi.HeaderIdempotencyKey: "k1"}, []byte(`{"seat":1}`))
	t.Logf("booking refused after %d ms", time.Since(start).Milliseconds())
	f := a.failure(t)
	if a.status != http.StatusServiceUnavailable || f.Code != callerapi.CodeStoreUnavailable || f.Outcome != callerapi.OutcomeAttemptNotRun || a.header.Get("Retry-After") == "" {
		t.Errorf("booking during the outage: status %d, Retry-After %q, %+v", a.status, a.header.Get("Retry-After"), f)
	}
	sleep(6 * time.Second) // longer than contracts.staleness_limit
	d.startAnswers(6, 40).requireComplete(t)
	running.requireComplete(t)
	d.requireRuns("k1", 0)
	d.setFaults(nil)
	requireOutcome(t, "booking after the outage", d.book(1, "k1"), caller.OutcomeDone, false)
	d.requireRuns("k1", 1)
}

// bookAllTwice makes n bookings concurrently, calls between, and then repeats
// each booking through another node.
func (d *deployment) bookAllTwice(n int, between func(), change ...func(*caller.Config)) []ledger.Booking {
	bookings := make([]ledger.Booking, n)
	each := func(f func(i int, b *ledger.Booking)) {
		var wg sync.WaitGroup
		for i := range bookings {
			wg.Go(func() { f(i, &bookings[i]) })
		}
		wg.Wait()
	}
	each(func(i int, b *ledger.Booking) {
		b.Key = fmt.Sprintf("k%d", i)
		b.First = d.book(i, b.Key, change...)
	})
	between()
	each(func(i int, b *ledger.Booking) { b.Second = d.book(i+1, b.Key, change...) })
	return bookings
}

// checkBookings reports each problem that ledger.Check finds as a test error and
// logs the summary, which it returns.
func (d *deployment) checkBookings(bookings []ledger.Booking) ledger.Summary {
	d.t.Helper()
	summary := ledger.Check(bookings, d.runs())
	for _, problem := range summary.Problems {
		d.t.Error(problem)
	}
	d.t.Logf("%d bookings: %d ran once, %d more than once, %d replays, %d unanswered", summary.Sent, summary.RanOnce, summary.RanMultipleTimes, summary.Replays, summary.Unanswered)
	return summary
}

// Guards against second runs and wrong outcomes when responses of the platform's
// table are lost after the transaction was committed.
func TestTableLosesResponses(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1})
	lost := map[string]any{"lost_answer_rate": 0.3}
	d.setFaults(map[string]any{"txn": lost, "read": lost})
	bookings := d.bookAllTwice(60, func() { d.setFaults(nil) })
	if s := d.checkBookings(bookings); s.Unanswered > 0 {
		t.Errorf("%d of %d bookings have no answer although the service answered all", s.Unanswered, s.Sent)
	}
}

// Guards against a second run of a booking that the service ran but whose
// response was lost.
func TestServiceLosesResponses(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, serviceArgs: []string{"--lost-answer-rate", "0.5"}})
	bookings := d.bookAllTwice(24, func() {}, singleAttempt)
	summary := d.checkBookings(bookings)
	if summary.Unanswered == 0 {
		t.Errorf("%+v: want at least one lost response", summary)
	}
	// The circuit breaker may block calls to a service that loses responses;
	// blocked calls must return the outcome not_run.
	runs := d.runs()
	for _, b := range bookings {
		if runs.Keys[b.Key] == 0 && (b.First.Outcome != string(callerapi.OutcomeNotRun) || b.Second.Outcome != string(callerapi.OutcomeNotRun)) {
			t.Errorf("booking %s did not run: %+v, then %+v", b.Key, b.First.Errors, b.Second.Errors)
		}
	}
}

// bookingID returns the booking_id in the body of an answer.
func bookingID(t *testing.T, body string) string {
	t.Helper()
	var b struct {
		BookingID string `json:"booking_id"`
	}
	if err := json.Unmarshal([]byte(body), &b); err != nil || b.BookingID == "" {
		t.Errorf("answer %q has no booking: %v", body, err)
	}
	return b.BookingID
}
