package front

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// announcements records the changes that a node sends.
type announcements struct {
	peerMesh
	rows []mesh.ServerChange
}

func (a *announcements) Alive(time.Time) []mesh.Member { return nil }
func (a *announcements) Announce()                     {}
func (a *announcements) AnnounceServerChanges(_, _ ident.StorePosition, rows []mesh.ServerChange) {
	a.rows = append(a.rows, rows...)
}

// readerNode returns a node that is the reader and lists one server, read up to position 10.
func readerNode() (*Node, *announcements) {
	sent := &announcements{}
	n := &Node{
		mesh: sent, fleet: fleet.New("self", time.Now()), decoder: modelDecoder{}, servers: &follower{table: TableServers},
		log: telemetry.NewEventLog(telemetry.NewLogger(io.Discard, "error", "h", "d")),
	}
	n.servers.replace, n.servers.apply = n.replaceServers, n.applyServers
	n.serversLoaded.Store(true)
	n.servers.install(Rows{Rows: []Row{serverRow("a", 5, 1)}, Position: position(1, 10)}, true, false)
	sent.rows = nil
	return n, sent
}

func serverRow(id string, version, sequence int64) Row {
	raw, err := json.Marshal(fleet.Entry{ID: ident.BackendID(id), Incarnation: 1, Service: "s", Address: id + ":1", Version: "v1", Sequence: sequence})
	if err != nil {
		panic(err) // an entry can always be encoded
	}
	return Row{Key: id, Value: raw, Version: version}
}

// Guards against a reader that does not tell the removal of a server that it did not know:
// the others kept sending requests to it.
func TestRemovalOfUnknownServerIsTold(t *testing.T) {
	n, sent := readerNode()
	n.servers.install(Rows{Rows: []Row{{Key: "b", Removed: true, Version: 12}}, Position: position(1, 13)}, false, false)
	if len(sent.rows) != 1 || sent.rows[0].Removed != "b" {
		t.Errorf("told: %v", sent.rows)
	}
	if got := n.serversChanged.Load(); got != position(1, 12) {
		t.Errorf("the latest change is at %v", got)
	}
}

// Guards against a full listing that is sent as the changes between two positions: it does
// not tell which servers were removed, and the others did not read them themselves.
func TestFullListingIsNotSentAsChanges(t *testing.T) {
	n, sent := readerNode()
	n.servers.install(Rows{Rows: []Row{serverRow("c", 20, 1)}, Position: position(1, 25)}, true, false)
	if len(sent.rows) > 0 {
		t.Errorf("told: %v", sent.rows)
	}
	if got := n.serversChanged.Load(); got != position(1, 25) {
		t.Errorf("the latest change is at %v, so that peers do not read the removal", got)
	}
}

// Guards against a removal that undoes the return of a server: the answer to a call holds
// both, and the node has taken the return from a peer while the call was in progress.
func TestAnswerOverlapsChangesOfPeer(t *testing.T) {
	n, _ := readerNode()
	raw := serverRow("a", 14, 2)
	e, err := modelDecoder{}.DecodeEntry("a", raw.Value)
	if err != nil {
		t.Fatal(err)
	}
	n.onServerChanges(mesh.ServerChanges{From: position(1, 10), To: position(1, 14), Parts: 1, Rows: []mesh.ServerChange{{Server: e}}})
	n.servers.install(Rows{Rows: []Row{{Key: "a", Removed: true, Version: 12}, raw}, Position: position(1, 15)}, false, false)
	if n.fleet.Server("a") == nil {
		t.Error("the server is missing")
	}
}

// Guards against an outage that a node does not notice because it called the store too rarely:
// it dropped the servers whose entries had lapsed.
func TestOutageThatAPeerTells(t *testing.T) {
	n, _ := readerNode()
	n.noteLapse(time.Now(), mesh.Member{LapseMs: 100})
	n.servers.install(Rows{Rows: []Row{{Key: "a", Removed: true, Version: 12}}, Position: position(1, 13)}, false, false)
	if s := n.fleet.Server("a"); s == nil {
		t.Error("the server was dropped although a peer has told of the outage")
	}
	if n.lapseMs(time.Now()) == 0 {
		t.Error("the outage is not told on")
	}
}
