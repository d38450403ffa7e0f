package main

import (
	"context"
	"fmt"
	"time"
)

// retryAfter: a server of a plain service turns requests away for a moment and asks each
// machine for a pause. More machines than slots share the servers, so that one of them assigns
// the calls.
func retryAfter(ctx context.Context, w *world) ([]string, error) {
	const (
		machines = 20
		perNode  = 6.0 // bookings a second
		within   = 100 * time.Millisecond
		asked    = 4 * time.Second
	)
	var servers []*plain
	for i := range 3 {
		s, err := w.addPlain(i)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if err := w.startNodes(machines); err != nil {
		return nil, err
	}
	pause(ctx, 2*time.Second)
	c := newClients(w)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	for _, n := range w.nodes {
		go every(traffic, perNode, func() { c.book(traffic, n) })
	}
	pause(ctx, 8*time.Second)
	for i := range 6 {
		s := servers[i%len(servers)]
		if w.trouble {
			w.log.add("%s turns away some of what arrives within %v", s.id, within)
			s.turnAway(within, asked)
		}
		pause(ctx, 6*time.Second)
	}
	stop()
	pause(ctx, 2*time.Second)
	var violations []string
	for _, s := range servers {
		violations = append(violations, judgePauses(c, s)...)
	}
	return violations, nil
}

// Figures of the rule.
const (
	pauseSlack   = 500 * time.Millisecond
	pauseAllowed = 2
)

// judgePauses returns the machines from which more requests have reached a server than the rule
// allows after it has asked them for a pause.
func judgePauses(c *clients, s *plain) (violations []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, refused := range s.arrivals {
		if refused.pause == 0 {
			continue
		}
		machine := c.nodeOf(refused.request)
		var late []string
		for _, a := range s.arrivals {
			since := a.at.Sub(refused.at)
			if since > pauseSlack && since < refused.pause && c.nodeOf(a.request) == machine {
				late = append(late, fmt.Sprintf("%s after %d ms", a.request, since.Milliseconds()))
			}
		}
		if len(late) > pauseAllowed {
			violations = append(violations, fmt.Sprintf("BUDGET: %s turned %s of %s away and asked for %v; %d requests came from it meanwhile: %v",
				s.id, refused.request, machine, refused.pause, len(late), late))
		}
	}
	return violations
}
