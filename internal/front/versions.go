package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
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
	// and streamWriteTimeout bounds one. Streams that begin within it before all hosts end
	// cannot be taken up.
	streamWriteInterval = 100 * time.Millisecond
	streamWriteTimeout  = 2 * time.Second
	// streamRowSpan is the time whose new streams one row holds. It is written again with
	// each write in this time, so that the number of rows that a node reads stays small.
	streamRowSpan = 500 * time.Millisecond
	// streamsAtStart bounds the time for which a node that starts waits for the versions of
	// streams. It reads the rest while it serves.
	streamsAtStart = 400 * time.Millisecond
	// streamPageRows is the number of rows that are read at once, and streamPageTimeout the
	// time for that: full rows are 0.9 MB, which a link of 10 Mbit/s carries in 0.7 s.
	streamPageRows    = 30
	streamPageTimeout = 2 * time.Second
	// maxStreamsPerRow keeps a row below the size that the store accepts, and
	// maxStreamsPerWrite leaves room for the streams that begin later in the span of the row.
	maxStreamsPerRow   = 300
	maxStreamsPerWrite = maxStreamsPerRow * int(streamWriteInterval) / int(streamRowSpan)
	// streamRows is the number of rows with streams, which are written in turn: those of
	// the last minute. Clients return sooner.
	streamRows = 120
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

// openRow is the row to which the versions of new streams are added during streamRowSpan.
type openRow struct {
	number  int64 // of the row; rows are written in turn
	streams []streamversion.Record
	written time.Time // the ages of streams count from here
}

// at returns the row that is open at a time: another one, still empty, once the span of the
// one before has passed.
func (o openRow) at(now time.Time) openRow {
	if number := now.UnixMilli() / streamRowSpan.Milliseconds() % streamRows; number != o.number {
		o = openRow{number: number}
	}
	older := now.Sub(o.written).Milliseconds()
	streams := slices.Clone(o.streams)
	for i := range streams {
		streams[i].AgeMs += older
	}
	return openRow{o.number, streams, now}
}

// room returns the number of streams that may be added in one write.
func (o openRow) room() int { return min(maxStreamsPerWrite, maxStreamsPerRow-len(o.streams)) }

// storeStreams writes the versions of streams to the store while a service has several, if
// this node is the reader.
func (n *Node) storeStreams(ctx context.Context) {
	var open openRow
	var fast bool // streams are written at each interval
	var updated time.Time
	every(ctx, streamWriteInterval, func(now time.Time) {
		// The versions of servers change with the list, every second or so.
		if !fast && now.Sub(updated) < streamRowSpan {
			return
		}
		updated = now
		n.versions.Update(now, n.fleet.Versions())
		n.streams.Resolve(n.fleet.KnownVersion)
		if fast = n.isReader(now); !fast {
			return
		}
		history := n.versions.SnapshotOf(now, n.fleet.Versions())
		fast = history.Mixed()
		if err := n.writeStreams(ctx, now, history, &open); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableStreams}, "cannot write the versions of streams to the store, retrying")
		}
	})
}

// writeStreams writes the history if it has changed, and the row of new streams if a service
// has several versions.
func (n *Node) writeStreams(ctx context.Context, now time.Time, history streamversion.Snapshot, open *openRow) error {
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
	row := open.at(now)
	records := n.streams.Unstored(now, row.room())
	if len(records) == 0 {
		return nil
	}
	row.streams = append(row.streams, records...)
	if err := n.writeStreamRow(ctx, strconv.FormatInt(row.number, 10), streamRow{WrittenMs: now.UnixMilli(), Streams: row.streams}); err != nil {
		return err // the records that are not stored yet come again
	}
	*open = row
	n.streams.MarkStored(records)
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

// streamReading is how far a node has read the versions of streams in the store. What was
// read is kept when a call fails: nodes with narrow links need several calls, beside all the
// others that start at the same moment.
type streamReading struct {
	turn    chan struct{} // held by the goroutine that reads; guards the fields below
	history bool          // the history was read
	next    string        // key from which the next page begins
	done    bool
}

// loadStreamsAtStart reads the versions of streams before the node serves clients, which may
// return with streams that other nodes began.
func (n *Node) loadStreamsAtStart() {
	ctx, cancel := context.WithTimeout(context.Background(), streamsAtStart)
	defer cancel()
	if err := n.loadStreams(ctx); err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableStreams}, "cannot read the versions of streams from the store, retrying")
	}
}

// loadStreams reads what was not read yet of the versions of streams that the store holds.
// Without them the versions of streams that began before the start of this node are not
// known, unless a peer knows them.
func (n *Node) loadStreams(ctx context.Context) error {
	r := &n.streamReading
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !r.history {
		if err := n.loadHistory(ctx); err != nil {
			return err
		}
		r.history = true
	}
	for !r.done {
		rows, next, err := n.listStreams(ctx, r.next, streamPageRows)
		if err != nil {
			return err
		}
		n.addStreams(rows)
		r.next, r.done = next, next == ""
	}
	return nil
}

func (n *Node) listStreams(ctx context.Context, from string, limit int) (rows []Row, next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, streamPageTimeout)
	defer cancel()
	page, next, err := n.store.ListPage(ctx, TableStreams, from, limit)
	return page.Rows, next, err
}

// loadHistory reads the versions that services had lately.
func (n *Node) loadHistory(ctx context.Context) error {
	rows, _, err := n.listStreams(ctx, historyKey, 1)
	if err != nil {
		return err
	}
	now := time.Now()
	if len(rows) == 0 || rows[0].Key != historyKey {
		n.versions.Load(now, nil, 0)
		return nil
	}
	row, age := n.decodeStreamRow(now, rows[0])
	n.historyStored.Store(&row.History)
	n.versions.Load(now, row.History, age)
	return nil
}

// addStreams adds the versions of streams in rows of the store.
func (n *Node) addStreams(rows []Row) {
	now := time.Now()
	for _, r := range rows {
		row, age := n.decodeStreamRow(now, r)
		for _, x := range row.Streams {
			x.AgeMs += age.Milliseconds()
			n.streams.AddStored(now, x)
		}
	}
}

// decodeStreamRow decodes a row and returns the time since it was written. A row that cannot
// be decoded is empty.
func (n *Node) decodeStreamRow(now time.Time, r Row) (row streamRow, age time.Duration) {
	if err := json.Unmarshal(r.Value, &row); err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventPeerState, err, logrus.Fields{"table": TableStreams, "key": r.Key}, "cannot decode the versions of streams in the store")
		return streamRow{}, 0
	}
	return row, max(0, now.Sub(time.UnixMilli(row.WrittenMs)))
}
