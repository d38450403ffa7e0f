package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// The version that began a stream is announced to all nodes before the client has the first
// event, and a node that missed the datagram or has just started asks its peers. All nodes
// may end at once, so while a service has several versions the reader writes the versions
// of new streams to the store, and which versions there were lately; each node reads them at
// its start.

const (
	// originPeers is the number of peers that are asked for a version, and originTimeout how
	// long their answers are awaited. Few datagrams are lost, and a round trip takes a few
	// milliseconds.
	originPeers   = 3
	originTimeout = 60 * time.Millisecond
	// streamWriteInterval is the minimum time between two writes of versions to the store,
	// and streamWriteTimeout bounds one. streamReadTimeout bounds the read at the start.
	streamWriteInterval = 500 * time.Millisecond
	streamWriteTimeout  = 2 * time.Second
	streamReadTimeout   = 400 * time.Millisecond
	// maxStreamsPerRow keeps a row below the size that the store accepts.
	maxStreamsPerRow = 300
	// streamRows is the number of rows with streams, which are written in turn: those of
	// the last two minutes.
	streamRows = 240
	// historyKey is the key of the row that holds the versions that services had lately.
	historyKey = "history"
)

// streamRow is a row with the versions of streams, or with the history. Ages count from
// WrittenMs, in Unix milliseconds. Clocks of hosts differ by seconds at most.
type streamRow struct {
	WrittenMs int64                  `json:"written_ms"`
	Streams   []streamversion.Record `json:"streams,omitempty"`
	History   streamversion.Snapshot `json:"history,omitempty"`
}

// Began implements gateway.StreamVersions.
func (n *Node) Began(now time.Time, x streamversion.Record) { n.streams.Add(now, x) }

// Sole implements gateway.StreamVersions. A node that is out of step does not know whether
// servers of another version have joined.
func (n *Node) Sole(now time.Time, service string) (version string, ok bool) {
	if !n.inStep(now) {
		return "", false
	}
	n.versions.Update(now, n.fleet.Versions())
	return n.versions.Sole(now, service)
}

// Version implements gateway.StreamVersions.
func (n *Node) Version(ctx context.Context, service string, k streamversion.Key) (version string, known bool) {
	now := time.Now()
	n.streams.Resolve(n.fleet.KnownVersion)
	if version, known := n.streams.Version(now, k); known {
		return version, version != streamversion.Unknown
	}
	if sole, ok := n.Sole(now, service); ok {
		return sole, true
	}
	version = n.askOrigin(ctx, k)
	if version != "" {
		n.streams.Add(time.Now(), streamversion.Record{Key: k, Version: version})
	}
	return version, version != ""
}

// askOrigin asks some peers which version began a stream, and returns nothing if none knows.
func (n *Node) askOrigin(ctx context.Context, k streamversion.Key) string {
	peers := n.mesh.Alive(time.Now())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), originPeers)]
	answers := make(chan mesh.OriginAnswer, originPeers)
	for _, p := range peers {
		number := n.origins.add(answers)
		defer n.origins.close(number)
		n.mesh.AskOrigin(p, mesh.OriginRequest{Number: number, Key: k})
	}
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	for range peers {
		select {
		case a := <-answers:
			if a.Version != "" {
				return a.Version
			}
		case <-timeout.C:
			return ""
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

// onOriginAnswer handles the answer of a peer. An answer after the timeout is ignored.
func (n *Node) onOriginAnswer(x mesh.OriginAnswer) {
	if answer := n.origins.close(x.Number); answer != nil {
		answer <- x
	}
}

// knownVersion returns the version that began a stream for a peer, or nothing.
func (n *Node) knownVersion(now time.Time, k streamversion.Key) string {
	n.streams.Resolve(n.fleet.KnownVersion)
	version, _ := n.streams.Version(now, k)
	if version == streamversion.Unknown {
		return ""
	}
	return version
}

// storeStreams writes the versions of streams to the store while a service has several, if
// this node is the reader.
func (n *Node) storeStreams(ctx context.Context) {
	every(ctx, streamWriteInterval, func(now time.Time) {
		n.versions.Update(now, n.fleet.Versions())
		n.streams.Resolve(n.fleet.KnownVersion)
		if !n.isReader(now) {
			return
		}
		if err := n.writeStreams(ctx, now); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableStreams}, "cannot write the versions of streams to the store, retrying")
		}
	})
}

// writeStreams writes the history if it has changed, and one row of streams if a service
// has several versions.
func (n *Node) writeStreams(ctx context.Context, now time.Time) error {
	history := n.versions.SnapshotOf(now, n.fleet.Versions())
	// A node that does not know what was before its start would make the others forget it.
	if stored := n.historyStored.Load(); n.versions.Complete() && (stored == nil || !history.SameVersions(*stored)) {
		if err := n.writeStreamRow(ctx, historyKey, streamRow{WrittenMs: now.UnixMilli(), History: history}); err != nil {
			return err
		}
		n.historyStored.Store(&history)
	}
	if !history.Mixed() {
		return nil
	}
	records, count := n.streams.Unstored(now, maxStreamsPerRow)
	if len(records) > 0 {
		slot := now.UnixMilli() / streamWriteInterval.Milliseconds() % streamRows
		if err := n.writeStreamRow(ctx, strconv.FormatInt(slot, 10), streamRow{WrittenMs: now.UnixMilli(), Streams: records}); err != nil {
			return err
		}
	}
	n.streams.MarkStored(count)
	return nil
}

func (n *Node) writeStreamRow(ctx context.Context, key string, row streamRow) error {
	raw, err := json.Marshal(row)
	if err != nil {
		panic(err) // the row always encodes
	}
	ctx, cancel := context.WithTimeout(ctx, streamWriteTimeout)
	defer cancel()
	return n.store.Put(ctx, TableStreams, key, raw)
}

// loadStreamsAtStart reads the versions of streams before the node serves clients, which may
// return with streams that other nodes began.
func (n *Node) loadStreamsAtStart() {
	if err := n.loadStreams(context.Background()); err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableStreams}, "cannot read the versions of streams from the store, retrying")
		return
	}
	n.streamsLoaded.Store(true)
}

// loadStreams reads the versions of streams that the store holds. Without an answer the
// versions of streams that began before the start of this node are not known, unless a
// peer knows them.
func (n *Node) loadStreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, streamReadTimeout)
	defer cancel()
	rows, err := n.store.List(ctx, TableStreams)
	if err != nil {
		return err
	}
	now := time.Now()
	history, age := streamversion.Snapshot(nil), time.Duration(0)
	for _, r := range rows.Rows {
		var row streamRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventPeerState, err, logrus.Fields{"table": TableStreams}, "cannot decode the versions of streams in the store")
			continue
		}
		written := max(0, now.Sub(time.UnixMilli(row.WrittenMs)))
		if r.Key == historyKey {
			history, age = row.History, written
			n.historyStored.Store(&history)
		}
		for _, x := range row.Streams {
			x.AgeMs += written.Milliseconds()
			n.streams.Add(now, x)
		}
	}
	n.versions.Load(now, history, age)
	return nil
}
