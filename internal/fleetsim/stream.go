package fleetsim

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/overload"
)

// clientTries is how often a client asks for one stream.
const clientTries = 2

// stream is one request of a client with all its attempts.
type stream struct {
	p *play
	Arrival
	part    uint64
	host    *host
	tries   int
	losses  int
	made    int // output tokens that the client has
	engine  *engine
	placed  fleet.Placed
	copyAt  *engine
	exclude fleet.Exclude
	last    time.Duration // time of the newest event
	lostAt  time.Duration // time of a loss that the stream has not got over; 0 if none
	late    bool
	over    bool
}

func (p *play) arrive(i int, a Arrival) {
	p.out.Streams++
	p.out.StreamsOf[a.Team]++
	s := &stream{p: p, Arrival: a, part: uint64(i + 1), host: p.hosts[a.Host]}
	p.after(p.setup.Patience, func() { s.end(false) })
	s.ask()
}

func (s *stream) left() time.Duration { return s.At + s.p.setup.Patience - s.p.now }

// ask is one request of the client.
func (s *stream) ask() {
	if s.over {
		return
	}
	s.tries++
	s.place()
}

func (s *stream) prompt() fleet.Prompt {
	return fleet.Prompt{Tokens: s.Tokens, Output: s.Output, Part: s.part}
}

// place chooses an engine that reads the whole prompt.
func (s *stream) place() {
	p, now := s.p, s.p.clock()
	choice, ok := p.setup.Place(p, s.host, s)
	if !ok {
		p.after(50*time.Millisecond, func() {
			if !s.over {
				s.place()
			}
		})
		return
	}
	if p.setup.Admission && s.made == 0 {
		v := s.host.overload.Decide(now, overload.Offer{
			Team: s.Team, Work: choice.Prefill, Wait: choice.Wait, Free: choice.Free, Target: p.setup.Objective, Left: s.left(),
			Late:      p.now-s.At+choice.Prefill > p.setup.Objective,
			Continues: s.losses > 0, Readers: float64(len(p.engines)) / float64(len(p.hosts)),
		}, p.rng.Float64())
		if !v.Admit {
			s.refused(v.RetryAfter)
			return
		}
	}
	e := p.engine(choice.Server.ID)
	if e == nil { // lost, which the host has not seen yet
		s.host.fleet.Lost(now, choice.Server.ID, fleet.LossRefused)
		s.exclude = append(s.exclude, choice.Server.ID)
		p.after(resetSeen, func() {
			if !s.over {
				s.place()
			}
		})
		return
	}
	s.run(e, choice.Server, s.Tokens+s.made)
}

func (s *stream) refused(retryAfter time.Duration) {
	s.p.out.Refusals++
	if s.tries >= clientTries {
		s.end(false)
		return
	}
	s.p.after(min(retryAfter, s.left()/3), s.ask)
}

// run begins an attempt on an engine that has still to read unread tokens.
func (s *stream) run(e *engine, server *fleet.Server, unread int) {
	p, now := s.p, s.p.clock()
	s.host.runs++
	s.placed = fleet.Placed{
		Run: s.host.runs, Server: e.id, Tokens: s.Tokens + s.Output, Part: s.part,
		Prefill: s.host.fleet.PrefillOn(server, fleet.Prompt{Tokens: unread}),
	}
	s.copyAt = nil
	if fleet.Copied(p.setup.CopyWeight, s.prompt()) {
		if b := s.host.fleet.Backup(now, server, p.setup.Memory, s.prompt(), s.exclude); b != nil {
			if holder := p.engine(b.ID); holder != nil {
				s.copyAt, s.placed.Backup = holder, b.ID
			}
		}
	}
	placed, from := s.placed, s.host.id
	p.news(s.host, func(h *host) { h.fleet.Start(p.clock(), from, placed) })
	s.engine = e
	e.add(s, unread)
}

// token takes the newest token of a run.
func (s *stream) token(e *engine, made int) {
	if s.over || s.engine != e {
		return
	}
	p := s.p
	if made == s.made+1 && (s.made == 0 || s.lostAt > 0) {
		s.firstOf(e)
	}
	s.made = made
	if made%eventTokens == 0 || made >= s.Output {
		if s.last > 0 && p.now-s.last > p.setup.MaxGap {
			s.late = true
		}
		s.last = p.now
	}
	if made >= s.Output {
		s.end(true)
	}
}

// firstOf notes that the engine has read the prompt.
func (s *stream) firstOf(e *engine) {
	p, placed, from := s.p, s.placed, s.host.id
	p.news(s.host, func(h *host) { h.fleet.First(p.clock(), from, placed) })
	if s.copyAt != nil && !s.copyAt.lost {
		s.copyAt.copies[s] = s.Tokens + s.made
		p.out.TokensCopied += s.Tokens
	}
	if s.made == 0 {
		first := p.now - s.At
		p.out.First[s.Team] = append(p.out.First[s.Team], first)
		s.late = s.late || first > p.setup.Objective
	}
	if s.lostAt > 0 {
		p.out.Resumes = append(p.out.Resumes, p.now-s.lostAt)
		s.lostAt = 0
	}
}

// engineLost carries the stream on after its host has seen the loss.
func (s *stream) engineLost(e *engine, silent bool) {
	if s.over || s.engine != e {
		return
	}
	p, how := s.p, fleet.LossRefused
	seen := resetSeen
	if silent {
		how, seen = fleet.LossSilent, silenceSeen
	}
	p.news(s.host, func(h *host) { h.fleet.Lost(p.clock(), e.id, how) })
	s.losses++
	if s.lostAt == 0 {
		s.lostAt = p.now - seen
	}
	s.exclude = append(s.exclude, e.id)
	holder := s.copyAt
	s.leave()
	if holder != nil && !holder.lost && holder.copies[s] > 0 {
		delete(holder.copies, s)
		s.run(holder, s.host.fleet.Server(holder.id), 0)
		return
	}
	s.place()
}

// leave takes the present attempt off its engine.
func (s *stream) leave() {
	if s.engine == nil {
		return
	}
	s.engine.remove(s)
	s.engine = nil
	placed, from := s.placed, s.host.id
	s.p.news(s.host, func(h *host) { h.fleet.End(from, placed) })
}

func (s *stream) end(whole bool) {
	if s.over {
		return
	}
	s.over = true
	if s.copyAt != nil {
		delete(s.copyAt.copies, s)
		s.copyAt.wake()
	}
	s.leave()
	out := &s.p.out
	switch {
	case !whole:
		out.Failed++
	case s.late:
		out.Late++
	default:
		out.InTime++
		out.InTimeOf[s.Team]++
	}
}
