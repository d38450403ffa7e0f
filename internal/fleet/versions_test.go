package fleet

import (
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// versionFleet returns a fleet with one engine of each version in each data centre.
func versionFleet(versions ...string) *Fleet {
	f := New("self", start)
	for _, v := range versions {
		for _, d := range []string{"a", "b", "c"} {
			f.Put(start, Entry{ID: ident.BackendID(v + d), Incarnation: 1, Service: service, Address: v + d + ":1", DataCentre: ident.DataCentre(d), Version: v, Sequence: 1})
		}
	}
	return f
}

// Guards against a stream, or the copy of its run, at another version than the one that
// began it, and against a stream that is kept from the other engines of its version.
func TestEnginesOfOneVersion(t *testing.T) {
	f := versionFleet("v1", "v2")
	f.RecordLoss(at(0), "v1a", LossRefused)
	for hash := range uint64(50) {
		p := Prompt{Tokens: 8000, MaxOutput: 600, SuffixHash: hash, Version: "v1"}
		c, ok := f.ChooseEngine(at(10), service, memory, p, Exclude{"v1a"})
		if !ok || c.Server.Version != "v1" {
			t.Fatalf("prompt %d of v1 placed on %v", hash, c.Server)
		}
		if b := f.ChooseBackup(at(10), c.Server, memory, p, nil); b == nil || b.Version != "v1" {
			t.Fatalf("copy of a run of v1 placed on %v", b)
		}
	}
	if n := len(f.Accepting(at(10), service, "v2")); n != 3 {
		t.Errorf("%d engines of v2 accept work, want 3", n)
	}
	if _, ok := f.ChooseEngine(at(10), service, memory, Prompt{Version: "v3"}, nil); ok {
		t.Error("a stream of a version without engines was placed")
	}
}

// Guards against an engine that was discovered without the list and counts as one of the
// version of another.
func TestUnknownVersion(t *testing.T) {
	f := versionFleet("v1")
	f.AddDiscovered(at(0), Entry{ID: "new", Incarnation: 5, Service: service, Address: "n:1", DataCentre: "b", Version: UnknownVersion})
	for _, version := range []string{UnknownVersion, "v1"} {
		for hash := range uint64(50) {
			if c, ok := f.ChooseEngine(at(0), service, memory, Prompt{SuffixHash: hash, Version: version}, nil); ok && c.Server.ID == "new" {
				t.Fatalf("a stream of version %s was placed on the engine", version)
			}
		}
	}
	s := f.Server("new")
	f.Put(at(100), Entry{ID: "new", Incarnation: 5, Service: service, Address: "n:1", DataCentre: "b", Version: "v1", Sequence: 1})
	if f.Server("new") != s || f.VersionOf(s) != "v1" {
		t.Errorf("version %q after the engine was listed", f.VersionOf(s))
	}
}

// Guards against a server that has started again with another version, without stating when
// it started, and is taken for the one before.
func TestVersionChangesUnderTheSameID(t *testing.T) {
	f := New("self", start)
	e := Entry{ID: "x", Service: service, Address: "x:1", Version: "v1", Sequence: 4}
	f.Put(at(0), e)
	before := f.Server("x")
	e.Version, e.Sequence = "v2", 1
	if !f.Put(at(100), e) || f.Server("x") == before || f.VersionOf(before) != "v1" || f.VersionOf(f.Server("x")) != "v2" {
		t.Errorf("version %q, before %q", f.VersionOf(f.Server("x")), f.VersionOf(before))
	}
}
