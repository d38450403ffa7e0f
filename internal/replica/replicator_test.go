package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// network connects a Replicator to one Store per peer and injects faults.
type network struct {
	mu      sync.Mutex
	stores  map[ident.HostID]*Store
	silent  map[ident.HostID]bool // these peers store batches but do not acknowledge them
	delay   time.Duration         // of one round trip
	batches []*nodepb.JournalBatch
	sentAt  []time.Time
}

func newNetwork() *network {
	n := &network{stores: map[ident.HostID]*Store{}, silent: map[ident.HostID]bool{}, delay: time.Millisecond}
	for _, host := range []ident.HostID{"p0", "p1", "p2"} {
		n.stores[host] = NewStore(1<<20, time.Hour)
	}
	return n
}

// change runs f with the lock held, to modify the network while a Replicator uses
// it.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *network) replicator() *Replicator {
	return NewReplicator(Options{
		Self: ownerA, FlushInterval: 2 * time.Millisecond, AcknowledgeTimeout: 50 * time.Millisecond,
		Open: func(ctx context.Context, host ident.HostID) (Stream, error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.stores[host] == nil {
				return nil, errors.New("connection refused")
			}
			return &fakeStream{ctx: ctx, network: n, host: host}, nil
		},
	})
}

type fakeStream struct {
	ctx     context.Context
	network *network
	host    ident.HostID
	ack     *nodepb.JournalAck
}

func (s *fakeStream) Send(b *nodepb.JournalBatch) error {
	n := s.network
	n.mu.Lock()
	defer n.mu.Unlock()
	b = proto.CloneOf(b)
	n.batches, n.sentAt = append(n.batches, b), append(n.sentAt, time.Now())
	s.ack = n.stores[s.host].Apply(time.Now(), b)
	return nil
}

func (s *fakeStream) Recv() (*nodepb.JournalAck, error) {
	s.network.mu.Lock()
	delay := s.network.delay
	if s.network.silent[s.host] {
		delay = time.Hour
	}
	s.network.mu.Unlock()
	select {
	case <-time.After(delay):
		return s.ack, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// recorder is a Sink that records its latest call.
type recorder struct {
	mu           sync.Mutex
	acknowledged int64
	lost         Code
	calledAt     time.Time
}

func (r *recorder) Acknowledged(end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acknowledged, r.calledAt = end, time.Now()
}

func (r *recorder) Lost(code Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost, r.calledAt = code, time.Now()
}

func (r *recorder) state() (int64, Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acknowledged, r.lost
}

// Guards against one message per token, which would make a token as expensive as a
// message. Tokens of many generations must share a message, and the time between
// messages must be at least the flush interval.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		r := n.replicator()
		defer r.Close()
		var copies []*Copy
		var sinks []*recorder
		for i := range 100 {
			sinks = append(sinks, &recorder{})
			copies = append(copies, r.Start(ident.GenerationID(fmt.Sprint(i)), head, nil, "p0", sinks[i]))
		}
		time.Sleep(10 * time.Millisecond)
		n.change(func() { n.batches, n.sentAt = nil, nil })
		for token := range 20 {
			for _, c := range copies {
				c.Append(strconv.Itoa(token))
			}
			time.Sleep(500 * time.Microsecond)
		}
		time.Sleep(10 * time.Millisecond)
		r.Close()
		if len(n.batches) > 7 {
			t.Errorf("2,000 tokens in 10 ms took %d messages", len(n.batches))
		}
		for i := 1; i < len(n.sentAt); i++ {
			if gap := n.sentAt[i].Sub(n.sentAt[i-1]); gap < 2*time.Millisecond {
				t.Errorf("messages %d and %d are %v apart", i-1, i, gap)
			}
		}
		for i, s := range sinks {
			if acknowledged, lost := s.state(); acknowledged != 20 || lost != "" {
				t.Fatalf("generation %d: acknowledged %d, lost %q", i, acknowledged, lost)
			}
		}
	})
}

// Guards against the loss of a replica node being detected late or only for some
// copies. It must be reported within the timeout, both for the copies in the message
// in progress and for waiting ones, and another peer must accept the whole journal.
// A peer that does not have the start of a journal must be detected.
func TestLostCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		r := n.replicator()
		defer r.Close()
		first, second := &recorder{}, &recorder{}
		a := r.Start("a", head, []string{"x"}, "p0", first)
		b := r.Start("b", head, nil, "p0", second)
		time.Sleep(10 * time.Millisecond)
		n.change(func() { n.silent["p0"] = true })
		begin := time.Now()
		a.Append("y")
		time.Sleep(20 * time.Millisecond)
		b.Append("z")
		time.Sleep(time.Second)
		for name, s := range map[string]*recorder{"in progress": first, "waiting": second} {
			if _, lost := s.state(); lost != CodeTimeout || s.calledAt.Sub(begin) > 51*time.Millisecond {
				t.Errorf("copy %s: lost %q after %v", name, lost, s.calledAt.Sub(begin))
			}
		}
		if a.Append("w") {
			t.Error("a lost copy accepted a token")
		}
		moved := &recorder{}
		c := r.Start("a", head, []string{"x", "y", "w"}, "p1", moved)
		time.Sleep(10 * time.Millisecond)
		if acknowledged, _ := moved.state(); acknowledged != 3 {
			t.Errorf("moved copy: acknowledged %d tokens, want 3", acknowledged)
		}
		n.change(func() { n.stores["p1"] = NewStore(1<<20, time.Hour) }) // the node was replaced
		c.Append("v")
		time.Sleep(10 * time.Millisecond)
		if acknowledged, lost := moved.state(); acknowledged != 3 || lost != CodeNotStored {
			t.Errorf("copy on a replaced node: acknowledged %d, lost %q", acknowledged, lost)
		}
		refused := &recorder{}
		r.Start("a", head, nil, "absent", refused)
		time.Sleep(10 * time.Millisecond)
		if _, lost := refused.state(); lost != CodeUnreachable {
			t.Errorf("copy on an absent node: lost %q", lost)
		}
	})
}

// Guards against a copy that ends without its generation being notified. A full ring
// must be reported immediately, and a stopped worker must report all of its queued
// copies as lost.
func TestOverflowAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.silent["p0"] = true
		r := n.replicator()
		sink := &recorder{}
		r.Start("first", head, nil, "p0", sink)
		synctest.Wait() // the worker waits for the acknowledgement
		for i := range RingCapacity {
			if r.Start(ident.GenerationID(fmt.Sprint(i)), head, nil, "p0", &recorder{}) == nil {
				t.Fatalf("ring was full after %d generations", i)
			}
		}
		if r.Start("over", head, nil, "p0", &recorder{}) != nil || r.Stats().Overflows != 1 {
			t.Fatalf("overflow was not reported: %+v", r.Stats())
		}
		r.Close()
		if _, lost := sink.state(); lost != CodeClosed {
			t.Fatalf("copy at the stop: lost %q", lost)
		}
		if got := r.Stats().Lost; got != RingCapacity+2 {
			t.Fatalf("%d copies were reported lost, want %d", got, RingCapacity+2)
		}
		if r.Start("late", head, nil, "p0", sink) != nil {
			t.Fatal("closed replicator started a copy")
		}
	})
}

// Guards against a journal larger than one message that arrives incomplete or out
// of order.
func TestLargeJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.stores["p0"] = NewStore(64<<20, time.Hour)
		r := n.replicator()
		defer r.Close()
		journal := make([]string, 500_000)
		for i := range journal {
			journal[i] = strconv.Itoa(i)
		}
		sink := &recorder{}
		c := r.Start("a", head, journal, "p0", sink)
		c.Finish("stop")
		time.Sleep(time.Second)
		r.Close()
		j, _ := n.stores["p0"].Fetch(time.Now(), "a")
		if acknowledged, lost := sink.state(); acknowledged != 500_000 || lost != "" || !slices.Equal(j.Tokens, journal) || !j.Finished {
			t.Fatalf("acknowledged %d, lost %q, stored %d, finished %v", acknowledged, lost, len(j.Tokens), j.Finished)
		}
		for i, b := range n.batches {
			if size := proto.Size(b); size > 2*maxBatchBytes {
				t.Errorf("message %d has %d bytes", i, size)
			}
		}
	})
}

// Guards against an acknowledged token that is missing from the copy or stored at
// another index, under random timeouts, delays and replaced peers.
func TestAcknowledgedTokensAreStored(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

// runFaults appends tokens to generations, which move to the next peer when their copy
// is lost, and injects faults meanwhile.
func runFaults(t *testing.T, random *rand.Rand) {
	n := newNetwork()
	r := n.replicator()
	defer r.Close()
	type generation struct {
		id      ident.GenerationID
		journal []string
		peer    int // counter; the index of the peer is its remainder modulo 3
		copy    *Copy
		sink    *recorder
	}
	peerOf := func(g *generation) ident.HostID { return ident.HostID(fmt.Sprintf("p%d", g.peer%3)) }
	var all []*generation
	for i := range 20 {
		all = append(all, &generation{id: ident.GenerationID(fmt.Sprint("g", i)), peer: i})
	}
	for range 400 {
		g := all[random.IntN(len(all))]
		g.journal = append(g.journal, fmt.Sprintf("%s-%d ", g.id, len(g.journal)))
		if g.copy == nil || !g.copy.Append(g.journal[len(g.journal)-1]) {
			g.peer++
			g.sink = &recorder{}
			g.copy = r.Start(g.id, head, g.journal, peerOf(g), g.sink)
		}
		n.change(func() {
			switch random.IntN(30) {
			case 0:
				n.silent["p0"] = !n.silent["p0"]
			case 1:
				n.silent["p1"] = !n.silent["p1"]
			case 2:
				n.stores["p2"] = NewStore(1<<20, time.Hour)
			case 3:
				n.delay = time.Duration(random.IntN(70)) * time.Millisecond
			}
		})
		time.Sleep(time.Duration(random.IntN(4000)) * time.Microsecond)
	}
	n.change(func() {
		clear(n.silent)
		n.delay = time.Millisecond
	})
	time.Sleep(time.Second)
	for _, g := range all {
		if g.copy == nil {
			continue
		}
		acknowledged, lost := g.sink.state()
		if lost != "" {
			continue
		}
		j, _ := n.stores[peerOf(g)].Fetch(time.Now(), g.id)
		replaced := peerOf(g) == "p2" // p2 may have been replaced after its last update, so that the loss was not detected
		if acknowledged != int64(len(g.journal)) || !replaced && !slices.Equal(j.Tokens, g.journal) {
			t.Errorf("%s: acknowledged %d of %d tokens, stored %d", g.id, acknowledged, len(g.journal), len(j.Tokens))
		}
	}
}
