package front

import (
	"io"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
	"time"
)

// Guards against a peer's list of servers that is older than this node's: it
// would bring back servers that left, and drop those that have just come.
func TestOlderListOfPeer(t *testing.T) {
	entry := func(id string) fleet.Entry {
		return fleet.Entry{ID: ident.BackendID(id), Born: 1, Service: "s", Address: id + ":1", Sequence: 1}
	}
	n := &Node{
		fleet: fleet.New("self", time.Now()), servers: &follower{},
		log: telemetry.NewEventLog(telemetry.NewLogger(io.Discard, "error", "h", "d")),
	}
	n.takeServers([]fleet.Entry{entry("a"), entry("new")}, 20)
	n.takeServers([]fleet.Entry{entry("a"), entry("left")}, 15)
	if n.fleet.Server("left") != nil || n.fleet.Server("new") == nil {
		t.Errorf("an older list was taken over: %v", n.fleet.IDs())
	}
	n.takeServers([]fleet.Entry{entry("a")}, 25)
	if n.fleet.Server("new") != nil || n.servers.revision.Load() != 25 {
		t.Errorf("a newer list was refused: %v at %d", n.fleet.IDs(), n.servers.revision.Load())
	}
}
