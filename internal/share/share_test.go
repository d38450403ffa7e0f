package share

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// TestMain fixes rapid's seed, so that CI is deterministic; -rapid.seed
// overrides it. More and longer sequences than rapid's defaults are needed to
// reach the restart of a lender whose loans are in use.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "120")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_700_000_000, 0)

// simNode is one node with a clock of its own rate and offset.
type simNode struct {
	*Ledger
	id     ident.HostID
	offset time.Duration
	rate   float64
	paused bool
}

func (n *simNode) now(t time.Duration) time.Time {
	return epoch.Add(n.offset + time.Duration(float64(t)*n.rate))
}

// message is a set of demands or the answer to one.
type message struct {
	from, to    int
	incarnation ident.Incarnation // of the sender
	answers     ident.Incarnation // of the receiver, 0 in a request
	demands     []Demand
	loans       []Loan
}

type cluster struct {
	t     time.Duration
	nodes []*simNode
	hosts []ident.HostID
	conf  Config
}

func newCluster(n int, conf Config, rates []float64) *cluster {
	f := &cluster{conf: conf}
	for i := range n {
		f.hosts = append(f.hosts, ident.HostID(fmt.Sprintf("h%04d", i)))
	}
	for i := range n {
		f.nodes = append(f.nodes, &simNode{id: f.hosts[i], offset: time.Duration(i*i) * 77 * time.Minute, rate: rates[i%len(rates)]})
		f.restart(i)
	}
	return f
}

func (f *cluster) restart(i int) {
	n := f.nodes[i]
	l, err := New(n.id, ident.Incarnation(f.t+1), f.conf, n.now(f.t))
	if err != nil {
		panic(err)
	}
	n.Ledger, n.paused = l, false
	l.SetHosts(n.now(f.t), f.hosts)
}

// send returns the heartbeats of node i to the peers.
func (f *cluster) send(i int, peers []int) []message {
	n := f.nodes[i]
	ids := make([]ident.HostID, len(peers))
	for k, p := range peers {
		ids[k] = f.nodes[p].id
	}
	var out []message
	for k, d := range n.Demands(n.now(f.t), ids) {
		out = append(out, message{from: i, to: peers[k], incarnation: n.incarnation, demands: d})
	}
	return out
}

// deliver delivers a message and returns the answer if it is a request.
func (f *cluster) deliver(m message) (message, bool) {
	n, from := f.nodes[m.to], f.nodes[m.from].id
	now := n.now(f.t)
	n.ObserveIncarnation(now, from, m.incarnation)
	if m.answers == 0 {
		loans := n.ObserveDemands(now, from, m.incarnation, m.demands)
		return message{from: m.to, to: m.from, incarnation: n.incarnation, answers: m.incarnation, loans: loans}, true
	}
	n.ObserveLoans(now, from, m.incarnation, m.loans)
	if m.answers == n.incarnation {
		n.Acknowledged(now, from)
	}
	return message{}, false
}

// inUse returns the fraction that node i and its borrowers may use of what node i
// owns. It is checked for each lender, because the sum over all nodes stays below
// the limit whenever one of them is paused or in quarantine, which would hide an
// excess.
func (f *cluster) inUse(i int) float64 {
	sum := 0.0
	for k, n := range f.nodes {
		now := n.now(f.t)
		if n.paused {
			continue
		}
		n.Tick(now)
		a := n.account("c")
		if k == i {
			sum += max(n.ownFraction()-a.committed(now, ""), 0)
		} else if at, ok := find(a.lenders, f.nodes[i].id, lenderID); ok {
			sum += a.lenders[at].usable(now)
		}
	}
	return sum
}

// TestSumNeverExceeds guards against parts whose sum exceeds the limit after lost,
// repeated, reordered and delayed messages, partitions, pauses, restarts, clocks
// that are hours apart and differ by 4% in rate, and backward clock steps.
func TestSumNeverExceeds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newCluster(4, Config{}, []float64{1, 1.02, 0.98})
		var wire []message
		node := rapid.IntRange(0, 3)
		others := func(i int) (out []int) {
			for k := range 4 {
				if k != i {
					out = append(out, k)
				}
			}
			return out
		}
		advance := func(ms int) {
			f.t += time.Duration(ms) * time.Millisecond
			for _, n := range f.nodes {
				if !n.paused {
					n.Tick(n.now(f.t))
				}
			}
		}
		round := func(r *rapid.T) { // one exchange of heartbeats between all running nodes
			for i, n := range f.nodes {
				if n.paused || rapid.IntRange(0, 4).Draw(r, "partitioned") == 0 {
					continue
				}
				for _, m := range f.send(i, others(i)) {
					if wire = append(wire, m); f.nodes[m.to].paused || rapid.IntRange(0, 4).Draw(r, "lost") == 0 {
						continue
					}
					if answer, ok := f.deliver(m); ok {
						wire = append(wire, answer)
						if rapid.IntRange(0, 3).Draw(r, "answer lost") != 0 {
							f.deliver(answer)
						}
					}
				}
			}
			wire = wire[max(0, len(wire)-60):]
		}
		r.Repeat(map[string]func(*rapid.T){
			"pass": func(r *rapid.T) {
				for range rapid.SampledFrom([]int{1, 1, 1, 4, 8}).Draw(r, "times") {
					advance(rapid.IntRange(1, 1900).Draw(r, "ms"))
				}
			},
			"demand": func(r *rapid.T) {
				n := f.nodes[node.Draw(r, "node")]
				if !n.paused {
					n.SetDemand(n.now(f.t), "c", rapid.SampledFrom([]float64{0, 0.05, 0.3, 1}).Draw(r, "demand"))
				}
			},
			"round":  func(r *rapid.T) { round(r) },
			"rounds": func(r *rapid.T) { round(r); advance(500); round(r); advance(500); round(r) },
			"late": func(r *rapid.T) { // a delayed or repeated message
				if len(wire) > 0 {
					m := wire[rapid.IntRange(0, len(wire)-1).Draw(r, "message")]
					if !f.nodes[m.to].paused {
						if answer, ok := f.deliver(m); ok {
							wire = append(wire, answer)
						}
					}
				}
			},
			"restart": func(r *rapid.T) { advance(1); f.restart(node.Draw(r, "node")) },
			"pause": func(r *rapid.T) {
				n := f.nodes[node.Draw(r, "node")]
				n.paused = !n.paused
			},
			"step": func(r *rapid.T) {
				n := f.nodes[node.Draw(r, "node")]
				n.offset -= time.Duration(rapid.IntRange(1, 60_000).Draw(r, "back")) * time.Millisecond
			},
			"": func(r *rapid.T) {
				sum := 0.0
				for i, n := range f.nodes {
					if used := f.inUse(i); used > 0.25+1e-9 {
						r.Fatalf("%v of the quarter of node %d is used at %v", used, i, f.t)
					}
					if !n.paused {
						sum += n.UsableFraction(n.now(f.t), "c")
					}
				}
				if sum > 1+1e-9 {
					r.Fatalf("the parts sum up to %v at %v", sum, f.t)
				}
			},
		})
	})
}

// TestStaleMessages covers single faults that random sequences reach too rarely.
// Node 0 borrows from node 1. Each case ends with a message that must not be used,
// or not beyond its validity: both nodes together must never use more than the
// lender's half.
func TestStaleMessages(t *testing.T) {
	const second = time.Second
	var f *cluster
	wait := func(d time.Duration, nodes ...int) {
		for end := f.t + d; f.t < end; {
			f.t += 100 * time.Millisecond
			for _, i := range nodes {
				f.nodes[i].Tick(f.nodes[i].now(f.t))
				if used := f.inUse(1); used > 0.5+1e-9 {
					t.Fatalf("%v of the lender's half is used at %v", used, f.t)
				}
			}
		}
	}
	request := func(demand float64) message {
		f.nodes[0].SetDemand(f.nodes[0].now(f.t), "c", demand)
		return f.send(0, []int{1})[0]
	}
	answer := func(m message) message { a, _ := f.deliver(m); return a }
	tests := map[string]func(){
		"answer that arrives after the loan has expired": func() {
			a := answer(request(1))
			wait(12*second, 0, 1)
			f.deliver(a)
		},
		"slow clock of the borrower": func() { f.deliver(answer(request(1))) },
		"loan of an earlier incarnation of the lender": func() {
			a := answer(request(1))
			f.restart(1)
			f.deliver(answer(message{from: 1, to: 0, incarnation: f.nodes[1].incarnation}))
			f.deliver(a)
		},
		"loan to an earlier incarnation of the borrower": func() {
			wait(20*second, 0, 1)
			a := answer(request(1))
			f.restart(0)
			wait(21*second, 0, 1)
			f.deliver(a)
		},
		"clock of the borrower set back while the answer waits": func() {
			a := answer(request(1))
			f.nodes[0].paused = true
			wait(20*second, 1)
			f.nodes[0].paused = false
			f.nodes[0].offset -= 60 * second
			f.deliver(a)
		},
		"demand that arrives after a later one": func() {
			early := request(0.55)
			wait(90*second, 0, 1)
			first := answer(request(0.8))
			f.deliver(first)
			f.deliver(answer(early))
			wait(2100*time.Millisecond, 0, 1)
			answer(request(0.55)) // promises to use nothing of the expired loan
			request(0)
			f.deliver(first)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			f = newCluster(2, Config{}, []float64{0.97, 1.03})
			for i := range 2 {
				f.deliver(answer(message{from: i, to: 1 - i, incarnation: f.nodes[i].incarnation}))
			}
			wait(second, 0, 1)
			run()
			wait(14*second, 0, 1)
		})
	}
}

// TestLoanLifecycle verifies that a busy node borrows from idle ones, that a
// lender gets its part back when it needs it, and that all nodes fall back to 1/N
// in a partition.
func TestLoanLifecycle(t *testing.T) {
	f := newCluster(4, Config{}, []float64{1})
	round := func() {
		f.t += 500 * time.Millisecond
		for i := range f.nodes {
			for _, m := range f.send(i, []int{(i + 1) % 4, (i + 2) % 4, (i + 3) % 4}) {
				if answer, ok := f.deliver(m); ok {
					f.deliver(answer)
				}
			}
		}
	}
	part := func(i int) float64 { return f.nodes[i].UsableFraction(f.nodes[i].now(f.t), "c") }
	if part(0) != 0 {
		t.Fatal("a node that has just started owns a part before its peers acknowledged")
	}
	round()
	if part(0) != 0.25 {
		t.Fatalf("own part %v", part(0))
	}
	f.nodes[0].SetDemand(f.nodes[0].now(f.t), "c", 1)
	for range 4 {
		round()
	}
	if part(0) < 0.9 || part(1) < 0.02 {
		t.Fatalf("after 2 s the busy node has %v, an idle one %v", part(0), part(1))
	}
	f.nodes[1].SetDemand(f.nodes[1].now(f.t), "c", 1)
	for range 4 {
		round()
	}
	if part(1) < 0.249 {
		t.Fatalf("after 2 s the lender has %v of its own", part(1))
	}
	f.restart(2)
	round()
	if part(2) < 0.24 {
		t.Fatalf("acknowledged after a restart, the node has %v", part(2))
	}
	for range 24 { // partition: no messages
		f.t += 500 * time.Millisecond
		for _, n := range f.nodes {
			n.Tick(n.now(f.t))
		}
	}
	for i := range 4 {
		if part(i) != 0.25 {
			t.Fatalf("in a partition node %d has %v", i, part(i))
		}
	}
}

// TestHostCount verifies that N is the largest host count of the last minute.
func TestHostCount(t *testing.T) {
	f := newCluster(4, Config{}, []float64{1})
	for s, want := range map[int]int{59: 4, 61: 2} {
		l, _ := New("h0000", 1, Config{}, epoch)
		l.SetHosts(epoch, f.hosts)
		l.SetHosts(epoch.Add(time.Second), f.hosts[:2])
		for i := range s {
			l.Tick(epoch.Add(time.Duration(i+1) * time.Second))
		}
		if l.maxHostCount() != want {
			t.Errorf("after %d s N is %d, want %d", s, l.maxHostCount(), want)
		}
	}
}

// TestInputOutOfOrder guards against the loss of everything that a node borrowed
// when an input is slightly older than the last one, which happens when workers
// read the clock before they take the ledger's lock.
func TestInputOutOfOrder(t *testing.T) {
	now := time.Unix(1e6, 0)
	borrower, err := New("a", 1, Config{}, now)
	if err != nil {
		t.Fatal(err)
	}
	lender, err := New("b", 1, Config{}, now)
	if err != nil {
		t.Fatal(err)
	}
	hosts := []ident.HostID{"a", "b"}
	for _, l := range []*Ledger{borrower, lender} {
		l.SetHosts(now, hosts)
	}
	borrower.Acknowledged(now, "b")
	lender.Acknowledged(now, "a")
	borrower.SetDemand(now, "c", 1)
	loans := lender.ObserveDemands(now, "a", 1, borrower.Demands(now, []ident.HostID{"b"})[0])
	borrower.ObserveLoans(now, "b", 1, loans)
	before := borrower.UsableFraction(now, "c")
	if before <= 0.5 {
		t.Fatalf("part is %v, nothing was borrowed", before)
	}
	borrower.Tick(now.Add(-time.Millisecond))
	if after := borrower.UsableFraction(now, "c"); after != before {
		t.Errorf("part is %v after an input 1 ms older, was %v", after, before)
	}
}
