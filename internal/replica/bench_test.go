package replica_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/replica"
)

// storeHandler applies received journal batches to a store.
type storeHandler struct {
	node.Handler
	store *replica.Store
}

func (h storeHandler) ApplyJournals(b *nodepb.JournalBatch) *nodepb.JournalAck {
	return h.store.Apply(time.Now(), b)
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// link is a replicator connected to a store over TCP on the loopback address.
type link struct {
	replicator *replica.Replicator
	bytes      atomic.Int64
}

func newLink(b *testing.B) *link {
	l := &link{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := node.NewServer(storeHandler{store: replica.NewStore(1<<30, time.Hour)}, nil)
	go func() { _ = server.Serve(listener) }()
	pool := node.NewPool(node.PoolOptions{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{conn, &l.bytes}, err
	}})
	client, err := pool.Client(listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	l.replicator = replica.NewReplicator(replica.Options{
		Self: &nodepb.Sender{HostId: "n1", Incarnation: 1, DataCentre: "a"}, FlushInterval: 2 * time.Millisecond, AcknowledgeTimeout: time.Second,
		Open: func(ctx context.Context, _ ident.HostID) (replica.Stream, error) { return client.CopyJournals(ctx) },
	})
	b.Cleanup(func() { l.replicator.Close(); pool.Close(); server.Stop() })
	return l
}

// ackTimer records the time from the newest token of a generation to its
// acknowledgement.
type ackTimer struct {
	appended atomic.Int64
	waits    []time.Duration
	lost     atomic.Bool
}

func (s *ackTimer) Acknowledged(int64) {
	s.waits = append(s.waits, time.Duration(time.Now().UnixNano()-s.appended.Load()))
}

func (s *ackTimer) Lost(replica.Code) { s.lost.Store(true) }

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkRate appends tokens of many generations at a fixed rate, in tokens/s.
// The CPU time includes both nodes and the producer. If replicate is false (cases
// named "producer"), nothing is appended, and the CPU time is that of the producer
// alone.
func benchmarkRate(b *testing.B, rate int, replicate bool) {
	generations := max(1, rate/17) // one stream of an engine produces 17 tokens/s
	copies, sinks := make([]*replica.Copy, generations), make([]*ackTimer, generations)
	l := newLink(b)
	for i := range copies {
		sinks[i] = &ackTimer{}
		copies[i] = l.replicator.Start(ident.GenerationID(fmt.Sprintf("gen-%036d", i)), &nodepb.JournalHead{}, nil, "peer", sinks[i])
	}
	time.Sleep(100 * time.Millisecond)
	for _, s := range sinks {
		s.waits = nil
	}
	before, cpu, wire := l.replicator.Stats(), cpuTime(b), l.bytes.Load()
	b.ReportAllocs()
	b.ResetTimer()
	begin := time.Now()
	for i := range b.N {
		if due := begin.Add(time.Duration(i) * time.Second / time.Duration(rate)); time.Until(due) > 0 {
			time.Sleep(time.Until(due))
		}
		if replicate {
			sinks[i%generations].appended.Store(time.Now().UnixNano())
			copies[i%generations].Append(" token")
		}
	}
	b.StopTimer()
	used := cpuTime(b) - cpu
	time.Sleep(50 * time.Millisecond)
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/token")
	if !replicate {
		return
	}
	after := l.replicator.Stats()
	b.ReportMetric(float64(l.bytes.Load()-wire)/float64(b.N), "wire-bytes/token")
	b.ReportMetric(float64(after.Tokens-before.Tokens)/float64(after.Batches-before.Batches), "tokens/batch")
	l.replicator.Close()
	var waits []time.Duration
	for _, s := range sinks {
		if s.lost.Load() && s.waits == nil {
			b.Log("a copy was lost")
		}
		waits = append(waits, s.waits...)
	}
	slices.Sort(waits)
	b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "p50-ack-ms")
	b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds())/1000, "p99-ack-ms")
}

// BenchmarkRate measures replication between one pair of nodes over loopback.
func BenchmarkRate(b *testing.B) {
	for _, rate := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("tokens=%d", rate), func(b *testing.B) { benchmarkRate(b, rate, true) })
		b.Run(fmt.Sprintf("producer=%d", rate), func(b *testing.B) { benchmarkRate(b, rate, false) })
	}
}

// BenchmarkAppend measures the cost of one token in the generation's goroutine.
func BenchmarkAppend(b *testing.B) {
	l := newLink(b)
	c := l.replicator.Start("gen", &nodepb.JournalHead{}, nil, "peer", &ackTimer{})
	b.ReportAllocs()
	for b.Loop() {
		c.Append(" token")
	}
}
