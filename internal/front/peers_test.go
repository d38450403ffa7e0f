package front

import (
	"io"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
	"time"
)

// Guards against applying a peer's list of servers that is older than this node's:
// it would restore servers that left and drop servers that have just joined.
func TestOlderServerListOfPeer(t *testing.T) {
	entry := func(id string) fleet.Entry {
		return fleet.Entry{ID: ident.BackendID(id), Incarnation: 1, Service: "s", Address: id + ":1", Sequence: 1}
	}
	n := &Node{
		fleet: fleet.New("self", time.Now()), servers: &follower{},
		log: telemetry.NewEventLog(telemetry.NewLogger(io.Discard, "error", "h", "d")),
	}
	n.applyPeerServers([]fleet.Entry{entry("a"), entry("new")}, position(1, 20))
	n.applyPeerServers([]fleet.Entry{entry("a"), entry("left")}, position(1, 15))
	if n.fleet.Server("left") != nil || n.fleet.Server("new") == nil {
		t.Errorf("an older list was applied: %v", n.fleet.IDs())
	}
	n.applyPeerServers([]fleet.Entry{entry("a")}, position(1, 25))
	if n.fleet.Server("new") != nil || n.servers.position.Load() != position(1, 25) {
		t.Errorf("a newer list was ignored: %v at %v", n.fleet.IDs(), n.servers.position.Load())
	}
	n.applyPeerServers([]fleet.Entry{entry("a"), entry("b")}, position(2, 10))
	if n.fleet.Server("b") == nil {
		t.Errorf("a list of a later era was ignored because its revision is lower: %v", n.fleet.IDs())
	}
}
