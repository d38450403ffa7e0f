package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// A load of calls that many hosts send to a few servers of different and changing speed, in
// virtual time: once with the dispatcher, and once with each host choosing by itself, as it
// does without one.
type loadPlay struct {
	rng     *rand.Rand
	now     time.Time
	events  events
	servers []*playServer
	hosts   []*fleet.Fleet
	service *Service // nil if each host chooses by itself
	number  uint64
	pending map[ID]*playCall

	asked, inTime, late, failed int
	arrivals, full              int

	// pauses makes one server after the other turn some calls away and ask their hosts for a
	// pause. notKept counts the calls that reach it in such a pause, and ticks and idle the
	// slots and those that were idle although a call waited that may use them.
	pauses      bool
	notKept     int
	ticks, idle int
}

// Figures of the pauses that servers ask for.
const (
	pauseEvery  = 6 * time.Second
	pauseWindow = 100 * time.Millisecond // in which calls are turned away
	pauseShare  = 0.45                   // of them
	pauseAsked  = 4 * time.Second
	pauseSlack  = 500 * time.Millisecond // after which the pause must be kept
)

type playServer struct {
	id      ident.BackendID
	speed   float64 // time of a call, as a multiple of the usual
	noisy   float64 // the same for a moment
	running int
	waiting []*playCall
	told    map[int]time.Time // when hosts were last asked for a pause
}

type playCall struct {
	host    int
	at      time.Time
	retried int
	id      ID
	sentAt  time.Time
	except  fleet.Exclude
	waits   bool // at the dispatcher
}

type playEvent struct {
	at time.Time
	do func()
}

type events []playEvent

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(playEvent)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	playHosts     = 91
	playSlots     = 6
	playQueue     = 24
	playWork      = 60 * time.Millisecond
	playObjective = 300 * time.Millisecond
	playDeadline  = 1500 * time.Millisecond
	oneWay        = 1500 * time.Microsecond
)

func newLoadPlay(seed uint64, dispatched bool) *loadPlay {
	p := &loadPlay{rng: rand.New(rand.NewPCG(seed, 3)), now: at(0), pending: map[ID]*playCall{}}
	if dispatched {
		p.service = &Service{}
	}
	var list []Server
	for i, speed := range []float64{0.55, 0.8, 1, 1.2} {
		id := ident.BackendID(fmt.Sprint("s", i))
		p.servers = append(p.servers, &playServer{id: id, speed: speed, noisy: 1, told: map[int]time.Time{}})
		list = append(list, Server{ID: id, Slots: playSlots})
	}
	if dispatched {
		p.service.SetServers(list)
	}
	for i := range playHosts {
		f := fleet.New(ident.HostID(fmt.Sprint("h", i)), p.now)
		for j, s := range p.servers {
			f.Put(p.now, fleet.Entry{ID: s.id, Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", j+1), DataCentre: "a", Slots: playSlots, Sequence: 1})
		}
		p.hosts = append(p.hosts, f)
	}
	return p
}

func (p *loadPlay) after(d time.Duration, do func()) {
	heap.Push(&p.events, playEvent{p.now.Add(d), do})
}

// run plays calls at a mean rate, with a third of the time at twice that.
func (p *loadPlay) run(rate float64, d time.Duration) {
	end := p.now.Add(d)
	var arrive, noise, tick func()
	arrive = func() {
		r := rate
		if p.now.Unix()%3 == 0 {
			r *= 2
		}
		p.after(time.Duration(p.rng.ExpFloat64()/r*float64(time.Second)), arrive)
		p.asked++
		p.begin(&playCall{host: p.rng.IntN(playHosts), at: p.now})
	}
	noise = func() {
		for _, s := range p.servers {
			s.noisy = 1
			if p.rng.Float64() < 0.15 {
				s.noisy = 2.5
			}
		}
		p.after(600*time.Millisecond, noise)
	}
	tick = func() {
		if p.pauses {
			p.countIdle()
		}
		p.next()
		p.after(5*time.Millisecond, tick)
	}
	p.after(0, arrive)
	p.after(0, noise)
	p.after(0, tick)
	for p.now.Before(end) {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do()
	}
}

func (p *loadPlay) begin(c *playCall) {
	left := playDeadline - p.now.Sub(c.at)
	if left <= 0 {
		p.failed++
		return
	}
	if p.service == nil {
		choice, ok := p.hosts[c.host].ChoosePlain(p.now, "s", fleet.Pool{}, c.except)
		if !ok {
			p.refused(c, 300*time.Millisecond)
			return
		}
		p.send(c, choice.Server.ID)
		return
	}
	p.number++
	c.id = ID{ident.HostID(fmt.Sprint("h", c.host)), p.number}
	p.pending[c.id] = c
	p.after(2*oneWay, func() {
		a := p.service.Ask(p.now, Call{ID: c.id, Route: "r", UntilObjective: playObjective - p.now.Sub(c.at), UntilDeadline: left, Except: p.except(c)})
		c.waits = a == (Answer{})
		p.decided(c.id, a)
	})
	p.askAgain(c)
}

// askAgain repeats the question of a call that waits.
func (p *loadPlay) askAgain(c *playCall) {
	p.after(120*time.Millisecond, func() {
		if p.pending[c.id] == c {
			p.decided(c.id, p.service.Ask(p.now, Call{ID: c.id, Route: "r", UntilObjective: time.Millisecond, UntilDeadline: time.Millisecond, Except: p.except(c)}))
			p.askAgain(c)
		}
	})
}

func (p *loadPlay) next() {
	if p.service == nil {
		return
	}
	for _, g := range p.service.Next(p.now) {
		p.decided(g.ID, g.Answer)
	}
}

func (p *loadPlay) decided(id ID, a Answer) {
	c := p.pending[id]
	switch {
	case c == nil:
	case a.NoServer:
		delete(p.pending, id)
		p.after(oneWay, func() { p.refused(c, p.hosts[c.host].BackoffLeft(p.now, "s")) })
	case a.Refused:
		delete(p.pending, id)
		p.after(oneWay, func() { p.refused(c, a.Room) })
	case a.Server != "":
		delete(p.pending, id)
		p.after(oneWay, func() {
			if slices.Contains(p.except(c), a.Server) {
				p.after(oneWay, func() { p.service.Cancel(id); p.next() })
				p.begin(c)
				return
			}
			p.send(c, a.Server)
		})
	}
}

// except returns the servers that a call must not be assigned to.
func (p *loadPlay) except(c *playCall) fleet.Exclude {
	return p.hosts[c.host].Assignable(p.now, "s", fleet.Pool{}).Except(c.except, nil)
}

// countIdle counts the slots that are idle although a call waits that may use them.
func (p *loadPlay) countIdle() {
	for _, s := range p.servers {
		p.ticks += playSlots
		usable := 0
		for _, c := range p.pending {
			if c.waits && !slices.Contains(p.except(c), s.id) {
				usable++
			}
		}
		p.idle += min(usable, playSlots-s.running)
	}
}

// turnsAway reports whether a server turns an arriving call away and asks for a pause.
func (p *loadPlay) turnsAway(s *playServer) bool {
	since := p.now.Sub(at(0))
	number := int(since / pauseEvery)
	return p.pauses && p.servers[number%len(p.servers)] == s && since%pauseEvery < pauseWindow && p.rng.Float64() < pauseShare
}

// refused lets the client come back once, or go elsewhere after a full server.
func (p *loadPlay) refused(c *playCall, room time.Duration) {
	if c.retried++; c.retried > 2 || p.now.Add(room).Sub(c.at) > playDeadline {
		p.failed++
		return
	}
	c.except, c.waits = nil, false
	p.after(room, func() { p.begin(c) })
}

func (p *loadPlay) send(c *playCall, id ident.BackendID) {
	host := p.hosts[c.host]
	host.BeginRequest(host.Server(id))
	c.sentAt = p.now
	p.after(oneWay, func() {
		s := p.serverOf(id)
		p.arrivals++
		if since := p.now.Sub(s.told[c.host]); since > pauseSlack && since < pauseAsked {
			p.notKept++
		}
		switch {
		case p.turnsAway(s):
			s.told[c.host] = p.now
			p.after(oneWay, func() {
				host.RecordRetryAfter(p.now, host.Server(id), pauseAsked)
				p.turnedAway(s, c)
			})
		case s.running < playSlots:
			p.start(s, c)
		case len(s.waiting) < playQueue:
			s.waiting = append(s.waiting, c)
		default:
			p.full++
			p.after(oneWay, func() { p.turnedAway(s, c) })
		}
	})
}

func (p *loadPlay) serverOf(id ident.BackendID) *playServer {
	for _, s := range p.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (p *loadPlay) turnedAway(s *playServer, c *playCall) {
	host := p.hosts[c.host]
	host.EndRequest(host.Server(s.id))
	host.RecordFull(host.Server(s.id), p.now)
	if p.service != nil {
		p.after(oneWay, func() { p.service.End(p.now, c.id, End{Full: true}) })
	}
	if c.except = append(c.except, s.id); len(c.except) < len(p.servers) {
		p.begin(c)
		return
	}
	p.refused(c, 100*time.Millisecond)
}

func (p *loadPlay) start(s *playServer, c *playCall) {
	s.running++
	work := time.Duration(float64(playWork) * s.speed * s.noisy * math.Exp(0.2*p.rng.NormFloat64()))
	p.after(work, func() {
		s.running--
		load := fleet.Load{Running: s.running, Waiting: len(s.waiting), Slots: playSlots, Pace: s.noisy}
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			p.start(s, next)
		}
		p.after(oneWay, func() { p.answered(s, c, load) })
	})
}

func (p *loadPlay) answered(s *playServer, c *playCall, load fleet.Load) {
	host := p.hosts[c.host]
	host.EndRequest(host.Server(s.id))
	host.RecordLoad(host.Server(s.id), p.now, load)
	if took := p.now.Sub(c.sentAt); p.service != nil {
		p.after(oneWay, func() {
			p.service.End(p.now, c.id, End{Took: took, Load: &Load{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Pace: load.Pace}})
			p.next()
		})
	}
	switch took := p.now.Sub(c.at); {
	case took <= playObjective:
		p.inTime++
	case took <= playDeadline:
		p.late++
	default:
		p.failed++
	}
}

func (p *loadPlay) share(n int) float64 { return float64(n) / float64(max(1, p.asked)) }

// Guards against an assignment that serves callers worse than hosts that choose by
// themselves, under a load that is above what the servers can run for a part of the time.
func TestLoadOfManyHosts(t *testing.T) {
	for seed := range uint64(4) {
		alone, together := newLoadPlay(seed, false), newLoadPlay(seed, true)
		alone.run(220, 30*time.Second)
		together.run(220, 30*time.Second)
		for name, p := range map[string]*loadPlay{"each host by itself": alone, "dispatcher": together} {
			t.Logf("seed %d, %s: in time %.3f, late %.3f, failed %.3f; %.3f of the arrivals turned away as full", seed, name,
				p.share(p.inTime), p.share(p.late), p.share(p.failed), float64(p.full)/float64(max(1, p.arrivals)))
		}
		if together.share(together.inTime) < alone.share(alone.inTime) || together.share(together.failed) > alone.share(alone.failed) {
			t.Errorf("seed %d: callers are served worse", seed)
		}
		if full := float64(together.full) / float64(together.arrivals); full > 0.05 {
			t.Errorf("seed %d: %.3f of the arrivals were turned away as full", seed, full)
		}
	}
}

// Guards against calls that reach a server in the pause that it has asked their host for, and
// against an assignment that serves callers worse, while servers ask for pauses, than hosts that
// choose by themselves.
func TestPausesUnderLoad(t *testing.T) {
	for seed := range uint64(4) {
		alone, together := newLoadPlay(seed, false), newLoadPlay(seed, true)
		for name, p := range map[string]*loadPlay{"each host by itself": alone, "dispatcher": together} {
			p.pauses = true
			p.run(220, 30*time.Second)
			t.Logf("seed %d, %s: in time %.3f, failed %.3f, slots idle while calls wait for them %.5f", seed, name,
				p.share(p.inTime), p.share(p.failed), float64(p.idle)/float64(p.ticks))
			if p.notKept > 0 {
				t.Errorf("seed %d, %s: %d calls reach a server in a pause", seed, name, p.notKept)
			}
		}
		if together.share(together.inTime) < alone.share(alone.inTime) || together.share(together.failed) > alone.share(alone.failed) {
			t.Errorf("seed %d: callers are served worse", seed)
		}
	}
}
