package capacity

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/explain"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/share"
)

// BenchmarkAdmission measures dispatching, finishing and offering one request for
// several numbers of teams and queued requests, and updating the limits of all
// teams, which a node does every 100 ms.
func BenchmarkAdmission(b *testing.B) {
	for _, size := range []struct{ teams, queued int }{{10, 1_000}, {110, 1_000}, {220, 1_000}, {220, 100}, {220, 10_000}} {
		c := newController(b, size.teams)
		for i := range size.queued {
			item := admission.Item{ID: uint64(i), Team: teamID(i % size.teams), Tokens: 500}
			if refusal, err := c.Offer(baseTime, item); refusal != nil || err != nil {
				b.Fatal(refusal, err)
			}
		}
		name := fmt.Sprintf("customers=%d/queued=%d", size.teams, size.queued)
		b.Run("request/"+name, func(b *testing.B) {
			for b.Loop() {
				out := c.Dispatch(baseTime)
				c.Finished(baseTime, out[0].Item, 100)
				if refusal, err := c.Offer(baseTime, out[0].Item); refusal != nil || err != nil {
					b.Fatal(refusal, err)
				}
			}
		})
		b.Run("limits/"+name, func(b *testing.B) {
			for b.Loop() {
				setTeams(b, c, size.teams)
			}
		})
	}
}

func newController(b *testing.B, teams int) *admission.Controller {
	config := admission.Config{MaxWait: time.Hour, GiveUpAfter: time.Hour, QueueLimit: 10_000}
	c, err := admission.New(config, nil, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		b.Fatal(err)
	}
	c.SetCapacity(admission.Capacity{Slots: 600, Rate: 1e9})
	setTeams(b, c, teams)
	return c
}

func setTeams(b *testing.B, c *admission.Controller, teams int) {
	for i := range teams {
		limits := admission.Limits{Priority: admission.Priority(i % 3), Weight: float64(1 + i%7), Rate: math.Inf(1)}
		if err := c.SetTeam(baseTime, teamID(i), limits); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkShare measures one round of demands of a node to its peers, with
// some teams over their part, and the answer of one peer.
func BenchmarkShare(b *testing.B) {
	for _, size := range []struct{ teams, peers int }{{10, 8}, {110, 8}, {220, 8}, {220, 32}, {220, 128}} {
		b.Run(fmt.Sprintf("customers=%d/peers=%d", size.teams, size.peers), func(b *testing.B) {
			now := baseTime
			borrower, peers := newLedger(b, 0, size.teams, size.peers+1)
			lender, _ := newLedger(b, 1, size.teams, size.peers+1)
			for i := range size.teams {
				borrower.SetDemand(now, teamID(i), 0.9)
			}
			demandCount, n := 0, 0
			for b.Loop() {
				now = now.Add(500 * time.Millisecond)
				demands := borrower.Demands(now, peers)
				loans := lender.ObserveDemands(now, hostID(0), 1, demands[0])
				borrower.ObserveLoans(now, hostID(1), 1, loans)
				demandCount += len(demands[0])
				n++
			}
			b.ReportMetric(float64(demandCount)/float64(n), "demands/message")
		})
	}
}

func newLedger(b *testing.B, self, teams, hosts int) (*share.Ledger, []ident.HostID) {
	l, err := share.New(hostID(self), 1, share.Config{}, baseTime)
	if err != nil {
		b.Fatal(err)
	}
	var all, peers []ident.HostID
	for i := range hosts {
		all = append(all, hostID(i))
		if i != self {
			peers = append(peers, hostID(i))
		}
	}
	l.SetHosts(baseTime, all)
	for _, peer := range peers {
		l.ObserveIncarnation(baseTime, peer, 1)
		l.Acknowledged(baseTime, peer)
	}
	for i := range teams {
		l.SetDemand(baseTime, teamID(i), 0)
	}
	return l, peers
}

// BenchmarkCursor measures encoding the cursor of one token, for several numbers of
// replicas.
func BenchmarkCursor(b *testing.B) {
	codec, err := cursor.NewCodec(bytes.Repeat([]byte("k"), cursor.MinKeyBytes))
	if err != nil {
		b.Fatal(err)
	}
	for _, replicas := range []int{0, 1, 2} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			c := cursor.Cursor{
				Generation: "gen-6ba7b810-9dad-11d1-80b4-00c04fd430c8", Request: "req-6ba7b810-9dad-11d1-80b4-00c04fd430c8",
				Team: teamID(1), Backend: "engine-00001", Attempt: "att-6ba7b810-9dad-11d1-80b4-00c04fd430c8", Owner: hostID(1),
			}
			for i := range replicas {
				c.Replicas = append(c.Replicas, hostID(i))
			}
			e, tokens := codec.NewEncoder(c), 0
			for b.Loop() {
				tokens++
				e.Encode(tokens, cursor.Digest{1})
			}
			b.ReportMetric(float64(len(e.Encode(1_000, cursor.Digest{1}))), "cursor-B")
			b.ReportMetric(heapBytes(func() any { return codec.NewEncoder(c) }), "heap-B")
		})
	}
}

// BenchmarkExplain measures storing the decisions on requests, 8 for each, and the
// heap per request that they occupy.
func BenchmarkExplain(b *testing.B) {
	for _, requests := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			fill := func() *explain.Store {
				s := explain.NewStore(hostID(1))
				for i := range requests {
					for j := range 8 {
						s.Add(baseTime, teamID(i%220), ident.RequestID(fmt.Sprintf("req-%036d", i)), "admitted", fmt.Sprintf("%d estimated tokens after 12 ms", 500+j))
					}
				}
				return s
			}
			for b.Loop() {
				fill()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*requests*8), "ns/decision")
			b.ReportMetric(heapBytes(func() any { return fill() })/float64(requests), "heap-B/request")
		})
	}
}
