package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func load(ms int) backendapi.Load {
	return backendapi.Load{MeasuredAt: at(ms), Incarnation: 1, Running: 2, MaxRunning: 8, TokensPerSecond: 20,
		PrefillTokensPerSecond: 1000, Models: []string{"m"}}
}

func newFleet(t testing.TB, config Config, n int) *Fleet {
	t.Helper()
	f, err := NewFleet(config)
	if err != nil {
		t.Fatal(err)
	}
	var list []platformapi.Backend
	for i := range n {
		list = append(list, platformapi.Backend{BackendID: fmt.Sprintf("e%02d", i), Kind: platformapi.KindEngine, State: platformapi.HostLive})
	}
	f.ObserveList(list)
	for _, s := range f.Servers() {
		f.ObserveLoad(at(0), s.ID, load(0))
	}
	return f
}

func engines(leaving string, ids ...string) []platformapi.Backend {
	var out []platformapi.Backend
	for _, id := range ids {
		state := platformapi.HostLive
		if id == leaving {
			state = platformapi.HostLeaving
		}
		out = append(out, platformapi.Backend{BackendID: id, Kind: platformapi.KindEngine, State: state})
	}
	return out
}

// TestFilters verifies that a server that must not be used is rejected with the
// right cause, and that the error distinguishes a missing model from servers that
// cannot be used.
func TestFilters(t *testing.T) {
	leavingLoad, otherModel := load(1), load(1)
	leavingLoad.Leaving, otherModel.Models = true, []string{"other"}
	tests := map[string]struct {
		change func(f *Fleet)
		cause  Cause
		code   Code
	}{
		"usable":              {func(f *Fleet) {}, "", ""},
		"list leaving":        {func(f *Fleet) { f.ObserveList(engines("e00", "e00")) }, CauseLeaving, CodeUnavailable},
		"load leaving":        {func(f *Fleet) { f.ObserveLoad(at(1), "e00", leavingLoad) }, CauseLeaving, CodeUnavailable},
		"other model":         {func(f *Fleet) { f.ObserveLoad(at(1), "e00", otherModel) }, CauseModelNotLoaded, CodeUnknownModel},
		"crash":               {func(f *Fleet) { f.Died(at(1), "e00") }, CauseBreakerOpen, CodeUnavailable},
		"one failure":         {func(f *Fleet) { f.ConnectionFailed(at(1), "e00") }, "", ""},
		"two failures":        {func(f *Fleet) { f.ConnectionFailed(at(1), "e00"); f.ConnectionFailed(at(1), "e00") }, CauseBreakerOpen, CodeUnavailable},
		"unlisted in use":     {func(f *Fleet) { f.Sent(at(0), "e00", "x", Request{}); f.ObserveList(engines("", "e01")) }, CauseNotListed, CodeUnknownModel},
		"empty list ignored":  {func(f *Fleet) { f.ObserveList(nil) }, "", ""},
		"old report ignored":  {func(f *Fleet) { l := leavingLoad; l.MeasuredAt = at(-5); f.ObserveLoad(at(1), "e00", l) }, "", ""},
		"old process ignored": {func(f *Fleet) { l := leavingLoad; l.Incarnation = 0; f.ObserveLoad(at(1), "e00", l) }, "", ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, Config{}, 1)
			c.change(f)
			id, reasons, err := f.Choose(Request{Model: "m", PromptTokens: 100}, at(2), newRand())
			if CodeOf(err) != c.code || (c.cause == "") != (id == "e00") || c.cause != "" && reasons[0].Cause != c.cause {
				t.Fatalf("got %q, %v, %v", id, reasons, err)
			}
		})
	}
	f := newFleet(t, Config{}, 1)
	if _, _, err := f.Choose(Request{Model: "m", Exclude: []ident.BackendID{"e00"}}, at(1), newRand()); CodeOf(err) != CodeUnavailable {
		t.Fatalf("excluded server: %v", err)
	}
	if _, _, err := f.Choose(Request{Service: "booking"}, at(1), newRand()); CodeOf(err) != CodeUnknownModel {
		t.Fatalf("engine as a plain service: %v", err)
	}
}

// TestBreaker verifies that a half-open breaker lets one probe through, that a
// failed probe doubles the time it stays open, and that a probe without an
// outcome does not block the server forever.
func TestBreaker(t *testing.T) {
	f := newFleet(t, Config{}, 1)
	allowed := func(ms int, want bool) {
		t.Helper()
		if _, _, err := f.Choose(Request{Model: "m"}, at(ms), newRand()); (err == nil) != want {
			t.Fatalf("at %d ms: %v, want allowed %v", ms, err, want)
		}
	}
	f.Died(at(0), "e00")
	f.Answered("e00", "sent-before")
	f.Died(at(10), "e00") // another stream that the same crash interrupted
	allowed(999, false)
	allowed(1000, true)
	f.Sent(at(1000), "e00", "probe", Request{})
	allowed(1001, false)
	f.ConnectionFailed(at(1100), "e00")
	allowed(3099, false)
	allowed(3100, true)
	f.Sent(at(3100), "e00", "lost", Request{})
	allowed(8099, false)
	allowed(8100, true)
	f.Sent(at(8100), "e00", "probe2", Request{})
	f.Answered("e00", "probe2")
	allowed(8101, true)
	f.Died(at(9000), "e00")
	restarted := load(9100)
	restarted.Incarnation = 2
	f.ObserveLoad(at(9100), "e00", restarted)
	allowed(9101, true)
}

// TestUsage verifies the correction of a lagged load report: no attempt may be
// counted twice or left out.
func TestUsage(t *testing.T) {
	f := newFleet(t, Config{}, 1)
	s := f.Server("e00")
	check := func(ms int, requests, waiting float64) {
		t.Helper()
		if u := s.usage(at(ms)); u.requests != requests || u.waitingTokens != waiting {
			t.Fatalf("at %d ms: %+v, want %v requests, %v tokens", ms, u, requests, waiting)
		}
	}
	check(0, 2, 0)
	f.Sent(at(10), "e00", "a", Request{PromptTokens: 100})
	f.ObservePeer(at(0), "p", []BackendUsage{{"e00", 3, 50}})
	f.ObservePeer(at(20), "p", []BackendUsage{{"e00", 5, 150}})
	check(20, 5, 200)
	f.Answered("e00", "a")
	check(30, 5, 100)
	next := load(25)
	next.Running, next.WaitingTokens = 6, 30
	f.ObserveLoad(at(40), "e00", next) // includes "a" and the peer's change
	check(25, 6, 30)
	check(35, 6, 20) // 10 ms at 1,000 tokens/s
	f.Finished(at(50), "e00", "a")
	check(55, 5, 0)
	f.ObservePeer(at(60), "p", nil) // its 5 requests ended since the report
	check(60, 0, 0)
	f.RemovePeer("p")
	check(60, 5, 0)
	if uses := f.OwnUsage(); len(uses) != 0 {
		t.Fatalf("usage after the last attempt finished: %v", uses)
	}
}

func event(sequence int64, kind string, hash uint64) backendapi.CacheEvent {
	return backendapi.CacheEvent{Sequence: sequence, Kind: kind, PrefixHash: fmt.Sprintf("%016x", hash)}
}

// TestCacheIndex verifies that lost events and restarts remove entries that may
// be wrong, and that the index does not exceed its limit.
func TestCacheIndex(t *testing.T) {
	const stored, evicted = backendapi.CacheStored, backendapi.CacheEvicted
	tests := map[string]struct {
		batches []backendapi.CacheEvents
		tokens  int
	}{
		"longest prefix":  {[]backendapi.CacheEvents{{Incarnation: 1, Events: []backendapi.CacheEvent{event(5, stored, 1), event(6, stored, 2)}}}, 32},
		"evicted":         {[]backendapi.CacheEvents{{Incarnation: 1, Events: []backendapi.CacheEvent{event(5, stored, 1), event(6, stored, 2), event(7, evicted, 2)}}}, 16},
		"repeated batch":  {[]backendapi.CacheEvents{{Incarnation: 1, Events: []backendapi.CacheEvent{event(5, stored, 1), event(6, evicted, 1)}}, {Incarnation: 1, Events: []backendapi.CacheEvent{event(5, stored, 1)}}}, 0},
		"gap":             {[]backendapi.CacheEvents{{Incarnation: 1, Events: []backendapi.CacheEvent{event(5, stored, 2), event(7, stored, 1)}}}, 16},
		"restart":         {[]backendapi.CacheEvents{{Incarnation: 1, Events: []backendapi.CacheEvent{event(5, stored, 2)}}, {Incarnation: 2, Events: []backendapi.CacheEvent{event(1, stored, 1)}}}, 16},
		"older process":   {[]backendapi.CacheEvents{{Incarnation: 2, Events: []backendapi.CacheEvent{event(1, stored, 1)}}, {Incarnation: 1, Events: []backendapi.CacheEvent{event(6, stored, 2)}}}, 16},
		"cleared":         {[]backendapi.CacheEvents{{Incarnation: 1, Events: []backendapi.CacheEvent{event(5, stored, 2), {Sequence: 6, Kind: backendapi.CacheCleared}}}}, 0},
		"malformed event": {[]backendapi.CacheEvents{{Incarnation: 1, Events: []backendapi.CacheEvent{event(5, stored, 1), {Sequence: 6, Kind: stored, PrefixHash: "x"}}}}, 16},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, Config{}, 1)
			for _, b := range c.batches {
				f.ObserveCache("e00", b)
			}
			if got := f.Server("e00").CachedTokens([]uint64{1, 2}); got != c.tokens {
				t.Fatalf("%d cached tokens, want %d", got, c.tokens)
			}
		})
	}
	c := cacheIndex{limit: 3, prefixCounts: prefixCounts{}}
	rng := newRand()
	for range 10_000 {
		if h := rng.Uint64N(6); rng.IntN(3) == 0 {
			c.remove(h)
		} else {
			c.store(h)
		}
		if len(c.positions) > 3 || len(c.ring) > 3 || len(c.prefixCounts) != len(c.positions) {
			t.Fatalf("bound exceeded: %d entries, ring %d, %d counted", len(c.positions), len(c.ring), len(c.prefixCounts))
		}
	}
}

// TestPrefixHashes verifies that tokens and hashes are those that the engines
// compute.
func TestPrefixHashes(t *testing.T) {
	text := " a" + strings.Repeat("\t bc", 31) + "\n"
	hashes, tokens := PrefixHashes(text)
	first := " a" + strings.Repeat("\t bc", 15)
	want := []uint64{xxh3.HashString(first), xxh3.HashString(strings.TrimRight(text, "\n"))}
	if tokens != 32 || !reflect.DeepEqual(hashes, want) {
		t.Fatalf("got %x of %d tokens, want %x", hashes, tokens, want)
	}
	if hashes, tokens := PrefixHashes("  \n"); tokens != 0 || hashes != nil {
		t.Fatalf("white space: %v, %d", hashes, tokens)
	}
}

// TestResumeWeight verifies that Request.Weight decides between a loaded server
// that has the prefix cached and an idle one that has to recompute it.
func TestResumeWeight(t *testing.T) {
	for weight, want := range map[float64]ident.BackendID{0: "e00", 1: "e01"} {
		f := newFleet(t, Config{}, 2)
		busy := load(1)
		busy.Running, busy.WaitingTokens = 8, 900
		f.ObserveLoad(at(1), "e00", busy)
		f.ObserveCache("e00", backendapi.CacheEvents{Incarnation: 1, Events: []backendapi.CacheEvent{event(1, backendapi.CacheStored, 7)}})
		r := Request{Model: "m", PromptTokens: 16, Prefixes: []uint64{7}, Resume: true, Weight: weight}
		if id, reasons, err := f.Choose(r, at(2), newRand()); err != nil || id != want {
			t.Errorf("weight %v: got %s (%v, %v), want %s", weight, id, reasons, err, want)
		}
	}
}

// TestDeterministic verifies that equal inputs and seeds give equal choices.
func TestDeterministic(t *testing.T) {
	run := func() []ident.BackendID {
		f, rng := newFleet(t, Config{Slack: -1}, 35), newRand()
		var out []ident.BackendID
		for i := range 500 {
			r := Request{Model: "m", PromptTokens: i % 50, Prefixes: []uint64{uint64(i % 7)}}
			id, _, err := f.Choose(r, at(i), rng)
			if err != nil {
				t.Fatal(err)
			}
			f.Sent(at(i), id, ident.AttemptID(fmt.Sprint(i)), r)
			f.ObservePeer(at(i), ident.HostID(fmt.Sprint(i%9)), []BackendUsage{{id, i % 5, int64(i % 11)}})
			out = append(out, id)
		}
		return out
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs with one seed differ")
	}
}

// BenchmarkChoose measures one choice among 64 servers for a prompt of 10,000
// tokens of which nothing is cached, the most expensive case of the index.
func BenchmarkChoose(b *testing.B) {
	f, rng := newFleet(b, Config{}, 64), newRand()
	for _, s := range f.Servers() {
		for i := range DefaultCacheEntries {
			s.cache.store(uint64(i))
		}
	}
	r := Request{Model: "m", PromptTokens: 10_000}
	for i := range 625 {
		r.Prefixes = append(r.Prefixes, uint64(1_000_000+i))
	}
	for b.Loop() {
		if _, _, err := f.Choose(r, at(1), rng); err != nil {
			b.Fatal(err)
		}
	}
}
