package crashcause

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// servers is a state of servers in which some data centres are lost and some servers
// have been heard again.
type servers struct {
	lost  map[ident.DataCentre]bool
	heard map[ident.BackendID]bool
}

func (s servers) DataCentreLostNear(_ string, dataCentre ident.DataCentre, _ time.Time) bool {
	return s.lost[dataCentre]
}

func (s servers) HeardSince(id ident.BackendID, _ int64, _ time.Time) bool { return s.heard[id] }

func request(name string, parts ...uint64) Content {
	return Content{Request: quarantine.Fingerprint(name), Parts: parts}
}

func crash(server string, c Content) Crash {
	return Crash{Content: c, Server: ident.BackendID(server), Service: "s", DataCentre: ident.DataCentre(server[:1])}
}

func refused(t *Tracker, ms int, c Content, s Servers) bool {
	refused, _ := t.Verdict(at(ms), c, s)
	return refused
}

func pause(t *Tracker, ms int, c Content, s Servers) time.Duration {
	_, wait := t.Verdict(at(ms), c, s)
	return wait
}

// Guards against running a request again and again that crashes every server, and
// against refusing requests only because they ran in data centres that were lost.
func TestCrashingRequest(t *testing.T) {
	s := servers{lost: map[ident.DataCentre]bool{"a": true}}
	var c Tracker
	bad, innocent := request("bad"), request("innocent")
	if c.Len(start) != 0 {
		t.Error("a new tracker has records")
	}
	for i, server := range []string{"b1", "b2", "c1"} {
		c.Add(at(1000*i), crash(server, bad))
		c.Add(at(1000*i), crash("a"+server, innocent))
	}
	if got := pause(&c, 2100, bad, s); got != 900*time.Millisecond {
		t.Errorf("pause of %v after the third crash, want the time until its cause is known", got)
	}
	if pause(&c, 3100, bad, s) != 0 || pause(&c, 2100, innocent, s) != 0 {
		t.Error("pause although the causes are known")
	}
	if c.Add(at(2500), crash("c1", bad)) {
		t.Error("one crash is counted twice")
	}
	if refused(&c, 2900, bad, s) {
		t.Error("refused before the cause of the last crash is known")
	}
	if !refused(&c, 3100, bad, s) {
		t.Error("not refused after three crashes")
	}
	if refused(&c, 3100, innocent, s) {
		t.Error("a request is refused because data centres were lost")
	}
	c.Answered(at(3150), bad)
	if refused(&c, 3200, bad, s) {
		t.Error("refused after it was answered")
	}
}

const (
	firstPart  = 1
	deadlyPart = 2
	otherPart  = 3
)

// Guards against requests that share a part of their prompt, and nothing else, and crash
// one server after the other because each of them has no crash of its own.
func TestPartSharedByCrashingRequests(t *testing.T) {
	var c Tracker
	for i := range crashLimit {
		c.Add(at(1000*i), crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("r", i), firstPart, deadlyPart)))
	}
	if got := pause(&c, 2500, request("r9", firstPart, deadlyPart), servers{}); got != 500*time.Millisecond {
		t.Errorf("pause of %v, want the time until the cause of the last crash is known", got)
	}
	for _, parts := range [][]uint64{{firstPart, deadlyPart}, {firstPart, otherPart, deadlyPart}} {
		if !refused(&c, 3100, request("r9", parts...), servers{}) {
			t.Errorf("a request with the parts %v is not refused", parts)
		}
	}
	for _, parts := range [][]uint64{nil, {firstPart}, {firstPart, otherPart}} {
		if refused(&c, 3100, request("sound", parts...), servers{}) || pause(&c, 2500, request("sound", parts...), servers{}) != 0 {
			t.Errorf("a request with the parts %v is refused or waits", parts)
		}
	}
}

// Guards against refusing requests for a part that only one crashing request has shown,
// and for a part that is not the cause: a request that lacks some of the suspected
// content runs, and narrows it down.
func TestPartsAreNarrowedDown(t *testing.T) {
	var c Tracker
	for i := range crashLimit {
		c.Add(at(1000*i), crash(fmt.Sprintf("b%d", i), request("first", firstPart, deadlyPart)))
	}
	if !refused(&c, 4000, request("first", firstPart, deadlyPart), servers{}) {
		t.Error("a request that crashed three servers is not refused")
	}
	if refused(&c, 4000, request("second", firstPart, deadlyPart), servers{}) {
		t.Error("a request is refused for the crashes of one other request")
	}
	c.Add(at(4000), crash("b4", request("second", firstPart, deadlyPart)))
	if !refused(&c, 5100, request("third", firstPart, deadlyPart), servers{}) {
		t.Error("the part is not refused although two requests with it crashed servers")
	}
	if refused(&c, 5100, request("sixth", otherPart, deadlyPart), servers{}) {
		t.Error("a request is refused that lacks a part of all crashed requests")
	}
	c.Add(at(5200), crash("b5", request("sixth", otherPart, deadlyPart)))
	if !refused(&c, 6300, request("seventh", deadlyPart), servers{}) {
		t.Error("the part is not refused although no other is at all crashes")
	}
}

// Guards against refusing requests whose part was on several crashed servers by chance.
func TestSoundPartsAreNotRefused(t *testing.T) {
	deadly := func(i int) Content { return request(fmt.Sprint("r", i), deadlyPart) }
	cases := map[string]struct {
		prepare func(c *Tracker)
		servers servers
	}{
		"answered since": {prepare: func(c *Tracker) {
			for i := range crashLimit {
				c.Add(at(1000*i), crash(fmt.Sprintf("b%d", i), deadly(i)))
			}
			if !c.Answered(at(2500), deadly(9)) {
				t.Error("the peers are not told that a suspected part was answered")
			}
			if c.Answered(at(2600), deadly(10)) {
				t.Error("the peers are told twice")
			}
		}},
		"answered before": {prepare: func(c *Tracker) {
			c.Answered(start, deadly(9))
			for i := range crashLimit {
				c.Add(at(1000*i), crash(fmt.Sprintf("b%d", i), deadly(i)))
			}
		}},
		"servers crashed at once": {prepare: func(c *Tracker) {
			for i := range 10 {
				c.Add(at(10*i), crash(fmt.Sprintf("b%d", i), deadly(i)))
			}
		}},
		"data centre lost": {servers: servers{lost: map[ident.DataCentre]bool{"b": true}}, prepare: func(c *Tracker) {
			for i := range 10 {
				c.Add(at(500*i), crash(fmt.Sprintf("b%d", i), deadly(i)))
			}
		}},
		"servers were only silent": {servers: servers{heard: map[ident.BackendID]bool{"b0": true, "b1": true, "b2": true}}, prepare: func(c *Tracker) {
			for i := range crashLimit {
				c.Add(at(1000*i), crash(fmt.Sprintf("b%d", i), deadly(i)))
			}
		}},
		"together with crashing requests": {prepare: func(c *Tracker) {
			for i := range 10 {
				server := fmt.Sprintf("b%d", i)
				c.Add(at(1000*i), crash(server, request(fmt.Sprint("bad", i), otherPart)))
				c.Add(at(1000*i), crash(server, deadly(i)))
			}
		}},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			var c Tracker
			x.prepare(&c)
			if refused(&c, 12_000, request("new", deadlyPart), x.servers) {
				t.Error("refused")
			}
		})
	}
}

// Guards against content that crashes servers for good because it was answered once.
func TestAnsweredContentThatCrashesAgain(t *testing.T) {
	var c Tracker
	c.Answered(start, request("r", deadlyPart))
	for i := range soundCrashLimit {
		c.Add(at(1000*(i+1)), crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("r", i), deadlyPart)))
	}
	if !refused(&c, 10_000, request("new", deadlyPart), servers{}) {
		t.Error("not refused")
	}
}

// Guards against a node that never learns what it missed: one that has just started, or
// that lost datagrams.
func TestEvidenceOfPeer(t *testing.T) {
	var a, b Tracker
	for i := range crashLimit {
		a.Add(at(1000*i), crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("r", i), firstPart, deadlyPart)))
		a.Add(at(1000*i), crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("sound", i), otherPart)))
	}
	a.Answered(at(2500), request("s", otherPart))
	for range 2 { // a repetition changes nothing
		b.Merge(at(3100), a.Evidence(at(3100)))
		if a.Len(at(3100)) != b.Len(at(3100)) {
			t.Errorf("%d crashes, want %d", b.Len(at(3100)), a.Len(at(3100)))
		}
	}
	if !refused(&b, 3100, request("new", firstPart, deadlyPart), servers{}) {
		t.Error("the part that crashes servers is not refused")
	}
	if refused(&b, 3100, request("new", otherPart), servers{}) {
		t.Error("a part is refused that was answered")
	}
	if b.Merge(at(3100), Evidence{Crashes: []AgedCrash{{AgeMs: 1 << 62}, {AgeMs: -1 << 62}}}); b.Len(at(3100)) > a.Len(at(3100))+1 {
		t.Error("an expired crash is kept")
	}
}

// Guards against memory that grows with each crash and each prompt.
func TestBounds(t *testing.T) {
	var c Tracker
	for i := range 2 * maxCrashes {
		c.Add(start, crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("r", i), uint64(i+1))))
		c.Answered(start, request(fmt.Sprint("r", i), uint64(10*maxCrashes+i)))
	}
	if c.Len(start) != maxCrashes || len(c.sound)+len(c.olderSound) > 2*maxSound {
		t.Errorf("%d crashes and %d sound contents are kept", c.Len(start), len(c.sound)+len(c.olderSound))
	}
	late := start.Add(retention + time.Millisecond)
	if c.Add(late, crash("late", request("late"))); c.Len(late) != 1 || len(c.byKey) != 1 {
		t.Errorf("%d crashes and %d keys are kept after %v", c.Len(late), len(c.byKey), retention)
	}
}

// Guards against a node that is told of no crash for the retention time because the loss of
// many servers has filled its memory.
func TestNewCrashesCountWhenFull(t *testing.T) {
	var c Tracker
	for i := range maxCrashes {
		c.Add(start, crash(fmt.Sprintf("a%d", i/32), request(fmt.Sprint("victim", i), uint64(100+i))))
	}
	for i := range crashLimit {
		c.Add(at(1000*(i+1)), crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("r", i), deadlyPart)))
	}
	if !refused(&c, 5000, request("new", deadlyPart), servers{}) {
		t.Error("not refused")
	}
	if c.Len(at(5000)) > maxCrashes {
		t.Errorf("%d crashes are kept, want at most %d", c.Len(at(5000)), maxCrashes)
	}
}

// Guards against a node that fetches the crashes of a peer again and again: the peer counts
// crashes that have expired, which the node does not take over.
func TestExpiredCrashesAreNotCounted(t *testing.T) {
	var c Tracker
	c.Add(start, crash("b1", request("r", deadlyPart)))
	if got := c.Len(start.Add(retention + time.Millisecond)); got != 0 {
		t.Errorf("%d crashes, want none", got)
	}
}

// Guards against storing the crashes of each request that was on a server when it crashed
// for another reason, and against a row of the store without bounds.
func TestSuspicious(t *testing.T) {
	var c Tracker
	for i := range 2 * maxSuspicious {
		c.Add(at(i), crash(fmt.Sprintf("a%d", i), request(fmt.Sprint("victim", i), uint64(100+i))))
	}
	if got := len(c.Suspicious(at(1000)).Crashes); got != 0 {
		t.Errorf("%d crashes of requests that were on one crashed server are suspicious", got)
	}
	for i := range 2 {
		c.Add(at(1000*i), crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("r", i), deadlyPart)))
	}
	var b Tracker
	b.Merge(at(5000), c.Suspicious(at(2000)).Older(3*time.Second))
	b.Add(at(5000), crash("b2", request("r2", deadlyPart)))
	if !refused(&b, 6100, request("new", deadlyPart), servers{}) {
		t.Error("stored crashes do not count")
	}
	for i := range 2 * maxSuspicious {
		c.Add(at(2000+i), crash(fmt.Sprintf("c%d", i), request(fmt.Sprint("x", i), deadlyPart)))
	}
	if got := len(c.Suspicious(at(3000)).Crashes); got != maxSuspicious {
		t.Errorf("%d suspicious crashes, want %d", got, maxSuspicious)
	}
	c.Answered(at(4000), request("", deadlyPart))
	if got := len(c.Suspicious(at(5000)).Crashes); got != 0 {
		t.Errorf("%d crashes are suspicious although their content was answered", got)
	}
}

// Guards against a row of the store that holds a few crashes only, because the requests
// that were lost with the same servers fill it.
func TestSuspiciousLeavesOutVictims(t *testing.T) {
	var a, b Tracker
	for i := range crashLimit {
		server := fmt.Sprintf("b%d", i)
		for j := range maxSuspicious {
			a.Add(at(1000*i), crash(server, request(fmt.Sprint("victim", i, " ", j), uint64(1000+maxSuspicious*i+j))))
		}
		a.Add(at(1000*i), crash(server, request(fmt.Sprint("r", i), firstPart, deadlyPart)))
	}
	b.Merge(at(5000), a.Suspicious(at(4000)).Older(time.Second))
	if !refused(&b, 5000, request("new", firstPart, deadlyPart), servers{}) {
		t.Errorf("stored crashes do not count; %d of %d are stored", b.Len(at(5000)), a.Len(at(5000)))
	}
}

// Guards against a row of the store that is not written again while the number of crashes
// in it stays the same: it is full, or other content is suspected.
func TestSuspiciousChangesWithNewCrashes(t *testing.T) {
	var c Tracker
	for i := range maxSuspicious {
		c.Add(at(i), crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("r", i), firstPart)))
	}
	before := c.Suspicious(at(1000))
	if got := c.Suspicious(at(2000)); got.Digest() != before.Digest() {
		t.Error("the crashes differ although there is no new one")
	}
	c.Add(at(3000), crash("c", request("new", firstPart)))
	if got := c.Suspicious(at(3000)); got.Digest() == before.Digest() || len(got.Crashes) != len(before.Crashes) {
		t.Errorf("%d crashes, %d before: a new crash does not show", len(got.Crashes), len(before.Crashes))
	}
}

// countingServers counts the checks of data centres.
type countingServers struct{ checks *int }

func (s countingServers) DataCentreLostNear(string, ident.DataCentre, time.Time) bool {
	*s.checks++
	return true
}

func (countingServers) HeardSince(ident.BackendID, int64, time.Time) bool { return false }

// Guards against requests that each look at all servers for each crash while the loss of a
// data centre is not yet certain.
func TestLossOfDataCentreIsNotCheckedByEachRequest(t *testing.T) {
	const crashes, requests = 20, 50
	var c Tracker
	for i := range crashes {
		c.Add(start, crash(fmt.Sprintf("b%d", i), request(fmt.Sprint("r", i), firstPart)))
	}
	checks := 0
	for i := range requests {
		refused(&c, i, request("new", firstPart), countingServers{&checks})
	}
	if checks > crashes {
		t.Errorf("%d checks for %d crashes", checks, crashes)
	}
	if refused(&c, 1500, request("new", firstPart), countingServers{&checks}); checks != 2*crashes {
		t.Errorf("%d checks, want one more for each of %d crashes once the cause is known", checks, crashes)
	}
}
