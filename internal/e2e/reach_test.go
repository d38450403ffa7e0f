//go:build linux

package e2e

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
)

// Guards against changes that are accepted but not in force on every node of an
// undisturbed deployment. It logs how long that takes.
func TestChangesReachNineNodes(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{nodes: 9, engines: 1, noService: true})
	const changes = 100
	times := make([]time.Duration, 0, changes)
	late := 0
	for i := range changes {
		document := contractText("")
		if i%2 == 0 {
			document = strings.ReplaceAll(document, "share_percent = 100", "share_percent = 90")
		}
		start := time.Now()
		a := d.tryPut(d.nodes[i%9], document, newestVersion)
		times = append(times, time.Since(start))
		var result operatorapi.PutResult
		a.into(t, &result)
		if a.status != http.StatusOK || !result.Accepted {
			t.Fatalf("change %d: status %d, %+v", i, a.status, result)
		}
		if len(result.Pending) > 0 {
			late++ // on a busy machine a push may meet its time limit
		}
	}
	d.awaitSequence(1 + changes)
	slices.Sort(times)
	t.Logf("in force on 9 nodes after: p50 %v, p95 %v, max %v; %d of %d changes were not on all at once", times[changes/2], times[changes*95/100], times[changes-1], late, changes)
}
