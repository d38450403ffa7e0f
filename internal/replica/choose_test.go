package replica

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// TestMain fixes the seed of random tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	goleak.VerifyTestMain(m)
}

var self = Site{"self", "a1", "a"}

func candidate(host, dataCentre string) Candidate {
	return Candidate{Site{ident.HostID(host), ident.DataCentre(dataCentre), dataCentre[:1]}, true}
}

// Guards against a copy in the owner's own data centre while another location is
// available: such a copy is lost together with that data centre.
func TestChooseLocationOrder(t *testing.T) {
	all := []Candidate{candidate("self", "a2"), candidate("n1", "a1"), candidate("n2", "c1"), candidate("n3", "b1"), candidate("n4", "d1"), candidate("n5", "a2")}
	near := []string{"c"}
	var order []ident.HostID
	for _, c := range Preselect(self, near, all, 4) {
		order = append(order, c.Host)
	}
	if !slices.Equal(order, []ident.HostID{"n5", "n2", "n3", "n4"}) {
		t.Fatalf("preselected hosts are %v", order)
	}
	for i, want := range []ident.HostID{"n5", "n2", "n3", "n4", "n1", ""} {
		got, ok := Choose("gen-1", self, near, all)
		if got != want || ok != (want != "") {
			t.Fatalf("choice %d is %q, %v; want %q", i, got, ok, want)
		}
		for j := range all {
			if all[j].Host == got {
				all[j].Eligible = false
			}
		}
	}
}

// Guards against a choice that depends on the order of the host list, that loads
// hosts unevenly, or that moves copies on other hosts when one host is lost.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []Candidate
		for i := range rapid.IntRange(2, 12).Draw(t, "hosts") {
			hosts = append(hosts, candidate(fmt.Sprintf("n%d", i), "a2"))
		}
		shuffled := rapid.Permutation(hosts).Draw(t, "shuffled")
		lost := shuffled[0].Host
		counts := map[ident.HostID]int{}
		const generations = 400
		for i := range generations {
			generation := ident.GenerationID(fmt.Sprintf("gen-%d", i))
			before, _ := Choose(generation, self, nil, hosts)
			if again, _ := Choose(generation, self, nil, shuffled); again != before {
				t.Fatalf("order of hosts changes the choice from %s to %s", before, again)
			}
			after, _ := Choose(generation, self, nil, hosts, lost)
			if after == lost || before != lost && after != before {
				t.Fatalf("loss of %s moves a generation from %s to %s", lost, before, after)
			}
			counts[before]++
		}
		selected, again := Preselect(self, nil, hosts, 3), Preselect(self, nil, shuffled, 3)
		if !slices.Equal(selected, again) {
			t.Fatalf("order of hosts changes the preselection from %v to %v", selected, again)
		}
		for _, h := range hosts {
			if mean := generations / len(hosts); counts[h.Host] < mean/4 || counts[h.Host] > mean*3 {
				t.Fatalf("uneven distribution: %v", counts)
			}
		}
	})
}

func BenchmarkChoose1100Hosts(b *testing.B) {
	var hosts []Candidate
	for i := range 1100 {
		hosts = append(hosts, candidate(fmt.Sprintf("host-%d", i), fmt.Sprintf("%c%d", 'a'+i%9, i%22)))
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose("gen-0123456789", self, nil, hosts)
	}
}
