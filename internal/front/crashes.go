package front

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Every node keeps all crashes of servers that requests may have caused, and which of their
// content was answered. Peers announce both by datagram, and a node whose evidence differs
// from that of a peer fetches it. The reader writes the crashes that may count against
// content to the store, with the answers, since all nodes may end at once: each node reads
// them there at its start. Crashes never pass from host to host without the answers: sound
// content that many requests share would be refused by all nodes, and could not be answered
// again.

const (
	// crashFetchDelay is how long a node that keeps fewer crashes than a peer waits for the
	// datagrams that report them, before it fetches them. Datagrams may be lost, and a node
	// that has just started has received none.
	crashFetchDelay = 100 * time.Millisecond
	// crashCompareDelay replaces crashFetchDelay if the peer keeps as many crashes and this
	// node has run for some time.
	crashCompareDelay = 2 * time.Second
	// crashFetchInterval is the minimum time between two requests for crashes.
	crashFetchInterval = time.Second
	// crashWriteInterval is the minimum time between two writes of the crashes to the
	// store, and crashWriteTimeout bounds one.
	crashWriteInterval = 500 * time.Millisecond
	crashWriteTimeout  = 2 * time.Second
	// crashesKey is the key of the row that holds the crashes.
	crashesKey = "crashes"
)

// crashRow is the value of the row that holds the crashes. Their ages count from
// WrittenMs, in Unix milliseconds. Clocks of hosts differ by seconds at most, and crashes
// count for minutes.
type crashRow struct {
	WrittenMs int64               `json:"written_ms"`
	Evidence  crashcause.Evidence `json:"evidence"`
}

// storeCrashes writes the crashes to the store when there are new ones or their content was
// answered since, if this node is the reader.
func (n *Node) storeCrashes(ctx context.Context) {
	every(ctx, crashWriteInterval, func(now time.Time) {
		if n.crashes.Len(now) == 0 || !n.isReader(now) {
			return
		}
		e := n.crashes.Suspicious(now)
		if e.Digest() == n.crashesStored.Load() {
			return
		}
		if err := n.writeCrashes(ctx, now, e); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableCrashes}, "cannot write the crashes of servers to the store, retrying")
			return
		}
		n.crashesStored.Store(e.Digest())
	})
}

func (n *Node) writeCrashes(ctx context.Context, now time.Time, e crashcause.Evidence) error {
	raw, err := json.Marshal(crashRow{WrittenMs: now.UnixMilli(), Evidence: e})
	if err != nil {
		panic(err) // the row always encodes
	}
	ctx, cancel := context.WithTimeout(ctx, crashWriteTimeout)
	defer cancel()
	return n.store.Put(ctx, TableCrashes, crashesKey, raw)
}

// loadCrashes adds the crashes that the store holds to those of this node.
func (n *Node) loadCrashes(ctx context.Context) error {
	rows, err := n.store.List(ctx, TableCrashes)
	if err != nil {
		return err
	}
	n.crashesStored.Store(0)
	for _, r := range rows.Rows {
		var row crashRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventPeerState, err, logrus.Fields{"table": TableCrashes}, "cannot decode the crashes in the store")
			continue
		}
		now := time.Now()
		n.mergeCrashes(now, row.Evidence.Older(now.Sub(time.UnixMilli(row.WrittenMs))), "store")
	}
	return nil
}

// compareCrashes fetches the evidence of a peer if it differs from that of this node: the
// peer may keep crashes that this node lacks, or know that content was answered.
func (n *Node) compareCrashes(m mesh.Member) {
	if !n.crashesDiffer(m) || !n.fetchingCrashes.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetchingCrashes.Store(false)
		time.Sleep(n.crashFetchDelay(m))
		alive := n.mesh.Alive(time.Now())
		i := slices.IndexFunc(alive, func(x mesh.Member) bool { return x.Host == m.Host })
		if i < 0 || !n.crashesDiffer(alive[i]) {
			return
		}
		n.readPeerCrashes(context.Background(), alive[i])
		time.Sleep(crashFetchInterval)
	}()
}

// crashesDiffer reports whether a peer may have evidence that this node lacks. A peer that
// keeps fewer crashes fetches those of this node first. Peers of earlier builds tell only the
// number of their crashes: one that keeps as many may know answers that this node lacks, so
// it is asked once.
func (n *Node) crashesDiffer(m mesh.Member) bool {
	now := time.Now()
	kept := n.crashes.Len(now)
	if m.CrashesDigest == 0 && m.Crashes > 0 {
		return m.Crashes > kept || n.crashesRead.isNew(m)
	}
	return m.Crashes > 0 && m.Crashes >= kept && m.CrashesDigest != n.crashes.Digest(now)
}

// crashFetchDelay returns how long this node waits for datagrams before it fetches the
// evidence of a peer. If both keep as many crashes, either may lack something. Most often
// that is a node that has just started; all others would ask it at the same moment.
func (n *Node) crashFetchDelay(m mesh.Member) time.Duration {
	now := time.Now()
	if m.Crashes > n.crashes.Len(now) || now.Sub(n.started) < settledAfter {
		return crashFetchDelay
	}
	return crashCompareDelay
}

// readIncarnations are the incarnations of peers whose evidence was read.
type readIncarnations struct {
	mu    sync.Mutex
	hosts map[ident.HostID]ident.Incarnation // guarded by mu
}

func (r *readIncarnations) isNew(m mesh.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[m.Host] != m.Incarnation
}

func (r *readIncarnations) add(m mesh.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hosts == nil {
		r.hosts = map[ident.HostID]ident.Incarnation{}
	}
	r.hosts[m.Host] = m.Incarnation
}

// readPeerCrashes adds the evidence that a peer keeps to that of this node.
func (n *Node) readPeerCrashes(ctx context.Context, m mesh.Member) {
	doc, err := n.peerState(ctx, m.Mesh, "crashes")
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventPeerCallFailed, err, logrus.Fields{telemetry.FieldPeer: m.Host}, "cannot fetch the crashes that a peer keeps")
		return
	}
	n.mergeCrashes(time.Now(), doc.Crashes, string(m.Host))
	n.crashesRead.add(m)
}

// mergeCrashes adds evidence from the store or a peer to that of this node.
func (n *Node) mergeCrashes(now time.Time, e crashcause.Evidence, from string) {
	before := n.crashes.Len(now)
	n.crashes.Merge(now, e)
	n.log.Log(logrus.InfoLevel, telemetry.EventCrashEvidence, logrus.Fields{
		"from": from, "crashes": len(e.Crashes), "answered": len(e.Answered), "new": n.crashes.Len(now) - before,
	}, "evidence on crashes of backend servers received")
}
