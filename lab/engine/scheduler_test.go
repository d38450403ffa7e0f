package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/chain"
	"github.com/yuccahatch/yuccahatch/lab/labtest"
)

var t0 = time.Unix(1_800_000_000, 0)

func newTestScheduler(change func(*Config)) *scheduler {
	cfg := DefaultConfig()
	cfg.PrefillTokensPerSecond, cfg.TokenInterval = 100, 100*time.Millisecond
	change(&cfg)
	return newScheduler(cfg, newPrefixCache(cfg.CacheBlocks, newEventLog(0, 0, 1)))
}

func submit(c *scheduler, now time.Time, id string, priority, promptTokens int) *stream {
	prompt := "length=5"
	for i := 1; i < promptTokens; i++ {
		prompt += fmt.Sprintf(" p%d", i)
	}
	req := request(id, prompt)
	req.Priority = priority
	s, _ := newStream(req)
	c.submit(now, s)
	return s
}

// Guards against a queue that ignores priority or order of arrival.
func TestQueueOrder(t *testing.T) {
	c := newTestScheduler(func(cfg *Config) { cfg.MaxRunning = 1 })
	var order []string
	c.onAdmit = func(s *stream) { order = append(order, s.id) }
	submit(c, t0, "first", 0, 1)
	c.step(t0)
	submit(c, t0, "low", 0, 1)
	submit(c, t0, "high-1", 5, 1)
	submit(c, t0, "high-2", 5, 1)
	for now, i := t0, 0; i < 40; i++ {
		now = c.step(now)
	}
	if want := []string{"first", "high-1", "high-2", "low"}; !slices.Equal(order, want) {
		t.Errorf("admitted in the order %v, want %v", order, want)
	}
}

// Guards against prefill time that is spent on cached tokens, and against a wrong
// token rate.
func TestPrefillCountsUncachedTokens(t *testing.T) {
	c := newTestScheduler(func(*Config) {})
	firstToken := func(s *stream, now time.Time) time.Duration {
		for next := now; ; {
			at := next
			if next = c.step(at); len(s.tokens) > 0 {
				return at.Sub(now).Round(time.Millisecond)
			}
		}
	}
	if got := firstToken(submit(c, t0, "cold", 0, 40), t0); got != 400*time.Millisecond {
		t.Errorf("first token of 40 uncached tokens at 100/s after %s", got)
	}
	later := t0.Add(time.Minute)
	c.step(later)
	warm := submit(c, later, "warm", 0, 40)
	if got := firstToken(warm, later); got != 80*time.Millisecond || warm.cachedTokens != 32 {
		t.Errorf("first token with %d cached after %s, want 32 and 80ms", warm.cachedTokens, got)
	}
	now := warm.nextAt
	c.step(now.Add(-time.Millisecond))
	before := len(warm.tokens)
	c.step(now)
	if len(warm.tokens) != before+1 {
		t.Errorf("%d tokens at the interval, want %d", len(warm.tokens), before+1)
	}
}

// Guards against a burst of tokens after a pause of the process.
func TestPauseDoesNotCauseBurst(t *testing.T) {
	c := newTestScheduler(func(*Config) {})
	s := submit(c, t0, "a", 0, 1)
	c.step(t0)
	c.step(t0.Add(time.Second))
	had := len(s.tokens)
	c.step(t0.Add(20 * time.Second))
	if got := len(s.tokens); got > had+1 {
		t.Errorf("%d tokens at once after a pause", got-had)
	}
}

// Guards against cache events that are inconsistent with the content of the cache,
// and against a cache that exceeds its limit.
func TestCacheEventsMatchContent(t *testing.T) {
	labtest.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		log := newEventLog(0, 0, 1)
		cache := newPrefixCache(rapid.IntRange(0, 6).Draw(t, "limit"), log)
		for range rapid.IntRange(1, 30).Draw(t, "prompts") {
			words := rapid.SliceOfN(rapid.IntRange(0, 1), 0, 4).Draw(t, "blocks")
			var prompt []string
			for _, w := range words {
				for range backendapi.CacheBlockTokens {
					prompt = append(prompt, fmt.Sprintf(" %d", w))
				}
			}
			cache.store(t0, prefixHashes("m", prompt))
		}
		held := map[string]bool{}
		for i, e := range log.after(t0, 0) {
			if e.Sequence != int64(i+1) {
				t.Fatalf("event %d has sequence %d", i, e.Sequence)
			}
			if held[e.PrefixHash] == (e.Kind == backendapi.CacheStored) {
				t.Fatalf("event %+v contradicts those before", e)
			}
			if held[e.PrefixHash] = true; e.Kind == backendapi.CacheEvicted {
				delete(held, e.PrefixHash)
			}
		}
		if len(held) != cache.lru.Len() || len(held) > cache.limit {
			t.Fatalf("events leave %d blocks, cache has %d of %d", len(held), cache.lru.Len(), cache.limit)
		}
		for b := range cache.entries {
			if !held[fmt.Sprintf("%016x", b.hash)] {
				t.Fatalf("block %x is not among the events", b.hash)
			}
		}
	})
}

// Guards against cache events that are delivered before their delay, and against
// lost events that leave no gap in the sequence numbers.
func TestCacheEventsLateAndLost(t *testing.T) {
	log := newEventLog(time.Second, 0.5, 3)
	cache := newPrefixCache(1000, log)
	var prompt []string
	for i := range 100 * backendapi.CacheBlockTokens {
		prompt = append(prompt, fmt.Sprintf(" %d", i))
	}
	cache.store(t0, prefixHashes("m", prompt))
	if early := log.after(t0.Add(999*time.Millisecond), 0); len(early) != 0 {
		t.Errorf("%d events before their delay", len(early))
	}
	late := log.after(t0.Add(time.Second), 0)
	if len(late) < 20 || len(late) > 80 || log.sequence != 100 {
		t.Errorf("%d of %d events arrived at a loss rate of 0.5", len(late), log.sequence)
	}
}

// Guards against orders that take effect before the load time, interrupt a model
// that is in use, or are accepted despite an old fencing token.
func TestOrders(t *testing.T) {
	v := func(model, version string) backendapi.LoadedModel {
		return backendapi.LoadedModel{Model: model, Version: version}
	}
	for _, check := range []bool{true, false} {
		p := &placement{loadTime: time.Second, checkFencing: check, onUnload: func(time.Time, string) {},
			models: []backendapi.LoadedModel{v("a", "1"), v("b", "1")}}
		o := backendapi.Order{OrderID: "o1", FencingToken: 7, Models: []backendapi.LoadedModel{v("a", "2"), v("c", "1")}}
		for range 2 { // the repeat must change nothing
			if !p.order(t0, o) {
				t.Fatal("new order refused")
			}
		}
		if got := p.servedNames(); !slices.Equal(got, []string{"a"}) || len(p.loading) != 2 {
			t.Errorf("at once: serves %v, loads %v", got, p.loading)
		}
		p.completeLoads(t0.Add(time.Second))
		if p.models[0].Version != "2" || len(p.loading) != 1 {
			t.Errorf("after one load time: %+v, loads %v", p.models, p.loading)
		}
		p.completeLoads(t0.Add(2 * time.Second))
		if got := p.servedNames(); !slices.Equal(got, []string{"a", "c"}) {
			t.Errorf("after two load times: serves %v", got)
		}
		o.FencingToken = 6
		if p.order(t0.Add(3*time.Second), o) == check {
			t.Errorf("old fencing token with check %v: wrong answer", check)
		}
	}
}

// Guards against output that depends on the other requests of the batch: the text
// must be a function of prompt, earlier tokens and salt.
func TestTextIsDeterministic(t *testing.T) {
	run := func(others int) []string {
		c := newTestScheduler(func(*Config) {})
		s := submit(c, t0, "a", 0, 3)
		for i := range others {
			submit(c, t0, fmt.Sprint(i), i, 3)
		}
		for now := t0; !s.ended(); {
			now = c.step(now)
		}
		return s.tokens
	}
	if alone, crowded := run(0), run(9); !slices.Equal(alone, crowded) || len(alone) != 5 {
		t.Errorf("alone %q, in a batch %q", alone, crowded)
	}
	if n, _ := chain.Length("length=5 p1 p2", 0); n != 5 {
		t.Errorf("length %d", n)
	}
}
