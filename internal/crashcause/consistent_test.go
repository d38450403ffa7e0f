package crashcause

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against lists of deaths that disagree after crashes were recorded out of order,
// dropped for lack of room, or expired: a dropped crash would count for good.
func TestListsOfDeathsAgree(t *testing.T) {
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, 1))
		var c Tracker
		now := start
		for range 9_000 {
			now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
			x := crash(fmt.Sprintf("b%d", r.IntN(900)), request(fmt.Sprint("r", r.IntN(40)), uint64(1+r.IntN(5)), uint64(10+r.IntN(2000))))
			x.Incarnation = now.Unix() / 120
			if r.IntN(3) == 0 {
				c.Merge(now, Evidence{Crashes: []AgedCrash{{Crash: x, AgeMs: r.Int64N(2 * retention.Milliseconds())}}})
			} else {
				c.Add(now, x)
			}
		}
		byAge := func(a, b *death) int { return a.at.Compare(b.at) }
		kept := c.Len(now) // drops what has expired
		contents, keys := 0, 0
		for _, d := range c.byAge {
			contents += len(d.contents)
			keys += len(d.present)
			if c.deaths[d.instance] != d || d.expired(now) {
				t.Fatalf("seed %d: %v is not among the deaths", seed, d.instance)
			}
		}
		listed := 0
		for k, list := range c.byKey {
			listed += len(list)
			if len(list) == 0 || !slices.IsSortedFunc(list, byAge) || slices.ContainsFunc(list, func(d *death) bool { return !d.present[k] || c.deaths[d.instance] != d }) {
				t.Fatalf("seed %d: deaths of %v are wrong", seed, k)
			}
		}
		if !slices.IsSortedFunc(c.byAge, byAge) || len(c.byAge) != len(c.deaths) || contents != kept || contents > maxCrashes || listed != keys {
			t.Fatalf("seed %d: %d and %d deaths, %d of %d crashes, %d of %d keys", seed, len(c.byAge), len(c.deaths), contents, kept, listed, keys)
		}
	}
}
