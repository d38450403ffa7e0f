package front

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Guards against sending the whole configuration to each host that asks only for crashes,
// or only for the servers that have left: all hosts may ask at the same moment.
func TestStateHasOnlyWhatIsAskedFor(t *testing.T) {
	n := &Node{fleet: fleet.New("self", time.Now()), servers: &follower{}, rawConfig: []byte("config")}
	n.crashes.Add(time.Now(), crashcause.Crash{Content: crashcause.Content{Request: "r"}, Server: "s"})
	for query, want := range map[string]struct {
		config  bool
		crashes int
	}{"": {true, 0}, "servers": {true, 0}, "departed": {false, 0}, "crashes": {false, 1}} {
		w := httptest.NewRecorder()
		n.serveState(w, httptest.NewRequest("GET", statePath+"?"+query, nil))
		var doc stateDocument
		if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
			t.Fatalf("query %q: %v", query, err)
		}
		if len(doc.Config) > 0 != want.config || len(doc.Crashes.Crashes) != want.crashes {
			t.Errorf("query %q: %d bytes of configuration, %d crashes", query, len(doc.Config), len(doc.Crashes.Crashes))
		}
	}
}

// aliveMesh is a mesh in which one peer is alive.
type aliveMesh struct {
	peerMesh
	peer mesh.Member
}

func (m aliveMesh) Alive(time.Time) []mesh.Member { return []mesh.Member{m.peer} }

// Guards against a node that keeps as many crashes as its peers and never learns that their
// content was answered: it has read the crashes from a row that an earlier build has written,
// or has missed the datagram. It would refuse sound requests until the crashes expire.
func TestAnswersAreFetchedFromPeer(t *testing.T) {
	for name, earlierBuild := range map[string]bool{"peer of this build": false, "peer of an earlier build": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var peer crashcause.Tracker
				servers := fleet.New("self", time.Now())
				n := &Node{started: time.Now(), log: telemetry.NewEventLog(telemetry.NewLogger(io.Discard, "error", "h", "d"))}
				for i := range 3 {
					x := crashcause.Crash{Content: crashcause.Content{Request: quarantine.Fingerprint(fmt.Sprint(i)), Parts: []uint64{1}}, Server: ident.BackendID(fmt.Sprint(i))}
					peer.Add(time.Now(), x)
					n.crashes.Add(time.Now(), x)
					time.Sleep(time.Second)
				}
				sound := crashcause.Content{Request: "sound", Parts: []uint64{1}}
				peer.Answered(time.Now(), sound)
				time.Sleep(2 * time.Second)
				if refused, _ := n.crashes.Verdict(time.Now(), sound, servers); !refused {
					t.Fatal("the node knows of the answer before it asks")
				}
				m := mesh.Member{Host: "peer", Incarnation: 7, Crashes: peer.Len(time.Now()), CrashesDigest: peer.Digest(time.Now())}
				if earlierBuild {
					m.CrashesDigest = 0
				}
				asked := 0
				n.mesh = aliveMesh{peer: m}
				n.peerState = func(context.Context, string, string) (stateDocument, error) {
					asked++
					return stateDocument{Crashes: peer.Evidence(time.Now())}, nil
				}
				for range 50 { // heartbeats
					n.compareCrashes(m)
					time.Sleep(200 * time.Millisecond)
				}
				if refused, _ := n.crashes.Verdict(time.Now(), sound, servers); refused {
					t.Error("content is refused that the peer knows to be answered")
				}
				if asked != 1 {
					t.Errorf("the peer is asked %d times, want once", asked)
				}
			})
		})
	}
}
