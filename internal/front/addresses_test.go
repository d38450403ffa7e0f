package front

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against small hosts that get as much as large ones, answers that hold too
// many addresses, and clients that are moved to other hosts at each question.
func TestAddressesFollowWhatHostsCarry(t *testing.T) {
	var hosts []addressee
	for i := range 79 {
		h := addressee{host: ident.HostID(fmt.Sprintf("h%d", i)), address: fmt.Sprintf("10.0.0.%d:1", i), carries: carried(0.192, 10)}
		if i < 6 {
			h.carries = carried(0.8, 200)
		}
		hosts = append(hosts, h)
	}
	const clients = 4000
	share := map[string]float64{} // clients that use a host, if each takes one at random
	for c := range clients {
		client := fmt.Sprintf("10.9.%d.%d", c/250, c%250)
		list := addressesFor(client, hosts)
		if len(list) != addressesAtMost {
			t.Fatalf("%d addresses", len(list))
		}
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		if !slices.Equal(list, addressesFor(client, reversed)) {
			t.Fatal("another order of the hosts gives other addresses")
		}
		for _, a := range list {
			share[a] += 1.0 / float64(len(list))
		}
	}
	large, small := 0.0, 0.0
	for i := range hosts {
		if i < 6 {
			large += share[hosts[i].address] / 6
		} else {
			small += share[hosts[i].address] / 73
		}
	}
	if ratio := large / small; ratio < 2.5 || ratio > 5 {
		t.Errorf("a large host gets %.1f times as much as a small one, which carries a quarter", ratio)
	}
	for i := range hosts {
		if share[hosts[i].address] == 0 {
			t.Errorf("host %d gets nothing", i)
		}
	}
	if got := addressesFor("c", hosts[:6]); len(got) != 6 {
		t.Errorf("%d of 6 hosts named", len(got))
	}
}

// Guards against a host whose settings name no processor share or no link being
// given nothing, or everything.
func TestCarried(t *testing.T) {
	for _, test := range []struct{ cores, mbps, want float64 }{{0.14, 0, 10}, {0, 1, 10}, {0, 0, 1}, {14, 1, 10}} {
		if got := carried(test.cores, test.mbps); got < test.want*0.99 || got > test.want*1.01 {
			t.Errorf("%v cores, %v Mbit/s: %v, want %v", test.cores, test.mbps, got, test.want)
		}
	}
}
