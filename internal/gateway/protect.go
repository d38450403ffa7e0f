package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
)

// A run names the engine that gets its copy when it begins, and the engine that
// runs it keeps that copy up to date. When the holder of the copy is lost while
// the run goes on, the run is copied to another engine by order, and again at
// intervals, since such a copy does not follow the run.
//
// Load pattern: data centres are lost in turn, a few seconds apart, and a stream
// lasts longer than that; without a second copy half of the streams would be
// unprotected when their own engine is lost.

const (
	// protectCheck is how often a run's protection is looked at.
	protectCheck = 200 * time.Millisecond
	// copyAgain is the part of the time for which engines keep a copy after which
	// one that was ordered is made anew, and copyDefault that time if the
	// configuration does not say it.
	copyAgain   = 0.7
	copyDefault = 4 * time.Second
	// moveTimeout bounds one order. A copy takes some ten milliseconds, more when
	// links are busy.
	moveTimeout = 1500 * time.Millisecond
)

// runCopy is a copy of a run on another engine.
type runCopy struct {
	holder *fleet.Server
	// source is the address under which the copy is known, and name its name
	// there.
	source string
	name   string
	// refusal is the status with which an order was refused; 0 if it got no answer.
	refusal int
}

// protection keeps a copy of one run. It is used by the goroutine of the stream;
// an order runs in a goroutine of its own and answers through ordered.
type protection struct {
	st      *streamState
	server  *fleet.Server // runs it
	placed  fleet.Placed
	copy    *runCopy // nil if there is none
	made    time.Time
	byOrder bool
	ordered chan *runCopy // not nil while an order is under way
	checked time.Time
	refused fleet.Exclude // engines that had no room
}

func newProtection(st *streamState, server, backup *fleet.Server, placed fleet.Placed) *protection {
	p := &protection{st: st, server: server, placed: placed}
	if backup != nil {
		p.copy = &runCopy{holder: backup, source: backup.Address, name: string(st.call.ID)}
	}
	return p
}

// usable returns the copy that a lost run can go on from; nil if there is none.
func (p *protection) usable() *runCopy {
	if p == nil {
		return nil
	}
	p.collect()
	return p.copy
}

// keep looks after the copy while the run goes on.
func (p *protection) keep(now time.Time) {
	if now.Sub(p.checked) < protectCheck || !p.possible() {
		return
	}
	p.checked = now
	p.collect()
	if p.ordered != nil {
		return
	}
	f := p.st.g.Fleet
	if c := p.copy; c != nil && f.Takes(c.holder, now) {
		if !p.byOrder || now.Sub(p.made) < p.lifetime() {
			return
		}
		p.order(c.holder)
		return
	}
	p.copy = nil
	exclude := slices.Concat(p.refused, p.st.exclude)
	if holder := f.Backup(now, p.server, p.st.memory(), p.st.call.Prompt, exclude); holder != nil {
		p.order(holder)
	}
}

// possible reports whether engines of the service make copies by order.
func (p *protection) possible() bool {
	e := p.st.service.Engine
	return e != nil && e.Moves && p.st.copied()
}

// lifetime is the age up to which an ordered copy counts as kept.
func (p *protection) lifetime() time.Duration {
	ttl := p.st.service.Engine.CopyTTL
	if ttl <= 0 {
		ttl = copyDefault
	}
	return time.Duration(copyAgain * float64(ttl))
}

// order asks the engine for a copy on another one.
func (p *protection) order(holder *fleet.Server) {
	answer := make(chan *runCopy, 1)
	p.ordered, p.byOrder = answer, true
	p.made = time.Now()
	p.count(holder)
	g, server, id := p.st.g, p.server, string(p.st.call.ID)
	go func() {
		c := &runCopy{holder: holder, source: server.Address}
		var ok bool
		if c.name, c.refusal, ok = g.copyRun(server, id, holder.Address); !ok {
			c.name = ""
		}
		answer <- c
	}()
}

// count reserves the room of a copy at its holder. Peers learn of it before it is
// made: when a data centre is lost, many copies are ordered in the same moment,
// and together they would fill the engine that had most room.
func (p *protection) count(holder *fleet.Server) {
	if p.placed.Backup == holder.ID {
		return
	}
	p.uncount()
	p.placed.Backup = holder.ID
	p.st.g.Fleet.Copied(p.st.g.Self, p.placed)
	p.st.g.Announce.Copied(p.placed)
}

// uncount gives the room of the present copy back.
func (p *protection) uncount() {
	if p.placed.Backup == "" {
		return
	}
	p.st.g.Fleet.CopyDropped(p.st.g.Self, p.placed)
	p.st.g.Announce.CopyDropped(p.placed)
	p.placed.Backup = ""
}

// collect takes the answer to an order, if it is there.
func (p *protection) collect() {
	select {
	case c := <-p.ordered:
		p.ordered = nil
		if c.name == "" {
			p.st.note("no copy on %s, status %d", c.holder.ID, c.refusal)
			p.refused = append(p.refused, c.holder.ID)
			p.uncount()
			if p.copy != nil && p.copy.holder == c.holder {
				p.copy = nil
			}
			return
		}
		if p.copy == nil || p.copy.holder != c.holder {
			p.st.note("copied to %s", c.holder.ID)
		}
		p.copy = c
	default:
	}
}

// end frees a copy made by order that the run did not need, at the engines and
// in what the fleets of all nodes count.
func (p *protection) end(needed bool) {
	if !p.byOrder {
		return
	}
	p.st.g.Fleet.End(p.st.g.Self, p.placed)
	p.st.g.Announce.Ended(p.placed)
	if !needed {
		go p.st.g.freeCopy(p.server, p.copy, p.ordered)
	}
}

// freeCopy frees a copy, and the one that an order still makes. Engines free
// copies by themselves too, but only after seconds in which the room is lost.
func (g *Gateway) freeCopy(source *fleet.Server, c *runCopy, ordered <-chan *runCopy) {
	if ordered != nil {
		if last := <-ordered; last.name != "" {
			c = last
		}
	}
	if c == nil || c.name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	conn, err := g.Pool.Get(ctx, addressOf(source), streamFresh)
	if err != nil {
		return // the source is gone; the holder frees the copy by itself
	}
	method, target := g.Codec.FreeCall(c.name)
	response, _, err := g.exchangeSmall(ctx, conn, &backendconn.Request{
		Method: method, Target: target, Host: source.Address, Header: http.Header{},
		Owns: func(http.Header) bool { return true },
	})
	if err != nil {
		g.Pool.Close(conn)
		return
	}
	g.Pool.Put(addressOf(source), conn, response)
}

// copyRun orders an engine to copy a run to the engine at an address, and
// returns the name of the copy and the status of the answer.
func (g *Gateway) copyRun(s *fleet.Server, run, to string) (name string, status int, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	c, err := g.Pool.Get(ctx, addressOf(s), streamFresh)
	if err != nil {
		return "", 0, false
	}
	method, target, body := g.Codec.CopyCall(run, to)
	response, answer, err := g.exchangeSmall(ctx, c, &backendconn.Request{
		Method: method, Target: target, Host: s.Address, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		Owns: func(http.Header) bool { return true },
	})
	if err != nil {
		g.Pool.Close(c)
		return "", 0, false
	}
	g.Pool.Put(addressOf(s), c, response)
	name, ok = g.Codec.CopyName(answer)
	return name, response.StatusCode, ok && response.StatusCode == http.StatusOK
}
