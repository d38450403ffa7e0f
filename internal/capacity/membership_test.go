package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/membership"
	"github.com/yuccahatch/yuccahatch/internal/peer/hostlist"
)

var fleetSizes = []struct{ hosts, backends int }{{9, 39}, {110, 1_000}, {1_100, 10_000}}

var start = time.Unix(1_800_000_000, 0)

func newView(b *testing.B, hosts int) *membership.View {
	v, err := membership.New(membership.Self{Host: hostID(0), Incarnation: 1, DataCentre: "dc-00"}, membership.Config{}, start)
	if err != nil {
		b.Fatal(err)
	}
	v.ObserveList(start, hostList(hosts, 0).Hosts)
	return v
}

// BenchmarkMembership measures one heartbeat of a peer, one tick and one
// choice of the heartbeat peers.
func BenchmarkMembership(b *testing.B) {
	for _, size := range fleetSizes {
		v := newView(b, size.hosts)
		name := fmt.Sprintf("hosts=%d", size.hosts)
		b.Run("heartbeat/"+name, func(b *testing.B) {
			for b.Loop() {
				v.ObserveHeartbeat(start, membership.Heartbeat{Host: hostID(1), Incarnation: ident.Incarnation(1), AskedAt: start})
			}
		})
		b.Run("tick/"+name, func(b *testing.B) {
			for b.Loop() {
				v.Tick(start)
			}
		})
		b.Run("peers/"+name, func(b *testing.B) {
			for b.Loop() {
				v.HeartbeatPeers()
			}
			b.ReportMetric(float64(len(v.HeartbeatPeers())), "peers")
			b.ReportMetric(heapOf(func() any { return newView(b, size.hosts) }), "heap-B")
		})
	}
}

// BenchmarkHostList measures one read of the host list. The CPU includes the
// writing of the bytes by the server, which encodes the list only once.
func BenchmarkHostList(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d/backends=%d", size.hosts, size.backends), func(b *testing.B) {
			body, err := json.Marshal(hostList(size.hosts, size.backends))
			if err != nil {
				b.Fatal(err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			client := hostlist.NewClient(server.URL, 5*time.Second)
			defer client.Close()
			cpu, n := cpuTime(b), 0
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Fetch(b.Context()); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64((cpuTime(b)-cpu).Nanoseconds())/1000/float64(n), "cpu-µs/op")
			b.ReportMetric(float64(len(body)), "body-B")
		})
	}
}
