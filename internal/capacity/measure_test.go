package capacity

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// heapBytes returns the number of bytes of heap and goroutine stacks that the
// result of build keeps in use.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	result := build()
	after := liveHeap()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

// liveHeap returns the number of bytes of heap and goroutine stacks in use after
// garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpuTime returns the CPU time of this process, user and kernel time together.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// byteCounter counts the bytes that are sent and received on its connections: those
// that it dials and those of a countingListener.
type byteCounter struct{ sent, received atomic.Int64 }

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// dial opens a TCP connection whose bytes are counted.
func (c *byteCounter) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return countingConn{conn, c}, err
}

// measure runs step in the benchmark loop and reports the CPU time and the sent and
// received bytes per step. The CPU time includes both ends of a connection, since
// both are in this process.
func (c *byteCounter) measure(b *testing.B, step func()) {
	step() // opens the connection
	sent, received, cpu := c.sent.Load(), c.received.Load(), cpuTime(b)
	steps := 0
	for b.Loop() {
		step()
		steps++
	}
	n := float64(steps)
	b.ReportMetric(float64((cpuTime(b)-cpu).Nanoseconds())/1000/n, "cpu-µs/op")
	b.ReportMetric(float64(c.sent.Load()-sent)/n, "sent-B/op")
	b.ReportMetric(float64(c.received.Load()-received)/n, "received-B/op")
}

func hostID(i int) ident.HostID { return ident.HostID(fmt.Sprintf("host-%04d", i)) }

func teamID(i int) ident.Team { return ident.Team(fmt.Sprintf("customer-%03d", i)) }

// hostList returns a host list with the hosts and the backend servers spread over
// 22 data centres, or over 3 if there are at most 100 hosts.
func hostList(hosts, backends int) platformapi.HostList {
	centres := 3
	if hosts > 100 {
		centres = 22
	}
	var list platformapi.HostList
	for i := range hosts {
		list.Hosts = append(list.Hosts, platformapi.Host{
			HostID: string(hostID(i)), Address: fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250),
			CallerAddress: fmt.Sprintf("10.1.%d.%d:7401", i/250, i%250),
			DataCentre:    fmt.Sprintf("dc-%02d", i%centres), State: platformapi.HostLive,
		})
	}
	for i := range backends {
		list.Backends = append(list.Backends, platformapi.Backend{
			BackendID: fmt.Sprintf("engine-%05d", i), URL: fmt.Sprintf("http://10.2.%d.%d:7600", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%02d", i%centres), Kind: platformapi.KindEngine, State: platformapi.HostLive,
		})
	}
	return list
}
