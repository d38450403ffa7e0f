package serverlimit

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Stage is how far a request for permission has come on its way to the owner of a server.
// Hosts may know different peers, and two hosts that act as the owner would use the limit
// twice. A host that does not own the server therefore passes the request on, and one that
// owns it only because another host is silent asks a third one, the witness, which of them
// it takes for the owner.
type Stage int

// Stages of a request for permission.
const (
	// Asked is a request of the host that is about to send.
	Asked Stage = iota
	// Passed was passed on by a host that does not own the server.
	Passed
	// Witnessed asks the receiver to pass the request on to the owner that it knows.
	Witnessed
	// Confirmed comes from a witness. The receiver decides on it.
	Confirmed
)

// View is what a host knows of the others.
type View struct {
	Self ident.HostID
	// Reachable are the other hosts that may own servers, and Silent those that could not
	// be heard lately and may still be running.
	Reachable, Silent []ident.HostID
	// Leaving reports whether this host is about to stop.
	Leaving bool
}

// Next returns the host that a request for permission goes to, and its stage there. It
// returns no host if this one decides on the request. pick returns a random number below n.
// A request is only passed on to hosts that rank higher for the server, so it ends.
func (v View) Next(server ident.BackendID, stage Stage, pick func(n int) int) (to ident.HostID, next Stage) {
	owner, takenOver := v.owner(server)
	switch {
	case stage == Confirmed || len(v.Reachable) == 0:
		return "", stage
	case stage == Witnessed && owner != v.Self:
		return owner, Confirmed
	case stage == Witnessed:
		return "", stage
	case owner == v.Self && takenOver:
		return v.Reachable[pick(len(v.Reachable))], Witnessed
	case owner == v.Self, v.Leaving && stage == Passed:
		return "", stage
	}
	return owner, Passed
}

// owner returns the owner of a server among the hosts that can be reached, and whether it
// owns the server only because a silent host does not count.
func (v View) owner(server ident.BackendID) (owner ident.HostID, takenOver bool) {
	hosts := slices.Clone(v.Reachable)
	if !v.Leaving || len(hosts) == 0 {
		hosts = append(hosts, v.Self)
	}
	owner = Owner(server, hosts)
	return owner, Owner(server, append(hosts, v.Silent...)) != owner
}

// Owns reports whether this host owns a server, as far as it knows.
func (v View) Owns(server ident.BackendID) bool {
	owner, _ := v.owner(server)
	return owner == v.Self
}

// Owner returns the host that grants the requests to a server: the one that ranks first
// for it by rendezvous hashing. It is the same at all hosts that know the same hosts.
// hosts must not be empty.
func Owner(server ident.BackendID, hosts []ident.HostID) ident.HostID {
	seed := xxh3.HashString(string(server))
	var owner ident.HostID
	var highest uint64
	for _, h := range hosts {
		rank := xxh3.HashStringSeed(string(h), seed)
		if owner == "" || rank > highest || rank == highest && h < owner {
			owner, highest = h, rank
		}
	}
	return owner
}

// Share returns the part of a limit, from 0 to 1, that a group of hosts may use which
// reach each other, out of the hosts that were alive a short time ago. The others may have
// ended, or be a group of their own that cannot be reached. A group with more than half of
// the hosts may use all, and any other its part: all groups together then use at most half
// more than the limit, which servers tolerate.
func Share(group, all int) float64 {
	if 2*group > all {
		return 1
	}
	return float64(group) / float64(all)
}
