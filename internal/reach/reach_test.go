package reach

import (
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Guards against a path that is not checked because the only server in use fails again and
// again, or because a success at one server of many hides the failures of the others.
func TestFailuresRaiseDoubt(t *testing.T) {
	var tracker Tracker
	second := func(s int) time.Time { return at(time.Duration(s) * time.Second) }
	if tracker.Failed(second(0), service, "a") || tracker.Failed(second(1), service, "a") {
		t.Error("two failures at one server lead to a check")
	}
	if !tracker.Failed(second(2), service, "a") {
		t.Error("three failures at one server lead to no check")
	}
	if change, _ := tracker.Checked(second(2), service, Sample{Opened: 2, Tried: 3}); change != Unchanged || !tracker.Trusted(second(2), service) {
		t.Error("a check that finds a path changes something")
	}
	tracker.Failed(second(3), service, "a")
	if !tracker.Failed(second(3), service, "b") {
		t.Error("failures at two servers lead to no check")
	}
	change, since := tracker.Checked(second(4), service, Sample{Opened: 1, Tried: 3})
	if change != PathLost || !since.Equal(second(3)) || !tracker.Lost(service) || tracker.Trusted(second(4), service) {
		t.Errorf("change %v since %v after a check that finds no path", change, since)
	}
	if !tracker.Opened(service) {
		t.Error("the first success leads to no check")
	}
	if change, _ := tracker.Checked(second(5), service, Sample{Opened: 1, Tried: 3}); change != Unchanged || !tracker.Lost(service) {
		t.Error("the path is back although most servers are out of reach")
	}
	tracker.Opened(service)
	if change, lostAt := tracker.Checked(second(6), service, Sample{Opened: 3, Tried: 3}); change != PathBack || !lostAt.Equal(second(3)) || tracker.Lost(service) {
		t.Errorf("change %v, lost at %v, after a check that finds a path", change, lostAt)
	}
}

// Guards against a path that is not checked because a device on it accepts connections and
// passes nothing on, and against a check for each request while all servers are slow.
func TestSilenceRaisesDoubt(t *testing.T) {
	var tracker Tracker
	second := func(s int) time.Time { return at(time.Duration(s) * time.Second) }
	for range 2 * doubtRepeats {
		if tracker.Silent(second(5), service, "a") {
			t.Error("the silence of one server leads to a check")
		}
	}
	tracker.Opened(service) // a device on the path accepts connections
	if !tracker.Silent(second(6), service, "b") {
		t.Error("the silence of two servers leads to no check")
	}
	tracker.Checked(second(6), service, Sample{Opened: 3, Tried: 3})
	for _, server := range []ident.BackendID{"a", "b", "c"} {
		if tracker.Silent(second(6), service, server) {
			t.Error("a second check within silenceInterval")
		}
	}
	if !tracker.Silent(second(8), service, "a") {
		t.Error("no check although the silence lasts")
	}
	if change, since := tracker.Checked(second(9), service, Sample{Tried: 3}); change != PathLost || !since.Equal(second(6)) {
		t.Errorf("change %v since %v after a check that finds no path", change, since)
	}
}
