package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
)

const (
	// locateWait is the longest time for which a request waits to learn which
	// engine holds its prompt. Reading the prompt again takes a second.
	locateWait = 200 * time.Millisecond
	// locateFresh is the age up to which the engines' answers are used again.
	locateFresh = 3 * time.Second
)

// locator shares one round of questions among all requests that wait for it.
//
// Load pattern: all nodes are lost at once and come back knowing nothing; the
// clients come back within milliseconds with the part of the answer that they
// have, and the engines still hold their prompts.
type locator struct {
	mu      sync.Mutex
	service string        // guarded by mu
	asked   time.Time     // guarded by mu; start of the newest round
	done    chan struct{} // guarded by mu; closed when the round has ended
}

// locate makes sure that the fleet knows which engine holds the prompt of a
// request that continues an answer, if any does.
func (g *Gateway) locate(ctx context.Context, service string, part uint64) {
	now := time.Now()
	if part == 0 || g.Fleet.Held(now, service, part) {
		return
	}
	done := g.locating.begin(now, service, func(finished func()) {
		g.askHeld(g.Fleet.Usable(now, service))
		finished()
	})
	timeout := time.NewTimer(locateWait)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// begin starts a round unless a fresh one exists, and returns its end.
func (l *locator) begin(now time.Time, service string, round func(finished func())) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done != nil && l.service == service && now.Sub(l.asked) < locateFresh {
		return l.done
	}
	done := make(chan struct{})
	l.service, l.asked, l.done = service, now, done
	go round(func() { close(done) })
	return done
}

// askHeld asks engines for the prompts that they hold.
func (g *Gateway) askHeld(servers []*fleet.Server) {
	method, target := g.Codec.HeldCall()
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			response, body, err := g.ask(addressOf(s), method, target)
			if err == nil && response.StatusCode == http.StatusOK {
				g.Fleet.Holds(time.Now(), s, g.Codec.Held(body))
			}
		})
	}
	wg.Wait()
}
