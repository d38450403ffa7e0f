package rollout

import (
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// slotWidth is the time that one slot of recent evidence covers, and slots the number of
	// slots that are kept.
	slotWidth = 250 * time.Millisecond
	slots     = 24
)

// source is one life of a host. Its counts only rise.
type source struct {
	host        ident.HostID
	incarnation ident.Incarnation
}

// sample is a number of requests and their answers.
type sample struct {
	sent, failed uint32
	times        Histogram
}

func (s *sample) add(o *sample) {
	s.sent += o.sent
	s.failed += o.failed
	for i, n := range o.times {
		s.times[i] += n
	}
}

// answers returns the number of answers, failures included.
func (s *sample) answers() uint32 { return s.failed + s.times.total() }

// Evidence is what all hosts have reported of the answers to one order. Reports may be late,
// lost or repeated: each holds all counts of its host since the order.
type Evidence struct {
	reported map[source]map[Key]sample
	total    map[Key]*sample
	recent   [slots]map[Key]*sample
	slotAt   [slots]int64 // number of the slot, as time divided by slotWidth
	// open are the requests without an answer, by host: the latest report counts.
	open   map[ident.HostID]openRequests
	oldest time.Time // of the reports
	hosts  map[ident.HostID]hostState
	// restartedAt is the time at which a host last reported from another life than before.
	restartedAt time.Time
	// resumed is set if total began with what an earlier coordinator had: the full reports
	// of hosts are then in it already, but for what was sent since it was stored.
	resumed bool
	first   exposure // sum of these reports
	carried exposure // what the earlier coordinator knew
}

type openRequests struct {
	at     time.Time
	counts map[Key]Histogram
}

// hostState is what a host said of itself in its latest report.
type hostState struct {
	at          time.Time
	incarnation ident.Incarnation
	phase       Phase // of the plan that it follows
	oldRequests int
	longest     time.Duration
}

// exposure is the number of requests that were sent to the new version and to all.
type exposure struct{ New, All uint32 }

func (x *exposure) add(k Key, sent uint32) {
	x.All += sent
	if k.New() {
		x.New += sent
	}
}

// Carried is the evidence that a coordinator stores for its successors: that of each route,
// with the servers of the new version in groups.
type Carried struct {
	Exposed exposure `json:"exposed"`
	Counts  []Count  `json:"counts,omitempty"`
}

// carriedGroups is the number of groups of servers in Carried.
const carriedGroups = 16

// carry returns the evidence for a successor.
func (e *Evidence) carry() Carried {
	sums := map[Key]*sample{}
	for k, s := range e.total {
		if k.New() {
			k.Server = ident.BackendID(fmt.Sprintf("group %d", xxh3.HashString(string(k.Server))%carriedGroups))
		}
		addTo(sums, k, s)
	}
	c := Carried{Exposed: e.exposed()}
	for k, s := range sums {
		c.Counts = append(c.Counts, Count{Route: k.Route, Server: k.Server, Sent: s.sent, Failed: s.failed, Times: s.times.sparse()})
	}
	return c
}

// resume continues from the evidence of an earlier coordinator, in which the hosts' reports
// until now are contained. It is ignored if these reports say more.
func (e *Evidence) resume(now time.Time, c Carried) {
	if e.total == nil {
		e.init(now)
	}
	total, answers, known := map[Key]*sample{}, uint32(0), uint32(0)
	for _, x := range c.Counts {
		s := &sample{sent: x.Sent, failed: x.Failed}
		s.times.add(x.Times)
		total[Key{x.Route, x.Server}] = s
		answers += s.answers()
	}
	for _, s := range e.total {
		known += s.answers()
	}
	if known >= answers {
		return
	}
	for k, s := range e.total {
		e.first.add(k, s.sent)
	}
	e.resumed, e.carried, e.total = true, c.Exposed, total
}

func (e *Evidence) init(now time.Time) {
	e.reported, e.total = map[source]map[Key]sample{}, map[Key]*sample{}
	e.open, e.hosts = map[ident.HostID]openRequests{}, map[ident.HostID]hostState{}
	e.oldest = now
}

// Add adds a report.
func (e *Evidence) Add(now time.Time, r Report) {
	if e.total == nil {
		e.init(now)
	}
	if known, ok := e.hosts[r.Host]; ok && known.incarnation != r.Incarnation {
		e.restartedAt = now
	}
	e.hosts[r.Host] = hostState{at: now, incarnation: r.Incarnation, phase: r.Plan.Phase, oldRequests: r.OldRequests, longest: time.Duration(r.LongestMs) * time.Millisecond}
	from := source{r.Host, r.Incarnation}
	known := e.reported[from]
	if known == nil {
		known = map[Key]sample{}
		e.reported[from] = known
	}
	open := openRequests{at: now, counts: map[Key]Histogram{}}
	if r.Part > 0 && e.open[r.Host].counts != nil {
		open.counts = e.open[r.Host].counts
	}
	for _, c := range r.Counts {
		k := Key{c.Route, c.Server}
		if len(c.Open) > 0 {
			var waiting Histogram
			waiting.add(c.Open)
			open.counts[k] = waiting
		}
		s := sample{sent: c.Sent, failed: c.Failed}
		s.times.add(c.Times)
		if _, again := known[k]; e.resumed && r.Full && !again {
			known[k] = s
			e.first.add(k, s.sent)
			continue
		}
		e.advance(now, known, k, s)
	}
	e.open[r.Host] = open
}

// advance adds what a host has counted since its report before.
func (e *Evidence) advance(now time.Time, known map[Key]sample, k Key, s sample) {
	before := known[k]
	if s.sent < before.sent || s.answers() < before.answers() {
		return // an earlier report that was overtaken
	}
	known[k] = s
	d := sample{sent: s.sent - before.sent, failed: s.failed - min(s.failed, before.failed)}
	for i := range s.times {
		d.times[i] = s.times[i] - min(s.times[i], before.times[i])
	}
	addTo(e.total, k, &d)
	addTo(e.slot(now), k, &d)
}

func addTo(m map[Key]*sample, k Key, d *sample) {
	s := m[k]
	if s == nil {
		s = &sample{}
		m[k] = s
	}
	s.add(d)
}

// slot returns the slot of recent evidence for a time.
func (e *Evidence) slot(now time.Time) map[Key]*sample {
	number := now.UnixNano() / int64(slotWidth)
	i := number % slots
	if e.slotAt[i] != number || e.recent[i] == nil {
		e.slotAt[i], e.recent[i] = number, map[Key]*sample{}
	}
	return e.recent[i]
}

// eachSince calls f for what was reported within a time, at most the time that slots cover. A
// key may come several times.
func (e *Evidence) eachSince(now time.Time, window time.Duration, f func(Key, *sample)) {
	newest := now.UnixNano() / int64(slotWidth)
	oldest := newest - int64(window/slotWidth)
	for i, m := range e.recent {
		if e.slotAt[i] <= oldest || e.slotAt[i] > newest {
			continue
		}
		for k, s := range m {
			f(k, s)
		}
	}
}

// openTTL is the age of a report from which on the requests without an answer in it no longer
// count: they may have been answered.
const openTTL = time.Second

// waiting returns the requests without an answer.
func (e *Evidence) waiting(now time.Time) map[Key]*Histogram {
	sum := map[Key]*Histogram{}
	for _, o := range e.open {
		if now.Sub(o.at) >= openTTL {
			continue
		}
		for k, h := range o.counts {
			x := sum[k]
			if x == nil {
				x = &Histogram{}
				sum[k] = x
			}
			for i, n := range h {
				x[i] += n
			}
		}
	}
	return sum
}

// exposed returns the number of requests sent so far: what the evidence holds, but at least
// what the hosts that run now have sent.
func (e *Evidence) exposed() exposure {
	var x exposure
	for k, s := range e.total {
		x.add(k, s.sent)
	}
	if !e.resumed {
		return x
	}
	sent := exposure{New: x.New - min(x.New, e.carried.New) + e.first.New, All: x.All - min(x.All, e.carried.All) + e.first.All}
	return exposure{New: max(x.New, sent.New), All: max(x.All, sent.All)}
}

// rate returns the requests per second that were sent lately to all versions.
func (e *Evidence) rate(now time.Time) float64 {
	window := min(time.Duration(slots-1)*slotWidth, max(now.Sub(e.oldest), time.Second))
	n := uint32(0)
	e.eachSince(now, window, func(_ Key, s *sample) { n += s.sent })
	return float64(n) / window.Seconds()
}

// oldRequests returns the number of requests that old versions have begun and that have not
// ended, as the hosts that were heard lately report, and the longest time of one.
func (e *Evidence) oldRequests(now time.Time, within time.Duration) (n int, longest time.Duration) {
	for _, h := range e.hosts {
		if now.Sub(h.at) < within {
			n += h.oldRequests
			longest = max(longest, h.longest)
		}
	}
	return n, longest
}

// Heard reports whether a host has reported within a time.
func (e *Evidence) Heard(now time.Time, host ident.HostID, within time.Duration) bool {
	h, ok := e.hosts[host]
	return ok && now.Sub(h.at) < within
}

// heard reports whether a host has reported within a time that it follows a plan of a phase.
func (e *Evidence) heard(now time.Time, host ident.HostID, within time.Duration, p Phase) bool {
	return e.Heard(now, host, within) && e.hosts[host].phase == p
}
