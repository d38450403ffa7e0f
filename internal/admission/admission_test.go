package admission

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// TestMain fixes rapid's seed, so that CI is deterministic; -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newController(t testing.TB, config Config, capacity Capacity, limits map[ident.Team]Limits) *Controller {
	t.Helper()
	c, err := New(config, nil, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	c.SetCapacity(capacity)
	for name, l := range limits {
		if err := c.SetTeam(at(0), name, l); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func unlimited(p Priority, weight float64) Limits {
	return Limits{Priority: p, Weight: weight, Rate: math.Inf(1)}
}

// TestOffer verifies the reason of a refusal, and that its retry time covers the
// drain time and exceeds it by no more than the jitter.
func TestOffer(t *testing.T) {
	tests := map[string]struct {
		capacity         Capacity
		limits           Limits
		queued, inFlight int // items of 100 tokens queued and in flight before
		reason           Reason
		wait             time.Duration
	}{
		"free slots":             {Capacity{1000, 100}, unlimited(Normal, 1), 0, 0, "", 0},
		"short wait":             {Capacity{1000, 100}, unlimited(Normal, 1), 1, 10, "", 0},
		"wait over 2 s":          {Capacity{1000, 100}, unlimited(Normal, 1), 2, 10, ReasonOverloaded, 3 * time.Second},
		"no capacity":            {Capacity{0, 0}, unlimited(Normal, 1), 0, 0, ReasonOverloaded, maxDuration},
		"no share":               {Capacity{1000, 100}, Limits{Weight: 1}, 0, 0, ReasonOverShare, maxDuration},
		"own rate used up":       {Capacity{9000, 100}, Limits{Weight: 1, Rate: 100}, 0, 4, ReasonOverShare, 3 * time.Second},
		"own rate in time":       {Capacity{9000, 100}, Limits{Weight: 1, Rate: 100}, 0, 2, "", 0},
		"larger than all slots":  {Capacity{50, 100}, unlimited(Normal, 1), 0, 0, "", 0},
		"queue full, no waiting": {Capacity{10_000, 100}, unlimited(Normal, 1), 4, 0, ReasonOverloaded, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newController(t, Config{QueueLimit: 4}, tc.capacity, map[ident.Team]Limits{"a": tc.limits})
			for i := range tc.inFlight {
				c.byName["a"].level -= 100
				c.start(at(0), queuedItem{Item{ID: uint64(i), Team: "a", Tokens: 100}, at(0)}, nil)
			}
			for i := range tc.queued {
				if r, err := c.Offer(at(0), Item{ID: uint64(i), Team: "a", Tokens: 100}); r != nil || err != nil {
					t.Fatal(r, err)
				}
			}
			r, err := c.Offer(at(0), Item{ID: 99, Team: "a", Tokens: 100})
			if err != nil || (r == nil) != (tc.reason == "") {
				t.Fatalf("got %+v, %v", r, err)
			}
			if r == nil {
				return
			}
			low := min(max(tc.wait, DefaultMinRetry), DefaultMaxRetry)
			if r.Reason != tc.reason || r.ExpectedWait != tc.wait || r.RetryAfter < low || r.RetryAfter > low+low/2 {
				t.Fatalf("got %+v, want %s after %v", r, tc.reason, tc.wait)
			}
		})
	}
	c := newController(t, Config{}, Capacity{}, nil)
	if _, err := c.Offer(at(0), Item{Team: "x", Tokens: 1}); CodeOf(err) != CodeUnknownTeam {
		t.Fatalf("unknown team: %v", err)
	}
}

// serviceOrder runs all queued requests one at a time and returns the teams in the
// order of service.
func serviceOrder(c *Controller, now time.Time) string {
	c.SetCapacity(Capacity{Slots: 1, Rate: 1e6})
	out := ""
	for {
		outcomes := c.Dispatch(now)
		if len(outcomes) == 0 {
			return out
		}
		for _, o := range outcomes {
			if o.Refusal == nil {
				out += string(o.Item.Team)
				c.Finished(now, o.Item, o.Item.Tokens)
			}
		}
	}
}

// TestOrder verifies strict priority classes, aging, weighted shares within a
// class, and that resumes go first.
func TestOrder(t *testing.T) {
	c := newController(t, Config{}, Capacity{Slots: 1e6, Rate: 1e6}, map[ident.Team]Limits{
		"h": unlimited(High, 1), "n": unlimited(Normal, 3), "m": unlimited(Normal, 1), "l": unlimited(Low, 1)})
	id := uint64(0)
	offer := func(ms int, name string, n int, resume bool) {
		t.Helper()
		for range n {
			id++
			if r, err := c.Offer(at(ms), Item{ID: id, Team: ident.Team(name), Tokens: 10, Resume: resume}); r != nil || err != nil {
				t.Fatal(r, err)
			}
		}
	}
	offer(0, "l", 2, false)
	offer(0, "m", 4, false)
	offer(0, "n", 6, false)
	offer(0, "h", 2, false)
	offer(0, "l", 1, true)
	if got := serviceOrder(c, at(0)); got != "lhhmnnnmnnnmmll" {
		t.Errorf("order %q", got)
	}
	c.SetCapacity(Capacity{Slots: 1e6, Rate: 1e6})
	offer(0, "l", 2, false)
	offer(1500, "n", 9, false)
	offer(1500, "h", 1, false)
	if got := serviceOrder(c, at(1999)); got != "hlnnnlnnnnnn" {
		t.Errorf("low did not compete by share in normal after 1 s: %q", got)
	}
	c.SetCapacity(Capacity{Slots: 1e6, Rate: 1e6})
	offer(0, "l", 1, false)
	offer(1500, "n", 1, false)
	if got := serviceOrder(c, at(2000)); got != "ln" {
		t.Errorf("low did not reach high after 2 s: %q", got)
	}
}

// TestRateLimit verifies that a team stays within its rate over time, with
// requests larger than its burst and with unused estimates returned.
func TestRateLimit(t *testing.T) {
	for _, used := range []int{400, 100} {
		c := newController(t, Config{}, Capacity{Slots: 1e6, Rate: 1e6}, map[ident.Team]Limits{"a": {Weight: 1, Rate: 100}})
		sum, id := 0, uint64(0)
		for ms := 0; ms < 100_000; ms += 100 {
			id++
			if _, err := c.Offer(at(ms), Item{ID: id, Team: "a", Tokens: 400}); err != nil {
				t.Fatal(err)
			}
			for _, o := range c.Dispatch(at(ms)) {
				if o.Refusal == nil {
					sum += used
					c.Finished(at(ms), o.Item, used)
				}
			}
		}
		if sum < 9_000 || sum > 10_000+100+used {
			t.Errorf("%d used tokens each: %d in 100 s at 100 tokens/s", used, sum)
		}
	}
}

// TestRecheckAndRemoval verifies that quiet hours, the end of a contract and a
// long wait each refuse queued requests with their own reason.
func TestRecheckAndRemoval(t *testing.T) {
	c := newController(t, Config{}, Capacity{Slots: 100, Rate: 100}, map[ident.Team]Limits{"a": unlimited(Normal, 1), "b": unlimited(Normal, 1)})
	c.recheck = func(now time.Time, i Item) *Refusal {
		if i.ID == 1 {
			return &Refusal{Reason: "quiet_hours", RetryAfter: time.Hour}
		}
		return nil
	}
	for id := range uint64(3) {
		if r, err := c.Offer(at(0), Item{ID: id, Team: "a", Tokens: 60}); r != nil || err != nil {
			t.Fatal(r, err)
		}
	}
	if out := c.Dispatch(at(0)); len(out) != 1 || out[0].Refusal != nil {
		t.Fatalf("dispatch: %+v", out)
	}
	out := c.RecheckQueued(at(1))
	if len(out) != 1 || out[0].Refusal == nil || out[0].Item.ID != 1 || out[0].Refusal.RetryAfter != time.Hour {
		t.Fatalf("recheck of queued requests: %+v", out)
	}
	if _, err := c.Offer(at(1), Item{ID: 1, Team: "b", Tokens: 10}); err != nil {
		t.Fatal(err)
	}
	if out = c.Dispatch(at(2)); len(out) != 1 || out[0].Refusal == nil || out[0].Refusal.Reason != "quiet_hours" {
		t.Fatalf("recheck at dispatch: %+v", out)
	}
	if out = c.Dispatch(at(4000)); len(out) != 1 || out[0].Refusal == nil || out[0].Refusal.Reason != ReasonOverloaded {
		t.Fatalf("after the longest wait: %+v", out)
	}
	if _, err := c.Offer(at(4000), Item{ID: 7, Team: "a", Tokens: 60}); err != nil {
		t.Fatal(err)
	}
	if out = c.RemoveTeam(at(4001), "a"); len(out) != 1 || out[0].Refusal.Reason != ReasonContractEnded {
		t.Fatalf("removal: %+v", out)
	}
}

// TestEveryRequestGetsOneOutcome guards against requests with no outcome or with
// two, exceeded slots and wrong token sums under random inputs.
func TestEveryRequestGetsOneOutcome(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newController(t, Config{QueueLimit: 5}, Capacity{Slots: 500, Rate: 200}, map[ident.Team]Limits{"a": unlimited(High, 1), "b": unlimited(Low, 2)})
		now, id, open, inFlight := 0, uint64(0), map[uint64]bool{}, []Item(nil)
		recordOutcomes := func(outs []Outcome) {
			for _, o := range outs {
				if !open[o.Item.ID] {
					r.Fatalf("second outcome of %d", o.Item.ID)
				}
				delete(open, o.Item.ID)
				if o.Refusal == nil {
					inFlight = append(inFlight, o.Item)
				}
			}
		}
		name := rapid.SampledFrom([]ident.Team{"a", "b"})
		r.Repeat(map[string]func(*rapid.T){
			"offer": func(r *rapid.T) {
				id++
				it := Item{ID: id, Team: name.Draw(r, "team"), Tokens: rapid.IntRange(1, 700).Draw(r, "tokens"), Resume: rapid.IntRange(0, 5).Draw(r, "resume") == 0}
				if ref, _ := c.Offer(at(now), it); ref == nil {
					open[id] = true
				}
			},
			"dispatch": func(r *rapid.T) { now += rapid.IntRange(0, 900).Draw(r, "ms"); recordOutcomes(c.Dispatch(at(now))) },
			"finish": func(r *rapid.T) {
				if len(inFlight) > 0 {
					c.Finished(at(now), inFlight[0], 1)
					inFlight = inFlight[1:]
				}
			},
			"cancel": func(r *rapid.T) {
				if n := rapid.Uint64Range(0, id).Draw(r, "id"); c.Cancel(name.Draw(r, "team"), n) != open[n] && !open[n] {
					r.Fatalf("cancelled %d, which is not queued", n)
				} else if c.byName["a"].queue.len()+c.byName["b"].queue.len()+c.resumes.len() < len(open) {
					delete(open, n)
				}
			},
			"recheck": func(*rapid.T) { recordOutcomes(c.RecheckQueued(at(now))) },
			"limits": func(r *rapid.T) {
				l := Limits{Priority: Priority(rapid.IntRange(0, 2).Draw(r, "class")), Weight: 1, Rate: rapid.Float64Range(0, 1000).Draw(r, "rate")}
				if err := c.SetTeam(at(now), name.Draw(r, "team"), l); err != nil {
					r.Fatal(err)
				}
			},
			"": func(r *rapid.T) {
				var sum, queued int64
				for _, i := range inFlight {
					sum += int64(i.Tokens)
				}
				for _, q := range c.teams {
					queued += q.queue.tokens
				}
				if sum != c.inFlight || sum > 500 && len(inFlight) > 1 || c.Queued() != len(open) || queued != c.queued[0]+c.queued[1]+c.queued[2] {
					r.Fatalf("in flight %d, counted %d; queued %d, open %d; sums %d %v", sum, c.inFlight, c.Queued(), len(open), queued, c.queued)
				}
			},
		})
	})
}

// BenchmarkAdmission measures one offer, dispatch and finish at 220 teams
// and 10,000 queued requests.
func BenchmarkAdmission(b *testing.B) {
	limits := map[ident.Team]Limits{}
	for i := range 220 {
		limits[ident.Team(fmt.Sprintf("c%03d", i))] = unlimited(Priority(i%3), float64(1+i%7))
	}
	c := newController(b, Config{MaxWait: time.Hour, GiveUpAfter: time.Hour}, Capacity{Slots: 1, Rate: 1e9}, limits)
	c.inFlight = 1
	for i := range 10_000 {
		if r, err := c.Offer(at(0), Item{ID: uint64(i), Team: c.teams[i%220].name, Tokens: 500}); r != nil || err != nil {
			b.Fatal(r, err)
		}
	}
	c.inFlight = 0
	for b.Loop() {
		out := c.Dispatch(at(1))
		if len(out) != 1 || out[0].Refusal != nil {
			b.Fatalf("%+v", out)
		}
		c.Finished(at(1), out[0].Item, 100)
		if r, err := c.Offer(at(1), out[0].Item); r != nil || err != nil {
			b.Fatal(r, err)
		}
	}
}

// TestTeamSlots guards against a burst of one team that takes all slots before
// its rate limit stops it, so that other teams get none.
func TestTeamSlots(t *testing.T) {
	limits := map[ident.Team]Limits{
		"flood":  {Priority: Normal, Weight: 1, Rate: 100, Slots: 500},
		"steady": unlimited(Normal, 1),
	}
	c := newController(t, Config{Burst: time.Minute, MaxWait: time.Minute, GiveUpAfter: time.Minute}, Capacity{Slots: 1000, Rate: 200}, limits)
	for id := range uint64(20) {
		if refusal, err := c.Offer(at(0), Item{ID: id, Team: "flood", Tokens: 100}); err != nil || refusal != nil {
			t.Fatal(refusal, err)
		}
	}
	started := c.Dispatch(at(0))
	if len(started) != 5 {
		t.Fatalf("%d requests started, want the 5 that fit into the team's slots", len(started))
	}
	if refusal, err := c.Offer(at(1), Item{ID: 100, Team: "steady", Tokens: 100}); err != nil || refusal != nil {
		t.Fatal(refusal, err)
	}
	if out := c.Dispatch(at(1)); len(out) != 1 || out[0].Item.Team != "steady" {
		t.Errorf("started %v, want the other team's request", out)
	}
	c.Finished(at(2), started[0].Item, 100)
	if out := c.Dispatch(at(2)); len(out) != 1 || out[0].Item.Team != "flood" {
		t.Errorf("started %v after a request finished, want the next one", out)
	}
}
