package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fleet is the set of engines of a case.
type fleet struct {
	w       *world
	made    int
	engines []*engine
	all     []*engine // those that have ended, too
}

func (f *fleet) add(zone string) error {
	e, err := f.w.addEngine(fmt.Sprintf("engine-%d", f.made), zone)
	if err != nil {
		return err
	}
	f.made++
	f.engines, f.all = append(f.engines, e), append(f.all, e)
	return nil
}

// take removes an engine of a zone from the set and returns it.
func (f *fleet) take(zone string) *engine {
	for i, e := range f.engines {
		if e.zone == zone {
			f.engines = append(f.engines[:i:i], f.engines[i+1:]...)
			return e
		}
	}
	return nil
}

// crashZones crashes the engines of zones.
func (f *fleet) crashZones(zones ...string) {
	for _, zone := range zones {
		for e := f.take(zone); e != nil; e = f.take(zone) {
			f.w.log.add("%s crashes", e.id)
			e.crash()
		}
	}
}

// Figures of the platform's sheet.
const (
	drainBound = 2 * time.Second
	linger     = 6 * time.Second // for which an engine that leaves serves after drainBound
)

// leaving is an engine that has reported that it leaves.
type leaving struct {
	*engine
	at time.Time // of the answer of the store
}

// replace adds an engine and makes another one of its zone leave, whichever it is.
func (f *fleet) replace() (leaving, error) {
	e := f.engines[rand.IntN(len(f.engines))]
	if err := f.add(e.zone); err != nil {
		return leaving{}, err
	}
	f.engines = slices.DeleteFunc(f.engines, func(x *engine) bool { return x == e })
	x := leaving{e, e.row.report("draining")}
	f.w.log.add("%s is leaving: accepted by the store", e.id)
	time.AfterFunc(drainBound+linger, func() {
		f.w.log.add("%s ends", e.id)
		e.crash()
	})
	return x, nil
}

// drainWait: the engines are replaced one after the other, while those of two zones crash again
// and again. So many streams are lost that the retry budget is used up, and
// streams wait for a part of it.
func drainWait(ctx context.Context, w *world) ([]string, error) {
	const (
		machines = 6
		perZone  = 12
		rate     = 20.0 // streams a second
		ticks    = 300
		tick     = 270 * time.Millisecond
		release  = 1  // ticks from one engine that leaves to the next
		crash    = 13 // ticks from one crash to the next
		back     = 4  // ticks from a crash to the new engines
	)
	f := &fleet{w: w}
	for i := range 3 * perZone {
		if err := f.add(zoneOf(i)); err != nil {
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
	go every(traffic, rate, func() { c.stream(traffic) })
	pause(ctx, 16*time.Second)
	var left []leaving
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for i := 0; i < ticks && ctx.Err() == nil; i++ {
		<-ticker.C
		var err error
		switch {
		case !w.trouble:
		case i%crash == 0:
			f.crashZones("a", "b")
		case i%crash == back:
			for range perZone {
				err = errors.Join(err, f.add("a"), f.add("b"))
			}
		}
		if w.trouble && i%release == 0 {
			x, failed := f.replace()
			err = errors.Join(err, failed)
			left = append(left, x)
		}
		if err != nil {
			return nil, err
		}
	}
	stop()
	pause(ctx, time.Second)
	var violations []string
	for _, x := range left {
		x.mu.Lock()
		for _, a := range x.arrivals {
			if late := a.at.Sub(x.at); late > drainBound {
				violations = append(violations, fmt.Sprintf("DRAIN: %s of %s reached %s %d ms after the store had accepted that it leaves (bound %v)",
					a.request, c.nodeOf(a.request), x.id, late.Milliseconds(), drainBound))
			}
		}
		x.mu.Unlock()
	}
	return violations, nil
}
