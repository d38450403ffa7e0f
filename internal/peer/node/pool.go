package node

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// Timeouts of the calls and of a dial. A shorter deadline of the context takes
// precedence.
const (
	heartbeatTimeout = time.Second
	contractTimeout  = 2 * time.Second
	journalTimeout   = time.Second
	releaseTimeout   = 500 * time.Millisecond
	explainTimeout   = time.Second
	dialTimeout      = time.Second
)

// reconnectBackoff retries at intervals from 50 ms to 1 s so that a restarted
// peer is reached quickly. A node has few peers, so frequent retries are cheap.
var reconnectBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// Client calls the RPCs of one other node.
type Client interface {
	Heartbeat(context.Context, *nodepb.HeartbeatRequest) (*nodepb.HeartbeatResponse, error)
	FetchContracts(context.Context, *nodepb.FetchContractsRequest) (*nodepb.FetchContractsResponse, error)
	PushContract(context.Context, *nodepb.PushContractRequest) (*nodepb.PushContractResponse, error)
	FetchJournal(context.Context, *nodepb.FetchJournalRequest) (*nodepb.FetchJournalResponse, error)
	Release(context.Context, *nodepb.ReleaseRequest) (*nodepb.ReleaseResponse, error)
	Explain(context.Context, *nodepb.ExplainRequest) (*nodepb.ExplainResponse, error)
	// CopyJournals opens a stream that stays open until ctx is done, the peer
	// closes it or the connection is lost.
	CopyJournals(context.Context) (JournalStream, error)
}

// JournalStream sends journal updates to one node and receives its
// acknowledgements. One goroutine may call Send while another calls Recv.
type JournalStream interface {
	Send(*nodepb.JournalBatch) error
	Recv() (*nodepb.JournalAck, error)
	CloseSend() error
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	// Certificates are used for mutual TLS; nil means plaintext.
	Certificates *Certificates
	// Dial, if set, replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Observe, if set, is called after each unary call. The code is empty if the
	// call succeeded.
	Observe func(method string, code Code, took time.Duration)
}

// Pool holds one connection for each address. Connections are established on the
// first call. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	creds   credentials.TransportCredentials

	mu      sync.Mutex
	clients map[string]*client // guarded by mu; nil after Close
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	p := &Pool{options: options, creds: insecure.NewCredentials(), clients: map[string]*client{}}
	if options.Certificates != nil {
		p.creds = newClientCredentials(options.Certificates)
	}
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		p.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return p
}

// Client returns the client for the node at address, which must be IP:port.
func (p *Pool) Client(address string) (Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, newError(CodeRejected).Wrapf(err, "address of node must be IP:port")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		return nil, newError(CodeCancelled).Errorf("pool of node connections is closed")
	}
	if c, ok := p.clients[address]; ok {
		return c, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(p.dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithStaticStreamWindowSize(streamWindowBytes),
		grpc.WithStaticConnWindowSize(connectionWindowBytes),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
	)
	if err != nil {
		return nil, newError(CodeRejected).Wrapf(err, "make client of node %s", address)
	}
	c := &client{address: address, conn: conn, rpc: nodepb.NewNodeClient(conn), observe: p.options.Observe}
	p.clients[address] = c
	return c, nil
}

// Retain closes the connections to all addresses that are not in addresses.
func (p *Pool) Retain(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !slices.Contains(addresses, address) {
			_ = c.conn.Close()
			delete(p.clients, address)
		}
	}
}

// Close closes all connections. Calls in progress fail.
func (p *Pool) Close() {
	p.Retain(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients = nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &readTimeoutConn{conn}, nil
}

// readTimeoutConn fails a read if no data arrives within readTimeout. gRPC then
// fails the calls on the connection and opens a new one.
type readTimeoutConn struct{ net.Conn }

func (c *readTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

type client struct {
	address string
	conn    *grpc.ClientConn
	rpc     nodepb.NodeClient
	observe func(method string, code Code, took time.Duration)
}

// invokeUnary performs one unary call within the timeout, translates its error and
// passes the result to the observer.
func invokeUnary[Req, Resp any](ctx context.Context, c *client, method string, timeout time.Duration,
	invoke func(context.Context, Req, ...grpc.CallOption) (Resp, error), req Req) (Resp, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := invoke(ctx, req)
	err = translate(err, method, c.address)
	if c.observe != nil {
		c.observe(method, CodeOf(err), time.Since(start))
	}
	return resp, err
}

func (c *client) Heartbeat(ctx context.Context, r *nodepb.HeartbeatRequest) (*nodepb.HeartbeatResponse, error) {
	return invokeUnary(ctx, c, "Heartbeat", heartbeatTimeout, c.rpc.Heartbeat, r)
}

func (c *client) FetchContracts(ctx context.Context, r *nodepb.FetchContractsRequest) (*nodepb.FetchContractsResponse, error) {
	return invokeUnary(ctx, c, "FetchContracts", contractTimeout, c.rpc.FetchContracts, r)
}

func (c *client) PushContract(ctx context.Context, r *nodepb.PushContractRequest) (*nodepb.PushContractResponse, error) {
	return invokeUnary(ctx, c, "PushContract", contractTimeout, c.rpc.PushContract, r)
}

func (c *client) FetchJournal(ctx context.Context, r *nodepb.FetchJournalRequest) (*nodepb.FetchJournalResponse, error) {
	return invokeUnary(ctx, c, "FetchJournal", journalTimeout, c.rpc.FetchJournal, r)
}

func (c *client) Release(ctx context.Context, r *nodepb.ReleaseRequest) (*nodepb.ReleaseResponse, error) {
	return invokeUnary(ctx, c, "Release", releaseTimeout, c.rpc.Release, r)
}

func (c *client) Explain(ctx context.Context, r *nodepb.ExplainRequest) (*nodepb.ExplainResponse, error) {
	return invokeUnary(ctx, c, "Explain", explainTimeout, c.rpc.Explain, r)
}

func (c *client) CopyJournals(ctx context.Context) (JournalStream, error) {
	stream, err := c.rpc.CopyJournals(ctx)
	if err != nil {
		return nil, translate(err, "CopyJournals", c.address)
	}
	return &journalStream{stream: stream, address: c.address}, nil
}

type journalStream struct {
	stream  grpc.BidiStreamingClient[nodepb.JournalBatch, nodepb.JournalAck]
	address string
}

// Send fails with CodeUnreachable if the stream has ended; Recv then returns the
// cause.
func (s *journalStream) Send(batch *nodepb.JournalBatch) error {
	return translate(s.stream.Send(batch), "CopyJournals", s.address)
}

func (s *journalStream) Recv() (*nodepb.JournalAck, error) {
	ack, err := s.stream.Recv()
	return ack, translate(err, "CopyJournals", s.address)
}

func (s *journalStream) CloseSend() error {
	return translate(s.stream.CloseSend(), "CopyJournals", s.address)
}
