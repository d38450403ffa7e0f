package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// streamStore is a store that holds the table of streams. Calls for which fail reports true
// are not answered.
type streamStore struct {
	Store
	rows  map[string][]byte
	reads map[string]int // of each row
	calls int
	fail  func(call int) bool
}

var errLinkBusy = errors.New("the link is busy")

func newStreamStore(fail func(call int) bool) *streamStore {
	return &streamStore{rows: map[string][]byte{}, reads: map[string]int{}, fail: fail}
}

func (s *streamStore) ListPage(_ context.Context, _ Table, from string, limit int) (page Rows, next string, err error) {
	var keys []string
	for k := range s.rows {
		if k >= from {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if len(keys) > limit {
		keys, next = keys[:limit], keys[limit]
	}
	if s.calls++; s.fail(s.calls) {
		return Rows{}, "", errLinkBusy
	}
	for _, k := range keys {
		s.reads[k]++
		page.Rows = append(page.Rows, Row{Key: k, Value: s.rows[k]})
	}
	return page, next, nil
}

func (s *streamStore) Put(_ context.Context, _ Table, key string, value []byte) error {
	if s.calls++; s.fail(s.calls) {
		return errLinkBusy
	}
	s.rows[key] = value
	return nil
}

func never(int) bool { return false }

func versionsNode(store Store) *Node {
	n := &Node{
		settings: Settings{Host: "self"}, store: store, fleet: fleet.New("self", time.Now()), servers: &follower{},
		log: telemetry.NewEventLog(telemetry.NewLogger(io.Discard, "error", "h", "d")),
	}
	n.streamReading.turn = make(chan struct{}, 1)
	return n
}

func streamRecord(i int) streamversion.Record {
	return streamversion.Record{Key: streamversion.KeyOf(ident.RequestID(fmt.Sprint("r-", i)), "t", nil), Version: "v" + strconv.Itoa(i%2)}
}

// Guards against nodes that never learn which versions began the streams of all nodes that
// have ended: on a narrow link the whole table does not arrive within the time of one call,
// and each further call begins anew.
func TestVersionsAreReadInPartsOverNarrowLink(t *testing.T) {
	store := newStreamStore(func(call int) bool { return call%2 == 0 })
	const rowCount, perRow = 120, 20
	for i := range rowCount {
		row := streamRow{WrittenMs: time.Now().UnixMilli()}
		for j := range perRow {
			row.Streams = append(row.Streams, streamRecord(i*perRow+j))
		}
		store.rows[strconv.Itoa(i)], _ = json.Marshal(row)
	}
	store.rows[historyKey], _ = json.Marshal(streamRow{WrittenMs: time.Now().UnixMilli(), History: streamversion.Snapshot{"s": {"v0": 0, "v1": 0}}})
	n := versionsNode(store)
	for range rowCount {
		if n.loadStreams(context.Background()) == nil {
			break
		}
	}
	for i := range rowCount * perRow {
		x := streamRecord(i)
		if v, ok := n.streams.Version(time.Now(), x.Key); !ok || v != x.Version {
			t.Fatalf("version of stream %d: %q, known %t", i, v, ok)
		}
	}
	for key, count := range store.reads {
		if count > 1 && key != historyKey {
			t.Errorf("row %s was read %d times", key, count)
		}
	}
	if !n.versions.Complete() {
		t.Error("the history was not read")
	}
	if again := n.streams.Unstored(time.Now(), maxStreamsPerRow); len(again) > 0 {
		t.Errorf("%d streams that were read from the store are to be written to it again", len(again))
	}
}

// Guards against streams that cannot be taken up because they began shortly before all nodes
// ended, and against rows whose number grows with that of the writes.
func TestVersionsAreStoredSoonAndInFewRows(t *testing.T) {
	if streamWriteInterval > 100*time.Millisecond {
		t.Errorf("new streams are written each %v", streamWriteInterval)
	}
	store := newStreamStore(func(call int) bool { return call%5 == 4 })
	n := versionsNode(store)
	mixed := streamversion.Snapshot{"s": {"v0": 0, "v1": 0}}
	n.historyStored.Store(&mixed)
	start := time.UnixMilli(1_700_000_000_000)
	var open openRow
	const writes = 50
	for i := range writes {
		now := start.Add(time.Duration(i) * streamWriteInterval)
		n.streams.Add(now, streamRecord(i))
		_ = n.writeStreams(context.Background(), now, mixed, &open)
	}
	end := start.Add(writes * streamWriteInterval)
	_ = n.writeStreams(context.Background(), end, mixed, &open)
	span := int(end.Sub(start)/streamRowSpan) + 1
	if len(store.rows) > span {
		t.Errorf("%d rows for %d spans", len(store.rows), span)
	}
	ages := map[streamversion.Key]time.Time{}
	for _, raw := range store.rows {
		var row streamRow
		if err := json.Unmarshal(raw, &row); err != nil {
			t.Fatal(err)
		}
		for _, x := range row.Streams {
			ages[x.Key] = time.UnixMilli(row.WrittenMs).Add(-time.Duration(x.AgeMs) * time.Millisecond)
		}
	}
	for i := range writes {
		began := start.Add(time.Duration(i) * streamWriteInterval)
		if at, ok := ages[streamRecord(i).Key]; !ok || !at.Equal(began) {
			t.Errorf("stream %d began at %v, the store says %v (known %t)", i, began, at, ok)
		}
	}
}

// Guards against a row that exceeds what the store accepts.
func TestRowOfStreamsIsBounded(t *testing.T) {
	store := newStreamStore(never)
	n := versionsNode(store)
	mixed := streamversion.Snapshot{"s": {"v0": 0, "v1": 0}}
	n.historyStored.Store(&mixed)
	start := time.UnixMilli(1_700_000_000_000)
	for i := range 3 * maxStreamsPerRow {
		n.streams.Add(start, streamRecord(i))
	}
	var open openRow
	for i := range 4 * int(streamRowSpan/streamWriteInterval) {
		if err := n.writeStreams(context.Background(), start.Add(time.Duration(i)*streamWriteInterval), mixed, &open); err != nil {
			t.Fatal(err)
		}
	}
	total := 0
	for key, raw := range store.rows {
		var row streamRow
		if err := json.Unmarshal(raw, &row); err != nil {
			t.Fatal(err)
		}
		if len(row.Streams) > maxStreamsPerRow {
			t.Errorf("%d streams in row %s", len(row.Streams), key)
		}
		total += len(row.Streams)
	}
	if total != 3*maxStreamsPerRow {
		t.Errorf("%d of %d streams are stored", total, 3*maxStreamsPerRow)
	}
}

// Guards against new streams that wait behind those that the writer before has stored: if all
// nodes end soon after the writer has changed, they cannot be taken up.
func TestNewStreamsAreStoredAtOnceAfterChangeOfWriter(t *testing.T) {
	store := newStreamStore(never)
	n := versionsNode(store)
	mixed := streamversion.Snapshot{"s": {"v0": 0, "v1": 0}}
	n.historyStored.Store(&mixed)
	start := time.UnixMilli(1_700_000_000_000)
	const backlog = 3000
	for i := range backlog {
		n.streams.Add(start.Add(time.Duration(i-backlog)*20*time.Millisecond), streamRecord(i))
	}
	var open openRow
	stored := func(x streamversion.Record) bool {
		for _, raw := range store.rows {
			var row streamRow
			if err := json.Unmarshal(raw, &row); err != nil {
				t.Fatal(err)
			}
			if slices.ContainsFunc(row.Streams, func(y streamversion.Record) bool { return y.Key == x.Key }) {
				return true
			}
		}
		return false
	}
	for i := range 20 {
		now := start.Add(time.Duration(i) * streamWriteInterval)
		x := streamRecord(backlog + i)
		n.streams.Add(now, x)
		if err := n.writeStreams(context.Background(), now, mixed, &open); err != nil {
			t.Fatal(err)
		}
		if !stored(x) {
			t.Fatalf("stream %d that has just begun is not stored", i)
		}
	}
}
