package front

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/dispatch"
	"github.com/yuccahatch/yuccahatch/internal/gateway"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/urgency"
)

// Where more hosts than slots share the servers of a plain service, one host assigns all calls
// to them; see package dispatch. All hosts elect it: the one with the most capacity. A host
// that gets no answer chooses a server itself, as it does in deployments with few hosts.

const (
	// firstAskTimeout and secondAskTimeout are how long an answer of the dispatcher is awaited
	// before the question is sent again. A round trip takes a few milliseconds.
	firstAskTimeout, secondAskTimeout = 30 * time.Millisecond, 60 * time.Millisecond
	// askAgain is the interval at which a call that waits asks again, in case its answer was
	// lost. The dispatcher drops calls that do not.
	askAgain = 120 * time.Millisecond
	// dispatcherPause is how long a dispatcher that has not answered is not asked. A host that
	// has ended ceases to be elected after about a second.
	dispatcherPause = 250 * time.Millisecond
	// waitingTick is the interval at which the dispatcher looks at calls that wait.
	waitingTick = 5 * time.Millisecond
	// serversTTL is how long the dispatcher uses a list of the servers of a service.
	serversTTL = 50 * time.Millisecond
)

// dispatcher is the state of a node as one that asks for servers and that assigns them.
type dispatcher struct {
	lastCall    atomic.Uint64 // number of the latest call
	pausedUntil atomicTime    // no dispatcher is asked

	mu       sync.Mutex
	answers  map[uint64]chan mesh.Assigned // guarded by mu; of calls that wait, by number
	services map[string]*dispatched        // guarded by mu; that this node assigns
}

// dispatched is a service whose calls this node assigns.
type dispatched struct {
	dispatch.Service
	mu        sync.Mutex
	serversAt time.Time         // guarded by mu; when the list of servers was set
	askers    map[uint64]string // guarded by mu; mesh addresses of hosts, by a hash of the host
}

// dispatcherOf returns the node that assigns the calls to a service, and whether there is one;
// self is set if it is this node.
func (n *Node) dispatcherOf(now time.Time, service string) (elected mesh.Member, self, ok bool) {
	slots := n.fleet.CountSlots(now, service)
	members := n.mesh.Alive(now)
	if slots == 0 || len(members)+1 <= slots {
		return mesh.Member{}, false, false
	}
	self = !n.leaving.Load() && n.Ready()
	best := mesh.Member{Host: n.settings.Host, Capacity: n.settings.capacity()}
	ok = self
	for _, m := range members {
		if !m.Dispatches || m.State != mesh.Ready || m.Mesh == "" || len(m.LostPaths) > 0 {
			continue
		}
		if !ok || precedesAsDispatcher(service, m, best) {
			best, self, ok = m, false, true
		}
	}
	return best, self, ok
}

func precedesAsDispatcher(service string, a, b mesh.Member) bool {
	if x := cmp.Compare(a.Capacity, b.Capacity); x != 0 {
		return x > 0
	}
	return xxh3.HashString(service+" "+string(a.Host)) > xxh3.HashString(service+" "+string(b.Host))
}

// Assign implements gateway.Dispatcher.
func (n *Node) Assign(ctx context.Context, service string, c dispatch.Call, except func(time.Time) []ident.BackendID) (gateway.Assignment, bool) {
	now := time.Now()
	if now.Before(n.dispatcher.pausedUntil.Load()) {
		return gateway.Assignment{}, false
	}
	elected, self, ok := n.dispatcherOf(now, service)
	if !ok {
		return gateway.Assignment{}, false
	}
	c.ID = dispatch.ID{Host: n.settings.Host, Number: n.nextCall(now)}
	answers := n.awaitAnswers(c.ID.Number)
	defer n.forgetAnswers(c.ID.Number)
	deadline := now.Add(c.UntilDeadline)
	heard := false
	for timeout := firstAskTimeout; ; {
		asked := time.Now()
		c.Except = except(asked)
		n.ask(asked, elected, self, service, c)
		timer := time.NewTimer(timeout)
		a, got, gone := awaitAssigned(ctx, answers, timer, time.Until(deadline))
		timer.Stop()
		heard = heard || got
		switch {
		case a.Decided():
			return gateway.Assignment{Service: service, Number: c.ID.Number, Dispatcher: elected.Host, Answer: dispatch.Answer{
				Server: a.Server, NoServer: a.NoServer, Refused: a.Refused, Room: time.Duration(a.RoomMs) * time.Millisecond, Reason: a.Reason,
			}}, true
		case gone:
			n.endCall(time.Now(), elected, self, mesh.CallEnd{Service: service, Number: c.ID.Number, NotSent: true})
			return gateway.Assignment{Answer: dispatch.Answer{Refused: true, Reason: "its caller's time is over before a server is free"}}, true
		case !heard && timeout == secondAskTimeout:
			n.dispatcher.pausedUntil.Store(time.Now().Add(dispatcherPause))
			n.endCall(time.Now(), elected, self, mesh.CallEnd{Service: service, Number: c.ID.Number, NotSent: true})
			return gateway.Assignment{}, false
		}
		timeout = secondAskTimeout
		if heard {
			timeout = askAgain
		}
	}
}

// awaitAssigned waits for an answer with a decision. got is set if the dispatcher has answered,
// and gone if the caller has left or its time is over.
func awaitAssigned(ctx context.Context, answers <-chan mesh.Assigned, timer *time.Timer, left time.Duration) (a mesh.Assigned, got, gone bool) {
	end := time.NewTimer(left)
	defer end.Stop()
	for {
		select {
		case a = <-answers:
			got = true
			if a.Decided() {
				return a, true, false
			}
			if timer.Stop() {
				timer.Reset(askAgain)
			}
		case <-timer.C:
			return mesh.Assigned{}, got, false
		case <-end.C:
			return mesh.Assigned{}, got, true
		case <-ctx.Done():
			return mesh.Assigned{}, got, true
		}
	}
}

// EndAssigned implements gateway.Dispatcher.
func (n *Node) EndAssigned(a gateway.Assignment, e dispatch.End, sent bool) {
	now := time.Now()
	x := mesh.CallEnd{Service: a.Service, Number: a.Number, NotSent: !sent, Took: e.Took, Full: e.Full, Lost: e.Lost, Load: e.Load}
	if a.Dispatcher == n.settings.Host {
		n.onCallEnd(now, n.settings.Host, x)
		return
	}
	for _, m := range n.mesh.Alive(now) {
		if m.Host == a.Dispatcher {
			n.mesh.EndCall(m, x)
		}
	}
}

// nextCall returns a number that is above those of all earlier calls, also of those of an
// earlier incarnation of this node.
func (n *Node) nextCall(now time.Time) uint64 {
	for {
		last := n.dispatcher.lastCall.Load()
		next := max(last+1, uint64(now.UnixNano()))
		if n.dispatcher.lastCall.CompareAndSwap(last, next) {
			return next
		}
	}
}

func (n *Node) awaitAnswers(number uint64) <-chan mesh.Assigned {
	answers := make(chan mesh.Assigned, 4)
	n.dispatcher.mu.Lock()
	defer n.dispatcher.mu.Unlock()
	if n.dispatcher.answers == nil {
		n.dispatcher.answers = map[uint64]chan mesh.Assigned{}
	}
	n.dispatcher.answers[number] = answers
	return answers
}

func (n *Node) forgetAnswers(number uint64) {
	n.dispatcher.mu.Lock()
	defer n.dispatcher.mu.Unlock()
	delete(n.dispatcher.answers, number)
}

// onAssigned passes the answer of the dispatcher to the call that waits for it. A server for a
// call that no longer waits is given back by the end of its lease.
func (n *Node) onAssigned(_ time.Time, x mesh.Assigned) {
	n.dispatcher.mu.Lock()
	answers := n.dispatcher.answers[x.Number]
	n.dispatcher.mu.Unlock()
	select {
	case answers <- x:
	default: // nobody waits, or an answer with a decision is already there
	}
}

func (n *Node) ask(now time.Time, to mesh.Member, self bool, service string, c dispatch.Call) {
	x := mesh.AskServer{
		Service: service, Number: c.ID.Number, Route: c.Route, Team: c.Team, Priority: c.Priority,
		DeadlineMs: c.UntilDeadline.Milliseconds(), Except: c.Except, Optional: c.Optional,
	}
	if c.UntilObjective != urgency.NoObjective {
		x.ObjectiveMs = max(1, c.UntilObjective.Milliseconds())
	}
	if self {
		n.onAsk(now, n.settings.Host, "", x)
		return
	}
	n.mesh.AskServer(to, x)
}

func (n *Node) endCall(now time.Time, to mesh.Member, self bool, x mesh.CallEnd) {
	if self {
		n.onCallEnd(now, n.settings.Host, x)
		return
	}
	n.mesh.EndCall(to, x)
}

// onAsk decides on the question of a node, this one included. sender is its mesh address; empty
// for this node.
func (n *Node) onAsk(now time.Time, host ident.HostID, sender string, x mesh.AskServer) {
	s := n.dispatchedService(now, x.Service, true)
	c := dispatch.Call{
		ID: dispatch.ID{Host: host, Number: x.Number}, Route: x.Route, Team: x.Team, Priority: x.Priority,
		UntilObjective: urgency.NoObjective, UntilDeadline: time.Duration(x.DeadlineMs) * time.Millisecond, Except: x.Except, Optional: x.Optional,
	}
	if x.ObjectiveMs > 0 {
		c.UntilObjective = time.Duration(x.ObjectiveMs) * time.Millisecond
	}
	s.mu.Lock()
	s.askers[hostHash(host)] = sender
	s.mu.Unlock()
	n.answerAsk(s, dispatch.Grant{ID: c.ID, Answer: s.Ask(now, c)})
}

func hostHash(host ident.HostID) uint64 { return xxh3.HashString(string(host)) }

// answerAsk sends a decision to the host of a call.
func (n *Node) answerAsk(s *dispatched, g dispatch.Grant) {
	x := mesh.Assigned{Number: g.ID.Number, Server: g.Answer.Server, NoServer: g.Answer.NoServer, Refused: g.Answer.Refused, RoomMs: g.Answer.Room.Milliseconds(), Reason: g.Answer.Reason}
	if g.ID.Host == n.settings.Host {
		n.onAssigned(time.Now(), x)
		return
	}
	s.mu.Lock()
	address := s.askers[hostHash(g.ID.Host)]
	s.mu.Unlock()
	n.mesh.AnswerAsk(address, x)
}

// onCallEnd records the end of a call that this node has assigned, and assigns what waits.
func (n *Node) onCallEnd(now time.Time, host ident.HostID, x mesh.CallEnd) {
	s := n.dispatchedService(now, x.Service, false)
	if s == nil {
		return
	}
	id := dispatch.ID{Host: host, Number: x.Number}
	if x.NotSent {
		s.Cancel(id)
	} else {
		s.End(now, id, dispatch.End{Took: x.Took, Full: x.Full, Lost: x.Lost, Load: x.Load})
	}
	n.assignNext(now, s)
}

func (n *Node) assignNext(now time.Time, s *dispatched) {
	if waiting, _ := s.Counts(); waiting == 0 {
		return
	}
	for _, g := range s.Next(now) {
		n.answerAsk(s, g)
	}
}

// dispatchedService returns a service whose calls this node assigns, with its servers up to
// date. It returns nil if there is none and create is not set.
func (n *Node) dispatchedService(now time.Time, service string, create bool) *dispatched {
	n.dispatcher.mu.Lock()
	s := n.dispatcher.services[service]
	if s == nil && create {
		if n.dispatcher.services == nil {
			n.dispatcher.services = map[string]*dispatched{}
		}
		s = &dispatched{askers: map[uint64]string{}}
		n.dispatcher.services[service] = s
	}
	n.dispatcher.mu.Unlock()
	if s == nil {
		return nil
	}
	s.mu.Lock()
	due := now.Sub(s.serversAt) >= serversTTL
	if due {
		s.serversAt = now
	}
	s.mu.Unlock()
	if due {
		s.SetServers(n.serversToAssign(now, service))
	}
	return s
}

func (n *Node) serversToAssign(now time.Time, service string) []dispatch.Server {
	var list []dispatch.Server
	for _, s := range n.fleet.RunningServers(now, service) {
		list = append(list, dispatch.Server{ID: s.ID, Slots: s.Slots})
	}
	return list
}

// dispatchWaiting assigns servers to calls that wait, when time alone has changed what may run
// where.
func (n *Node) dispatchWaiting(ctx context.Context) {
	every(ctx, waitingTick, func(now time.Time) {
		n.dispatcher.mu.Lock()
		var list []*dispatched
		for _, s := range n.dispatcher.services {
			list = append(list, s)
		}
		n.dispatcher.mu.Unlock()
		for _, s := range list {
			n.assignNext(now, s)
		}
	})
}
