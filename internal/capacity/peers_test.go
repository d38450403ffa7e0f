package capacity

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/peer/node"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// echoHandler responds to a heartbeat with the sender's own values and one loan for
// each demand, and reports each pushed contract as in force.
type echoHandler struct{ node.Handler }

func (echoHandler) Heartbeat(_ context.Context, r *nodepb.HeartbeatRequest) (*nodepb.HeartbeatResponse, error) {
	loans := make([]*nodepb.Loan, len(r.GetDemands()))
	for i, d := range r.GetDemands() {
		loans[i] = &nodepb.Loan{Customer: d.GetCustomer(), Sequence: 1000, Fraction: 0.01, StampNs: d.GetStampNs(), BorrowerIncarnation: r.GetSender().GetIncarnation(), ValidMs: 10_000}
	}
	return &nodepb.HeartbeatResponse{Sender: r.GetSender(), Sequence: r.GetSequence(), FreshAgeMs: 250, InFlight: r.GetInFlight(), Uses: r.GetUses(), Loans: loans}, nil
}

func (echoHandler) PushContract(_ context.Context, r *nodepb.PushContractRequest) (*nodepb.PushContractResponse, error) {
	return &nodepb.PushContractResponse{Sequence: r.GetEntry().GetSequence(), InForce: true}, nil
}

func serve(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := node.NewServer(echoHandler{}, nil)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	return listener.Addr().String()
}

func connect(b *testing.B, w *byteCounter, address string) node.Client {
	pool := node.NewPool(node.PoolOptions{Dial: w.dial})
	b.Cleanup(pool.Close)
	client, err := pool.Client(address)
	if err != nil {
		b.Fatal(err)
	}
	return client
}

func sender() *nodepb.Sender {
	return &nodepb.Sender{HostId: "host-0001", Incarnation: baseTime.UnixNano(), DataCentre: "dc-00"}
}

func heartbeat(uses, demands int) *nodepb.HeartbeatRequest {
	h := &nodepb.HeartbeatRequest{Sender: sender(), Sequence: 100_000, FreshAgeMs: 250, InFlight: 400}
	for i := range uses {
		h.Uses = append(h.Uses, &nodepb.BackendUse{BackendId: fmt.Sprintf("engine-%05d", i), Running: 12, WaitingTokens: 900})
	}
	for i := range demands {
		h.Demands = append(h.Demands, &nodepb.Demand{Customer: string(teamID(i)), Want: 0.013, Keep: 0.011, LoanSequence: 1000, LenderIncarnation: baseTime.UnixNano(), StampNs: 3_600_000_000_000})
	}
	return h
}

// BenchmarkHeartbeat measures one heartbeat exchange over loopback, both ends
// included, for several numbers of backend server uses and team demands.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ uses, demands int }{{0, 0}, {38, 0}, {160, 0}, {1_280, 0}, {0, 10}, {0, 220}, {38, 10}} {
		b.Run(fmt.Sprintf("uses=%d/demands=%d", size.uses, size.demands), func(b *testing.B) {
			w := &byteCounter{}
			client, message := connect(b, w, serve(b)), heartbeat(size.uses, size.demands)
			w.measure(b, func() {
				if _, err := client.Heartbeat(b.Context(), message); err != nil {
					b.Fatal(err)
				}
			})
		})
	}
}

// BenchmarkPushContract measures pushing one contract to one peer, for several
// document sizes.
func BenchmarkPushContract(b *testing.B) {
	for _, windows := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("windows=%d", windows), func(b *testing.B) {
			w := &byteCounter{}
			client := connect(b, w, serve(b))
			e := contractEntry(1, 1, windows)
			message := &nodepb.PushContractRequest{Sender: sender(), Entry: &nodepb.ContractEntry{
				Sequence: 100_000, Customer: string(e.Team), Version: 400, Document: e.Document, ChangedBy: "operator-d2bf5cf7",
				ChangedAtMs: baseTime.UnixMilli(), ChangeId: "6ba7b810-9dad-11d1-80b4-00c04fd430c8",
			}}
			w.measure(b, func() {
				if _, err := client.PushContract(b.Context(), message); err != nil {
					b.Fatal(err)
				}
			})
			b.ReportMetric(float64(len(e.Document)), "document-B")
		})
	}
}

// BenchmarkPeerConnections measures the memory per idle connection, both ends
// included.
func BenchmarkPeerConnections(b *testing.B) {
	for _, connections := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			address, message := serve(b), heartbeat(0, 0)
			for b.Loop() {
				bytes := heapBytes(func() any {
					var clients []node.Client
					for range connections {
						client := connect(b, &byteCounter{}, address)
						if _, err := client.Heartbeat(b.Context(), message); err != nil {
							b.Fatal(err)
						}
						clients = append(clients, client)
					}
					return clients
				})
				b.ReportMetric(bytes/float64(connections), "B/connection")
			}
		})
	}
}
