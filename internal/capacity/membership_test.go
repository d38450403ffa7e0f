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

var baseTime = time.Unix(1_800_000_000, 0)

func newView(b *testing.B, hosts int) *membership.View {
	v, err := membership.New(membership.Self{Host: hostID(0), Incarnation: 1, DataCentre: "dc-00"}, membership.Config{}, baseTime)
	if err != nil {
		b.Fatal(err)
	}
	v.ObserveList(baseTime, hostList(hosts, 0).Hosts)
	return v
}

// BenchmarkMembership measures processing one heartbeat of a peer, one tick and one
// selection of the heartbeat peers, and the heap that a view occupies.
func BenchmarkMembership(b *testing.B) {
	for _, size := range fleetSizes {
		v := newView(b, size.hosts)
		name := fmt.Sprintf("hosts=%d", size.hosts)
		b.Run("heartbeat/"+name, func(b *testing.B) {
			for b.Loop() {
				v.ObserveHeartbeat(baseTime, membership.Heartbeat{Host: hostID(1), Incarnation: ident.Incarnation(1), RequestSentAt: baseTime})
			}
		})
		b.Run("tick/"+name, func(b *testing.B) {
			for b.Loop() {
				v.Tick(baseTime)
			}
		})
		b.Run("peers/"+name, func(b *testing.B) {
			for b.Loop() {
				v.HeartbeatPeers()
			}
			b.ReportMetric(float64(len(v.HeartbeatPeers())), "peers")
			b.ReportMetric(heapBytes(func() any { return newView(b, size.hosts) }), "heap-B")
		})
	}
}

// BenchmarkHostList measures fetching the host list once. The CPU time includes the
// server writing the bytes but not encoding the list, which happens only once.
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
