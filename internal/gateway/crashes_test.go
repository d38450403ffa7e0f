package gateway

import (
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

func fp(request string) quarantine.Fingerprint { return quarantine.Fingerprint(request) }

// Guards against a request that crashes one server after the other, and against
// refusing requests that were in a data centre when it was lost.
func TestCrashingRequest(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	lost := map[ident.DataCentre]bool{"a": true}
	zoneLost := func(_ string, zone ident.DataCentre, _ time.Time) bool { return lost[zone] }
	var c crashes
	add := func(ms int, request, server, zone string) bool {
		return c.add(start.Add(time.Duration(ms)*time.Millisecond), Crash{Request: fp(request), Server: ident.BackendID(server), Service: "s", DataCentre: ident.DataCentre(zone)})
	}
	confirmed := func(ms int, request string) bool {
		return c.confirmed(start.Add(time.Duration(ms)*time.Millisecond), fp(request), zoneLost)
	}
	pause := func(ms int, request string) time.Duration {
		return c.pause(start.Add(time.Duration(ms)*time.Millisecond), fp(request), zoneLost)
	}
	if c.any() {
		t.Error("something is remembered from the start")
	}
	for i, server := range []string{"b1", "b2", "c1"} {
		add(1000*i, "bad", server, server[:1])
		add(1000*i, "innocent", "a"+server, "a")
	}
	if got := pause(2100, "bad"); got != 900*time.Millisecond {
		t.Errorf("waits %v after the third crash, want until it is settled", got)
	}
	if pause(3100, "bad") != 0 || pause(2100, "innocent") != 0 {
		t.Error("waits though the causes are known")
	}
	if add(2500, "bad", "c1", "c") {
		t.Error("one crash counts twice")
	}
	if confirmed(2900, "bad") {
		t.Error("confirmed before the last crash is settled")
	}
	if !confirmed(3100, "bad") {
		t.Error("not confirmed after three crashes")
	}
	if confirmed(3100, "innocent") {
		t.Error("a request is refused for the loss of data centres")
	}
	c.clear(fp("bad"))
	if confirmed(3200, "bad") {
		t.Error("refused after it was answered")
	}
}
