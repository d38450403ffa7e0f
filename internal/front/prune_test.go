package front

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against keeping the rows of replaced hosts for ever, and against removing
// the row of this node, or of a node that is only restarting.
func TestStaleRows(t *testing.T) {
	silence := map[ident.HostID]time.Duration{
		"self": time.Hour, "alive": time.Second, "restarting": 9 * time.Minute, "replaced": 10 * time.Minute,
	}
	var rows []Row
	for host := range silence {
		rows = append(rows, Row{Key: string(host)})
	}
	var stale []string
	for _, r := range staleRows(rows, "self", func(h ident.HostID) time.Duration { return silence[h] }) {
		stale = append(stale, r.Key)
	}
	if !slices.Equal(stale, []string{"replaced"}) {
		t.Errorf("stale rows: %v", stale)
	}
}
