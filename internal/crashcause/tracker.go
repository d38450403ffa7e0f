package crashcause

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashLimit is the number of crashes from which on content is refused.
	crashLimit = 3
	// soundCrashLimit replaces crashLimit for content that has been answered before. Only
	// the crashes since then count.
	soundCrashLimit = 2 * crashLimit
	// trialDeaths is the number of servers that crashed, at whatever moments, from which on
	// requests with a part that was never answered run one at a time.
	trialDeaths = crashLimit
	// causeDelay is the time after a crash from which on it is known whether the server was
	// lost together with its whole data centre.
	causeDelay = time.Second
	// lossCheckInterval is the minimum time between two checks within causeDelay of whether
	// a data centre was lost. Each one looks at all servers, and each request with a part
	// that was on many of them needs the result for all their crashes: 1.4 ms for 100
	// crashes of 300 servers.
	lossCheckInterval = 100 * time.Millisecond
	// burst is the time within which crashes count as one against a part of a prompt.
	// Servers that fail together for another reason may all run requests with a part that
	// many requests share.
	burst = 300 * time.Millisecond
	// maxReportDelay is the maximum time between the moments at which two nodes record a
	// crash: a run on the crashed server may find it lost some seconds after another one, and
	// the report of the first may be lost.
	maxReportDelay = 5 * time.Second
	// retention is how long a crash counts.
	retention = 10 * time.Minute
	// maxCrashes is the maximum number of crashes that are kept. Above it the oldest are
	// dropped: a node without room for new ones would refuse nothing until they expire.
	maxCrashes = 4096
	// maxSound is the number of sound contents from which on the older ones are dropped.
	maxSound = 4096
)

// Tracker keeps the crashes of servers and decides which content caused them. The zero
// value is ready for use. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	deaths  map[instance]*death // guarded by mu
	byAge   []*death            // guarded by mu; all deaths, oldest first
	byKey   map[key][]*death    // guarded by mu; oldest first
	crashes int                 // guarded by mu; contents of all deaths
	// answered is when the keys of byKey were last seen to be answered. An answer is kept as
	// long as the crashes that it speaks against. It is guarded by mu.
	answered map[key]time.Time

	// sound is when other content was last seen to be answered. Once it has maxSound entries,
	// it becomes olderSound. Both are guarded by mu.
	sound, olderSound map[key]time.Time

	digest      uint64 // guarded by mu; valid if digestValid
	digestValid bool   // guarded by mu
}

// Len returns the number of crashes that are kept. Peers compare it, so expired ones do
// not count: a peer would fetch them, and not keep them, again and again.
func (t *Tracker) Len(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.crashes
}

// Add records a crash and reports whether it was new.
func (t *Tracker) Add(now time.Time, x Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := t.add(now, now, x)
	if d := t.deaths[x.instance()]; d != nil {
		d.doubtful = false
	}
	return added
}

// AddDoubtful records a crash of a server that this host may not be able to reach. It counts
// against no content by itself; see Trial.
func (t *Tracker) AddDoubtful(now time.Time, x Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.deaths[x.instance()] != nil
	if t.add(now, now, x) && !known {
		t.deaths[x.instance()].doubtful = true
	}
}

// add records a crash of the time at. The lock is held.
func (t *Tracker) add(now, at time.Time, x Crash) bool {
	t.expire(now)
	if t.deaths == nil {
		t.deaths, t.byKey, t.answered = map[instance]*death{}, map[key][]*death{}, map[key]time.Time{}
	}
	i := x.instance()
	d := t.deaths[i]
	if d != nil {
		t.recordedAt(d, at)
		if slices.ContainsFunc(d.contents, func(c Content) bool { return c.Request == x.Request }) {
			return false
		}
		at = d.at
	}
	if t.crashes >= maxCrashes && !t.dropOldest(at) {
		return false
	}
	if d == nil {
		d = &death{instance: i, service: x.Service, dataCentre: x.DataCentre, at: at, present: map[key]bool{}}
		t.deaths[i] = d
		t.byAge = insertByAge(t.byAge, d)
	}
	d.contents = append(d.contents, x.Content)
	t.crashes++
	t.digestValid = false
	for _, k := range x.keys() {
		if d.present[k] {
			continue
		}
		d.present[k] = true
		if at := t.answeredAt(k); !at.IsZero() {
			t.answered[k] = at
		}
		t.byKey[k] = insertByAge(t.byKey[k], d)
	}
	return true
}

// recordedAt notes that a death was recorded at the given time by a peer. The earliest time
// counts: nodes then agree whether content was answered since. A much earlier time comes from
// a host whose clock differs. The lock is held.
func (t *Tracker) recordedAt(d *death, at time.Time) {
	if !at.Before(d.at) || d.at.Sub(at) > maxReportDelay {
		return
	}
	move := func(list []*death) []*death {
		return insertByAge(slices.DeleteFunc(list, func(x *death) bool { return x == d }), d)
	}
	d.at = at
	t.byAge = move(t.byAge)
	for k := range d.present {
		t.byKey[k] = move(t.byKey[k])
	}
	t.digestValid = false
}

// expire drops the deaths that no longer count. The lock is held.
func (t *Tracker) expire(now time.Time) {
	for len(t.byAge) > 0 && t.byAge[0].expired(now) {
		t.drop(t.byAge[0])
	}
}

// dropOldest drops the oldest death if it is older than the given time, and reports
// whether it did. The lock is held.
func (t *Tracker) dropOldest(at time.Time) bool {
	if len(t.byAge) == 0 || !t.byAge[0].at.Before(at) {
		return false
	}
	t.drop(t.byAge[0])
	return true
}

// insertByAge adds a death to a list, oldest first.
func insertByAge(list []*death, d *death) []*death {
	i := len(list) // nearly always the place, since reports arrive in this order
	for i > 0 && list[i-1].at.After(d.at) {
		i--
	}
	return slices.Insert(list, i, d)
}

// drop removes a death. The lock is held.
func (t *Tracker) drop(d *death) {
	delete(t.deaths, d.instance)
	t.crashes -= len(d.contents)
	t.digestValid = false
	t.byAge = slices.DeleteFunc(t.byAge, func(x *death) bool { return x == d })
	for k := range d.present {
		t.byKey[k] = slices.DeleteFunc(t.byKey[k], func(x *death) bool { return x == d })
		if len(t.byKey[k]) > 0 {
			continue
		}
		at := t.answeredAt(k)
		delete(t.byKey, k)
		delete(t.answered, k)
		if k.part != 0 && !at.IsZero() {
			t.setAnsweredAt(k, at)
		}
	}
}

// Answered records that a server has answered a request, or written a part of the
// answer and lives on. It reports whether crashes counted against some of the content
// until then, in which case the caller notifies the peers.
func (t *Tracker) Answered(now time.Time, c Content) (suspected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range c.keys() {
		deaths := t.byKey[k]
		if k.part == 0 && len(deaths) == 0 {
			continue // nothing is gained by remembering each request
		}
		known := t.answeredAt(k)
		if n := len(deaths); n > 0 && !deaths[n-1].at.Before(known) {
			suspected = true
		}
		if len(deaths) > 0 && (suspected || known.IsZero()) {
			t.digestValid = false
		}
		if now.After(known) {
			t.setAnsweredAt(k, now)
		}
	}
	return suspected
}

// setAnsweredAt records when content was last answered. The lock is held.
func (t *Tracker) setAnsweredAt(k key, at time.Time) {
	if len(t.byKey[k]) > 0 {
		t.answered[k] = at
		return
	}
	if t.sound == nil || len(t.sound) >= maxSound {
		t.olderSound, t.sound = t.sound, map[key]time.Time{}
	}
	t.sound[k] = at
}

// answeredAt returns when content was last answered; zero if it is not known to have
// been. The lock is held.
func (t *Tracker) answeredAt(k key) time.Time {
	if at, ok := t.answered[k]; ok {
		return at
	}
	if at, ok := t.sound[k]; ok {
		return at
	}
	return t.olderSound[k]
}

// Verdict reports whether a request must not run again since its content crashes
// servers. If that is still open, wait is the time until the causes of the latest
// crashes are known. Without the wait, such a request would crash the maximum number of
// servers within milliseconds.
func (t *Tracker) Verdict(now time.Time, c Content, s Servers) (refused bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cause, wait := t.judge(now, c, s)
	return cause != nil, wait
}

// Cause returns the content for which a request must not run again; nil if it may run.
func (t *Tracker) Cause(now time.Time, c Content, s Servers) *Cause {
	t.mu.Lock()
	defer t.mu.Unlock()
	cause, _ := t.judge(now, c, s)
	return cause
}

// judge returns the cause for which a request must not run again, and otherwise the time
// until the causes of the latest crashes are known. The lock is held.
func (t *Tracker) judge(now time.Time, c Content, s Servers) (*Cause, time.Duration) {
	if len(t.deaths) == 0 {
		return nil, 0
	}
	var wait time.Duration
	for _, k := range c.keys() {
		deaths := t.unexplained(now, k, s)
		limit := t.limit(k)
		better := func() bool { return t.betterCause(now, c, deaths, s) }
		if all := t.lostTogether(now, k, s, deaths); len(all) > 0 {
			limit--
			better = func() bool { return t.otherCause(now, c, all, s, t.deathsOf) }
		}
		if len(deaths) < limit-1 || len(deaths) == 0 || better() {
			continue
		}
		newest := deaths[len(deaths)-1]
		if known := countKnown(now, k, deaths); known >= limit {
			return &Cause{k.content(), known, limit, t.answeredAt(k), deaths[0].at, newest.at}, 0
		}
		wait = max(wait, newest.at.Add(causeDelay).Sub(now))
	}
	return nil, wait
}

// lostTogether returns all deaths of a part that was never answered if enough of them are
// explained: servers that were lost together then count as one crash against the part. It
// returns none otherwise. The lock is held.
func (t *Tracker) lostTogether(now time.Time, k key, s Servers, unexplained []*death) []*death {
	if k.part == 0 || len(t.byKey[k])-len(unexplained) < trialDeaths || !t.answeredAt(k).IsZero() {
		return nil
	}
	all := t.deathsOf(now, k, s)
	if len(all)-len(unexplained) < trialDeaths {
		return nil
	}
	return all
}

// limit returns the number of crashes from which on content is refused. The lock is
// held.
func (t *Tracker) limit(k key) int {
	if t.answeredAt(k).IsZero() {
		return crashLimit
	}
	return soundCrashLimit
}

// unexplained returns the deaths that may have been caused by the content: those after
// it was last answered that have no other cause. The lock is held.
func (t *Tracker) unexplained(now time.Time, k key, s Servers) []*death {
	var out []*death
	answered := t.answeredAt(k)
	for _, d := range t.byKey[k] {
		if !d.expired(now) && !d.at.Before(answered) && !d.explained(now, s) {
			out = append(out, d)
		}
	}
	return out
}

// deathsOf returns the deaths since a part was last answered, whether their data centre seemed
// lost or not. The lock is held.
func (t *Tracker) deathsOf(now time.Time, k key, s Servers) []*death {
	var out []*death
	answered := t.answeredAt(k)
	for _, d := range t.byKey[k] {
		if !d.expired(now) && !d.at.Before(answered) && !s.HeardSince(d.server, d.incarnation, d.at) {
			out = append(out, d)
		}
	}
	return out
}

// Trial returns the part for which a request is to run alone: one that was on several servers
// which crashed, and was never answered. If the servers crashed at the same moment, or all
// servers of a data centre did, that counts as little evidence or as none, and many requests
// with such a part would crash all servers again and again. Run one at a time on all hosts
// together, they are soon answered or refused. wait is the time until the causes of the latest
// crashes are known; one more crash before would not count by itself. ok is false if there is
// no such part.
func (t *Tracker) Trial(now time.Time, c Content, s Servers) (part uint64, wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := trialDeaths - 1
	for _, p := range c.Parts {
		k := key{part: p}
		if len(t.byKey[k]) <= most || !t.answeredAt(k).IsZero() {
			continue
		}
		deaths := t.deathsOf(now, k, s)
		if len(deaths) <= most || t.otherCause(now, c, deaths, s, t.deathsOf) {
			continue
		}
		part, most = p, len(deaths)
		wait = deaths[most-1].at.Add(causeDelay).Sub(now)
	}
	return part, wait, most >= trialDeaths
}

// betterCause reports whether all of the deaths may have been caused by content that the
// request c lacks. Such a request runs: if it crashes a server, too, that other content
// is no longer a cause of all deaths, and if it is answered, its own content is none. A
// sound request with which a crashing one shares some content is therefore not refused,
// even if it is the first of its kind.
func (t *Tracker) betterCause(now time.Time, c Content, deaths []*death, s Servers) bool {
	return t.otherCause(now, c, deaths, s, t.unexplained)
}

// otherCause is betterCause with the given selection of deaths.
func (t *Tracker) otherCause(now time.Time, c Content, deaths []*death, s Servers, deathsOf func(time.Time, key, Servers) []*death) bool {
	own := c.keys()
	for k := range deaths[0].present {
		if slices.Contains(own, k) || slices.ContainsFunc(deaths, func(d *death) bool { return !d.present[k] }) {
			continue
		}
		if len(deathsOf(now, k, s)) >= len(deaths) {
			return true
		}
	}
	return false
}

// countKnown returns the number of deaths whose cause is known by now, where those of a
// burst count as one against a part of a prompt.
func countKnown(now time.Time, k key, deaths []*death) int {
	n := 0
	var last time.Time
	for _, d := range deaths {
		if now.Sub(d.at) < causeDelay || k.part != 0 && n > 0 && d.at.Sub(last) < burst {
			continue
		}
		n++
		last = d.at
	}
	return n
}
