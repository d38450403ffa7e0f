package dispatch

import (
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const ms = time.Millisecond

func newService(slots ...int) *Service {
	s := &Service{}
	var list []Server
	for i, n := range slots {
		list = append(list, Server{ID: ident.BackendID(rune('a' + i)), Slots: n})
	}
	s.SetServers(list)
	return s
}

func call(number uint64) Call {
	return Call{ID: ID{"h", number}, Route: "r", Team: "t", Priority: 1, UntilObjective: 300 * ms, UntilDeadline: 1500 * ms}
}

// fill asks until a call waits, and returns the number of those that were granted.
func fill(s *Service, now time.Time, first uint64) (granted int) {
	for s.Ask(now, call(first+uint64(granted))).Server != "" {
		granted++
	}
	return granted
}

// Guards against calls beyond what the servers can run, and against idle slots.
func TestCallsWaitForSlots(t *testing.T) {
	s := newService(6, 6)
	granted := fill(s, at(0), 1)
	if granted < 12 || granted > 16 {
		t.Fatalf("%d calls were granted at once, want the 12 slots and a few more", granted)
	}
	waiting := uint64(granted + 1)
	if got := s.Next(at(1)); len(got) > 0 {
		t.Fatalf("granted %v while all servers are full", got)
	}
	s.End(at(30), ID{"h", 1}, End{Took: 30 * ms})
	if got := s.Next(at(30)); len(got) != 1 || got[0].ID.Number != waiting || got[0].Answer.Server == "" {
		t.Errorf("granted %v after a call has ended, want call %d", got, waiting)
	}
}

// Guards against a lost answer: the call asks again, and must not get a second slot.
func TestAskingAgain(t *testing.T) {
	s := newService(1)
	first := s.Ask(at(0), call(1))
	if again := s.Ask(at(20), call(1)); first.Server == "" || again != first {
		t.Errorf("answers %+v and %+v", first, again)
	}
	if _, running := s.Counts(); running != 1 {
		t.Errorf("%d calls run", running)
	}
}

// Guards against slots that stay occupied: the end of a call was lost, or its host has ended
// while it waited.
func TestLostEnds(t *testing.T) {
	s := newService(1)
	granted := fill(s, at(0), 1)
	if got := s.Next(at(1000)); len(got) > 0 {
		t.Errorf("granted %v to a host that has not asked again", got)
	}
	if again := fill(s, at(1700), 100); again != granted {
		t.Errorf("%d calls were granted after the time of the first ones, want %d", again, granted)
	}
}

// Guards against a call that waits although it cannot be served in time, and against a refusal
// without a time at which there is room.
func TestHopelessCallsAreRefused(t *testing.T) {
	s := newService(1)
	var refused Answer
	for i := uint64(1); i < 200 && !refused.Refused; i++ {
		refused = s.Ask(at(0), call(i))
	}
	if !refused.Refused || refused.Room < 200*ms || refused.Room > 1500*ms {
		t.Errorf("answer %+v, want a refusal with the time until there is room", refused)
	}
}

// Guards against an order that ignores priority and objective, and against starving the less
// urgent calls.
func TestOrderOfWaitingCalls(t *testing.T) {
	s := newService(1)
	n := uint64(fill(s, at(0), 1))
	urgent, soon := call(100), call(101)
	urgent.Priority = 0
	soon.UntilObjective = 120 * ms
	s.Ask(at(0), urgent)
	s.Ask(at(0), soon)
	ends := []uint64{1, 2, 100}
	for i, number := range []uint64{100, 101, n + 1} {
		s.End(at(10+i), ID{"h", ends[i]}, End{})
		got := s.Next(at(10 + i))
		if len(got) != 1 || got[0].ID.Number != number {
			t.Fatalf("granted %v, want call %d", got, number)
		}
	}
}

// Guards against a kind of call that gets nothing while a more urgent one overloads the
// servers.
func TestLessUrgentRouteIsNotStarved(t *testing.T) {
	s := newService(2)
	number := uint64(0)
	served, asked := map[string]int{}, map[string]int{}
	routeOf, running := map[uint64]string{}, []ID{}
	note := func(id ID, a Answer) {
		if a.Server != "" {
			served[routeOf[id.Number]]++
			running = append(running, id)
		}
	}
	for step := range 2000 { // 20 s, twice what the servers can run
		now := at(10 * step)
		for route, priority := range map[string]int{"urgent": 0, "other": 3} {
			number++
			c := call(number)
			c.Route, c.Priority = route, priority
			routeOf[number] = route
			asked[route]++
			note(c.ID, s.Ask(now, c))
		}
		if step%2 == 0 && len(running) > 0 {
			s.End(now, running[0], End{Took: 30 * ms})
			running = running[1:]
		}
		for _, g := range s.Next(now) {
			note(g.ID, g.Answer)
		}
	}
	urgent, other := float64(served["urgent"])/float64(asked["urgent"]), float64(served["other"])/float64(asked["other"])
	if other < urgent/2 {
		t.Errorf("%.2f of the urgent calls and %.2f of the others were served", urgent, other)
	}
}

// Guards against a choice that ignores how fast the servers work now.
func TestFastServersGoFirst(t *testing.T) {
	s := newService(4, 4)
	for i, pace := range []float64{2.5, 1} {
		c := call(uint64(i + 1))
		c.Except = []ident.BackendID{[]ident.BackendID{"b", "a"}[i]}
		s.Ask(at(0), c)
		s.End(at(30), c.ID, End{Took: 30 * ms, Load: &Load{Running: 1, Slots: 4, Pace: pace}})
	}
	for i := range 3 {
		if a := s.Ask(at(31), call(uint64(10+i))); a.Server != "b" {
			t.Errorf("call %d goes to %q, which works slowly now", i, a.Server)
		}
	}
}

// Guards against calls to a server that has just turned one away or was lost.
func TestServersInTrouble(t *testing.T) {
	s := newService(4, 4)
	for i, end := range []End{{Full: true}, {Lost: true}} {
		a := s.Ask(at(100*i), call(uint64(i+1)))
		s.End(at(100*i), ID{"h", uint64(i + 1)}, end)
		if next := s.Ask(at(100*i+1), call(uint64(i+10))); next.Server == a.Server {
			t.Errorf("a call goes to %q right after %+v", a.Server, end)
		}
	}
}

// Guards against a free slot that is kept back from calls which may use it, because a call that
// may not waits before them.
func TestCallThatMustWaitKeepsNoOtherBack(t *testing.T) {
	s := newService(2, 2)
	s.End(at(0), s.occupy(at(0), "b", 1), End{}) // both have been used
	number := uint64(100)
	for c := call(number); s.Ask(at(1), except(c, "a")).Server != ""; c = call(number) {
		number++ // fills b
	}
	if waiting, _ := s.Counts(); waiting != 1 {
		t.Fatalf("%d calls wait, want 1", waiting)
	}
	if a := s.Ask(at(1), call(1000)); a.Server != "a" {
		t.Errorf("answer %+v, want the free server", a)
	}
	urgent := except(call(1001), "a")
	if a := s.Ask(at(1), urgent); a.Server != "" || a.Refused || a.NoServer {
		t.Errorf("answer %+v, want a wait", a)
	}
}

// occupy assigns a call to one server and returns its id.
func (s *Service) occupy(now time.Time, server ident.BackendID, number uint64) ID {
	c := call(number)
	for _, x := range s.ordered {
		if x.id != server {
			c.Except = append(c.Except, x.id)
		}
	}
	s.Ask(now, c)
	return c.ID
}

func except(c Call, servers ...ident.BackendID) Call {
	c.Except = servers
	return c
}

// Guards against a call that waits for its caller's time to end because it must not be sent to
// any of the servers: those that remain for it have left since, or have asked its host for a
// pause.
func TestCallWithoutServer(t *testing.T) {
	s := newService(1, 1)
	if a := s.Ask(at(0), except(call(1), "a", "b")); !a.NoServer {
		t.Errorf("answer %+v, want that there is no server", a)
	}
	fill(s, at(0), 10)
	s.Ask(at(0), except(call(2), "a"))
	s.SetServers([]Server{{ID: "a", Slots: 1}})
	got := s.Next(at(5))
	if len(got) != 1 || got[0].ID.Number != 2 || !got[0].Answer.NoServer {
		t.Errorf("granted %+v after the only server of call 2 has left", got)
	}
	s.Ask(at(6), call(3))
	s.Ask(at(7), except(call(3), "a"))
	if got = s.Next(at(8)); len(got) != 1 || got[0].ID.Number != 3 || !got[0].Answer.NoServer {
		t.Errorf("granted %+v after call 3 has named its only server", got)
	}
	if waiting, _ := s.Counts(); waiting != 1 { // the last one of fill
		t.Errorf("%d calls wait", waiting)
	}
}

// Guards against refusing calls while no server at all is listed, which a moment later may be.
func TestCallsWaitWhileNoServerIsListed(t *testing.T) {
	s := newService(1)
	s.SetServers(nil)
	if a := s.Ask(at(0), except(call(1), "a")); a != (Answer{}) {
		t.Errorf("answer %+v, want a wait", a)
	}
	s.SetServers([]Server{{ID: "b", Slots: 1}})
	if got := s.Next(at(5)); len(got) != 1 || got[0].Answer.Server != "b" {
		t.Errorf("granted %+v", got)
	}
}
