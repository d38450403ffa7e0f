package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against work for a server that says it is leaving, against a newer report of
// the list that brings it back, and against marking its successor with the same id.
func TestRecordLeaving(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	f := New("h", start)
	entry := Entry{ID: "a", Incarnation: 7, Service: "s", Address: "10.0.0.1:80", Sequence: 1}
	f.Put(start, entry)
	if f.RecordLeaving("a", 6) || f.RecordLeaving("b", 7) {
		t.Error("a server was marked by an answer of another one")
	}
	if !f.RecordLeaving("a", 7) || f.RecordLeaving("a", 7) {
		t.Error("want the first answer, and only that, to be news")
	}
	entry.Sequence = 2
	if f.Put(start, entry) {
		t.Error("a report that does not differ from the one before counts as a change")
	}
	if _, ok := f.ChoosePlain(start, "s", Pool{}, nil); ok {
		t.Error("a server that is leaving was chosen")
	}
	entry.Sequence, entry.Draining = 3, true
	if !f.Put(start, entry) {
		t.Error("the list's own word that the server is draining is not passed on as a change")
	}
	f.Put(start, Entry{ID: "a", Incarnation: 8, Service: "s", Address: "10.0.0.1:80", Sequence: 1})
	if _, ok := f.ChoosePlain(start, "s", Pool{}, nil); !ok {
		t.Error("the next incarnation was not chosen")
	}
}

// Guards against work, copies and queries for a server in the time in which it accepts no
// requests, and against counting it as lost.
func TestRecordRetryAfter(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	f := New("h", start)
	f.Put(start, Entry{ID: "a", Incarnation: 1, Service: "s", Address: "10.0.0.1:80", DataCentre: "x", Sequence: 1})
	f.Put(start, Entry{ID: "b", Incarnation: 1, Service: "s", Address: "10.0.0.2:80", DataCentre: "y", Sequence: 1})
	a, b := f.Server("a"), f.Server("b")
	f.RecordRetryAfter(start, a, 2*time.Second)
	f.RecordRetryAfter(start, a, time.Second) // the longer time holds
	now := start.Add(1900 * time.Millisecond)
	for range 20 {
		if c, ok := f.ChoosePlain(now, "s", Pool{}, nil); !ok || c.Server != b {
			t.Fatalf("chose %+v", c)
		}
	}
	if f.ChooseBackup(now, b, 88_000, Prompt{Tokens: 10}, nil) != nil || len(f.Accepting(now, "s", "")) != 1 || f.Accepts(a, now) {
		t.Error("the server counts as accepting work")
	}
	if !f.IsUsable(a, now) || f.BackoffLeft(now, "s") != 0 {
		t.Error("the server counts as lost, or the other one as quiet")
	}
	f.RecordRetryAfter(now, b, 24*365*time.Hour)
	if d := f.BackoffLeft(now, "s"); d != 100*time.Millisecond {
		t.Errorf("first server accepts work in %v, want 100 ms", d)
	}
	if !f.Accepts(a, start.Add(2*time.Second)) || !f.Accepts(b, now.Add(maxServerBackoff)) {
		t.Error("a server is avoided for longer than it asked, or for longer than maxServerBackoff")
	}
}

// Guards against a server that left and is used again because an older row of it
// returns, and against ignoring a newer row of it.
func TestOlderRowOfRemovedServer(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	f := New("h", start)
	entry := Entry{ID: "a", Incarnation: 7, Service: "s", Address: "10.0.0.1:80", Sequence: 19}
	f.Put(start, entry)
	f.Remove(start, "a", false)
	for _, older := range []Entry{{ID: "a", Incarnation: 7, Sequence: 15}, {ID: "a", Incarnation: 7, Sequence: 19}, {ID: "a", Incarnation: 6, Sequence: 40}} {
		if f.Put(start, older) || f.Server("a") != nil {
			t.Errorf("row %+v was accepted", older)
		}
	}
	entry.Sequence = 20
	if !f.Put(start, entry) || f.Server("a") == nil {
		t.Error("a newer row was ignored")
	}
	f.Remove(start, "a", false)
	f.Expire(start.Add(departedTTL + time.Second))
	if !f.Put(start.Add(departedTTL+time.Second), entry) {
		t.Error("an old departure is still remembered")
	}
}

// Guards against a process that ends because a server is discovered that has just been
// removed from the list.
func TestDiscoveredServerThatWasRemoved(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	f := New("h", start)
	f.Put(start, Entry{ID: "a", Incarnation: 7, Service: "s", Address: "10.0.0.1:80", Sequence: 19})
	f.Remove(start, "a", false)
	if f.AddDiscovered(start, Entry{ID: "a", Incarnation: 7, Service: "s", Address: "10.0.0.1:80"}) {
		t.Error("a server that has left was added")
	}
	if !f.AddDiscovered(start, Entry{ID: "a", Incarnation: 8, Service: "s", Address: "10.0.0.1:80"}) {
		t.Error("its next incarnation was not added")
	}
}

// Reproduces the load of a large deployment, 94 streams a second of six seconds on 312
// engines, and guards against asking so few engines for a prompt that the one which read
// it is missed.
func TestLikelyHolders(t *testing.T) {
	const (
		engines  = 312
		spacing  = time.Second / 94
		lifetime = 6 * time.Second
		streams  = 3000
		asked    = 32
	)
	start := time.Unix(1_000_000, 0)
	f := New("h", start)
	for i := range engines {
		f.Put(start, Entry{ID: ident.BackendID(fmt.Sprintf("i-%03d", i)), Incarnation: 1, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), DataCentre: "d", Sequence: 1})
	}
	var running []Placement
	found := 0
	for i := range streams {
		now := start.Add(time.Duration(i) * spacing)
		if ended := len(running) - int(lifetime/spacing); ended > 0 {
			f.RemoveRun("h", running[0])
			running = running[1:]
		}
		p := Prompt{Tokens: 8200, MaxOutput: 900, SuffixHash: uint64(i)*0x9e3779b97f4a7c15 + 1}
		choice, ok := f.ChooseEngine(now, "s", 88_000, p, nil)
		if !ok {
			t.Fatal("no engine")
		}
		if slices.Contains(f.LikelyHolders(now, "s", "", p.SuffixHash, asked), choice.Server) {
			found++
		}
		placed := Placement{Run: uint64(i), Server: choice.Server.ID, Tokens: 9100, SuffixHash: p.SuffixHash, Prefill: choice.Prefill}
		f.AddRun(now, "h", placed)
		f.RecordPromptRead(now.Add(choice.Prefill), "h", placed)
		running = append(running, placed)
	}
	if found < streams*9/10 {
		t.Errorf("%d of %d prompts are on one of the %d engines that are asked", found, streams, asked)
	}
}

// Guards against sending to a server that was chosen before it said that it is leaving or asked
// for a pause, or before it left, and against giving up one that is only suspected to be lost.
func TestRefuses(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for name, c := range map[string]struct {
		change  func(f *Fleet, s *Server)
		refuses bool
	}{
		"no change": {func(*Fleet, *Server) {}, false},
		"leaving":   {func(f *Fleet, s *Server) { f.RecordLeaving(s.ID, s.Incarnation) }, true},
		"pause":     {func(f *Fleet, s *Server) { f.RecordRetryAfter(start, s, time.Second) }, true},
		"removed":   {func(f *Fleet, s *Server) { f.Remove(start, s.ID, false) }, true},
		"replaced":  {func(f *Fleet, s *Server) { f.Put(start, Entry{ID: s.ID, Incarnation: 8, Service: "s", Sequence: 1}) }, true},
		"reset":     {func(f *Fleet, s *Server) { f.RecordLoss(start, s.ID, LossReset) }, false},
		"reported":  {func(f *Fleet, s *Server) { f.RecordReport(start, s.ID, LossSilent) }, false},
	} {
		f := New("h", start)
		f.Put(start, Entry{ID: "a", Incarnation: 7, Service: "s", Address: "10.0.0.1:80", Sequence: 1})
		s := f.Server("a")
		c.change(f, s)
		if got := f.Refuses(s, start.Add(10*time.Millisecond)); got != c.refuses {
			t.Errorf("%s: refuses %t, want %t", name, got, c.refuses)
		}
	}
}
