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
}

// AgedCrash is a Crash with its age in milliseconds when the evidence was sent.
type AgedCrash struct {
	Crash
	AgeMs int64 `json:"age_ms"`
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
			e.Answered = append(e.Answered, AgedContent{k.content(), now.Sub(at).Milliseconds()})
		}
	}
	return e
}

// Suspicious returns the crashes that may soon count, or count, against some content:
// those of content that was on two crashed servers or more and was never answered. It
// leaves out other requests that were lost with the same servers. If there are too many
// it returns the newest.
func (t *Tracker) Suspicious(now time.Time) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspicious := func(k key) bool { return len(t.byKey[k]) >= crashLimit-1 && t.answeredAt(k).IsZero() }
	var e Evidence
	for _, d := range slices.Backward(t.byAge) {
		if d.dismissed || d.expired(now) {
			continue
		}
		for _, x := range d.aged(now) {
			if slices.ContainsFunc(x.keys(), suspicious) {
				e.Crashes = append(e.Crashes, x)
			}
		}
	}
	e.Crashes = e.Crashes[:min(len(e.Crashes), maxSuspicious)]
	return e
}

// SameCrashes reports whether both have the same crashes in the same order, whatever their
// ages.
func (e Evidence) SameCrashes(other Evidence) bool {
	return slices.EqualFunc(e.Crashes, other.Crashes, func(a, b AgedCrash) bool {
		return a.Server == b.Server && a.Incarnation == b.Incarnation && a.Request == b.Request
	})
}

// aged returns the crashes of a death with their ages.
func (d *death) aged(now time.Time) []AgedCrash {
	list := make([]AgedCrash, 0, len(d.contents))
	for _, c := range d.contents {
		x := Crash{Content: c, Server: d.server, Incarnation: d.incarnation, Service: d.service, DataCentre: d.dataCentre}
		list = append(list, AgedCrash{x, now.Sub(d.at).Milliseconds()})
	}
	return list
}

func (k key) content() Content {
	if k.part != 0 {
		return Content{Parts: []uint64{k.part}}
	}
	return Content{Request: k.request}
}

// Older returns the evidence with all ages increased by d.
func (e Evidence) Older(d time.Duration) Evidence {
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
			t.add(now, at, x.Crash)
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
