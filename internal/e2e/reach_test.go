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

// Guards against contract changes that are accepted but do not come into force on
// every node of a healthy deployment. Logs how long the changes take.
func TestContractChangesReachNineNodes(t *testing.T) {
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
		a := d.sendContract(d.nodes[i%9], document, noBaseVersion)
		times = append(times, time.Since(start))
		var result operatorapi.PutResult
		a.decode(t, &result)
		if a.status != http.StatusOK || !result.Accepted {
			t.Fatalf("change %d: status %d, %+v", i, a.status, result)
		}
		if len(result.Pending) > 0 {
			late++ // on a busy machine the push to a node may time out
		}
	}
	d.awaitSequence(1 + changes)
	slices.Sort(times)
	t.Logf("in force on 9 nodes after: p50 %v, p95 %v, max %v; %d of %d changes were not in force on all nodes in time for the response", times[changes/2], times[changes*95/100], times[changes-1], late, changes)
}
