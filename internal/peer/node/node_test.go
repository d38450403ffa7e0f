package node

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var sender = &nodepb.Sender{HostId: "n1", Incarnation: 1, DataCentre: "a"}

// echoHandler is a Handler that returns the sequence of a heartbeat. If unblock is
// set, a heartbeat waits until it is closed, also if its context has ended: that is at the
// same virtual time as the end of the call, and an answer could come first. Methods that no test reaches are not
// implemented.
type echoHandler struct {
	Handler
	unblock chan struct{}
}

func (e *echoHandler) Heartbeat(_ context.Context, r *nodepb.HeartbeatRequest) (*nodepb.HeartbeatResponse, error) {
	if e.unblock != nil {
		<-e.unblock
	}
	return &nodepb.HeartbeatResponse{Sequence: r.Sequence}, nil
}

func (e *echoHandler) FetchContracts(context.Context, *nodepb.FetchContractsRequest) (*nodepb.FetchContractsResponse, error) {
	return nil, errors.New("handler fault")
}

func (e *echoHandler) ApplyJournals(b *nodepb.JournalBatch) *nodepb.JournalAck {
	return &nodepb.JournalAck{Batch: b.Batch}
}

// serve starts a server on a loopback port and returns its address.
func serve(t *testing.T, handler Handler, certificates *Certificates) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(handler, certificates)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func connect(t *testing.T, address string, options PoolOptions) Client {
	t.Helper()
	pool := NewPool(options)
	t.Cleanup(pool.Close)
	c, err := pool.Client(address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against errors that do not carry a code of this package, and against
// unary calls that are not passed to Observe.
func TestCallsAndCodes(t *testing.T) {
	address := serve(t, &echoHandler{}, nil)
	var observed atomic.Int32
	c := connect(t, address, PoolOptions{Observe: func(string, Code, time.Duration) { observed.Add(1) }})
	resp, err := c.Heartbeat(t.Context(), &nodepb.HeartbeatRequest{Sender: sender, Sequence: 7})
	if err != nil || resp.Sequence != 7 {
		t.Fatalf("heartbeat returned %v, %v", resp, err)
	}
	if _, err := c.Heartbeat(t.Context(), &nodepb.HeartbeatRequest{}); CodeOf(err) != CodeRejected {
		t.Errorf("call without sender: %v", err)
	}
	if _, err := c.FetchContracts(t.Context(), &nodepb.FetchContractsRequest{Sender: sender}); CodeOf(err) != CodeFailed {
		t.Errorf("call with a handler error: %v", err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Release(cancelled, &nodepb.ReleaseRequest{Sender: sender}); CodeOf(err) != CodeCancelled {
		t.Errorf("cancelled call: %v", err)
	}
	if observed.Load() != 4 {
		t.Errorf("%d calls were observed, want 4", observed.Load())
	}
	closed := connect(t, "127.0.0.1:1", PoolOptions{})
	if _, err := closed.Explain(t.Context(), &nodepb.ExplainRequest{Sender: sender}); CodeOf(err) != CodeUnreachable {
		t.Errorf("call to a closed port: %v", err)
	}
	if _, err := NewPool(PoolOptions{}).Client("localhost:1"); CodeOf(err) != CodeRejected {
		t.Errorf("host name: %v", err)
	}
}

// Guards against acknowledgements with the wrong batch number and against
// batches without a sender being accepted.
func TestJournalStream(t *testing.T) {
	c := connect(t, serve(t, &echoHandler{}, nil), PoolOptions{})
	stream, err := c.CopyJournals(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i := int64(1); i <= 3; i++ {
		if err := stream.Send(&nodepb.JournalBatch{Sender: sender, Batch: i}); err != nil {
			t.Fatal(err)
		}
		if ack, err := stream.Recv(); err != nil || ack.Batch != i {
			t.Fatalf("acknowledgement of batch %d is %v, %v", i, ack, err)
		}
	}
	_ = stream.Send(&nodepb.JournalBatch{Batch: 4})
	if _, err := stream.Recv(); CodeOf(err) != CodeRejected {
		t.Fatalf("batch without sender: %v", err)
	}
}

// pipeListener accepts in-memory connections, so that the virtual time of
// synctest applies to them.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// stallableConn is a connection that can be stalled: writes then succeed without
// effect and reads discard the data that arrives.
type stallableConn struct {
	net.Conn
	stalled *atomic.Bool
}

func (c *stallableConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *stallableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.stalled.Load() {
			return n, err
		}
	}
}

// Guards against calls that hang on an unresponsive connection: they must fail
// within readTimeout, and the next call must use a new connection. Also guards
// against an idle but working connection being closed.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		server := NewServer(&echoHandler{}, nil)
		go func() { _ = server.Serve(listener) }()
		var stalled []*atomic.Bool
		pool := NewPool(PoolOptions{Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			stalled = append(stalled, new(atomic.Bool))
			listener.conns <- far
			return &stallableConn{near, stalled[len(stalled)-1]}, nil
		}})
		c, _ := pool.Client("127.0.0.1:1")
		stream, err := c.CopyJournals(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * readTimeout)
		if len(stalled) != 1 {
			t.Fatalf("%d connections were made while the first was idle", len(stalled))
		}
		stalled[0].Store(true)
		start := time.Now()
		_ = stream.Send(&nodepb.JournalBatch{Sender: sender, Batch: 1})
		if _, err := stream.Recv(); CodeOf(err) != CodeUnreachable {
			t.Fatalf("stream on the stalled connection ended with %v", err)
		}
		if took := time.Since(start); took > readTimeout {
			t.Fatalf("stalled connection was detected after %v of virtual time", took)
		}
		if _, err := c.Heartbeat(t.Context(), &nodepb.HeartbeatRequest{Sender: sender}); err != nil {
			t.Fatalf("call over a new connection: %v", err)
		}
		if len(stalled) != 2 {
			t.Fatalf("%d connections were made, want 2", len(stalled))
		}
		pool.Close()
		server.Stop()
	})
}

// Guards against a call that outlasts its timeout because the peer's handler is
// blocked while the connection still responds to pings.
func TestCallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		handler := &echoHandler{unblock: make(chan struct{})}
		server := NewServer(handler, nil)
		go func() { _ = server.Serve(listener) }()
		pool := NewPool(PoolOptions{Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			listener.conns <- far
			return near, nil
		}})
		c, _ := pool.Client("127.0.0.1:1")
		start := time.Now()
		if _, err := c.Heartbeat(t.Context(), &nodepb.HeartbeatRequest{Sender: sender}); CodeOf(err) != CodeTimeout {
			t.Fatalf("call to a blocked handler: %v", err)
		}
		if took := time.Since(start); took != heartbeatTimeout {
			t.Fatalf("call took %v of virtual time, want %v", took, heartbeatTimeout)
		}
		close(handler.unblock)
		pool.Close()
		server.Stop()
	})
}
