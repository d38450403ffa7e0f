package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/retryshare"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func member(host ident.HostID, incarnation ident.Incarnation) Member {
	return Member{Host: host, Incarnation: incarnation, Mesh: "127.0.0.1:1", Clients: "127.0.0.1:2", State: Ready, StoreAgeMs: 100}
}

// Guards against giving clients the address of a silent host, and against
// accepting a late datagram of an earlier incarnation of a host. With one peer, a
// host counts as alive until 1.1 s after its latest datagram (three heartbeat
// intervals of 300 ms and a margin of 200 ms) and as dead after 4 s. The latest
// datagram that is accepted arrives at 100 ms.
func TestMembers(t *testing.T) {
	m := newMembers("self")
	m.addKnown(at(0), member("a", 1))
	if len(m.alive(at(0))) != 0 {
		t.Error("a host from which nothing was received counts as alive")
	}
	if restarted, ok := m.update(at(0), member("a", 1)); restarted || !ok {
		t.Errorf("first heartbeat: restarted %t, accepted %t", restarted, ok)
	}
	if restarted, ok := m.update(at(100), member("a", 2)); !restarted || !ok {
		t.Errorf("new incarnation: restarted %t, accepted %t", restarted, ok)
	}
	if _, ok := m.update(at(200), member("a", 1)); ok {
		t.Error("a heartbeat of an earlier incarnation was accepted")
	}
	if _, ok := m.update(at(200), member("self", 1)); ok {
		t.Error("the node's own heartbeat was accepted")
	}
	if list := m.alive(at(600)); len(list) != 1 || list[0].StoreAgeMs != 600 {
		t.Errorf("alive %+v; want one host whose store age includes the time since its heartbeat", list)
	}
	if len(m.alive(at(1300))) != 0 {
		t.Error("a silent host counts as alive")
	}
	if dead := m.expire(at(4200)); len(dead) != 1 || dead[0] != "a" {
		t.Errorf("dead %v, want host a", dead)
	}
	if dead := m.expire(at(4300)); len(dead) != 0 {
		t.Errorf("reported as dead twice: %v", dead)
	}
}

// Guards against a share of the retry budget that grows when hosts fall silent: a host
// that is cut off from the others would use their shares too. Hosts count as known for
// removeAfter.
func TestSilentHostsStayKnown(t *testing.T) {
	m := newMembers("self")
	m.update(at(0), member("a", 1))
	m.expire(at(60_000))
	if n := m.countAlive(at(60_000)); n != 0 {
		t.Errorf("%d hosts alive after a minute of silence", n)
	}
	if n := len(m.peers); n != 1 {
		t.Errorf("%d hosts known, want 1", n)
	}
}

// Guards against a datagram that does not fit into one packet.
func TestDatagramSize(t *testing.T) {
	x := member("front-some-data-centre-12", 1787316988019115878)
	x.DataCentre, x.Mesh, x.Clients = "some-data-centre", "10.200.100.100:65000", "10.200.100.100:65001"
	x.Usage = map[string]retryshare.Usage{"service1a": {Requests: 1000, Retries: 100}, "service2a": {Requests: 1000, Retries: 100}}
	var events []Event
	for range eventsPerDatagram {
		events = append(events, Event{Kind: EventPlaced, Placed: &fleet.Placement{
			Run: 100_000, Server: "i-7f3a91c2aa", Backup: "i-7f3a91c2bb", Prefill: 1_234_567_890, Tokens: 12_000, SuffixHash: 1 << 63,
		}})
	}
	var rows []ServerChange
	for range changesPerDatagram {
		rows = append(rows, ServerChange{Server: fleet.Entry{
			ID: "i-7f3a91c2aa", Incarnation: 1787316988019, Service: "service1a", Address: "10.200.100.100:65000", DataCentre: "some-data-centre", Slots: 64, Draining: true, Sequence: 100,
		}})
	}
	for _, m := range []message{{Member: &x, Hello: true}, {Events: events}, {LoanRequest: &Loan{Service: "service1a", Number: 1 << 40, Retries: 2}}, {ServerChanges: &ServerChanges{From: ident.StorePosition{Era: 9, Revision: 1 << 40}, To: ident.StorePosition{Era: 9, Revision: 1 << 40}, Parts: 9, Rows: rows}}} {
		m.Host, m.Incarnation = x.Host, x.Incarnation
		p, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if len(p) > 1400 {
			t.Errorf("%d bytes: %s", len(p), p)
		}
		if _, err := decode(p); err != nil {
			t.Error(err)
		}
	}
	if _, err := decode([]byte{0xa2, 0x61}); err == nil {
		t.Error("a truncated datagram was decoded")
	}
}

// Guards against accepting brief heartbeats, which carry no addresses, of an
// incarnation whose addresses are not known, and against losing the known addresses
// with each brief heartbeat.
func TestBriefHeartbeats(t *testing.T) {
	m := newMembers("self")
	x := member("a", 2)
	briefMember := x.brief()
	datagram := message{Host: "a", Incarnation: 2, Member: &briefMember}
	if _, ok := m.accept(at(0), datagram); ok || !m.needsHello(datagram) {
		t.Error("a brief heartbeat of an unknown host was accepted, or the host is not sent a hello")
	}
	m.update(at(0), x)
	briefMember.StoreAgeMs = 40
	if _, ok := m.accept(at(100), datagram); !ok || m.needsHello(datagram) {
		t.Error("a brief heartbeat of a known host was rejected, or the host is sent a hello")
	}
	if datagram.Member.Mesh != x.Mesh {
		t.Error("a brief heartbeat was not completed with the known address")
	}
	if list := m.alive(at(100)); len(list) != 1 || list[0].Mesh != x.Mesh || list[0].Clients != x.Clients || list[0].StoreAgeMs != 40 {
		t.Errorf("alive %+v", list)
	}
	briefMember = x.brief()
	later := message{Host: "a", Incarnation: 3, Member: &briefMember}
	if _, ok := m.accept(at(200), later); ok || !m.needsHello(later) {
		t.Error("a brief heartbeat of a new incarnation was accepted with the addresses of the old one, or the host is not sent a hello")
	}
	if old := (message{Host: "a", Incarnation: 1, Member: &briefMember}); m.needsHello(old) {
		t.Error("an earlier incarnation is sent a hello")
	}
	fullBytes, _ := encode(message{Host: "a", Incarnation: 2, Member: &x})
	briefBytes, _ := encode(datagram)
	t.Logf("full heartbeat %d bytes, brief %d", len(fullBytes), len(briefBytes))
}

// Guards against accepting events of an earlier incarnation of a host, and of a
// host that is not known.
func TestEventsWithoutHeartbeat(t *testing.T) {
	m := newMembers("self")
	events := message{Host: "a", Incarnation: 2}
	if _, ok := m.accept(at(0), events); ok {
		t.Error("events of an unknown host were accepted")
	}
	x := member("a", 2)
	if _, ok := m.accept(at(0), message{Host: "a", Incarnation: 2, Member: &x}); !ok {
		t.Error("a heartbeat was not accepted")
	}
	if _, ok := m.accept(at(0), events); !ok {
		t.Error("events of a known host were not accepted")
	}
	if _, ok := m.accept(at(0), message{Host: "a", Incarnation: 1}); ok {
		t.Error("events of an earlier incarnation were accepted")
	}
}

// Guards against a fixed heartbeat interval, with which the traffic of a deployment
// grows with the square of the number of hosts. The interval is 12 ms per peer, at
// least 300 ms and at most 1 s.
func TestHeartbeatInterval(t *testing.T) {
	for peers, want := range map[int]time.Duration{0: 300 * time.Millisecond, 8: 300 * time.Millisecond, 50: 600 * time.Millisecond, 299: time.Second} {
		if got := intervalFor(peers); got != want {
			t.Errorf("%d peers: %v, want %v", peers, got, want)
		}
	}
}

// Guards against heartbeats that are left out twice in a row, by a small deployment, or
// by a node that has sent nothing else, and against full ones that are left out.
func TestHeartbeatDue(t *testing.T) {
	for _, test := range []struct {
		name    string
		peers   int
		flushed time.Duration // before the tick
		want    [3]bool       // at the ticks 1, 2 and 3
	}{
		{"few nodes", 5, 0, [3]bool{true, true, true}},
		{"many nodes, events", 200, 0, [3]bool{false, true, false}},
		{"many nodes, no events", 200, time.Hour, [3]bool{true, true, true}},
	} {
		m := &Mesh{members: newMembers("self")}
		for i := range test.peers {
			m.members.update(at(0), member(ident.HostID(fmt.Sprintf("h%d", i)), 1))
		}
		for i, want := range test.want {
			now := at(10_000 + 1000*i)
			m.flushedAt = now.Add(-test.flushed)
			if got := m.heartbeatDue(now, i+1); got != want {
				t.Errorf("%s: tick %d: due %t", test.name, i+1, got)
			}
		}
		m.skipped = false
		if now := at(20_000); !m.heartbeatDue(now, fullHeartbeatEvery) {
			t.Errorf("%s: a full heartbeat is left out", test.name)
		}
	}
}
