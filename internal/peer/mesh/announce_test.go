package mesh

import (
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
)

// Guards against withdrawals that wait with the announcements which only free resources, 2 ms
// for each known host: peers refuse streams because of the withdrawn work until then.
func TestWithdrawnRunIsAnnouncedAtOnce(t *testing.T) {
	m, stop := testMesh(t, "host", freeUDPAddress(t), 1)
	stop() // signals are not consumed any more
	m.RunEnded(fleet.Placement{Run: 1, Server: "a"})
	if len(m.urgent) != 0 {
		t.Error("the end of a run is urgent")
	}
	m.RunNotSent(fleet.Placement{Run: 2, Server: "a"})
	if len(m.urgent) != 1 {
		t.Error("the withdrawal of a run is not urgent")
	}
}
