package streamversion

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func key(id, body string) Key { return KeyOf(ident.RequestID(id), "team POST /plan", []byte(body)) }

// Guards against a stream whose version is forgotten while its client may return, taken from
// another stream, or guessed where two streams have the same content.
func TestRegistry(t *testing.T) {
	var r Registry
	r.Add(at(0), Record{Key: key("a", "one"), Version: "v1"})
	r.Add(at(0), Record{Key: key("b", "two"), Version: "v2"})
	r.Add(at(0), Record{Key: key("c", "two"), Version: "v1"})
	for _, c := range []struct {
		name    string
		key     Key
		version string
	}{
		{"by id", key("a", "other"), "v1"},
		{"by id, same content as another", key("b", "two"), "v2"},
		{"unknown id, known content", key("x", "one"), ""},
		{"no id, known content", key("", "one"), "v1"},
		{"no id, content of two versions", key("", "two"), ""},
		{"nothing known", key("x", "x"), ""},
	} {
		if v, ok := r.Version(at(recordTTL), c.key); v != c.version && ok || ok != (c.version != "") {
			t.Errorf("%s: version %q, known %t, want %q", c.name, v, ok, c.version)
		}
	}
	if _, ok := r.Version(at(recordTTL+time.Second), key("a", "")); ok {
		t.Error("a record outlasts its time")
	}
	r.Add(at(time.Second), Record{Key: key("a", "one"), Version: "v2"})
	if v, ok := r.Version(at(time.Second), key("a", "one")); ok {
		t.Errorf("version %q of a stream that was reported with two versions", v)
	}
}

// Guards against records that are written to the store twice, or never, and against memory
// that grows without bound.
func TestUnstoredRecords(t *testing.T) {
	var r Registry
	for i := range 25 {
		r.Add(at(0), Record{Key: key(fmt.Sprint(i), fmt.Sprint(i)), Version: "v1"})
	}
	seen := map[uint64]int{}
	for range 4 {
		records := r.Unstored(at(time.Second), 10)
		for _, x := range records {
			seen[x.ID]++
			if x.AgeMs != 1000 {
				t.Errorf("age %d ms", x.AgeMs)
			}
		}
		r.MarkStored(records)
	}
	if len(seen) != 25 {
		t.Errorf("%d of 25 records were written", len(seen))
	}
	for id, n := range seen {
		if n != 1 {
			t.Errorf("record %d written %d times", id, n)
		}
	}
	r.MarkUnstored()
	if records := r.Unstored(at(time.Second), 100); len(records) != 25 {
		t.Errorf("%d of 25 records are written again after the store has lost them", len(records))
	}
	for i := range maxRecords + 100 {
		r.Add(at(2*time.Second), Record{Key: key(fmt.Sprint("m", i), fmt.Sprint(i)), Version: "v1"})
	}
	if len(r.records) > maxRecords || len(r.byID) > maxRecords || len(r.byContent) > maxRecords {
		t.Errorf("%d records, %d ids, %d contents", len(r.records), len(r.byID), len(r.byContent))
	}
	r.Add(at(time.Hour), Record{Key: key("last", "last"), Version: "v1"})
	if len(r.records) != 1 || len(r.byID) != 1 {
		t.Errorf("%d records, %d ids after an hour", len(r.records), len(r.byID))
	}
}

// Guards against a stream that continues at the only version left although another one may
// have begun it, and against streams that are refused although there never was another.
func TestSoleVersion(t *testing.T) {
	one, two := map[string][]string{"s": {"v1"}}, map[string][]string{"s": {"v1", "v2"}}
	var h History
	h.Update(at(0), one)
	if v, ok := h.Sole(at(0), "s"); ok {
		t.Errorf("%s is the only version, although the time before the start is not known", v)
	}
	h.Load(at(0), nil, 0)
	if v, ok := h.Sole(at(0), "s"); !ok || v != "v1" {
		t.Errorf("version %q, known %t", v, ok)
	}
	h.Update(at(time.Second), two)
	h.Update(at(10*time.Second), map[string][]string{"s": {"v2"}})
	if v, ok := h.Sole(at(20*time.Second), "s"); ok {
		t.Errorf("%s is the only version 19 s after the last server of another", v)
	}
	if s := h.SnapshotOf(at(20*time.Second), map[string][]string{"s": {"v2"}}); !s.Mixed() {
		t.Errorf("snapshot %v is not mixed", s)
	}
	later := at(2*time.Second + historyMemory)
	s := h.SnapshotOf(later, map[string][]string{"s": {"v2"}})
	if v, ok := h.Sole(later, "s"); !ok || v != "v2" || s.Mixed() {
		t.Errorf("version %q, known %t, snapshot %v after the memory of the other", v, ok, s)
	}
}

// Guards against a host that starts and takes a service for one that has had one version
// only, since the store or a peer does not say what was before.
func TestHistoryOutlastsHosts(t *testing.T) {
	var before History
	before.Load(at(0), nil, 0)
	before.Update(at(0), map[string][]string{"s": {"v1", "v2"}})
	s := before.SnapshotOf(at(20*time.Second), map[string][]string{"s": {"v2"}})
	if !s.Mixed() || s["s"]["v1"] != 20_000 || s["s"]["v2"] != 0 {
		t.Fatalf("snapshot %v", s)
	}
	var after History
	after.Load(at(50*time.Second), s, 30*time.Second)
	after.Update(at(50*time.Second), map[string][]string{"s": {"v2"}})
	if _, ok := after.Sole(at(50*time.Second), "s"); ok {
		t.Error("v2 is the only version 50 s after the last server of v1")
	}
	if v, ok := after.Sole(at(historyMemory+time.Second), "s"); !ok || v != "v2" {
		t.Errorf("version %q, known %t after the memory of the other", v, ok)
	}
	if s.SameVersions(before.SnapshotOf(at(21*time.Second), map[string][]string{"s": {"v1", "v2"}})) {
		t.Error("a version that has servers again is no change")
	}
	if !s.SameVersions(before.SnapshotOf(at(22*time.Second), map[string][]string{"s": {"v2"}})) {
		t.Error("a change without cause")
	}
}

// Guards against streams that began at servers of unknown version and are taken for those of
// one version, and against their versions not being learned once the list tells them.
func TestUnknownVersionIsResolved(t *testing.T) {
	now := time.Now()
	var r Registry
	server := func(i int) Server { return Server{ID: ident.BackendID(fmt.Sprint("s", i)), Incarnation: 7} }
	keys := []Key{KeyOf("a", "t", []byte("one")), KeyOf("b", "t", []byte("two"))}
	for i, k := range keys {
		r.Add(now, Record{Key: k, Version: Unknown, Server: server(i)})
	}
	if v, known := r.Version(now, keys[0]); !known || v != Unknown {
		t.Fatalf("version %q, known %t", v, known)
	}
	r.Resolve(func(s Server) string {
		if s == server(0) {
			return "v2"
		}
		return ""
	})
	r.Add(now, Record{Key: keys[0], Version: Unknown, Server: server(0)}) // a late copy of the datagram
	for i, want := range []string{"v2", Unknown} {
		if v, _ := r.Version(now, keys[i]); v != want {
			t.Errorf("stream %d has version %q, want %q", i, v, want)
		}
	}
	if v, _ := r.Version(now, Key{Content: keys[0].Content}); v != "v2" {
		t.Errorf("by content the version is %q", v)
	}
	r.Resolve(func(Server) string { return "v3" })
	if v, _ := r.Version(now, keys[1]); v != "v3" {
		t.Errorf("version %q after the list told it", v)
	}
}

// Guards against a service that counts as one of a single version while a server of it has an
// unknown one.
func TestUnknownVersionIsNotSole(t *testing.T) {
	now := time.Now()
	var h History
	h.Load(now, nil, 0)
	h.Update(now, map[string][]string{"s": {"v1", Unknown}})
	if v, ok := h.Sole(now, "s"); ok {
		t.Errorf("%s counts as the only version", v)
	}
}
