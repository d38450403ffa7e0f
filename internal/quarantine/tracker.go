package quarantine

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// EvidenceLifetime is the time for which a death, a completion or a confirmation
	// is taken into account.
	EvidenceLifetime = 10 * time.Minute
	// BurstWindow and minBurstServers distinguish a common cause, such as a lost
	// rack, from a crashing request: a death is part of a burst if at least
	// minBurstServers servers, its own included, died within BurstWindow of it. Two
	// servers are not a burst, because a crashing request that is retried immediately
	// crashes two servers within the window. The window covers the differences in
	// detection time: up to 1.5 s of silence and a probe.
	BurstWindow     = 2 * time.Second
	minBurstServers = 3
	// lostLifetime is the time for which a lost attempt is kept until the death of
	// its server becomes known: servers are polled every 500 ms, and a probe may be
	// inconclusive.
	lostLifetime = 3 * time.Second
	// deathsToConfirmAfterToken is the number of deaths that confirm a request that
	// had delivered tokens before some of them. Two deaths are not enough: servers
	// die for other reasons, which can happen twice during one long answer.
	deathsToConfirmAfterToken = 3
	// reportMargin is the minimum time between a death and the sending of a peer's
	// evidence for the evidence to count as the peer's report on that death. Earlier
	// evidence may have been sent before the peer detected the death, by its
	// connections or by a probe every 500 ms.
	reportMargin = 500 * time.Millisecond
	// PeerTimeout is the time without evidence from a peer after which evaluations
	// no longer wait for its reports.
	PeerTimeout = 30 * time.Second
	// Memory limits. maxDeaths is the maximum number of recorded deaths, of which the
	// oldest are dropped first. maxRequestsPerDeath is the maximum number of
	// fingerprints recorded for one death. maxFindings is the maximum number of
	// cleared fingerprints, and also that of confirmed ones. Fingerprints beyond a
	// limit are not recorded.
	maxDeaths           = 256
	maxRequestsPerDeath = 512
	maxFindings         = 4096
)

// Verdict classifies a fingerprint by the deaths of the servers that its requests
// were on.
type Verdict int

// Verdicts on a fingerprint.
const (
	// Clear means that no death counts against the request: it was on no server
	// that died, has finished since, or another cause explains the deaths.
	Clear Verdict = iota
	// Suspect means that the request was on a server that died.
	Suspect
	// Confirmed means that the request crashes backend servers and is refused.
	Confirmed
)

// String returns the verdict as it appears in logs.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "confirmed"}[v] }

// serverInstance is one incarnation of a server.
type serverInstance struct {
	server      ident.BackendID
	incarnation ident.Incarnation
}

// death is the end of one serverInstance and the requests that ran there, as far as
// they are known to this node.
type death struct {
	serverInstance
	at      time.Time
	running map[Fingerprint]bool
	// starting is the subset of running that had delivered no token there.
	starting map[Fingerprint]bool
	// sequence is the number of the latest change of this record; see Tracker.sequence.
	sequence uint64
	// attributed is set if a confirmed request was there, so that this death makes no
	// other request a suspect.
	attributed bool
	// evaluated is set if every peer's report on the death was known at the last
	// evaluation.
	evaluated bool
}

// run is one attempt that this node started on a server.
type run struct {
	server         ident.BackendID
	fingerprint    Fingerprint
	deliveredToken bool
	// lostAt is the time at which its connection was lost; zero while it runs.
	lostAt time.Time
}

// peer is what is recorded about another node from its latest evidence.
type peer struct {
	sentAt, receivedAt time.Time
	// suspects are the placements, by this peer, of suspects that need isolation and
	// have not delivered a token yet.
	suspects []Placement
}

// Tracker holds one node's evidence about crashing requests. It is not safe for
// concurrent use.
//
// A suspect needs isolation if it had delivered no token on a server that died, or
// if two deaths count against it. Until its first token, such a suspect shares no
// server with another suspect that needs isolation. A suspect against which only one
// death counts, and which had delivered tokens before it, needs no isolation, and the
// rule for confirmation does not count it as another suspect. If all requests of a
// lost server were isolated, most of them would have to wait for a server of their
// own.
//
// A request is confirmed if it was on two server instances that died before it
// delivered a token there, or on three that died, whether it had delivered tokens
// there or not. In both cases, no other suspect may have been on the last of them.
//
// A death in a burst makes a request a suspect only if the request was on another
// server of the burst as well, and confirms it only if the request was on every
// server of the burst: the loss of a rack affects many requests once each, whereas a
// crashing request that many nodes place concurrently is on every server that it
// crashes. If bursts were ignored entirely, such a request would remain undetected
// because of the burst that it caused.
//
// A death is evaluated only after every peer from which evidence arrived within
// PeerTimeout has reported on it, because a harmless suspect may have shared the server
// with the crashing request, placed there by a node that had not yet received the
// evidence. Until then, a request that the death could confirm is neither refused nor
// placed.
type Tracker struct {
	self     ident.HostID
	runs     map[ident.AttemptID]run
	onServer map[ident.BackendID]map[Fingerprint]int
	// deaths is sorted by time as of the last evaluation; later arrivals are at the
	// end. byRequest and byInstance index it.
	deaths     []*death
	byInstance map[serverInstance]*death
	byRequest  map[Fingerprint][]*death
	// cleared holds the time at which a suspect last finished: earlier deaths do not
	// count against it.
	cleared map[Fingerprint]timedChange
	// confirmed holds the time of the last death of a confirmed fingerprint.
	confirmed map[Fingerprint]timedChange
	peers     map[ident.HostID]peer
	// sequence is the number of the newest change. Changes are numbered so that
	// Evidence returns to each peer only what changed since its last report.
	sequence uint64
	// dirty is set if a death changed or awaits evaluation.
	dirty bool
}

// timedChange is a time and the sequence number of the change that set it.
type timedChange struct {
	at       time.Time
	sequence uint64
}

// New returns the tracker of a node.
func New(self ident.HostID) *Tracker {
	return &Tracker{
		self:       self,
		runs:       map[ident.AttemptID]run{},
		onServer:   map[ident.BackendID]map[Fingerprint]int{},
		byInstance: map[serverInstance]*death{},
		byRequest:  map[Fingerprint][]*death{},
		cleared:    map[Fingerprint]timedChange{},
		confirmed:  map[Fingerprint]timedChange{},
		peers:      map[ident.HostID]peer{},
	}
}

func (t *Tracker) nextSequence() uint64 { t.sequence++; return t.sequence }

// Started records that an attempt was started on a server.
func (t *Tracker) Started(attempt ident.AttemptID, f Fingerprint, server ident.BackendID) {
	t.remove(attempt)
	t.runs[attempt] = run{server: server, fingerprint: f}
	if t.onServer[server] == nil {
		t.onServer[server] = map[Fingerprint]int{}
	}
	t.onServer[server][f]++
}

// FirstTokenDelivered records the first token of an attempt. From then on the
// attempt needs no isolation.
func (t *Tracker) FirstTokenDelivered(attempt ident.AttemptID) {
	if r, ok := t.runs[attempt]; ok {
		r.deliveredToken = true
		t.runs[attempt] = r
	}
}

// Lost records that the connection to an attempt was lost. If its server turns out
// to have died, the attempt counts as running there at that time.
func (t *Tracker) Lost(now time.Time, attempt ident.AttemptID) {
	if r, ok := t.runs[attempt]; ok {
		r.lostAt = now
		t.runs[attempt] = r
	}
}

// Finished records that an attempt ended. Only an attempt that ran to completion
// clears its fingerprint; one that was cancelled or moved to another server does
// not.
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

// Died records the death of a server's incarnation. All attempts on the server are
// considered ended.
func (t *Tracker) Died(now time.Time, server ident.BackendID, incarnation ident.Incarnation) {
	var running, starting []Fingerprint
	for f := range t.onServer[server] {
		running = append(running, f)
	}
	for attempt, r := range t.runs {
		if r.server != server {
			continue
		}
		if !r.deliveredToken {
			starting = append(starting, r.fingerprint)
		}
		t.remove(attempt)
	}
	t.recordDeath(serverInstance{server, incarnation}, now, running, starting)
}

// recordDeath merges a report of a death into the recorded deaths. It sets dirty if
// the report adds anything to them.
func (t *Tracker) recordDeath(instance serverInstance, at time.Time, running, starting []Fingerprint) {
	d := t.byInstance[instance]
	if d == nil {
		if len(t.deaths) == maxDeaths {
			t.removeFromIndexes(t.deaths[0])
			t.deaths = t.deaths[1:]
		}
		d = &death{serverInstance: instance, at: at, running: map[Fingerprint]bool{}, starting: map[Fingerprint]bool{}, sequence: t.nextSequence()}
		t.byInstance[instance] = d
		t.deaths = append(t.deaths, d)
	}
	changed := at.Before(d.at)
	if changed {
		d.at = at
	}
	for _, f := range running {
		if !d.running[f] && len(d.running) < maxRequestsPerDeath {
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
		d.sequence = t.nextSequence()
	}
	t.dirty = t.dirty || changed || d.sequence == t.sequence
}

func (t *Tracker) clear(f Fingerprint, at time.Time) {
	n, known := t.cleared[f]
	if !at.After(n.at) || (!known && len(t.cleared) >= maxFindings) {
		return
	}
	t.cleared[f] = timedChange{at, t.nextSequence()}
	t.dirty = true
}

// removeFromIndexes removes a death from byInstance and byRequest.
func (t *Tracker) removeFromIndexes(d *death) {
	delete(t.byInstance, d.serverInstance)
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

// Expire drops evidence older than EvidenceLifetime, attempts lost more than
// lostLifetime ago, and peers from which no evidence arrived for longer than
// PeerTimeout. It then evaluates the deaths on which the reports of all peers are
// known. It is called with every heartbeat.
func (t *Tracker) Expire(now time.Time) {
	expired := func(at time.Time) bool { return now.Sub(at) > EvidenceLifetime }
	var kept []*death
	for _, d := range t.deaths {
		if expired(d.at) {
			t.removeFromIndexes(d)
		} else {
			kept = append(kept, d)
		}
	}
	t.deaths = kept
	for f, n := range t.cleared {
		if expired(n.at) {
			delete(t.cleared, f)
		}
	}
	for f, n := range t.confirmed {
		if expired(n.at) {
			delete(t.confirmed, f)
		}
	}
	for attempt, r := range t.runs {
		if !r.lostAt.IsZero() && now.Sub(r.lostAt) > lostLifetime {
			t.remove(attempt)
		}
	}
	for host, p := range t.peers {
		if now.Sub(p.receivedAt) > PeerTimeout {
			delete(t.peers, host)
		}
	}
	t.evaluate(now)
}
