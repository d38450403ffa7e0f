package front

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against small hosts that are given as many clients as large ones, answers
// with too many addresses, and clients that get other hosts on every query.
func TestAddressesFollowHostCapacity(t *testing.T) {
	var hosts []clientHost
	for i := range 79 {
		h := clientHost{host: ident.HostID(fmt.Sprintf("h%d", i)), address: fmt.Sprintf("10.0.0.%d:1", i), capacity: hostCapacity(0.192, 10)}
		if i < 6 {
			h.capacity = hostCapacity(0.8, 200)
		}
		hosts = append(hosts, h)
	}
	const clients = 4000
	share := map[string]float64{} // expected number of clients per host if each client picks an address at random
	for c := range clients {
		client := fmt.Sprintf("10.9.%d.%d", c/250, c%250)
		list := addressesFor(client, hosts)
		if len(list) != maxAddresses {
			t.Fatalf("got %d addresses, want %d", len(list), maxAddresses)
		}
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		if !slices.Equal(list, addressesFor(client, reversed)) {
			t.Fatal("the addresses depend on the order of the hosts")
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
		t.Errorf("a large host gets %.1f times as many clients as a small one, which has a quarter of its capacity", ratio)
	}
	for i := range hosts {
		if share[hosts[i].address] == 0 {
			t.Errorf("host %d gets no clients", i)
		}
	}
	if got := addressesFor("c", hosts[:6]); len(got) != 6 {
		t.Errorf("got the addresses of %d of 6 hosts", len(got))
	}
}

// Guards against a host without a configured processor share or link bandwidth
// getting no clients, or all of them.
func TestHostCapacity(t *testing.T) {
	for _, test := range []struct{ cores, mbps, want float64 }{{0.14, 0, 10}, {0, 1, 10}, {0, 0, 1}, {14, 1, 10}} {
		if got := hostCapacity(test.cores, test.mbps); got < test.want*0.99 || got > test.want*1.01 {
			t.Errorf("%v cores, %v Mbit/s: %v, want %v", test.cores, test.mbps, got, test.want)
		}
	}
}
