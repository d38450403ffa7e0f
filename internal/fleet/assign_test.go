package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against assigning a server that is outside the pool of a request, leaving, or has asked
// this node for a pause, and against the pause of this node keeping back the calls of others.
func TestAssignable(t *testing.T) {
	f := poolFleet("v1", "v2", "v1", "v1", "v1")
	pool := Pool{Except: []string{"v2"}}
	f.RecordLeaving("s2", 0)
	f.RecordRetryAfter(at(0), f.Server("s3"), time.Minute)
	f.RecordLoss(at(0), "s4", LossRefused)
	a := f.Assignable(at(10), service, pool)
	slices.Sort(a.Closed)
	if !slices.Equal(a.Open, []ident.BackendID{"s0"}) || !slices.Equal(a.Lost, Exclude{"s4"}) || !slices.Equal(a.Closed, Exclude{"s1", "s2", "s3"}) {
		t.Errorf("open %v, lost %v, closed %v", a.Open, a.Lost, a.Closed)
	}
	var running []ident.BackendID
	for _, s := range f.RunningServers(at(10), service) {
		running = append(running, s.ID)
	}
	slices.Sort(running)
	if want := []ident.BackendID{"s0", "s1", "s3"}; !slices.Equal(running, want) {
		t.Errorf("servers for the requests of all hosts: %v, want %v", running, want)
	}
}

// Guards against leaving the last servers unused that may only seem to be lost, and against
// using them before others.
func TestServersThatARequestAvoids(t *testing.T) {
	a := Assignable{Open: []ident.BackendID{"a", "b"}, Lost: Exclude{"c"}, Closed: Exclude{"d"}}
	for name, c := range map[string]struct {
		closed, failed, want Exclude
		allowed              bool
	}{
		"one has failed it":            {nil, Exclude{"a"}, Exclude{"d", "c", "a"}, true},
		"all have failed it":           {nil, Exclude{"a", "b"}, Exclude{"d"}, true},
		"only a lost one is left":      {Exclude{"a", "b"}, nil, Exclude{"d", "a", "b"}, true},
		"all have refused it":          {Exclude{"a", "b", "c"}, nil, Exclude{"d", "a", "b", "c"}, false},
		"the other one has refused":    {Exclude{"b"}, Exclude{"a"}, Exclude{"d", "b"}, true},
		"nothing is known of the call": {nil, nil, Exclude{"d", "c"}, true},
	} {
		got := a.Except(c.closed, c.failed)
		if !slices.Equal(got, c.want) || a.Allows(got) != c.allowed {
			t.Errorf("%s: except %v, allowed %t", name, got, a.Allows(got))
		}
	}
}

// BenchmarkAssignable measures the cost of a look at the servers of a plain service beside 280 of
// another one.
func BenchmarkAssignable(b *testing.B) {
	f := poolFleet("v1", "v1", "v1", "v1")
	for i := range 280 {
		f.Put(at(0), Entry{ID: ident.BackendID(fmt.Sprint("e", i)), Service: "other", Address: fmt.Sprintf("10.1.0.%d:1", i), DataCentre: "a", Sequence: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		if a := f.Assignable(at(10), service, Pool{}); len(a.Open) != 4 {
			b.Fatal("servers are missing")
		}
	}
}
