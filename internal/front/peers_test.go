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
	apply := func(p ident.StorePosition, servers ...fleet.Entry) {
		n.applyPeerServers(stateDocument{Servers: servers, Position: p})
	}
	apply(position(1, 20), entry("a"), entry("new"))
	apply(position(1, 15), entry("a"), entry("left"))
	if n.fleet.Server("left") != nil || n.fleet.Server("new") == nil {
		t.Errorf("an older list was applied: %v", n.fleet.IDs())
	}
	apply(position(1, 25), entry("a"))
	if n.fleet.Server("new") != nil || n.servers.position.Load() != position(1, 25) {
		t.Errorf("a newer list was ignored: %v at %v", n.fleet.IDs(), n.servers.position.Load())
	}
	apply(position(2, 10), entry("a"), entry("b"))
	if n.fleet.Server("b") == nil {
		t.Errorf("a list of a later era was ignored because its revision is lower: %v", n.fleet.IDs())
	}
}
