package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/ring"
)

// Sizes of the messages and queues of a Replicator.
const (
	// RingCapacity is the maximum number of copies in the ring of one peer's worker.
	RingCapacity = 8192
	// maxBatchBytes is the size from which on no more updates are added to a batch,
	// so that one large journal does not delay the tokens of all others beyond the
	// acknowledgement timeout.
	maxBatchBytes = 1 << 20
	// maxUpdateBytes is the maximum size of one update. A larger request body, or a
	// larger token, is sent whole.
	maxUpdateBytes = 256 << 10
	// updateOverheadBytes and tokenOverheadBytes are the encoded sizes of an update
	// and of a token without their texts, rounded up.
	updateOverheadBytes = 64
	tokenOverheadBytes  = 2
	// timePerByte extends the acknowledgement timeout of a batch by the time that
	// a link of 100 MB/s needs to transfer it.
	timePerByte = 10 * time.Nanosecond
	// maxReusedTokens is the largest capacity, in tokens, of a slice that is kept
	// for reuse.
	maxReusedTokens = 1024
)

// Stream carries batches to one peer and acknowledgements back.
type Stream interface {
	Send(*nodepb.JournalBatch) error
	Recv() (*nodepb.JournalAck, error)
}

// Options configures a Replicator.
type Options struct {
	Self *nodepb.Sender
	// FlushInterval is the minimum time between the starts of two batches to one peer.
	FlushInterval time.Duration
	// AcknowledgeTimeout is the time from the start of a batch, including opening
	// the stream, after which the peer counts as unreachable. It is extended for
	// large batches, see timePerByte.
	AcknowledgeTimeout time.Duration
	// Open opens a stream to a peer. The stream ends when ctx is done.
	Open func(ctx context.Context, peer ident.HostID) (Stream, error)
	// Report, if set, is called once for each batch that failed. Batches that fail
	// because the worker is stopped are not reported.
	Report func(peer ident.HostID, err error)
}

// Replicator sends copies of this node's journals to other nodes. One worker per
// peer sends the changes of all generations in batches. It sends the next batch
// once the flush interval has passed and the previous batch is acknowledged. A
// Replicator may be used by any number of goroutines.
type Replicator struct {
	options Options
	copyIDs atomic.Int64
	stats   counters

	mu    sync.Mutex
	peers map[ident.HostID]*peerWorker // guarded by mu; nil after Close
	done  sync.WaitGroup
}

// Stats are the counters of a Replicator since its start.
type Stats struct {
	Batches, Updates, Tokens uint64
	// Bytes is the size of the batches without framing, accurate to a few bytes
	// per update.
	Bytes uint64
	// Lost is the number of lost copies; Overflows is the number of those lost because
	// the ring was full.
	Lost, Overflows uint64
}

type counters struct {
	batches, updates, tokens, bytes, lost, overflows atomic.Uint64
}

// NewReplicator returns a replicator without workers.
func NewReplicator(options Options) *Replicator {
	return &Replicator{options: options, peers: map[ident.HostID]*peerWorker{}}
}

// Start begins a copy of a generation on the peer host, with the tokens produced
// so far. The head must not be modified afterwards. The sink receives
// Acknowledged(len(tokens)) once the peer has them all. Start returns nil if the
// peer's ring is full or the replicator is closed; the sink is then not called.
func (r *Replicator) Start(generation ident.GenerationID, head *nodepb.JournalHead, tokens []string, host ident.HostID, sink Sink) *Copy {
	p := r.worker(host)
	if p == nil {
		return nil
	}
	c := &Copy{peer: p, generation: string(generation), id: r.copyIDs.Add(1), sink: sink, head: head}
	if !c.Append(tokens...) {
		return nil
	}
	return c
}

// Retain stops the workers of all peers that are not in hosts. Idle copies on
// these peers are lost at their next change.
func (r *Replicator) Retain(hosts map[ident.HostID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, p := range r.peers {
		if !hosts[host] {
			p.stop()
			delete(r.peers, host)
		}
	}
}

// Close stops all workers and waits for them.
func (r *Replicator) Close() {
	r.Retain(nil)
	r.mu.Lock()
	r.peers = nil
	r.mu.Unlock()
	r.done.Wait()
}

// Stats returns a snapshot of the counters.
func (r *Replicator) Stats() Stats {
	return Stats{
		Batches: r.stats.batches.Load(), Updates: r.stats.updates.Load(), Tokens: r.stats.tokens.Load(),
		Bytes: r.stats.bytes.Load(), Lost: r.stats.lost.Load(), Overflows: r.stats.overflows.Load(),
	}
}

// worker returns the worker of a peer and starts it on first use. It returns nil
// after Close.
func (r *Replicator) worker(host ident.HostID) *peerWorker {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers == nil {
		return nil
	}
	p := r.peers[host]
	if p == nil {
		ctx, cancel := context.WithCancel(context.Background())
		p = &peerWorker{host: host, options: &r.options, stats: &r.stats, ring: ring.New[*Copy](RingCapacity), cancel: cancel}
		p.batch.Sender = r.options.Self
		r.peers[host] = p
		r.done.Go(func() { p.run(ctx) })
	}
	return p
}
