package serverlimit

import (
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against clients that are all sent back at the same time, and against a turn
// before the server accepts a request.
func TestTurnsOfRefusedRequests(t *testing.T) {
	var l Limiter
	server := Server{ID: "s", Incarnation: 1}
	const perSecond = 2
	last := time.Duration(0)
	for i := range 5 {
		d := l.Take(at(0), server, perSecond)
		if d.Granted {
			t.Fatalf("request %d granted by a host that has just become the owner", i)
		}
		if d.Free != 500*time.Millisecond || d.Turn < d.Free || d.Turn <= last {
			t.Errorf("request %d: free in %v, turn in %v after one in %v", i, d.Free, d.Turn, last)
		}
		last = d.Turn
	}
	if !l.Take(at(500*time.Millisecond), server, perSecond).Granted {
		t.Error("no request granted at the first turn")
	}
	if d := l.Take(at(510*time.Millisecond), Server{ID: "s", Incarnation: 2}, perSecond); d.Granted {
		t.Error("a new incarnation takes over the permissions of the one before")
	}
}

// Guards against a limit that the hosts do not follow when it changes.
func TestLimitChanges(t *testing.T) {
	var l Limiter
	server := Server{ID: "s"}
	granted := func(from, to time.Duration, perSecond float64) (count int) {
		for now := from; now < to; now += 10 * time.Millisecond {
			if l.Take(at(now), server, perSecond).Granted {
				count++
			}
		}
		return count
	}
	for _, c := range []struct {
		second    int
		perSecond float64
		low, high int
	}{{0, 10, 90, 101}, {10, 1, 9, 12}, {20, 20, 190, 211}, {30, 0.2, 1, 4}} {
		from := time.Duration(c.second) * time.Second
		if n := granted(from, from+10*time.Second, c.perSecond); n < c.low || n > c.high {
			t.Errorf("%d requests in 10 s with a limit of %v", n, c.perSecond)
		}
	}
}

// Guards against groups of hosts that do not reach each other and together use more than
// half of the limit too much, and against one group that may not use all of it.
func TestShareOfGroups(t *testing.T) {
	for _, c := range []struct {
		all    int
		groups []int
	}{{6, []int{6}}, {6, []int{5, 1}}, {6, []int{3, 3}}, {9, []int{5, 4}}, {300, []int{151, 149}}, {6, []int{1, 1, 1, 1, 1, 1}}, {7, []int{4, 1, 2}}} {
		sum := 0.0
		for _, g := range c.groups {
			sum += Share(g, c.all)
		}
		if sum > 1.5 || sum < 0.999 {
			t.Errorf("groups %v of %d hosts use %.2f of the limit", c.groups, c.all, sum)
		}
	}
}

// Guards against hosts that disagree on the owner, and against one host that owns most
// servers.
func TestOwnersAreSpread(t *testing.T) {
	hosts := []ident.HostID{"a", "b", "c", "d", "e", "f"}
	owned := map[ident.HostID]int{}
	for i := range 600 {
		server := ident.BackendID(rune('A'+i%26)) + ident.BackendID(time.Duration(i).String())
		owner := Owner(server, hosts)
		owned[owner]++
		if other := Owner(server, []ident.HostID{"f", "d", "b", "a", "c", "e"}); other != owner {
			t.Errorf("owners %s and %s of %s", owner, other, server)
		}
	}
	for _, h := range hosts {
		if owned[h] < 60 || owned[h] > 150 {
			t.Errorf("%s owns %d of 600 servers", h, owned[h])
		}
	}
}
