package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccahatch/yuccahatch/platform/standin"
)

// rejoin: the servers of a plain service are replaced one after the other. Each leaves without a
// report: its row is removed, and it serves on. Meanwhile machines are lost for good, and others are
// added, which are cut off from the store and the other machines for their first seconds.
func rejoin(ctx context.Context, w *world) ([]string, error) {
	const (
		machines = 6
		perNode  = 55.0 // bookings a second
		cycles   = 19
		tick     = 270 * time.Millisecond
		cycle    = 18 // ticks
		heals    = 10 // ticks from the start of a machine to the end of its cut
		release  = 2  // ticks from one server that leaves to the next
	)
	var servers []*plain
	made := 0
	add := func() error {
		s, err := w.addPlain(made)
		made++
		servers = append(servers, s)
		return err
	}
	for range 3 {
		if err := add(); err != nil {
			return nil, err
		}
	}
	if err := w.startNodes(machines); err != nil {
		return nil, err
	}
	pause(ctx, 2*time.Second)
	c := newClients(w)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	for _, n := range w.nodes[:machines] {
		go every(traffic, perNode, func() { c.book(traffic, n) })
	}
	pause(ctx, 4*time.Second)
	type removal struct {
		*plain
		at time.Time
	}
	var path *standin.Endpoint
	var lone *node
	var left []removal
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for i := 0; i < cycles*cycle && ctx.Err() == nil; i++ {
		<-ticker.C
		if i%release == 0 {
			if err := add(); err != nil {
				return nil, err
			}
		}
		if i%release == 1 {
			time.Sleep(rand.N(tick)) // any phase of the nodes' intervals
			s := servers[0]
			servers = servers[1:]
			left = append(left, removal{s, s.row.removeNow()})
			w.log.add("%s is removed: accepted by the store", s.id)
			time.AfterFunc(drainBound+linger, func() { s.http.Close() })
		}
		switch {
		case !w.trouble:
		case i%cycle == 0:
			if lone != nil {
				lone.kill()
				w.log.add("%s is lost for good", lone.name)
			}
			var err error
			if path, lone, err = w.addCutOff(machines + i/cycle); err != nil {
				return nil, err
			}
			w.log.add("%s starts, cut off", lone.name)
		case i%cycle == heals:
			w.log.add("%s reaches the store again", lone.name)
			path.Fail(standin.StoreHealthy)
		}
	}
	stop()
	pause(ctx, time.Second)
	var violations []string
	for _, x := range left {
		x.mu.Lock()
		for _, a := range x.arrivals {
			if late := a.at.Sub(x.at); late > drainBound {
				violations = append(violations, fmt.Sprintf("DRAIN: %s of %s reached %s %d ms after the store had removed it (bound %v)",
					a.request, c.nodeOf(a.request), x.id, late.Milliseconds(), drainBound))
			}
		}
		x.mu.Unlock()
	}
	return violations, nil
}

// addCutOff starts a machine that does not reach the store until its endpoint is healthy, nor the
// machines that its seeds name: at these addresses nobody listens.
func (w *world) addCutOff(i int) (*standin.Endpoint, *node, error) {
	path, err := w.store.NewEndpoint()
	if err != nil {
		return nil, nil, err
	}
	w.onClose(path.Close)
	path.Fail(standin.StoreUnresponsive)
	n, err := w.newNode(i, path.Address(), []string{w.at(i+100, controlOffset), w.at(i+101, controlOffset)})
	if err != nil {
		return nil, nil, err
	}
	return path, n, w.start(n)
}
