// Package node implements the gRPC protocol between nodes: a Server that
// dispatches calls to a Handler, and a Pool of client connections.
//
// A Server keeps no state except its connections and a Pool one connection for
// each address. Both are safe for concurrent use.
package node

import (
	"context"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// Timeouts for detecting dead connections. The server pings a connection from
// which it has read nothing for pingInterval, so a connection from which the
// client reads nothing for readTimeout is dead. gRPC's client keepalive is not
// used because it pings at most once every 10 s.
const (
	pingInterval = time.Second
	pingTimeout  = time.Second
	readTimeout  = 2 * time.Second
)

// maxMessageBytes is the maximum size of a message. The largest message is the
// first update of a journal copy, which holds a request body of up to 32 MiB.
const maxMessageBytes = 48 << 20

// Fixed flow-control windows of a stream and a connection. With gRPC's dynamic
// windows, nearly every journal batch causes a ping and its acknowledgement.
const (
	streamWindowBytes     = 4 << 20
	connectionWindowBytes = 8 << 20
)

// Handler processes the calls of other nodes. Every request has a sender with a
// host id. An error is reported to the calling node as CodeFailed. Methods may be
// called concurrently.
type Handler interface {
	Heartbeat(context.Context, *nodepb.HeartbeatRequest) (*nodepb.HeartbeatResponse, error)
	FetchContracts(context.Context, *nodepb.FetchContractsRequest) (*nodepb.FetchContractsResponse, error)
	PushContract(context.Context, *nodepb.PushContractRequest) (*nodepb.PushContractResponse, error)
	FetchJournal(context.Context, *nodepb.FetchJournalRequest) (*nodepb.FetchJournalResponse, error)
	Release(context.Context, *nodepb.ReleaseRequest) (*nodepb.ReleaseResponse, error)
	Explain(context.Context, *nodepb.ExplainRequest) (*nodepb.ExplainResponse, error)
	// ApplyJournals stores one batch of journal updates. It must not block.
	ApplyJournals(*nodepb.JournalBatch) *nodepb.JournalAck
}

// Server is the gRPC server for calls from other nodes.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a Server that dispatches calls to handler. If certificates is
// nil, it uses plaintext without authentication.
func NewServer(handler Handler, certificates *Certificates) *Server {
	creds := insecure.NewCredentials()
	if certificates != nil {
		creds = credentials.NewTLS(certificates.serverConfig())
	}
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(streamWindowBytes),
		grpc.StaticConnWindowSize(connectionWindowBytes),
		grpc.ChainUnaryInterceptor(checkSender),
	)
	nodepb.RegisterNodeServer(s, &service{handler: handler})
	return &Server{grpc: s}
}

// Serve accepts connections until Stop or GracefulStop is called, and then
// returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.grpc.Serve(listener); err != nil {
		return newError(CodeUnreachable).Wrapf(err, "serve nodes on %s", listener.Addr())
	}
	return nil
}

// Stop closes all connections immediately.
func (s *Server) Stop() { s.grpc.Stop() }

// GracefulStop rejects new calls and waits for those in progress. Journal
// streams end only when their clients close them.
func (s *Server) GracefulStop() { s.grpc.GracefulStop() }

// checkSender rejects calls without a sender, so handlers need not check for one.
// It maps a handler error without a gRPC status to codes.Internal.
func checkSender(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if m, ok := req.(interface{ GetSender() *nodepb.Sender }); !ok || m.GetSender().GetHostId() == "" {
		return nil, status.Error(codes.InvalidArgument, "message has no sender")
	}
	resp, err := handle(ctx, req)
	if err != nil && status.Code(err) == codes.Unknown {
		err = status.Error(codes.Internal, err.Error())
	}
	return resp, err
}

// service adapts a Handler to the generated server interface.
type service struct {
	nodepb.UnimplementedNodeServer
	handler Handler
}

func (s *service) Heartbeat(ctx context.Context, r *nodepb.HeartbeatRequest) (*nodepb.HeartbeatResponse, error) {
	return s.handler.Heartbeat(ctx, r)
}

func (s *service) FetchContracts(ctx context.Context, r *nodepb.FetchContractsRequest) (*nodepb.FetchContractsResponse, error) {
	return s.handler.FetchContracts(ctx, r)
}

func (s *service) PushContract(ctx context.Context, r *nodepb.PushContractRequest) (*nodepb.PushContractResponse, error) {
	return s.handler.PushContract(ctx, r)
}

func (s *service) FetchJournal(ctx context.Context, r *nodepb.FetchJournalRequest) (*nodepb.FetchJournalResponse, error) {
	return s.handler.FetchJournal(ctx, r)
}

func (s *service) Release(ctx context.Context, r *nodepb.ReleaseRequest) (*nodepb.ReleaseResponse, error) {
	return s.handler.Release(ctx, r)
}

func (s *service) Explain(ctx context.Context, r *nodepb.ExplainRequest) (*nodepb.ExplainResponse, error) {
	return s.handler.Explain(ctx, r)
}

func (s *service) CopyJournals(stream grpc.BidiStreamingServer[nodepb.JournalBatch, nodepb.JournalAck]) error {
	for {
		batch, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if batch.GetSender().GetHostId() == "" {
			return status.Error(codes.InvalidArgument, "batch has no sender")
		}
		if err := stream.Send(s.handler.ApplyJournals(batch)); err != nil {
			return err
		}
	}
}
