package front

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
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
