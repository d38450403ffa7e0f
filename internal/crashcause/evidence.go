package crashcause

import (
	"slices"
	"time"
)

// maxSuspicious is the maximum number of crashes that Suspicious returns, which bounds the
// size of what is stored of them to some tens of kilobytes.
const maxSuspicious = 100

// Evidence is all that a Tracker keeps of crashes, for a peer that lacks some of it: one
// that has just started, or that missed reports.
type Evidence struct {
	Crashes []AgedCrash `json:"crashes,omitempty"`
	// Answered lists content of the crashes that has been answered since.
	Answered []AgedContent `json:"answered,omitempty"`

	digest digestSum // of what Suspicious returned
}

// Digest returns a hash of what Suspicious returned, whatever the ages: it changes if there
// are other crashes, or if other crashes count against their content.
func (e Evidence) Digest() uint64 { return uint64(e.digest) }

// AgedCrash is a Crash with its age in milliseconds when the evidence was sent.
type AgedCrash struct {
	Crash
	AgeMs int64 `json:"age_ms"`
	// Explained reports that the server was lost together with its data centre, or that the
	// host that found it lost may not have been able to reach it. Others cannot see that.
	Explained bool `json:"explained,omitempty"`
}

// AgedContent is content that was answered AgeMs milliseconds before the evidence was
// sent.
type AgedContent struct {
	Content
	AgeMs int64 `json:"age_ms"`
}

// Evidence returns all crashes that are kept.
func (t *Tracker) Evidence(now time.Time) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e Evidence
	for _, d := range t.deaths {
		e.Crashes = append(e.Crashes, d.aged(now)...)
	}
	for k := range t.byKey {
		if at := t.answeredAt(k); !at.IsZero() {
			e.Answered = append(e.Answered, agedContent(now, k, at))
		}
	}
	return e
}

// Suspicious returns the crashes that may soon count, or count, against some content:
// those of content that was on two crashed servers or more since it was last answered. It
// leaves out other requests that were lost with the same servers. If there are too many
// it returns the newest. It also returns which content of these crashes was answered: the
// crashes alone would count against sound content too.
func (t *Tracker) Suspicious(now time.Time) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	suspicious := func(k key) bool { return t.sinceAnswered(k) >= crashLimit-1 }
	var e Evidence
	keys := map[key]bool{}
	for _, d := range slices.Backward(t.byAge) {
		if d.dismissed || d.doubtful {
			continue // a node of an earlier build that reads the row would count it
		}
		for _, x := range d.aged(now) {
			if len(e.Crashes) == maxSuspicious || !slices.ContainsFunc(x.keys(), suspicious) {
				continue
			}
			e.Crashes = append(e.Crashes, x)
			e.digest.addCrash(d, x.Request)
			for _, k := range x.keys() {
				keys[k] = true
				e.digest.addAnswer(d, k, t.answeredAt(k))
			}
		}
	}
	for k := range keys {
		if at := t.answeredAt(k); !at.IsZero() {
			e.Answered = append(e.Answered, agedContent(now, k, at))
		}
	}
	return e
}

// sinceAnswered returns the number of crashes of content since it was last answered. The
// lock is held.
func (t *Tracker) sinceAnswered(k key) int {
	answered := t.answeredAt(k)
	n := 0
	for _, d := range t.byKey[k] {
		if !d.at.Before(answered) {
			n++
		}
	}
	return n
}

// aged returns the crashes of a death with their ages.
func (d *death) aged(now time.Time) []AgedCrash {
	list := make([]AgedCrash, 0, len(d.contents))
	for _, c := range d.contents {
		x := Crash{Content: c, Server: d.server, Incarnation: d.incarnation, Service: d.service, DataCentre: d.dataCentre}
		list = append(list, AgedCrash{x, ceilMilliseconds(now.Sub(d.at)), d.dismissed || d.doubtful})
	}
	return list
}

func agedContent(now time.Time, k key, at time.Time) AgedContent {
	return AgedContent{k.content(), now.Sub(at).Milliseconds()}
}

// ceilMilliseconds rounds up. Ages of crashes are rounded up and those of answers down, so
// that a crash from before an answer stays so.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

func (k key) content() Content {
	if k.part != 0 {
		return Content{Parts: []uint64{k.part}}
	}
	return Content{Request: k.request}
}

// Older returns the evidence with all ages increased by d. A negative d, as between hosts
// whose clocks differ, counts as 0: ages would be cut off at 0, which loses whether an answer
// came after a crash.
func (e Evidence) Older(d time.Duration) Evidence {
	d = max(0, d)
	older := Evidence{Crashes: slices.Clone(e.Crashes), Answered: slices.Clone(e.Answered)}
	for i := range older.Crashes {
		older.Crashes[i].AgeMs += d.Milliseconds()
	}
	for i := range older.Answered {
		older.Answered[i].AgeMs += d.Milliseconds()
	}
	return older
}

// Merge adds the evidence of a peer. Its result does not depend on repetitions.
func (t *Tracker) Merge(now time.Time, e Evidence) {
	t.mu.Lock()
	for _, x := range e.Crashes {
		if at := before(now, x.AgeMs); now.Sub(at) <= retention {
			known := t.deaths[x.instance()] != nil // then this node judges by what it has seen itself
			added := t.add(now, at, x.Crash)
			switch d := t.deaths[x.instance()]; {
			case added && !known:
				d.dismissed = x.Explained
			case known && !x.Explained:
				d.doubtful = false
			}
		}
	}
	t.mu.Unlock()
	for _, x := range e.Answered {
		t.Answered(before(now, x.AgeMs), x.Content)
	}
}

// before returns the time ageMs milliseconds before now. A negative age, which no node
// sends, counts as 0, and one above retention as little more than that.
func before(now time.Time, ageMs int64) time.Time {
	age := min(max(0, ageMs), retention.Milliseconds()+1)
	return now.Add(-time.Duration(age) * time.Millisecond)
}
