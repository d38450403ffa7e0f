package front

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Clients pick one of the addresses that they are given at random, so what they
// are given decides what each host gets.
//
// Load pattern: hosts of one deployment differ four times in processor share and
// twenty times in their links, and there may be more of them than one answer
// holds. Each client gets a few hosts, big ones more often, and the same ones at
// each question, so that its connections stay in use.

const (
	// addressesAtMost is the number of hosts named to one client. It gives a
	// client others to go to when some hosts fail.
	addressesAtMost = 16
	// coreSecondsPerRequest and megabitsPerRequest are what a host spends on one
	// request of the platform's mix, see docs/CAPACITY.md.
	coreSecondsPerRequest = 0.014
	megabitsPerRequest    = 0.1
)

// carried is the number of requests a second that a host can carry.
func carried(cores, linkMbps float64) float64 {
	byCore, byLink := cores/coreSecondsPerRequest, linkMbps/megabitsPerRequest
	switch {
	case byCore <= 0 && byLink <= 0:
		return 1
	case byCore <= 0:
		return byLink
	case byLink <= 0:
		return byCore
	}
	return min(byCore, byLink)
}

// addressee is a host that takes clients.
type addressee struct {
	host    ident.HostID
	address string
	carries float64 // requests a second
}

// addressesFor picks the hosts named to a client, each with a probability that
// follows what it carries. All nodes pick the same ones for a client, as far as
// they know the same hosts.
func addressesFor(client string, hosts []addressee) []string {
	type ranked struct {
		addressee
		key float64
	}
	list := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		// Weighted sampling without replacement by exponential keys: the least
		// -ln(u)/weight are chosen, with u from a hash of client and host.
		u := (float64(xxh3.HashString(client+"/"+string(h.host))>>11) + 0.5) / (1 << 53)
		list = append(list, ranked{h, -math.Log(u) / max(h.carries, math.SmallestNonzeroFloat32)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	var addresses []string
	for _, h := range list[:min(len(list), addressesAtMost)] {
		addresses = append(addresses, h.address)
	}
	return addresses
}
