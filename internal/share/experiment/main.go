// Command experiment measures how much of a team's limit the nodes can use with
// loans between them, over a seeded trace of changing demand, compared with the
// fixed split 1/N and with an ideal split computed from all demands.
//
//	go run ./internal/share/experiment -seed 1
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/share"
)

const (
	step         = 50 * time.Millisecond
	heartbeat    = 500 * time.Millisecond
	warmUp       = 15 * time.Second
	length       = 10 * time.Minute
	demandPeriod = 20 * time.Second // how long a node stays busy or idle
)

// scenario is one condition of the network.
type scenario struct {
	name      string
	lag       time.Duration // largest one-way delay
	loss      float64
	partition bool // two halves are separated for 20 s of every 60 s
}

type message struct {
	due      time.Duration
	from, to int
	demands  []share.Demand
	loans    []share.Loan
	isAnswer bool
}

type model struct {
	scenario
	rng       *rand.Rand // of the network
	trace     *rand.Rand // of the demand, the same in every scenario
	ids       []ident.HostID
	peers     [][]int
	ledgers   []*share.Ledger
	demand    []float64
	inTransit []message
}

// result summarizes one run. The amounts not admitted are fractions of what the
// ideal split admits.
type result struct {
	notAdmittedLoans, notAdmittedFixed float64
	maxExcess                          float64 // largest excess of the sum of parts over 1
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the trace and the network")
	flag.Parse()
	scenarios := []scenario{
		{name: "lag 50 ms", lag: 50 * time.Millisecond},
		{name: "lag 1 s", lag: time.Second},
		{name: "lag 50 ms, loss 20%", lag: 50 * time.Millisecond, loss: 0.2},
		{name: "lag 50 ms, partition", lag: 50 * time.Millisecond, partition: true},
	}
	fmt.Printf("| nodes | network | not admitted: loans | fixed 1/N | largest sum of parts over 1 |\n")
	fmt.Printf("| --- | --- | --- | --- | --- |\n")
	for _, n := range []int{9, 100} {
		for _, s := range scenarios {
			r, err := run(n, s, *seed)
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			fmt.Printf("| %d | %s | %.1f%% | %.1f%% | %.6f |\n",
				n, s.name, 100*r.notAdmittedLoans, 100*r.notAdmittedFixed, r.maxExcess)
		}
	}
}

func run(n int, s scenario, seed uint64) (result, error) {
	m := &model{scenario: s, rng: rand.New(rand.NewPCG(seed, uint64(n))),
		trace: rand.New(rand.NewPCG(seed, 0)), demand: make([]float64, n)}
	start := time.Unix(0, 0)
	for i := range n {
		m.ids = append(m.ids, ident.HostID(fmt.Sprintf("h%04d", i)))
	}
	for i := range n {
		l, err := share.New(m.ids[i], 1, share.Config{}, start)
		if err != nil {
			return result{}, err
		}
		l.SetHosts(start, m.ids)
		m.ledgers = append(m.ledgers, l)
		m.peers = append(m.peers, m.choosePeers(i))
	}
	var loans, fixed, ideal, over float64
	for t := time.Duration(0); t < length; t += step {
		m.advance(t, start.Add(t))
		if t < warmUp {
			continue
		}
		parts, total := 0.0, 0.0
		for i, l := range m.ledgers {
			part := l.UsableFraction(start.Add(t), "c")
			parts += part
			total += m.demand[i]
			loans += math.Min(part, m.demand[i])
			fixed += math.Min(1/float64(n), m.demand[i])
		}
		ideal += math.Min(total, 1)
		over = math.Max(over, parts-1)
	}
	return result{1 - loans/ideal, 1 - fixed/ideal, over}, nil
}

// choosePeers returns all other nodes if there are at most 32 nodes, otherwise 10
// random ones, like the heartbeat peers and relays of package membership.
func (m *model) choosePeers(i int) []int {
	var out []int
	for _, k := range m.rng.Perm(len(m.ids)) {
		if k != i && (len(m.ids) <= 32 || len(out) < 10) {
			out = append(out, k)
		}
	}
	return out
}

func (m *model) advance(t time.Duration, now time.Time) {
	if t%demandPeriod == 0 {
		m.drawDemands()
	}
	for i, l := range m.ledgers {
		l.SetDemand(now, "c", m.demand[i])
		if (t+time.Duration(i)*step)%heartbeat == 0 {
			m.sendHeartbeat(t, now, i)
		}
	}
	rest := m.inTransit[:0]
	var due []message
	for _, w := range m.inTransit {
		if w.due <= t {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	m.inTransit = rest
	for _, w := range due {
		m.deliver(t, now, w)
	}
}

// drawDemands draws new demands, exponentially distributed over the nodes so that
// a few are busy. Their sum is between 0.5 and 1.3 of the limit.
func (m *model) drawDemands() {
	sum := 0.0
	for i := range m.demand {
		m.demand[i] = m.trace.ExpFloat64()
		sum += m.demand[i]
	}
	total := 0.5 + 0.8*m.trace.Float64()
	for i := range m.demand {
		m.demand[i] *= total / sum
	}
}

func (m *model) sendHeartbeat(t time.Duration, now time.Time, i int) {
	ids := make([]ident.HostID, len(m.peers[i]))
	for k, p := range m.peers[i] {
		ids[k] = m.ids[p]
	}
	for k, d := range m.ledgers[i].Demands(now, ids) {
		m.send(t, message{from: i, to: m.peers[i][k], demands: d})
	}
}

func (m *model) send(t time.Duration, w message) {
	apart := m.partition && t%time.Minute >= 40*time.Second && w.from%2 != w.to%2
	if apart || m.rng.Float64() < m.loss {
		return
	}
	w.due = t + time.Duration(m.rng.Int64N(int64(m.lag)+1))
	m.inTransit = append(m.inTransit, w)
}

func (m *model) deliver(t time.Duration, now time.Time, w message) {
	l, from := m.ledgers[w.to], m.ids[w.from]
	if w.isAnswer {
		l.ObserveLoans(now, from, 1, w.loans)
		l.Acknowledged(now, from)
		return
	}
	loans := l.ObserveDemands(now, from, 1, w.demands)
	m.send(t, message{from: w.to, to: w.from, loans: loans, isAnswer: true})
}
