package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
)

// The request that starts a run names the engine that is to hold its copy, and the
// engine that runs it keeps that copy up to date. When the holder of the copy is
// lost while the run continues, the gateway requests a copy on another engine. It
// repeats that request at intervals, because such an on-demand copy is not kept up
// to date.
//
// Load pattern: data centres are lost in turn, a few seconds apart, and a stream
// lasts longer than that. Without a second copy, half of the streams would have no
// copy when their own engine is lost.

const (
	// copyCheckInterval is how often the copy of a run is checked.
	copyCheckInterval = 200 * time.Millisecond
	// copyRefreshFraction is the age at which an on-demand copy is renewed, as a
	// fraction of the time for which engines keep it. defaultCopyTTL is that time
	// if the configuration does not set it.
	copyRefreshFraction = 0.7
	defaultCopyTTL      = 4 * time.Second
	// copyTimeout bounds a request to make or free a copy. Making a copy
	// takes some ten milliseconds, more when links are busy.
	copyTimeout = 1500 * time.Millisecond
)

// runCopy is a copy of a run on another engine.
type runCopy struct {
	holder *fleet.Server
	// source is the address of the engine at which the copy is registered, and
	// name is its name there; name is empty if the copy was not made.
	source string
	name   string
	// status is the HTTP status of the answer to a request for a copy; 0 if
	// there was no answer.
	status int
}

// copyManager keeps a copy of one run available. Only the goroutine of the stream
// uses it. Each request for a copy runs in a separate goroutine, which sends the
// outcome to pending.
type copyManager struct {
	st          *streamState
	server      *fleet.Server // engine that runs the run
	placed      fleet.Placement
	copy        *runCopy      // nil if there is none
	requestedAt time.Time     // time of the latest request for a copy
	onDemand    bool          // a copy has been requested on demand
	pending     chan *runCopy // not nil while a request for a copy is in progress
	lastCheck   time.Time
	refused     fleet.Exclude // engines on which no copy could be made
}

func newCopyManager(st *streamState, server, backup *fleet.Server, placed fleet.Placement) *copyManager {
	p := &copyManager{st: st, server: server, placed: placed}
	if backup != nil {
		p.copy = &runCopy{holder: backup, source: backup.Address, name: string(st.call.ID)}
	}
	return p
}

// usableCopy returns the copy that the stream can resume from when the run is
// lost; nil if there is none.
func (p *copyManager) usableCopy() *runCopy {
	if p == nil {
		return nil
	}
	p.collect()
	return p.copy
}

// maintain checks the copy every copyCheckInterval while the run continues, and
// requests a new one when the holder is lost or an on-demand copy is due for
// renewal.
func (p *copyManager) maintain(now time.Time) {
	if now.Sub(p.lastCheck) < copyCheckInterval || !p.enabled() || p.st.g.Fleet.InBackoff(p.server, now) {
		return
	}
	p.lastCheck = now
	p.collect()
	if p.pending != nil {
		return
	}
	f := p.st.g.Fleet
	if c := p.copy; c != nil && f.IsUsable(c.holder, now) {
		if !p.onDemand || now.Sub(p.requestedAt) < p.refreshInterval() {
			return
		}
		p.requestCopy(c.holder)
		return
	}
	p.copy = nil
	exclude := slices.Concat(p.refused, p.st.exclude)
	if holder := f.ChooseBackup(now, p.server, p.st.engineMemory(), p.st.call.Prompt, exclude); holder != nil {
		p.requestCopy(holder)
	}
}

// enabled reports whether the service's engines make copies on demand and the
// stream is one that has copies.
func (p *copyManager) enabled() bool {
	e := p.st.service.Engine
	return e != nil && e.CopiesOnDemand && p.st.copiesEnabled()
}

// refreshInterval returns the age at which an on-demand copy is renewed.
func (p *copyManager) refreshInterval() time.Duration {
	ttl := p.st.service.Engine.CopyTTL
	if ttl <= 0 {
		ttl = defaultCopyTTL
	}
	return time.Duration(copyRefreshFraction * float64(ttl))
}

// requestCopy starts a request to the engine that runs the run to copy it to holder.
func (p *copyManager) requestCopy(holder *fleet.Server) {
	answer := make(chan *runCopy, 1)
	p.pending, p.onDemand = answer, true
	p.requestedAt = time.Now()
	p.reserve(holder)
	g, server, id := p.st.g, p.server, string(p.st.call.ID)
	go func() {
		c := &runCopy{holder: holder, source: server.Address}
		defer g.recoverPanic("copy of a run")
		defer func() { answer <- c }()
		var ok bool
		if c.name, c.status, ok = g.copyRun(server, holder, id); !ok {
			c.name = ""
		}
	}()
}

// reserve reserves memory for the copy at its holder in the fleets of this node and
// its peers. Peers are notified before the copy is made: when a data centre is lost,
// many copies are requested at the same moment, and together they would fill the
// engine that had the most free memory.
func (p *copyManager) reserve(holder *fleet.Server) {
	if p.placed.Backup == holder.ID {
		return
	}
	p.release()
	p.placed.Backup = holder.ID
	p.st.g.Fleet.AddCopy(p.st.g.Self, p.placed)
	p.st.g.Announce.CopyAdded(p.placed)
}

// release cancels the reservation for the current copy.
func (p *copyManager) release() {
	if p.placed.Backup == "" {
		return
	}
	p.st.g.Fleet.RemoveCopy(p.st.g.Self, p.placed)
	p.st.g.Announce.CopyRemoved(p.placed)
	p.placed.Backup = ""
}

// collect handles the outcome of a request for a copy if one has arrived.
func (p *copyManager) collect() {
	select {
	case c := <-p.pending:
		p.pending = nil
		if c.name == "" {
			p.st.addStep("no copy on %s, status %d", c.holder.ID, c.status)
			p.refused = append(p.refused, c.holder.ID)
			p.release()
			if p.copy != nil && p.copy.holder == c.holder {
				p.copy = nil
			}
			return
		}
		if p.copy == nil || p.copy.holder != c.holder {
			p.st.addStep("copied to %s", c.holder.ID)
		}
		p.copy = c
	default:
	}
}

// end removes the run from the fleets of all nodes, and frees an on-demand copy at
// the engines unless the stream resumes from it. It does nothing if no copy was
// requested on demand.
func (p *copyManager) end(copyUsed bool) {
	if !p.onDemand {
		return
	}
	p.st.g.Fleet.RemoveRun(p.st.g.Self, p.placed)
	p.st.g.Announce.RunEnded(p.placed)
	if !copyUsed {
		go p.st.g.freeCopy(p.server, p.copy, p.pending)
	}
}

// freeCopy frees a copy. If a request for a copy is in progress, it waits for it and
// frees the new copy if one was made. Engines also free copies by themselves, but
// only after seconds in which the memory is not available.
func (g *Gateway) freeCopy(source *fleet.Server, c *runCopy, pending <-chan *runCopy) {
	defer g.recoverPanic("release of a copy")
	if pending != nil {
		if last := <-pending; last.name != "" {
			c = last
		}
	}
	if c == nil || c.name == "" || g.Fleet.InBackoff(source, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if !g.permitted(ctx, source) {
		return // the holder frees the copy by itself
	}
	conn, err := g.Pool.Get(ctx, addressOf(source), noRequestID, streamMaxIdle)
	if err != nil {
		return // the source is unreachable; the holder frees the copy by itself
	}
	method, target := g.Codec.FreeCall(c.name)
	response, _, err := g.exchangeSmall(ctx, source, conn, &backendconn.Request{
		Method: method, Target: target, Host: source.Address, Header: http.Header{},
		Matches: g.Codec.IsOwnAnswer,
	})
	if err != nil {
		g.Pool.Close(conn)
		return
	}
	g.Pool.Put(addressOf(source), conn, response)
}

// copyRun makes an engine copy a run to holder, and returns the name of the copy and the
// HTTP status of the answer; the status is 0 if there was no answer or the limit of one of
// the engines allows no copy now.
func (g *Gateway) copyRun(s, holder *fleet.Server, run string) (name string, status int, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if !g.permitted(ctx, holder) || !g.permitted(ctx, s) {
		return "", 0, false
	}
	c, err := g.Pool.Get(ctx, addressOf(s), noRequestID, streamMaxIdle)
	if err != nil {
		return "", 0, false
	}
	method, target, body := g.Codec.CopyCall(run, holder.Address)
	response, answer, err := g.exchangeSmall(ctx, s, c, &backendconn.Request{
		Method: method, Target: target, Host: s.Address, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		Matches: g.Codec.IsOwnAnswer,
	})
	if err != nil {
		g.Pool.Close(c)
		return "", 0, false
	}
	g.Pool.Put(addressOf(s), c, response)
	name, ok = g.Codec.CopyName(answer)
	return name, response.StatusCode, ok && response.StatusCode == http.StatusOK
}
