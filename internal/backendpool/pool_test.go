package backendpool

import (
	"fmt"
	"testing"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// Guards against a number of concurrent polls that grows without bound with the
// size of the fleet, and against servers that are never polled.
func TestPollsAreBoundedAndReachEveryServer(t *testing.T) {
	for _, c := range []struct{ servers, rounds int }{{0, 1}, {39, 1}, {maxPolls, 1}, {maxPolls + 1, 2}, {1000, 8}} {
		p, err := New(placement.Config{}, backend.NewClient(), 1, Hooks{})
		if err != nil {
			t.Fatal(err)
		}
		var list []platformapi.Backend
		for i := range c.servers {
			list = append(list, platformapi.Backend{BackendID: fmt.Sprintf("e%04d", i), Kind: platformapi.KindEngine, State: platformapi.HostLive})
		}
		p.ObserveList(list)
		polls := map[ident.BackendID]int{}
		for range 3 * c.rounds {
			targets := p.pollTargets()
			if len(targets) > maxPolls {
				t.Errorf("%d servers: %d polls at once", c.servers, len(targets))
			}
			for _, target := range targets {
				polls[target.id]++
				delete(p.polling, target.id)
			}
		}
		for _, b := range list {
			if n := polls[ident.BackendID(b.BackendID)]; n < 3 {
				t.Errorf("%d servers: %s polled %d times in %d rounds, want 3", c.servers, b.BackendID, n, 3*c.rounds)
			}
		}
	}
}
