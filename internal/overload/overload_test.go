package overload

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// testRequest returns a request whose prompt an engine reads in 1.2 s, with six engines
// per host.
func testRequest(team string, wait time.Duration) Request {
	return Request{
		Team: team, Prefill: 1200 * time.Millisecond, QueueWait: wait, FreeMemory: 0.5, Objective: 4500 * time.Millisecond,
		TimeLeft: 25 * time.Second, EnginesPerHost: 6,
	}
}

// Guards against admitting streams whose answers will be late, and against refusing a
// stream when an engine is free.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Request)
		admit  bool
	}{
		{"an engine is free", func(*Request) {}, true},
		{"starts in time", func(r *Request) { r.QueueWait = time.Second }, true},
		{"starts too late", func(r *Request) { r.QueueWait = 1500 * time.Millisecond }, false},
		{"the largest request, an engine is free", func(r *Request) { r.Prefill = 10 * time.Second }, true},
		{"does not fit in memory", func(r *Request) { r.FreeMemory = -0.1 }, false},
		{"no objective, long queue", func(r *Request) { r.Objective, r.QueueWait = 0, 10*time.Second }, true},
		{"no objective, queue too long for the client's remaining time", func(r *Request) { r.Objective, r.QueueWait = 0, 20*time.Second }, false},
		{"already late, short wait", func(r *Request) { r.Late, r.QueueWait = true, 300*time.Millisecond }, true},
		{"already late, wait acceptable for a new stream only", func(r *Request) { r.Late, r.QueueWait = true, time.Second }, false},
		{"already late, memory nearly full", func(r *Request) { r.Late, r.FreeMemory = true, 0.02 }, false},
		{"resumed stream, does not fit in memory", func(r *Request) { r.Resumed, r.FreeMemory = true, -0.1 }, true},
		{"less time left than the prompt takes", func(r *Request) { r.TimeLeft = 800 * time.Millisecond }, false},
		{"resumed stream, less time left than the prompt takes", func(r *Request) { r.Resumed, r.TimeLeft = true, 800*time.Millisecond }, false},
		{"resumed stream, as much time left as the prompt takes", func(r *Request) { r.Resumed, r.TimeLeft = true, 1200*time.Millisecond }, true},
		{"resumed stream, less time left than queue and prompt take", func(r *Request) { r.Resumed, r.QueueWait, r.TimeLeft = true, time.Second, 1800*time.Millisecond }, false},
		{"resumed stream, prompt in the engine's memory", func(r *Request) { r.Resumed, r.Prefill, r.TimeLeft = true, 40*time.Millisecond, 300*time.Millisecond }, true},
		{"resumed stream, long wait", func(r *Request) { r.Resumed, r.QueueWait = true, 8*time.Second }, true},
	}
	for _, c := range cases {
		r := testRequest("a", 0)
		c.change(&r)
		v := (&Controller{}).Decide(at(0), r, 0)
		if v.Admit != c.admit {
			t.Errorf("%s: admitted %t", c.name, v.Admit)
		}
		if !v.Admit && (v.RetryAfter < minRetryAfter || v.RetryAfter > max(minRetryAfter, r.TimeLeft/3)) {
			t.Errorf("%s: retry after %v", c.name, v.RetryAfter)
		}
	}
}

// Guards against clients that were refused together retrying together, or in an order
// other than that of their refusals.
func TestRetriesAreSpread(t *testing.T) {
	c := &Controller{}
	var times []time.Duration
	for i := range 12 {
		v := c.Decide(at(10*i), testRequest("a", 2*time.Second), 0)
		times = append(times, at(10*i).Add(v.RetryAfter).Sub(start))
	}
	if !slices.IsSorted(times) {
		t.Errorf("retry times are not in the order of the refusals: %v", times)
	}
	if spread := times[len(times)-1] - times[0]; spread < 4*time.Second {
		t.Errorf("12 clients retry within %v; the engines read 12 of their prompts in 2.4 s and have to read as many new ones", spread)
	}
	for range 50 { // more than can be served before they time out
		if v := c.Decide(at(200), testRequest("a", 2*time.Second), 0.99); v.RetryAfter > 25*time.Second/3 {
			t.Fatalf("retry after %v, more than a third of the client's remaining time", v.RetryAfter)
		}
	}
}

// Guards against one team filling the queues of all engines, and against refusing the
// streams of a small team because of a large one.
func TestTeamOverShare(t *testing.T) {
	c := &Controller{}
	for i := range 100 {
		c.Decide(at(20*i), testRequest("large", 0), 0)
		if i%10 == 0 {
			c.Decide(at(20*i), testRequest("small", 0), 0)
			c.Decide(at(20*i), testRequest("other", 0), 0)
		}
	}
	if c.Decide(at(2000), testRequest("large", 800*time.Millisecond), 0).Admit {
		t.Error("a team with ten times the work of others was admitted to a queue although it exceeds its share")
	}
	if !c.Decide(at(2000), testRequest("small", 800*time.Millisecond), 0).Admit {
		t.Error("a stream of a small team was refused")
	}
	if !c.Decide(at(2000), testRequest("large", 0), 0).Admit {
		t.Error("a team over its share was refused although an engine is free")
	}
	if !c.Decide(at(90_000), testRequest("large", 800*time.Millisecond), 0).Admit {
		t.Error("a team was refused because of work done long ago")
	}
}

// Guards against treating a retrying client as a new one, whose objective could still be
// met.
func TestTimeWaited(t *testing.T) {
	c := &Controller{}
	for _, step := range []struct {
		ms           int
		left, waited time.Duration
	}{
		{0, 25 * time.Second, 0},
		{10, 21 * time.Second, 4 * time.Second},
		{20, 25 * time.Second, 0},
		{200_000, 10 * time.Second, 0}, // longestWaitTTL has passed, and clients of the route now wait for a shorter time
	} {
		if got := c.TimeWaited(at(step.ms), "r", step.left); got != step.waited {
			t.Errorf("at %d ms, %v left: waited %v, want %v", step.ms, step.left, got, step.waited)
		}
	}
}
