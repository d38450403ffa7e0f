package front

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Clients choose at random among the addresses they are given, so these
// addresses determine the share of requests that each host receives.
//
// Load pattern: the hosts of one deployment differ by a factor of four in
// processor share and by a factor of twenty in link bandwidth, and there may be
// more hosts than one answer holds. Each client is given a few hosts, chosen at
// random with their capacity as the weight. Every query of a client returns the
// same hosts, so that its connections are reused.

const (
	// maxAddresses is the maximum number of hosts returned to one client. It leaves
	// the client alternatives when some hosts fail.
	maxAddresses = 16
	// coreSecondsPerRequest and megabitsPerRequest are the processor time, in
	// core-seconds, and the traffic, in megabits, that a host spends on one request,
	// for the platform's mix of requests. See docs/CAPACITY.md.
	coreSecondsPerRequest = 0.014
	megabitsPerRequest    = 0.1
)

// hostCapacity returns the number of requests per second that a host can serve,
// limited by its processor cores or its link, whichever is reached first. A value
// of 0 or less means unknown; if both are unknown, the result is 1 request per
// second.
func hostCapacity(cores, linkMbps float64) float64 {
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

// clientHost is a host that accepts client requests.
type clientHost struct {
	host     ident.HostID
	address  string
	capacity float64 // requests per second
	cutOff   bool    // the host has lost its path to the servers of a service
}

// withPath returns the hosts that have a path to the servers, or all if there is none.
func withPath(hosts []clientHost) []clientHost {
	cutOff := func(h clientHost) bool { return h.cutOff }
	if !slices.ContainsFunc(hosts, func(h clientHost) bool { return !h.cutOff }) {
		return hosts
	}
	return slices.DeleteFunc(hosts, cutOff)
}

// addressesFor returns the addresses of the hosts chosen for a client. Hosts with
// more capacity are chosen with a higher probability. The choice depends only on
// the client and the hosts, so all nodes with the same list of hosts return the
// same addresses.
func addressesFor(client string, hosts []clientHost) []string {
	type ranked struct {
		clientHost
		key float64
	}
	list := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		// Weighted sampling without replacement by exponential keys: the hosts with
		// the smallest -ln(u)/weight are chosen, where u is a hash of client and host
		// mapped to (0, 1).
		u := (float64(xxh3.HashString(client+"/"+string(h.host))>>11) + 0.5) / (1 << 53)
		list = append(list, ranked{h, -math.Log(u) / max(h.capacity, math.SmallestNonzeroFloat32)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	var addresses []string
	for _, h := range list[:min(len(list), maxAddresses)] {
		addresses = append(addresses, h.address)
	}
	return addresses
}
