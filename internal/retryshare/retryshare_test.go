package retryshare

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	start  = time.Unix(1_000_000, 0)
	limits = Limits{Ratio: 0.8, Base: 150, Window: 10 * time.Second}
)

// warm is a time at which the fixed number of a host that began at start is whole.
var warm = start.Add(limits.Window)

func newBudget(hosts int) *Budget { return New(limits, start, func() int { return hosts }) }

// takeAll takes retries until the budget is used up and returns their number.
func takeAll(b *Budget, now time.Time, p Priority) (n int) {
	for n < 10_000 && b.Take(now, "s", p) {
		n++
	}
	return n
}

// Guards against a host that uses more than its share of the fixed number and of what
// its own requests allow, and against a share that does not come back after the window.
func TestShareOfOneHost(t *testing.T) {
	b := newBudget(6)
	for range 100 {
		b.RecordRequest(warm, "s")
	}
	share := 0.8*100 + 150.0/6
	n := takeAll(b, warm, Needed)
	if float64(n) > share || float64(n) < share/2 {
		t.Errorf("%d retries, the share is %v", n, share)
	}
	if more := takeAll(b, warm.Add(9*time.Second), Needed); more != 0 {
		t.Errorf("%d more retries in the same window", more)
	}
	if later := takeAll(b, warm.Add(25*time.Second), Needed); later == 0 || float64(later) > 150.0/6 {
		t.Errorf("%d retries without requests in a later window, want a part of %v", later, 150.0/6)
	}
}

// Guards against a host that gets the whole fixed number again each time that it
// restarts.
func TestRestartedHostGrowsIntoItsShare(t *testing.T) {
	b := newBudget(1)
	whole := 150 * limitFraction
	first := takeAll(b, start, Needed)
	if float64(first) > initialFraction*whole || first == 0 {
		t.Errorf("%d retries at the start, want a part of %v", first, whole)
	}
	half := takeAll(b, start.Add(5*time.Second), Needed)
	if float64(first+half) > whole*(1+initialFraction)/2 || half == 0 {
		t.Errorf("%d and %d retries until half a window, want a part of %v", first, half, whole)
	}
}

// Guards against hedges that use up the retries which failed requests need.
func TestOptionalRetriesLeaveHalf(t *testing.T) {
	b := newBudget(1)
	optional := takeAll(b, warm, Optional)
	needed := takeAll(b, warm, Needed)
	if optional == 0 || needed < optional {
		t.Errorf("%d optional retries leave %d needed ones", optional, needed)
	}
}

// Guards against a loan that two hosts use, that lasts longer than its slots, and
// against a host that lends more than its share.
func TestLoans(t *testing.T) {
	lender, borrower := newBudget(2), newBudget(2)
	share := limitFraction * 150 / 2
	takeAll(borrower, warm, Needed)
	granted := lender.Lend(warm, "s", 1000)
	if float64(granted) > share || granted == 0 {
		t.Fatalf("lent %d of a share of %v", granted, share)
	}
	if again := lender.Lend(warm, "s", 1); again != 0 {
		t.Errorf("lent %d more", again)
	}
	if own := takeAll(lender, warm, Needed); float64(own+granted) > share {
		t.Errorf("lender used %d and lent %d of a share of %v", own, granted, share)
	}
	borrower.AddLoan(warm, "s", granted)
	if n := takeAll(borrower, warm.Add(500*time.Millisecond), Needed); n != granted {
		t.Errorf("%d retries with a loan of %d", n, granted)
	}
	borrower.AddLoan(warm, "s", granted)
	if n := takeAll(borrower, warm.Add(2500*time.Millisecond), Needed); n != 0 {
		t.Errorf("%d retries with a loan from an earlier slot", n)
	}
}

// Reproduces a service that refuses most requests, as seen by many hosts: every request
// is tried as often as its host allows, hosts borrow from each other, loans are lost,
// and hosts restart without state. In every span of one window the retries of all hosts
// together must stay within the limit, also when no host knows what the others use.
func TestHostsTogetherStayWithinLimit(t *testing.T) {
	const (
		hosts       = 70
		step        = 20 * time.Millisecond
		duration    = 60 * time.Second
		perStep     = 6 // requests of all hosts
		triesPerOne = 4
	)
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = newBudget(hosts)
		}
		var requests, retries []int // by step, of all hosts
		for passed := time.Duration(0); passed < duration; passed += step {
			now := start.Add(passed)
			sent, retried := perStep, 0
			if passed > 30*time.Second && passed < 33*time.Second {
				sent *= 3
			}
			for range sent {
				host := budgets[random.IntN(hosts)]
				host.RecordRequest(now, "s")
				for range triesPerOne {
					switch {
					case host.Take(now, "s", Needed):
						retried++
					case random.IntN(4) > 0: // a loan is lost now and then
						host.AddLoan(now, "s", budgets[random.IntN(hosts)].Lend(now, "s", 2))
					default:
						budgets[random.IntN(hosts)].Lend(now, "s", 2)
					}
				}
			}
			if random.IntN(25) == 0 {
				budgets[random.IntN(hosts)] = New(limits, now, func() int { return hosts })
			}
			requests, retries = append(requests, sent), append(retries, retried)
			checkWindow(t, seed, passed, requests, retries, int(limits.Window/step))
		}
	}
}

// checkWindow checks the window that ends with the latest step.
func checkWindow(t *testing.T, seed uint64, passed time.Duration, requests, retries []int, steps int) {
	t.Helper()
	from := max(0, len(requests)-steps)
	sent, retried := 0, 0
	for i := from; i < len(requests); i++ {
		sent += requests[i]
		retried += retries[i]
	}
	if limit := limits.Ratio*float64(sent) + limits.Base; float64(retried) > limit {
		t.Fatalf("seed %d, %v: %d retries for %d requests, limit %v", seed, passed, retried, sent, limit)
	}
}

// Guards against hosts that cannot use what the others leave: one host that lost many
// streams gets several times its own share through loans.
func TestLoansReachBusyHost(t *testing.T) {
	const hosts = 70
	idle := make([]*Budget, hosts-1)
	for i := range idle {
		idle[i] = newBudget(hosts)
	}
	busy := newBudget(hosts)
	own := takeAll(busy, warm, Needed)
	for _, lender := range idle {
		busy.AddLoan(warm, "s", lender.Lend(warm, "s", 2))
	}
	if lent := takeAll(busy, warm, Needed); lent < 10*own {
		t.Errorf("%d retries by loans, %d from its own share", lent, own)
	}
}
