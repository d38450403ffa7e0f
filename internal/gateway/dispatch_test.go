package gateway

import (
	"context"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/internal/dispatch"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// fakeDispatcher assigns the first server, in the order of its list, that the call may be sent
// to when it asks.
type fakeDispatcher struct {
	servers []ident.BackendID
	// wait is called between the question and the answer.
	wait     func()
	asked    int
	declined []ident.BackendID // servers that were given back unused
}

func (d *fakeDispatcher) Assign(_ context.Context, service string, _ dispatch.Call, except func(time.Time) []ident.BackendID) (Assignment, bool) {
	d.asked++
	excluded := except(time.Now())
	if d.wait != nil {
		d.wait()
	}
	for _, id := range d.servers {
		if !slices.Contains(excluded, id) {
			return Assignment{Service: service, Answer: dispatch.Answer{Server: id}}, true
		}
	}
	return Assignment{Service: service, Answer: dispatch.Answer{NoServer: true}}, true
}

func (d *fakeDispatcher) EndAssigned(a Assignment, _ dispatch.End, sent bool) {
	if !sent {
		d.declined = append(d.declined, a.Server)
	}
}

// newAssignedCall returns a call that a dispatcher assigns to server a or b.
func newAssignedCall(t *testing.T) (*exchange, *fakeDispatcher) {
	t.Helper()
	now := time.Now()
	d := &fakeDispatcher{servers: []ident.BackendID{"a", "b"}}
	g := &Gateway{Fleet: fleet.New("h", now), Dispatch: d, Metrics: NewMetrics(tally.NoopScope), Routes: &routing.Holder{}, AnswerBy: func() time.Time { return time.Time{} }}
	for _, id := range d.servers {
		g.Fleet.Put(now, fleet.Entry{ID: id, Incarnation: 1, Service: "s", Address: string(id) + ":1", Version: "v1", Slots: 1, Sequence: 1})
	}
	return &exchange{
		g: g, w: httptest.NewRecorder(), ctx: context.Background(), call: &Call{}, route: &routing.Route{}, service: &routing.Service{Name: "s"},
		started: now, deadline: now.Add(time.Minute),
	}, d
}

// idOf returns the id of a server that was chosen; empty if there is none.
func idOf(s *fleet.Server) ident.BackendID {
	if s == nil {
		return ""
	}
	return s.ID
}

// Guards against a call that is sent to a server which another host has assigned, although this
// host knows, before it asks or since it waits, that the server accepts none of its requests. A
// call that a third host sends through this one is no exception: the server refuses this host.
func TestAssignedServerIsCheckedByItsHost(t *testing.T) {
	for name, tell := range map[string]func(f *fleet.Fleet, a *fleet.Server){
		"asked for a pause": func(f *fleet.Fleet, a *fleet.Server) { f.RecordRetryAfter(time.Now(), a, time.Minute) },
		"is leaving":        func(f *fleet.Fleet, a *fleet.Server) { f.RecordLeaving(a.ID, a.Incarnation) },
		"is lost":           func(f *fleet.Fleet, a *fleet.Server) { f.RecordLoss(time.Now(), a.ID, fleet.LossRefused) },
	} {
		t.Run(name+" before", func(t *testing.T) {
			e, d := newAssignedCall(t)
			tell(e.g.Fleet, e.g.Fleet.Server("a"))
			if s, _ := e.assign(time.Now(), false); idOf(s) != "b" || len(d.declined) > 0 {
				t.Errorf("sent to %q, gave %v back", idOf(s), d.declined)
			}
		})
		t.Run(name+", a call of another host", func(t *testing.T) {
			e, _ := newAssignedCall(t)
			e.relayed = &relayHead{}
			tell(e.g.Fleet, e.g.Fleet.Server("a"))
			if s, _ := e.assign(time.Now(), false); idOf(s) != "b" {
				t.Errorf("sent to %q", idOf(s))
			}
		})
		t.Run(name+" while the call waits", func(t *testing.T) {
			e, d := newAssignedCall(t)
			d.wait = func() { tell(e.g.Fleet, e.g.Fleet.Server("a")) }
			if s, _ := e.assign(time.Now(), false); idOf(s) != "b" || !slices.Equal(d.declined, []ident.BackendID{"a"}) {
				t.Errorf("sent to %q, gave %v back", idOf(s), d.declined)
			}
		})
	}
}

// Guards against a call that waits at the dispatcher, or asks it again and again, although its
// host knows that no server accepts it.
func TestCallWithoutAssignableServer(t *testing.T) {
	e, d := newAssignedCall(t)
	for _, id := range d.servers {
		e.g.Fleet.RecordRetryAfter(time.Now(), e.g.Fleet.Server(id), time.Minute)
	}
	if s, decided := e.assign(time.Now(), false); s != nil || decided || d.asked > 0 {
		t.Errorf("sent to %q, decided %t, asked %d times", idOf(s), decided, d.asked)
	}
	e, d = newAssignedCall(t)
	e.unavailable = d.servers // both have refused the call
	if s, decided := e.assign(time.Now(), false); s != nil || decided || d.asked > 0 {
		t.Errorf("refused by both: sent to %q, decided %t, asked %d times", idOf(s), decided, d.asked)
	}
	e, d = newAssignedCall(t)
	d.wait = func() {
		for _, id := range d.servers {
			e.g.Fleet.RecordRetryAfter(time.Now(), e.g.Fleet.Server(id), time.Minute)
		}
	}
	if s, decided := e.assign(time.Now(), false); s != nil || decided || d.asked != 1 || len(d.declined) != 1 {
		t.Errorf("while it waits: sent to %q, decided %t, asked %d times, gave %v back", idOf(s), decided, d.asked, d.declined)
	}
}

// Guards against leaving servers unused that only this host takes for lost, or that have failed
// the call, while there is no other.
func TestDoubtfulServersAreAssignedIfThereAreNoOthers(t *testing.T) {
	e, d := newAssignedCall(t)
	e.g.Fleet.RecordLoss(time.Now(), "a", fleet.LossReset)
	e.g.Fleet.RecordRetryAfter(time.Now(), e.g.Fleet.Server("b"), time.Minute)
	e.exclude = []ident.BackendID{"a"}
	if s, _ := e.assign(time.Now(), false); idOf(s) != "a" || len(d.declined) > 0 {
		t.Errorf("sent to %q, gave %v back", idOf(s), d.declined)
	}
}
