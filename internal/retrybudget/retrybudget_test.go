package retrybudget

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newBudget(t *testing.T, inFlight int) *Budget {
	t.Helper()
	b, err := New(Config{}, start)
	if err != nil {
		t.Fatal(err)
	}
	for range inFlight {
		b.Started(start)
	}
	return b
}

// takeAll takes tokens until the budget has none and returns their number.
func takeAll(b *Budget, now time.Time) (n int) {
	for ok, _ := b.Take(now); ok; ok, _ = b.Take(now) {
		n++
	}
	return n
}

// TestSimultaneousLosses verifies that all generations of a quarter of the engines, and even
// those of all engines, can resume at once.
func TestSimultaneousLosses(t *testing.T) {
	for _, lost := range []int{250, 1000} {
		b := newBudget(t, 1000)
		for i := range lost {
			if ok, wait := b.Take(at(i)); !ok {
				t.Fatalf("resume %d of %d has to wait for %v", i, lost, wait)
			}
		}
	}
}

// TestRepeatedLosses verifies the bound on resumes when all generations are lost
// repeatedly: the capacity once, then 0.2 per new generation and 1 per second,
// whether the generations continue or end.
func TestRepeatedLosses(t *testing.T) {
	for _, end := range []bool{false, true} {
		b := newBudget(t, 100)
		taken := takeAll(b, at(0))
		for ms := 100; ms <= 60_000; ms += 100 { // 10 new generations each second
			b.Started(at(ms))
			if end {
				b.Ended(at(ms))
			}
			taken += takeAll(b, at(ms))
		}
		if bound := 110 + 60 + 600/5; taken > bound || taken < bound-1 {
			t.Errorf("generations end %v: %d resumes, bound %d", end, taken, bound)
		}
	}
}

// TestWait verifies that the wait is sufficient and no longer than needed, and that a
// new generation or the end of others changes it as described in section 3.2 of
// docs/design.md.
func TestWait(t *testing.T) {
	b := newBudget(t, 0)
	if n := takeAll(b, at(0)); n != 10 {
		t.Fatalf("capacity %d without generations in flight", n)
	}
	_, wait := b.Take(at(250))
	if wait < 750*time.Millisecond || wait > 751*time.Millisecond {
		t.Fatalf("wait %v", wait)
	}
	if ok, _ := b.Take(at(250).Add(wait)); !ok {
		t.Fatal("no token after the wait")
	}
	if ok, _ := b.Take(at(500)); ok {
		t.Fatal("a clock set back gained a token")
	}
	b = newBudget(t, 5)
	takeAll(b, at(0))
	for range 5 {
		b.Ended(at(0))
	}
	if ok, wait := b.Take(at(0)); ok || wait > 1001*time.Millisecond {
		t.Fatalf("after the end of all generations: %v, wait %v", ok, wait)
	}
}
