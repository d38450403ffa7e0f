package fleet

import (
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against a server that is listed again and is not told to the other hosts, which have
// dropped it or never found it.
func TestListedAgainIsAChange(t *testing.T) {
	f := testFleet(1)
	digest := f.ListDigest()
	e := f.Server("a0").Entry
	if !f.Remove(at(0), "a0", true) || f.ListDigest() == digest {
		t.Error("a lapsed entry does not change the digest")
	}
	e.Sequence++
	if !f.Put(at(100), e) || f.ListDigest() != digest {
		t.Error("the return of a lapsed entry is no change")
	}
	found := Entry{ID: "new", Incarnation: 5, Service: service, Address: "n:1", DataCentre: "a"}
	f.AddDiscovered(at(200), found)
	if f.ListDigest() != digest {
		t.Error("a server that is not listed changes the digest")
	}
	found.Sequence, found.Version = 1, "v1"
	if !f.Put(at(300), found) || f.ListDigest() == digest {
		t.Error("the first entry of a discovered server is no change")
	}
}

// Guards against digests that differ for the same list, because of the order in which it was
// read or of reports that only show that a server is alive, and against equal ones for lists
// that differ.
func TestListDigest(t *testing.T) {
	a, b := New("a", start), New("b", start)
	if a.ListDigest() == 0 {
		t.Error("the digest of an empty list is the one that is not known")
	}
	entry := func(id string, sequence int64) Entry {
		return Entry{ID: ident.BackendID(id), Incarnation: 1, Service: service, Address: id + ":1", Version: "v1", Sequence: sequence}
	}
	a.Put(start, entry("x", 1))
	a.Put(start, entry("y", 1))
	b.Put(start, entry("y", 7))
	b.Put(start, entry("x", 3))
	if a.ListDigest() != b.ListDigest() {
		t.Error("digests of the same list differ")
	}
	changes := map[string]Entry{"draining": entry("x", 9), "incarnation": entry("x", 9), "version": entry("x", 9)}
	for name, e := range changes {
		switch name {
		case "draining":
			e.Draining = true
		case "incarnation":
			e.Incarnation = 2
		case "version":
			e.Version = "v2"
		}
		other := New("c", start)
		other.Put(start, entry("y", 1))
		other.Put(start, e)
		if other.ListDigest() == a.ListDigest() {
			t.Errorf("another %s does not change the digest", name)
		}
	}
}

// BenchmarkListDigest measures the digest of 501 servers after each change of the list.
func BenchmarkListDigest(b *testing.B) {
	f := testFleet(167)
	for b.Loop() {
		f.mu.Lock()
		f.invalidateDigest(true)
		f.mu.Unlock()
		f.ListDigest()
	}
}
