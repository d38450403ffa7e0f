package capacity

import (
	"fmt"
	"strings"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// contractEntry returns a contract with the given number of quiet-hours windows.
func contractEntry(team int, sequence, windows int) contractset.Entry {
	var doc strings.Builder
	fmt.Fprintf(&doc, "customer = %q\nkeys = [\"sha256:%064x\"]\npriority = \"high\"\nshare_percent = 25\nmodels = [\"airing-plan-1\"]\n", teamID(team), team)
	for i := range windows {
		fmt.Fprintf(&doc, "[[quiet_hours]]\nstart = \"%02d:00\"\nend = \"%02d:30\"\ntime_zone = \"Europe/Lisbon\"\napplies_to = [\"model:m%d\"]\n", i, i, i)
	}
	doc.WriteString("[[non_idempotent]]\nservice = \"booking\"\nmethods = [\"POST\"]\npath_prefix = \"/bookings\"\n")
	return contractset.Entry{Sequence: ident.LogSequence(sequence), Team: teamID(team), Version: ident.ContractVersion(sequence), Document: doc.String()}
}

func contractEntries(n int) []contractset.Entry {
	var entries []contractset.Entry
	for i := range n {
		entries = append(entries, contractEntry(i, i+1, 5))
	}
	return entries
}

// BenchmarkContractSet measures loading all contracts into an empty set and
// applying one change.
func BenchmarkContractSet(b *testing.B) {
	for _, contracts := range []int{10, 110, 220, 1_100} {
		entries := contractEntries(contracts)
		load := func() *contractset.Set {
			set := contractset.New()
			set.ApplyRange(0, ident.LogSequence(contracts), entries)
			return set
		}
		if _, ok := load().Contract(teamID(contracts - 1)); !ok {
			b.Fatal("a contract is missing")
		}
		b.Run(fmt.Sprintf("load/contracts=%d", contracts), func(b *testing.B) {
			for b.Loop() {
				load()
			}
			b.ReportMetric(heapBytes(func() any { return load() }), "heap-B")
		})
		b.Run(fmt.Sprintf("change/contracts=%d", contracts), func(b *testing.B) {
			set, next := load(), contracts
			for b.Loop() {
				next++
				if len(set.Apply(contractEntry(1, next, 5))) != 1 {
					b.Fatal("the change was not applied")
				}
			}
		})
	}
}
