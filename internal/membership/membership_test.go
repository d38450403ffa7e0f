package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// TestMain fixes the seed of the rapid tests, so that CI is deterministic;
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newView(t testing.TB, config Config) *View {
	t.Helper()
	v, err := New(Self{Host: "a", Incarnation: 1, DataCentre: "d1", CallerAddress: "127.0.0.1:1"}, config, start)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// hosts returns a host list with the given IDs. A host whose ID has the prefix "-",
// which is removed, is marked as leaving.
func hosts(ids ...string) []platformapi.Host {
	var out []platformapi.Host
	for _, id := range ids {
		state := platformapi.HostLive
		if id[0] == '-' {
			id, state = id[1:], platformapi.HostLeaving
		}
		out = append(out, platformapi.Host{HostID: id, CallerAddress: "127.0.0.1:" + id, DataCentre: "d1", State: state})
	}
	return out
}

// heartbeat returns a heartbeat of host "b" that answers no request. The negative
// FreshAge means that "b" cannot prove that its contracts are current.
func heartbeat(inc int64) Heartbeat {
	return Heartbeat{Host: "b", Incarnation: ident.Incarnation(inc), DataCentre: "d1", FreshAge: -1}
}

func leaving(inc int64) Heartbeat { h := heartbeat(inc); h.Leaving = true; return h }

type step struct {
	ms     int
	do     func(v *View, now time.Time) []Transition
	expect State
}

func list(ids ...string) func(*View, time.Time) []Transition {
	return func(v *View, now time.Time) []Transition { return v.ObserveList(now, hosts(ids...)) }
}

func receive(h Heartbeat) func(*View, time.Time) []Transition {
	return func(v *View, now time.Time) []Transition { return v.ObserveHeartbeat(now, h) }
}

func fail(inc int64) func(*View, time.Time) []Transition {
	return func(v *View, now time.Time) []Transition {
		return v.ConnectionFailed(now, "b", ident.Incarnation(inc))
	}
}

func tick(v *View, now time.Time) []Transition { return v.Tick(now) }

func jump(v *View, now time.Time) []Transition { return v.ClockJumped(now) }

// TestStates guards against wrong states of a peer "b" after sequences of list
// reads, heartbeats, failed connections and clock jumps, and against state changes
// that are not reported as transitions.
func TestStates(t *testing.T) {
	tests := map[string][]step{
		"a listed host is suspected until its first heartbeat": {{0, list("a", "b"), Suspected}, {100, receive(heartbeat(1)), Alive}},
		"a silent host is suspected, then dead, and alive again after a heartbeat": {
			{0, list("a", "b"), Suspected}, {0, receive(heartbeat(1)), Alive}, {1999, tick, Alive}, {2000, tick, Suspected},
			{2100, receive(heartbeat(1)), Alive}, {4100, tick, Suspected}, {6000, tick, Suspected}, {8000, tick, Suspected},
			{10000, tick, Suspected}, {12000, tick, Suspected}, {12100, tick, Dead}, {12200, receive(heartbeat(1)), Alive}},
		"a failed connection makes a host suspected until the next heartbeat": {
			{0, list("a", "b"), Suspected}, {0, receive(heartbeat(5)), Alive}, {10, fail(4), Alive}, {10, fail(5), Suspected}, {20, receive(heartbeat(5)), Alive}},
		"an older incarnation changes nothing": {
			{0, list("a", "b"), Suspected}, {0, receive(heartbeat(5)), Alive}, {10, receive(leaving(4)), Alive}},
		"a leaving host stays leaving after reordered heartbeats of one incarnation": {
			{0, list("a", "b"), Suspected}, {0, receive(leaving(5)), Leaving}, {10, receive(heartbeat(5)), Leaving}, {20, receive(heartbeat(6)), Alive}},
		"the list's leaving mark takes precedence over heartbeats and new incarnations": {
			{0, list("a", "b"), Suspected}, {0, receive(heartbeat(5)), Alive}, {10, list("a", "-b"), Leaving}, {20, receive(heartbeat(6)), Leaving},
			{30, list("a", "b"), Alive}},
		"a leaving host that is removed has left": {
			{0, list("a", "-b"), Leaving}, {500, list("a"), Left}, {600, receive(heartbeat(5)), Left}, {700, receive(heartbeat(6)), Alive}},
		"a removed host stays dead until it sends a new incarnation or is listed again": {
			{0, list("a", "b"), Suspected}, {0, receive(heartbeat(5)), Alive}, {10, list("a"), Dead}, {20, receive(heartbeat(5)), Dead},
			{30, receive(heartbeat(6)), Alive}, {40, list("a", "b"), Alive}, {50, list("a"), Dead}, {60, list("a", "b"), Suspected}},
		"an unlisted host that sends heartbeats is alive": {{0, receive(heartbeat(1)), Alive}, {1000, list("a"), Alive}},
		"an empty list makes no host dead":                {{0, list("a", "b"), Suspected}, {0, receive(heartbeat(1)), Alive}, {10, list(), Alive}},
		"a pause of this node does not make peers dead": {
			{0, list("a", "b"), Suspected}, {0, receive(heartbeat(1)), Alive}, {60_000, tick, Suspected}, {61_000, receive(heartbeat(1)), Alive}},
		"a dead host stays dead when the clock is set back": {
			{0, list("a", "b"), Suspected}, {0, receive(heartbeat(1)), Alive}, {10, list("a"), Dead}, {-50_000, jump, Dead}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView(t, Config{})
			var from State
			for i, s := range steps {
				out := s.do(v, at(s.ms))
				n, _ := v.Node("b")
				if n.State != s.expect {
					t.Fatalf("step %d at %d ms: got %v, want %v", i, s.ms, n.State, s.expect)
				}
				for _, tr := range out {
					if tr.Host == "b" && tr.From != from {
						t.Fatalf("step %d: transition from %v, state was %v", i, tr.From, from)
					} else if tr.Host == "b" {
						from = tr.To
					}
				}
				if from != n.State {
					t.Fatalf("step %d: state changed to %v without a transition", i, n.State)
				}
			}
		})
	}
}

// TestConfirmedAliveCountsAnswersOnly guards against a node that is isolated but
// does not detect it. A node detects isolation by the number of nodes that were
// certainly alive recently. A heartbeat that is not an answer may have been delayed
// for any time, so it must not count; neither must an answer that is too old, or one
// to a request from before a clock jump.
func TestConfirmedAliveCountsAnswersOnly(t *testing.T) {
	v := newView(t, Config{})
	v.ObserveList(at(0), hosts("a", "b", "c"))
	check := func(ms, want int) {
		t.Helper()
		if got := len(v.ConfirmedAlive(at(ms), 5*time.Second)); got != want {
			t.Fatalf("at %d ms: %d nodes confirmed alive, want %d", ms, got, want)
		}
	}
	v.ObserveHeartbeat(at(100), heartbeat(1))
	check(100, 1) // this node only: the heartbeat is not an answer
	h := heartbeat(1)
	h.RequestSentAt, h.FreshAge = at(150), time.Second
	v.ObserveHeartbeat(at(200), h)
	check(200, 2)
	if n, _ := v.Node("b"); !n.FreshAt.Equal(at(-850)) {
		t.Fatalf("FreshAt is %v, want RequestSentAt minus FreshAge", n.FreshAt)
	}
	v.ObserveSummary(at(300), Summary{From: "b", Incarnation: 1, RequestSentAt: at(250),
		Hosts: []SummaryHost{{Host: "c", Incarnation: 7, Age: 100 * time.Millisecond}}})
	check(300, 3)
	check(5150, 3)
	check(5151, 1)
	v.ClockJumped(at(400))
	check(400, 1)
	v.ObserveHeartbeat(at(410), h)
	check(410, 1)
}

// TestLeave guards against a leaving node whose address is still given to callers,
// or that accepts new work for longer or shorter than Config.LeaveGrace. The node
// leaves by a call of Leave or by a mark in the host list, and must not rejoin when
// the mark is removed.
func TestLeave(t *testing.T) {
	for _, mark := range []bool{false, true} {
		v := newView(t, Config{})
		v.ObserveList(at(0), hosts("a", "b"))
		if mark {
			v.ObserveList(at(10), hosts("-a", "b"))
		} else {
			v.Leave(at(10))
		}
		v.ObserveList(at(20), hosts("a", "b"))
		if got := v.Addresses(at(20), "d1", 0); len(got) != 0 {
			t.Fatalf("leaving node is among the addresses: %v", got)
		}
		if !v.AcceptsNewWork(at(2009)) || v.AcceptsNewWork(at(2010)) {
			t.Fatal("a leaving node must accept new work for exactly 2 s")
		}
	}
}

// TestLargeFleet guards against numbers of heartbeat peers, relays or addresses that
// grow with the fleet, here 1,100 nodes in 22 data centres, and against address
// lists that contain nodes of one data centre only.
func TestLargeFleet(t *testing.T) {
	v := newView(t, Config{})
	var all []platformapi.Host
	for i := range 1100 {
		id := fmt.Sprintf("h%04d", i)
		if i == 0 {
			id = "a"
		}
		all = append(all, platformapi.Host{HostID: id, CallerAddress: "127.0.0.1:9", DataCentre: fmt.Sprintf("d%d", i%22+1)})
	}
	v.ObserveList(at(0), all)
	for _, h := range all[1:] {
		v.ObserveHeartbeat(at(1), Heartbeat{Host: ident.HostID(h.HostID), Incarnation: 1})
	}
	// 8 peers and the 2 relays of the own data centre make at most 10; for a relay,
	// 8 peers and 2 relays in each of 22 data centres make at most 52.
	peers := len(v.HeartbeatPeers())
	if relay := v.IsRelay(); peers < 8 || !relay && peers > 10 || relay && peers > 52 {
		t.Fatalf("%d heartbeat peers, relay %v", peers, relay)
	}
	for _, dc := range v.DataCentres() {
		if len(v.Relays(dc)) != 2 {
			t.Fatalf("relays of %s: %v", dc, v.Relays(dc))
		}
	}
	got := v.Addresses(at(2), "d2", 12345)
	if len(got) != 16 || got[0].DataCentre != "d2" || got[15].DataCentre == "d2" {
		t.Fatalf("addresses: %v", got)
	}
	if next := v.Addresses(at(2), "d2", 12346); next[0].Host == got[0].Host {
		t.Fatal("addresses for consecutive seeds start with the same node")
	}
}

// TestRandomEvents guards against answers to callers that contain a node that is
// silent or leaving, or the outdated entry of a node that has restarted. It applies
// random sequences of inputs and checks the addresses against the time of each node's
// last heartbeat and its newest incarnation.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := newView(t, Config{})
		ids := []string{"a", "b", "c", "d"}
		now, newestInc, lastHeartbeat, leftInc := 0, map[string]int64{}, map[string]int{}, map[string]int64{}
		r.Repeat(map[string]func(*rapid.T){
			"pass": func(r *rapid.T) { now += rapid.IntRange(0, 1500).Draw(r, "ms"); v.Tick(at(now)) },
			"list": func(r *rapid.T) {
				v.ObserveList(at(now), hosts(append([]string{"a"}, rapid.SliceOfDistinct(rapid.SampledFrom(ids[1:]), rapid.ID).Draw(r, "ids")...)...))
			},
			"fail": func(r *rapid.T) {
				id := rapid.SampledFrom(ids[1:]).Draw(r, "host")
				v.ConnectionFailed(at(now), ident.HostID(id), ident.Incarnation(newestInc[id]))
			},
			"beat": func(r *rapid.T) {
				id, inc := rapid.SampledFrom(ids[1:]).Draw(r, "host"), rapid.Int64Range(1, 4).Draw(r, "incarnation")
				lv := rapid.Bool().Draw(r, "leaving")
				v.ObserveHeartbeat(at(now), Heartbeat{Host: ident.HostID(id), Incarnation: ident.Incarnation(inc), Leaving: lv, FreshAge: -1})
				if inc >= newestInc[id] {
					newestInc[id], lastHeartbeat[id] = inc, now
					if lv {
						leftInc[id] = inc
					}
				}
			},
			"": func(r *rapid.T) {
				for _, n := range v.Addresses(at(now), "d1", 3) {
					id := string(n.Host)
					if id == "a" {
						continue
					}
					if now-lastHeartbeat[id] >= 2000 || leftInc[id] == newestInc[id] || int64(n.Incarnation) != newestInc[id] || n.CallerAddress == "" {
						r.Fatalf("at %d ms: %s is among the addresses: last heartbeat at %d ms, newest incarnation %d, incarnation that left %d", now, id, lastHeartbeat[id], newestInc[id], leftInc[id])
					}
				}
			},
		})
	})
}

// TestNodesSeeEachOtherAliveInALargeDeployment guards against a choice of heartbeat
// peers under which some pairs of live nodes exchange no heartbeats. Such nodes
// would consider each other dead, so they would give callers no address of each
// other and place no copies on each other.
func TestNodesSeeEachOtherAliveInALargeDeployment(t *testing.T) {
	const nodes = 40
	var listed []platformapi.Host
	for i := range nodes {
		listed = append(listed, platformapi.Host{HostID: fmt.Sprintf("n%02d", i), DataCentre: fmt.Sprint("d", i%3), State: platformapi.HostLive})
	}
	views := map[ident.HostID]*View{}
	for _, h := range listed {
		v, err := New(Self{Host: ident.HostID(h.HostID), Incarnation: 1, DataCentre: ident.DataCentre(h.DataCentre)}, Config{}, start)
		if err != nil {
			t.Fatal(err)
		}
		v.ObserveList(start, listed)
		views[ident.HostID(h.HostID)] = v
	}
	for ms := 0; ms < 15_000; ms += 500 {
		for host, v := range views {
			v.Tick(at(ms))
			for _, peer := range v.HeartbeatPeers() {
				views[peer.Host].ObserveHeartbeat(at(ms), Heartbeat{Host: host, Incarnation: 1, FreshAge: -1})
				v.ObserveHeartbeat(at(ms), Heartbeat{Host: peer.Host, Incarnation: 1, FreshAge: -1, RequestSentAt: at(ms)})
			}
		}
	}
	for host, v := range views {
		for _, n := range v.Nodes() {
			if n.State != Alive {
				t.Fatalf("in the view of %s, %s is %v, want alive", host, n.Host, n.State)
			}
		}
	}
}

// TestReorderedInputsAreNoClockJump guards against a false clock jump, which makes
// all peers suspected. It came about when goroutines read the clock and then
// waited for the view's lock: the one that read first may get the lock second.
func TestReorderedInputsAreNoClockJump(t *testing.T) {
	v := newView(t, Config{})
	v.ObserveList(at(0), hosts("a", "b"))
	v.ObserveHeartbeat(at(20), heartbeat(1))
	if out := v.ObserveHeartbeat(at(19), heartbeat(1)); len(out) > 0 {
		t.Errorf("an input 1 ms older than the previous one caused transitions: %+v", out)
	}
	if out := v.Tick(at(19 - 1000)); len(out) != 1 || out[0].Reason != ReasonClockJump {
		t.Errorf("an input 1 s older than the previous one: transitions %+v, want one clock jump", out)
	}
}

// TestListDue guards against a total read rate of the host list that grows with
// the square of the number of nodes, and against a first list that is never read.
func TestListDue(t *testing.T) {
	for _, c := range []struct{ hosts, ms, due int }{{0, 0, 1}, {32, 1, 1}, {64, 1_999, 0}, {64, 2_000, 1}, {1_100, 34_000, 0}, {1_100, 34_375, 1}} {
		v := newView(t, Config{})
		var listed []platformapi.Host
		for i := range c.hosts {
			listed = append(listed, platformapi.Host{HostID: fmt.Sprint(i), State: platformapi.HostLive})
		}
		v.ObserveList(start, listed)
		if got := v.ListDue(at(c.ms), time.Second); got != (c.due == 1) {
			t.Errorf("%d hosts, %d ms after the last list: due %v", c.hosts, c.ms, got)
		}
	}
}
