package fleet

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Where one host assigns the servers of all, it does not know what the servers have told each
// of the others in their answers. Each host therefore names the servers that it must not be
// assigned, and looks at the one that it is assigned.

// Assignable divides the servers of a service by what this node knows of them.
type Assignable struct {
	// Open lists the servers that may be assigned to a request.
	Open []ident.BackendID
	// Lost lists those that this node takes for lost, which may be wrong.
	Lost Exclude
	// Closed lists those that must get no request from this node now: they are outside the
	// pool, leaving, or have asked this node for a pause.
	Closed Exclude
}

// Assignable returns which servers of a service may be assigned to a request of this node.
func (f *Fleet) Assignable(now time.Time, service string, pool Pool) (a Assignable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := f.poolOf(service, pool, now)
	for _, s := range f.servers {
		switch {
		case s.Service != service:
		case !allowed(s) || s.Draining || now.Before(s.backoffUntil):
			a.Closed = append(a.Closed, s.ID)
		case !f.usable(s, service, now):
			a.Lost = append(a.Lost, s.ID)
		default:
			a.Open = append(a.Open, s.ID)
		}
	}
	return a
}

// Except returns the servers that a request must not be assigned to, if it must not be sent to
// closed ones and has failed at the failed ones. Servers that have failed it or are lost are
// among them only if there are others.
func (a Assignable) Except(closed, failed Exclude) Exclude {
	except := slices.Concat(a.Closed, closed)
	avoided := slices.Concat(except, a.Lost, failed)
	if slices.ContainsFunc(a.Open, func(id ident.BackendID) bool { return !slices.Contains(avoided, id) }) {
		return avoided
	}
	return except
}

// Allows reports whether a server of the service is not among those that a request must not
// be assigned to.
func (a Assignable) Allows(except Exclude) bool {
	left := func(id ident.BackendID) bool { return !slices.Contains(except, id) }
	return slices.ContainsFunc(a.Open, left) || slices.ContainsFunc(a.Lost, left)
}

// RunningServers returns the servers of a service to which a host may assign requests of all
// hosts. Those that have asked only this node for a pause are among them.
func (f *Fleet) RunningServers(now time.Time, service string) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Server
	for _, s := range f.servers {
		if f.usable(s, service, now) && !now.Before(s.deniedUntil) {
			list = append(list, s)
		}
	}
	return list
}
