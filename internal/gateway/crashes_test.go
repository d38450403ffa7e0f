package gateway

import (
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

func fp(request string) quarantine.Fingerprint { return quarantine.Fingerprint(request) }

// Guards against running a request again and again that crashes every server, and
// against refusing requests only because they ran in data centres that were lost.
func TestCrashingRequest(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	lost := map[ident.DataCentre]bool{"a": true}
	dataCentreLost := func(_ string, dataCentre ident.DataCentre, _ time.Time) bool { return lost[dataCentre] }
	var c crashTracker
	add := func(ms int, request, server, dataCentre string) bool {
		return c.add(start.Add(time.Duration(ms)*time.Millisecond), Crash{Request: fp(request), Server: ident.BackendID(server), Service: "s", DataCentre: ident.DataCentre(dataCentre)})
	}
	confirmed := func(ms int, request string) bool {
		return c.confirmed(start.Add(time.Duration(ms)*time.Millisecond), fp(request), dataCentreLost)
	}
	pause := func(ms int, request string) time.Duration {
		return c.pause(start.Add(time.Duration(ms)*time.Millisecond), fp(request), dataCentreLost)
	}
	if c.hasRecords() {
		t.Error("a new tracker has records")
	}
	for i, server := range []string{"b1", "b2", "c1"} {
		add(1000*i, "bad", server, server[:1])
		add(1000*i, "innocent", "a"+server, "a")
	}
	if got := pause(2100, "bad"); got != 900*time.Millisecond {
		t.Errorf("pause of %v after the third crash, want the time until its cause is known", got)
	}
	if pause(3100, "bad") != 0 || pause(2100, "innocent") != 0 {
		t.Error("pause although the causes are known")
	}
	if add(2500, "bad", "c1", "c") {
		t.Error("one crash is counted twice")
	}
	if confirmed(2900, "bad") {
		t.Error("confirmed before the cause of the last crash is known")
	}
	if !confirmed(3100, "bad") {
		t.Error("not confirmed after three crashes")
	}
	if confirmed(3100, "innocent") {
		t.Error("a request is refused because data centres were lost")
	}
	c.clear(fp("bad"))
	if confirmed(3200, "bad") {
		t.Error("refused after it was answered")
	}
}
