package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the case of a deadly part.
const (
	deadlyPart    = "dead0001"
	shortEvents   = 20
	stableWindow  = 3 * time.Second // of the platform's sheet
	deadlyCrashes = 5               // number of crashes after which stableWindow begins
	deadlyAllowed = 3               // requests with the part that may reach engines after that
)

// deadlyEngines are engines that requests with the deadly part crash. Each one is back after
// some seconds, as another one.
type deadlyEngines struct {
	w *world

	mu      sync.Mutex
	made    int         // guarded by mu
	crashes []time.Time // guarded by mu; in this order
	arrived []arrival   // guarded by mu; requests with the part, in the order of their arrival
	stopped bool        // guarded by mu; no engine is back any more
}

// deadlyRestart is the time after which an engine is back.
const deadlyRestart = 4 * time.Second

// add adds an engine, unless the case is over.
func (d *deadlyEngines) add(zone string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil
	}
	id := fmt.Sprintf("engine-%d", d.made)
	d.made++
	_, err := d.w.addEngine(id, zone, func(e *engine) {
		e.events, e.first, e.pause = shortEvents, 60*time.Millisecond, 20*time.Millisecond
		e.crashesOn = func(r *http.Request) bool { return d.arrives(e, r) }
		e.ended = sync.OnceFunc(func() { d.crash(e) })
	})
	return err
}

// arrives reports whether a request that has reached an engine has the part, and records it.
func (d *deadlyEngines) arrives(e *engine, r *http.Request) bool {
	if !strings.Contains(r.Header.Get(d.w.names.Prompt), deadlyPart) {
		return false
	}
	id := r.Header.Get(d.w.names.Request)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrived = append(d.arrived, arrival{at: time.Now(), request: id, server: e.id})
	d.w.log.add("%s, which has the part, reaches %s", id, e.id)
	return true
}

func (d *deadlyEngines) crash(e *engine) {
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.mu.Unlock()
	d.w.log.add("%s crashes", e.id)
	e.crash()
	time.AfterFunc(deadlyRestart, func() {
		if err := d.add(e.zone); err != nil {
			d.w.log.add("the engine after %s does not start: %v", e.id, err)
		}
	})
}

// deadlyAgain: a batch of requests with a deadly part crashes engines. Then all machines are
// killed at the same moment and start again, and the next batch comes.
func deadlyAgain(ctx context.Context, w *world) ([]string, error) {
	const (
		machines = 9
		engines  = 9
		rate     = 10.0 // sound requests a second
		batch    = 12
		between  = 5 * time.Second // batches
		dark     = 2 * time.Second // for which the machines are down
		calm     = 6 * time.Second // from their readiness to the next batch; from stableWindow on they are in touch
	)
	d := &deadlyEngines{w: w}
	for i := range engines {
		if err := d.add(zoneOf(i)); err != nil {
			return nil, err
		}
	}
	if err := w.startNodes(machines); err != nil {
		return nil, err
	}
	pause(ctx, time.Second)
	c := newClients(w)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	go every(traffic, rate, func() { c.short(traffic, "5c1e07a2:100") })
	sendBatch := func() {
		w.log.add("%d requests with the part are sent", batch)
		for range batch {
			go c.short(traffic, "5c1e07a2:100,"+deadlyPart+":100")
		}
		pause(ctx, between)
	}
	pause(ctx, between)
	sendBatch()
	var killed, inTouch time.Time // machines are out of touch from the first to the second
	if w.trouble {
		killed = time.Now()
		w.log.add("all machines are killed")
		for _, n := range w.nodes {
			n.kill()
		}
		pause(ctx, dark)
		for _, n := range w.nodes {
			if err := w.start(n); err != nil {
				return nil, err
			}
		}
		if err := w.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
		inTouch = time.Now().Add(stableWindow)
		w.log.add("all machines are ready again")
	}
	pause(ctx, calm)
	sendBatch()
	stop()
	pause(ctx, time.Second)
	return d.judge(c, killed, inTouch)
}

// judge returns the requests with the part that reached engines later than the rule allows, if
// there are more than it allows. Those between the given times do not count.
func (d *deadlyEngines) judge(c *clients, from, to time.Time) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if len(d.crashes) < deadlyCrashes {
		return nil, fmt.Errorf("%d engines have crashed, too few to judge", len(d.crashes))
	}
	slices.SortFunc(d.crashes, time.Time.Compare)
	counted := d.crashes[deadlyCrashes-1]
	var late []string
	for _, a := range d.arrived {
		if after := a.at.Sub(counted); after > stableWindow && (a.at.Before(from) || a.at.After(to)) {
			late = append(late, fmt.Sprintf("BUDGET: %s of %s, which has the part, reached %s %d ms after crash %d (%d allowed after %v)",
				a.request, c.nodeOf(a.request), a.server, after.Milliseconds(), deadlyCrashes, deadlyAllowed, stableWindow))
		}
	}
	fmt.Printf("%d crashes; %d requests with the part reached engines later than %v after crash %d\n", len(d.crashes), len(late), stableWindow, deadlyCrashes)
	if len(late) <= deadlyAllowed {
		return nil, nil
	}
	return late, nil
}

// short asks once for a short stream, with a prompt that begins with parts and ends with one of
// its own.
func (c *clients) short(ctx context.Context, parts string) {
	const timeout = 15 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n, id := c.w.nodes[rand.IntN(len(c.w.nodes))], c.nextID()
	r, err := c.request(ctx, n, id, http.MethodPost, "/plan/quilt", []byte("body of "+id), timeout)
	if err != nil {
		return
	}
	names := &c.w.names
	r.Header.Set(names.Model, "m")
	r.Header.Set(names.Usage, "300,120")
	r.Header.Set(names.Prompt, parts+","+id+":100")
	c.w.log.add("client sends %s to %s, parts %s", id, n.name, parts)
	last := 0
	status, _ := c.readStream(n, r, &last)
	c.w.log.add("client has %d events, status %d of %s", last, status, id)
}
