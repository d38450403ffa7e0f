package overload

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// offer returns a stream whose prompt an engine reads in 1.2 s, with six engines per host.
func offer(team string, wait time.Duration) Request {
	return Request{
		Team: team, Prefill: 1200 * time.Millisecond, QueueWait: wait, FreeMemory: 0.5, Objective: 4500 * time.Millisecond,
		TimeLeft: 25 * time.Second, EnginesPerHost: 6,
	}
}

// Guards against reading prompts whose answers will be late, and against refusing a
// stream when an engine is free.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Request)
		admit  bool
	}{
		{"an engine is free", func(*Request) {}, true},
		{"starts in time", func(o *Request) { o.QueueWait = time.Second }, true},
		{"starts too late", func(o *Request) { o.QueueWait = 1500 * time.Millisecond }, false},
		{"the largest request, an engine is free", func(o *Request) { o.Prefill = 10 * time.Second }, true},
		{"does not fit in memory", func(o *Request) { o.FreeMemory = -0.1 }, false},
		{"no objective, long queue", func(o *Request) { o.Objective, o.QueueWait = 0, 10*time.Second }, true},
		{"no objective, queue too long for the client's remaining time", func(o *Request) { o.Objective, o.QueueWait = 0, 20*time.Second }, false},
		{"already late, short wait", func(o *Request) { o.Late, o.QueueWait = true, 300*time.Millisecond }, true},
		{"already late, wait acceptable for a new stream only", func(o *Request) { o.Late, o.QueueWait = true, time.Second }, false},
		{"already late, memory nearly full", func(o *Request) { o.Late, o.FreeMemory = true, 0.02 }, false},
		{"continued stream, does not fit in memory", func(o *Request) { o.Resumed, o.FreeMemory = true, -0.1 }, true},
		{"continued stream, long wait", func(o *Request) { o.Resumed, o.QueueWait = true, 8*time.Second }, true},
	}
	for _, c := range cases {
		o := offer("a", 0)
		c.change(&o)
		v := (&Controller{}).Decide(at(0), o, 0)
		if v.Admit != c.admit {
			t.Errorf("%s: admitted %t", c.name, v.Admit)
		}
		if !v.Admit && (v.RetryAfter < minRetryAfter || v.RetryAfter > o.TimeLeft/3) {
			t.Errorf("%s: retry after %v", c.name, v.RetryAfter)
		}
	}
}

// Guards against clients that were refused together retrying together, or in a
// different order than they were refused.
func TestRetriesAreSpread(t *testing.T) {
	c := &Controller{}
	var times []time.Duration
	for i := range 12 {
		v := c.Decide(at(10*i), offer("a", 2*time.Second), 0)
		times = append(times, at(10*i).Add(v.RetryAfter).Sub(start))
	}
	if !slices.IsSorted(times) {
		t.Errorf("retry times are not in the order of the refusals: %v", times)
	}
	if spread := times[len(times)-1] - times[0]; spread < 4*time.Second {
		t.Errorf("12 clients retry within %v; the engines read 12 of their prompts in 2.4 s and have to read as many new ones", spread)
	}
	for range 50 { // more than can be served before they time out
		if v := c.Decide(at(200), offer("a", 2*time.Second), 0.99); v.RetryAfter > 25*time.Second/3 {
			t.Fatalf("retry after %v, more than the third of its time that the client waits", v.RetryAfter)
		}
	}
}

// Guards against one team filling the queues of all engines, and against refusing a
// small team because of it.
func TestTeamOverShare(t *testing.T) {
	c := &Controller{}
	for i := range 100 {
		c.Decide(at(20*i), offer("large", 0), 0)
		if i%10 == 0 {
			c.Decide(at(20*i), offer("small", 0), 0)
			c.Decide(at(20*i), offer("other", 0), 0)
		}
	}
	if c.Decide(at(2000), offer("large", 800*time.Millisecond), 0).Admit {
		t.Error("a team with ten times the work of others was admitted to a queue ahead of them")
	}
	if !c.Decide(at(2000), offer("small", 800*time.Millisecond), 0).Admit {
		t.Error("a small team was refused")
	}
	if !c.Decide(at(2000), offer("large", 0), 0).Admit {
		t.Error("a team over its share was refused although an engine is free")
	}
	if !c.Decide(at(90_000), offer("large", 800*time.Millisecond), 0).Admit {
		t.Error("a team was refused because of work done long ago")
	}
}

// Guards against treating a retrying client as a new one.
func TestWaited(t *testing.T) {
	c := &Controller{}
	for _, step := range []struct {
		ms           int
		left, waited time.Duration
	}{
		{0, 25 * time.Second, 0},
		{10, 21 * time.Second, 4 * time.Second},
		{20, 25 * time.Second, 0},
		{200_000, 10 * time.Second, 0}, // longestWaitTTL has passed; clients of the route now wait less
	} {
		if got := c.TimeWaited(at(step.ms), "r", step.left); got != step.waited {
			t.Errorf("at %d ms, %v left: waited %v, want %v", step.ms, step.left, got, step.waited)
		}
	}
}
