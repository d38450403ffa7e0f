package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
	"github.com/yuccahatch/yuccahatch/internal/placement"
)

var sampleLoad = backendapi.Load{
	MeasuredAt: baseTime, Incarnation: baseTime.UnixNano(), Running: 12, Waiting: 3, MaxRunning: 32, WaitingTokens: 900,
	TokensPerSecond: 17.25, PrefillTokensPerSecond: 8000, Models: []string{"airing-plan-1"},
}

func cacheEvents(n int) backendapi.CacheEvents {
	events := backendapi.CacheEvents{Incarnation: 1}
	for i := range n {
		events.Events = append(events.Events, backendapi.CacheEvent{
			Sequence: int64(i + 1), Kind: backendapi.CacheStored, PrefixHash: fmt.Sprintf("%016x", rand.Uint64()), Tokens: 16 * i, Model: "airing-plan-1",
		})
	}
	return events
}

// countingListener counts the bytes of the connections that it accepts, as the
// server sees them: the received bytes are those that the client sent.
type countingListener struct {
	net.Listener
	counter *byteCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.counter}, err
}

// BenchmarkPoll measures one poll of a backend server with the two requests that
// the pool makes, for the load report and the cache events. The CPU time includes
// both ends; the sent bytes are those that the server sends.
func BenchmarkPoll(b *testing.B) {
	for _, events := range []int{0, 16, 64, 256} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			loadBody, _ := json.Marshal(sampleLoad)
			eventBody, _ := json.Marshal(cacheEvents(events))
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				if strings.HasPrefix(r.URL.Path, backendapi.RouteLoad) {
					_, _ = w.Write(loadBody)
					return
				}
				_, _ = w.Write(eventBody)
			}))
			w := &byteCounter{}
			server.Listener = countingListener{server.Listener, w}
			server.Start()
			defer server.Close()
			client := backend.NewClient()
			w.measure(b, func() {
				if _, err := client.Load(b.Context(), server.URL); err != nil {
					b.Fatal(err)
				}
				if _, err := client.CacheEvents(b.Context(), server.URL, 0); err != nil {
					b.Fatal(err)
				}
			})
		})
	}
}

func newFleet(b *testing.B, servers, cached int) *placement.Fleet {
	f, err := placement.NewFleet(placement.Config{DataCentre: "dc-00"})
	if err != nil {
		b.Fatal(err)
	}
	f.ObserveList(hostList(9, servers).Backends)
	for _, s := range f.Servers() {
		f.ObserveLoad(baseTime, s.ID, sampleLoad)
		f.ObserveCache(s.ID, cacheEvents(cached))
	}
	return f
}

// BenchmarkChoose measures hashing the prefixes of a prompt and choosing a server.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ servers, tokens int }{{38, 1_000}, {500, 1_000}, {10_000, 1_000}, {64, 100}, {64, 1_000}, {64, 10_000}} {
		b.Run(fmt.Sprintf("servers=%d/tokens=%d", size.servers, size.tokens), func(b *testing.B) {
			f, rng := newFleet(b, size.servers, 16), rand.New(rand.NewPCG(1, 2))
			prompt := strings.Repeat("token ", size.tokens)
			for b.Loop() {
				prefixes, tokens := placement.PrefixHashes(prompt)
				if _, _, err := f.Choose(placement.Request{Model: "airing-plan-1", PromptTokens: tokens, Prefixes: prefixes}, baseTime, rng); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFleetMemory measures the heap per tracked backend server for several
// numbers of cached prefixes, and the time per server to process one report of a
// peer's use of all servers.
func BenchmarkFleetMemory(b *testing.B) {
	for _, size := range []struct{ servers, cached int }{{1_000, 0}, {100, 100}, {100, 1_000}, {100, placement.DefaultCacheEntries}} {
		b.Run(fmt.Sprintf("servers=%d/cached=%d", size.servers, size.cached), func(b *testing.B) {
			f := newFleet(b, size.servers, 0)
			var uses []placement.BackendUsage
			for _, s := range f.Servers() {
				uses = append(uses, placement.BackendUsage{Backend: s.ID, Running: 3, WaitingTokens: 100})
			}
			for b.Loop() {
				f.ObservePeer(baseTime, ident.HostID("host-0001"), uses)
			}
			b.ReportMetric(heapBytes(func() any { return newFleet(b, size.servers, size.cached) })/float64(size.servers), "heap-B/server")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size.servers), "ns/server")
		})
	}
}
