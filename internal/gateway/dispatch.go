package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/dispatch"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/urgency"
)

// Dispatcher assigns the calls of all hosts to the servers of plain services.
type Dispatcher interface {
	// Assign waits for a server for a call, and returns false if the host is to choose one
	// itself. except returns the servers that the call must not be sent to, which may change
	// while it waits.
	Assign(ctx context.Context, service string, c dispatch.Call, except func(now time.Time) []ident.BackendID) (Assignment, bool)
	// EndAssigned tells how a call has ended that was assigned to a server. sent is not set
	// if nothing was sent.
	EndAssigned(a Assignment, e dispatch.End, sent bool)
}

// Assignment is the decision on a call.
type Assignment struct {
	Service    string
	Number     uint64
	Dispatcher ident.HostID
	dispatch.Answer
}

// assign asks the dispatcher for a server. decided is not set if the host is to choose one
// itself. It returns no server for a call that was turned away.
//
// The dispatcher does not know what servers have told this host, and servers may have said more
// while the call waited. A server that the call must not be sent to by now is given back, and
// another one is asked for.
func (e *exchange) assign(now time.Time, optional bool) (s *fleet.Server, decided bool) {
	if e.g.Dispatch == nil {
		return nil, false
	}
	for {
		a, ok := e.askDispatcher(now, optional)
		switch {
		case !ok || a.NoServer:
			return nil, false
		case a.Refused && !optional:
			e.addStep("turned away by %s: %s, room in %dms", a.Dispatcher, a.Reason, a.Room.Milliseconds())
			e.turnedAway, e.turnedAwayReason = a.Room, a.Reason
			return nil, true
		case a.Refused:
			return nil, true
		}
		asked := now
		now = time.Now()
		s = e.g.Fleet.Server(a.Server)
		if s != nil && slices.Contains(e.notAssignable(now), s.ID) {
			e.g.Dispatch.EndAssigned(a, dispatch.End{}, false)
			e.g.Metrics.assignmentsDeclined.Inc(1)
			e.addStep("%s, assigned by %s, accepts no request of this host now", s.ID, a.Dispatcher)
			continue
		}
		if s == nil || !e.permitted(s, PurposeFits) {
			e.g.Dispatch.EndAssigned(a, dispatch.End{}, false)
			return nil, false // this host does not know the server yet, or its limit allows none
		}
		if wait := now.Sub(asked); wait > noteworthyWait {
			e.addStep("waited %dms for %s, assigned by %s", wait.Milliseconds(), a.Server, a.Dispatcher)
		}
		e.keepAssigned(s, a)
		return s, true
	}
}

// askDispatcher asks the dispatcher for a server, and returns false if it is not to be asked
// because no server may run the call, or if it does not answer.
func (e *exchange) askDispatcher(now time.Time, optional bool) (Assignment, bool) {
	if servers := e.assignable(now); !servers.Allows(e.except(servers)) {
		return Assignment{}, false
	}
	return e.g.Dispatch.Assign(e.ctx, e.service.Name, dispatch.Call{
		Route: e.route.Name, Team: e.team, Priority: e.priority(), Optional: optional,
		UntilObjective: e.untilObjective(now), UntilDeadline: e.timeLeft(now),
	}, e.notAssignable)
}

// keepAssigned records the server that is assigned to the next attempt.
func (e *exchange) keepAssigned(s *fleet.Server, a Assignment) {
	e.assignedMu.Lock()
	defer e.assignedMu.Unlock()
	if e.assigned == nil {
		e.assigned = map[ident.BackendID]Assignment{}
	}
	e.assigned[s.ID] = a
}

// noteworthyWait is the wait for a server from which on it is logged.
const noteworthyWait = 20 * time.Millisecond

// untilObjective returns the time left until the objective of the request, counted from its
// arrival at this host.
func (e *exchange) untilObjective(now time.Time) time.Duration {
	if e.route.LatencyTarget <= 0 {
		return urgency.NoObjective
	}
	return max(time.Millisecond, e.route.LatencyTarget-now.Sub(e.started))
}

// priority returns the priority of the request.
func (e *exchange) priority() int {
	if t := e.g.Routes.Current(); t != nil {
		return t.Priority(e.route, e.team)
	}
	return e.route.Priority
}

// rank returns how much less urgent the request is than the most urgent ones of its service.
// ranked is not set if all are as urgent. A stream that has begun is as urgent as any.
func (e *exchange) rank() (rank int, ranked bool) {
	t := e.g.Routes.Current()
	if t == nil || !t.Ranked(e.service.Name) {
		return 0, false
	}
	if e.call.After > 0 || e.sentCount > 0 {
		return 0, true
	}
	return t.Rank(e.service.Name, e.priority()), true
}

// assignable returns which servers of the service may be assigned to the request now.
func (e *exchange) assignable(now time.Time) fleet.Assignable {
	e.choosePool(now)
	return e.g.Fleet.Assignable(now, e.service.Name, e.pool)
}

// notAssignable returns the servers that the call must not be sent to now, those that have
// failed it or are lost only if there are others.
func (e *exchange) notAssignable(now time.Time) []ident.BackendID {
	return e.except(e.assignable(now))
}

func (e *exchange) except(servers fleet.Assignable) fleet.Exclude {
	return servers.Except(slices.Concat(e.unavailable, e.denied), e.exclude)
}

// giveBack frees a server that was assigned to an attempt which is not made.
func (e *exchange) giveBack(s *fleet.Server) {
	e.endAssigned(s, &reply{server: s, notRun: true}, nil, time.Now(), false)
}

// endAssigned tells the dispatcher how an attempt has ended.
func (e *exchange) endAssigned(s *fleet.Server, r *reply, load *fleet.Load, started time.Time, sent bool) {
	e.assignedMu.Lock()
	a, ok := e.assigned[s.ID]
	delete(e.assigned, s.ID)
	e.assignedMu.Unlock()
	if !ok {
		return
	}
	end := dispatch.End{Full: r.notRun && !r.connectFailed, Lost: r.connectFailed}
	if load != nil {
		end.Load = &dispatch.Load{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Pace: load.Pace}
	}
	if r.answered() {
		end.Took = time.Since(started)
	}
	e.g.Dispatch.EndAssigned(a, end, sent || r.connectFailed)
}
