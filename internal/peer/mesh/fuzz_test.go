package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against a datagram that ends the process, whatever bytes it holds and in
// whatever order its kinds arrive.
func FuzzDatagram(f *testing.F) {
	for _, msg := range []message{
		{Host: "a", Incarnation: 1, Hello: true, Member: &Member{Mesh: "127.0.0.1:1", State: Ready}},
		{Host: "a", Incarnation: 1, Events: []Event{{Kind: EventPlaced, Placed: &fleet.Placement{Run: 1, Server: "s"}}, {Kind: EventLost, Server: "s", Loss: 99}, {Kind: EventFound}, {Kind: EventLeaving, Server: "s"}}},
		{Host: "a", Incarnation: 1, ServerChanges: &ServerChanges{Part: 7, Parts: -1, Rows: []ServerChange{{Removed: "s"}}}},
		{Host: "a", Incarnation: 0, Member: &Member{Mesh: "127.0.0.1:1"}},
		{Host: "a", Incarnation: 1, Superseded: 1<<63 - 1},
		{Host: "b", Incarnation: 1, LoanRequest: &Loan{Service: "s", Retries: 1 << 40}, Loan: &Loan{Number: 1}},
	} {
		p, err := encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(p)
	}
	f.Add([]byte{0xa2, 0x61})
	f.Fuzz(func(t *testing.T, p []byte) {
		m := &Mesh{
			fleet: fleet.New("self", time.Now()), members: newMembers("self"),
			self: func(time.Time) Member { return Member{Host: "self", Mesh: "127.0.0.1:1"} },
			Handlers: Handlers{
				Heartbeat: func(Member) {}, Crash: func(time.Time, crashcause.Crash) {}, Answered: func(time.Time, crashcause.Content) {}, ServerChanges: func(ServerChanges) {},
				Lend: func(time.Time, string, int) int { return 0 }, Lent: func(time.Time, Loan) {},
				Released: func(time.Time, ident.HostID, Release) {},
				Rejected: func(time.Time, ident.BackendID) {},
				Lost:     func(time.Time, ident.HostID, ident.BackendID, fleet.Loss) {},
				Panicked: func(v any) { t.Errorf("panic: %v", v) },
			},
		}
		m.members.update(time.Now(), Member{Host: "a", Incarnation: 1, Mesh: "127.0.0.1:1", Clients: string(ident.HostID("c"))})
		m.fleet.Put(time.Now(), fleet.Entry{ID: "s", Service: "v"})
		msg, err := decode(p)
		if err != nil {
			return
		}
		// Answers are not sent: the mesh has no socket.
		msg.Hello, msg.LoanRequest = false, nil
		if m.members.needsHello(msg) {
			return
		}
		m.handle(time.Now(), netip.AddrPort{}, msg)
	})
}
