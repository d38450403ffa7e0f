package quarantine

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// EvidenceLifetime is how long a death counts.
	EvidenceLifetime = 10 * time.Minute
	// BurstWindow and burstServers tell a common cause, such as a lost rack,
	// from a request: that many servers that die within the window of one
	// another are a burst. Two are not, because a crashing request that is sent
	// again at once kills two servers within the window. The window covers the
	// spread of detection: up to 1.5 s of silence and a probe.
	BurstWindow  = 2 * time.Second
	burstServers = 3
	// lostLifetime is how long a lost attempt waits for its server's death to
	// become known: a poll each 500 ms, and a probe that may be inconclusive.
	lostLifetime = 3 * time.Second
	// strikesWithoutRepetition is how many deaths confirm a request that had
	// delivered tokens at one of them. Two deaths are not enough: servers die
	// for other reasons, also twice under one long answer.
	strikesWithoutRepetition = 3
	// reportMargin is how much later than a death a peer's evidence must have
	// been sent to count as its report on it: a peer notices a death by its
	// connections or by a probe each 500 ms.
	reportMargin = 500 * time.Millisecond
	// PeerSilence is the time after which a peer is not waited for.
	PeerSilence = 30 * time.Second
	// Bounds of memory: the oldest deaths are dropped first, and fingerprints
	// beyond the bound of one death are not recorded.
	maxDeaths          = 256
	maxDeathRequests   = 512
	maxFingerprintNews = 4096
)

// Verdict is what is known of a fingerprint.
type Verdict int

// Verdicts.
const (
	// Clear: it was on no server that died, or finished since.
	Clear Verdict = iota
	// Suspect: it was on a server that died.
	Suspect
	// Confirmed: it crashes backend servers and is refused.
	Confirmed
)

// String returns the verdict for logs.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "confirmed"}[v] }

// life is one life of a server.
type life struct {
	server      ident.BackendID
	incarnation ident.Incarnation
}

// death is the end of one life and what ran there, as far as known.
type death struct {
	life
	at      time.Time
	running map[Fingerprint]bool
	// starting holds those of running that had delivered no token there.
	starting map[Fingerprint]bool
	sequence uint64
	// explained: a confirmed request was there, so that the others are no
	// suspects by this death.
	explained bool
	// judged: every report on it was known at the last judgement.
	judged bool
}

// run is one attempt that runs on a server.
type run struct {
	server      ident.BackendID
	fingerprint Fingerprint
	// answered tells that it has delivered a token.
	answered bool
	// lostAt is when its connection was lost, zero while it runs.
	lostAt time.Time
}

type peer struct {
	sentAt, heardAt time.Time
	// suspects are the suspects that this peer runs and that are kept apart.
	suspects []Placement
}

// Tracker holds what one node knows. It is not safe for concurrent use.
//
// A request is confirmed if it was on two lives of servers that died before it
// delivered a token there, or on three, and the last time no other suspect was
// there. A suspect by one death that had delivered tokens is not kept apart from
// others and does not count as another suspect: keeping everything apart that ran
// on a lost server would leave most of it waiting for a server of its own. A
// death in a burst makes a suspect
// only of a request that was on another server of the burst, and confirms it only
// if it was on every server of the burst: a lost rack takes many requests once
// each, whereas a crashing request that many nodes place at once is on all the
// servers that it kills. Without the exception such a request would hide behind
// its own burst.
//
// The second death is judged only after every peer that is not silent has
// reported on it, because an innocent suspect may have shared the server with
// the crashing request placed by a node that did not know it yet. Until then the
// request is neither refused nor placed.
type Tracker struct {
	self     ident.HostID
	runs     map[ident.AttemptID]run
	onServer map[ident.BackendID]map[Fingerprint]int
	// deaths is in the order of time as of the last judgement, with later arrivals
	// at the end; byRequest and byLife index it.
	deaths    []*death
	byLife    map[life]*death
	byRequest map[Fingerprint][]*death
	// cleared holds when a suspect last finished: earlier deaths do not count.
	cleared map[Fingerprint]news
	// confirmed holds when a fingerprint's last death was.
	confirmed map[Fingerprint]news
	peers     map[ident.HostID]peer
	// sequence numbers the changes that peers have to learn.
	sequence uint64
	// open: a death changed or waits to be judged.
	open bool
}

// news is a time and the sequence of its change.
type news struct {
	at       time.Time
	sequence uint64
}

// New returns the tracker of a node.
func New(self ident.HostID) *Tracker {
	return &Tracker{
		self:      self,
		runs:      map[ident.AttemptID]run{},
		onServer:  map[ident.BackendID]map[Fingerprint]int{},
		byLife:    map[life]*death{},
		byRequest: map[Fingerprint][]*death{},
		cleared:   map[Fingerprint]news{},
		confirmed: map[Fingerprint]news{},
		peers:     map[ident.HostID]peer{},
	}
}

func (t *Tracker) next() uint64 { t.sequence++; return t.sequence }

// Started records that an attempt runs on a server.
func (t *Tracker) Started(attempt ident.AttemptID, f Fingerprint, server ident.BackendID) {
	t.remove(attempt)
	t.runs[attempt] = run{server: server, fingerprint: f}
	if t.onServer[server] == nil {
		t.onServer[server] = map[Fingerprint]int{}
	}
	t.onServer[server][f]++
}

// Answered records the first token of an attempt. It no longer needs a server
// without other suspects.
func (t *Tracker) Answered(attempt ident.AttemptID) {
	if r, ok := t.runs[attempt]; ok {
		r.answered = true
		t.runs[attempt] = r
	}
}

// Lost records that the connection to an attempt was lost. If its server turns
// out to have died, the attempt counts as one that ran there.
func (t *Tracker) Lost(now time.Time, attempt ident.AttemptID) {
	if r, ok := t.runs[attempt]; ok {
		r.lostAt = now
		t.runs[attempt] = r
	}
}

// Finished records that an attempt ended. Only one that ran to its end, completed,
// clears its fingerprint; one that was cancelled or moved away does not.
func (t *Tracker) Finished(now time.Time, attempt ident.AttemptID, completed bool) {
	f := t.runs[attempt].fingerprint
	t.remove(attempt)
	if completed && len(t.byRequest[f]) > 0 {
		t.clear(f, now)
	}
}

func (t *Tracker) remove(attempt ident.AttemptID) {
	r, ok := t.runs[attempt]
	if !ok {
		return
	}
	delete(t.runs, attempt)
	if t.onServer[r.server][r.fingerprint]--; t.onServer[r.server][r.fingerprint] == 0 {
		delete(t.onServer[r.server], r.fingerprint)
	}
	if len(t.onServer[r.server]) == 0 {
		delete(t.onServer, r.server)
	}
}

// Died records the end of a server's life. Everything that ran there counts as
// ended.
func (t *Tracker) Died(now time.Time, server ident.BackendID, incarnation ident.Incarnation) {
	var running, starting []Fingerprint
	for f := range t.onServer[server] {
		running = append(running, f)
	}
	for attempt, r := range t.runs {
		if r.server != server {
			continue
		}
		if !r.answered {
			starting = append(starting, r.fingerprint)
		}
		t.remove(attempt)
	}
	t.record(life{server, incarnation}, now, running, starting)
}

// record merges what is known of a death and tells whether it is news.
func (t *Tracker) record(l life, at time.Time, running, starting []Fingerprint) {
	d := t.byLife[l]
	if d == nil {
		if len(t.deaths) == maxDeaths {
			t.forget(t.deaths[0])
			t.deaths = t.deaths[1:]
		}
		d = &death{life: l, at: at, running: map[Fingerprint]bool{}, starting: map[Fingerprint]bool{}, sequence: t.next()}
		t.byLife[l] = d
		t.deaths = append(t.deaths, d)
	}
	changed := at.Before(d.at)
	if changed {
		d.at = at
	}
	for _, f := range running {
		if !d.running[f] && len(d.running) < maxDeathRequests {
			changed = true
			d.running[f] = true
			t.byRequest[f] = append(t.byRequest[f], d)
		}
	}
	for _, f := range starting {
		if d.running[f] && !d.starting[f] {
			changed = true
			d.starting[f] = true
		}
	}
	if changed {
		d.sequence = t.next()
	}
	t.open = t.open || changed || d.sequence == t.sequence
}

func (t *Tracker) clear(f Fingerprint, at time.Time) {
	n, known := t.cleared[f]
	if !at.After(n.at) || (!known && len(t.cleared) >= maxFingerprintNews) {
		return
	}
	t.cleared[f] = news{at, t.next()}
	t.open = true
}

// forget drops a death from the indexes.
func (t *Tracker) forget(d *death) {
	delete(t.byLife, d.life)
	for f := range d.running {
		list := t.byRequest[f]
		for i := range list {
			if list[i] == d {
				list = append(list[:i:i], list[i+1:]...)
				break
			}
		}
		if len(list) == 0 {
			delete(t.byRequest, f)
		} else {
			t.byRequest[f] = list
		}
	}
}

// Expire drops what is older than EvidenceLifetime, and peers that are silent,
// and judges the deaths that are settled. It is called with every heartbeat.
func (t *Tracker) Expire(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) > EvidenceLifetime }
	var kept []*death
	for _, d := range t.deaths {
		if old(d.at) {
			t.forget(d)
		} else {
			kept = append(kept, d)
		}
	}
	t.deaths = kept
	for f, n := range t.cleared {
		if old(n.at) {
			delete(t.cleared, f)
		}
	}
	for f, n := range t.confirmed {
		if old(n.at) {
			delete(t.confirmed, f)
		}
	}
	for attempt, r := range t.runs {
		if !r.lostAt.IsZero() && now.Sub(r.lostAt) > lostLifetime {
			t.remove(attempt)
		}
	}
	for host, p := range t.peers {
		if now.Sub(p.heardAt) > PeerSilence {
			delete(t.peers, host)
		}
	}
	t.judge(now)
}
