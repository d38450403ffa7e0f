package node

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/settings"
)

const testSettings = `
[host]
id = "a"
data_centre = "d1"
[[data_centres]]
name = "d1"
region = "r"
[listen]
callers = "127.0.0.1:7401"
operators = "127.0.0.1:7402"
nodes = "127.0.0.1:7400"
[platform]
url = "http://127.0.0.1:7500"
timeout = "1s"
[security]
cursor_key_file = %q
operator_key_hashes = []
insecure = true
`

// newTestNode returns a node that is not running.
func newTestNode(t *testing.T) *Node {
	t.Helper()
	dir := t.TempDir()
	key, file := filepath.Join(dir, "key"), filepath.Join(dir, "node.toml")
	if err := os.WriteFile(key, make([]byte, 32), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, fmt.Appendf(nil, testSettings, key), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestHeartbeatAfterPauseResetsFreshness guards against proofs of freshness
// that stay valid after a pause of the process. It comes about if a heartbeat
// shows the clock jump before the tick of the membership worker does: the tick
// then finds no jump, so the heartbeat has to discard the proofs.
func TestHeartbeatAfterPauseResetsFreshness(t *testing.T) {
	n := newTestNode(t) // outside the synctest bubble, because a goroutine of its metrics does not end
	synctest.Test(t, func(t *testing.T) {
		hosts := []platformapi.Host{{HostID: "a", DataCentre: "d1", State: platformapi.HostLive}, {HostID: "b", DataCentre: "d1", State: platformapi.HostLive}}
		n.view.ObserveList(time.Now(), hosts)
		n.listed = hostIDs(hosts)
		n.tickMembership(t.Context()) // consumes the clock jump from the real time to the bubble's time
		n.freshness.RecordHeadRead(time.Now(), 0, 0)
		if ok, reason := n.freshness.Admission(time.Now(), n.listed); !ok {
			t.Fatal("work is not admitted before the pause: ", reason)
		}
		time.Sleep(3 * time.Second) // longer than the jump limit, shorter than contracts.staleness_limit
		n.observeHeartbeat(time.Time{}, &nodepb.HeartbeatRequest{Sender: &nodepb.Sender{HostId: "b", Incarnation: 1, DataCentre: "d1"}})
		n.tickMembership(t.Context())
		if ok, _ := n.freshness.Admission(time.Now(), n.listed); ok {
			t.Error("work is admitted with a proof of freshness from before the pause")
		}
	})
}

// TestOnlyRelaysPollLogInLargeDeployments guards against a rate of table reads
// that grows with the number of nodes, and against a node that has no recent
// proof of freshness and still does not poll.
func TestOnlyRelaysPollLogInLargeDeployments(t *testing.T) {
	for _, c := range []struct {
		hosts    int
		proofAge time.Duration
		relay    bool
		want     bool
	}{
		{hosts: maxPollingNodes, want: true},
		{hosts: maxPollingNodes + 1, want: false},
		{hosts: maxPollingNodes + 1, relay: true, want: true},
		{hosts: maxPollingNodes + 1, proofAge: maxProofAgeWithoutPoll, want: true},
		{hosts: maxPollingNodes + 1, proofAge: time.Hour, want: true},
	} {
		n, now := newTestNode(t), time.Now()
		hosts := []platformapi.Host{{HostID: "a", DataCentre: "d1", State: platformapi.HostLive}}
		for i := 1; i < c.hosts; i++ {
			dc := "d1"
			if c.relay {
				dc = "d2" // node a is the only node of its data centre and thus a relay
			}
			hosts = append(hosts, platformapi.Host{HostID: fmt.Sprint("b", i), DataCentre: dc, State: platformapi.HostLive})
		}
		n.view.ObserveList(now, hosts)
		n.listed = hostIDs(hosts)
		if c.proofAge < time.Minute {
			n.freshness.RecordHeadRead(now.Add(-c.proofAge), 0, 0)
		}
		if n.view.IsRelay() != c.relay {
			t.Fatalf("%d hosts: relay %v, want %v", c.hosts, n.view.IsRelay(), c.relay)
		}
		if got := n.shouldPollLog(now); got != c.want {
			t.Errorf("%+v: shouldPollLog = %v", c, got)
		}
	}
}
