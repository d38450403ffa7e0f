package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
)

const (
	// locateTimeout is the longest time for which a request waits for the engines'
	// answers about their cached prompts. Reading the prompt again takes a second.
	locateTimeout = 200 * time.Millisecond
	// maxLocateCalls is the maximum number of calls of a round that run at once. It
	// bounds the memory for their answers.
	maxLocateCalls = 32
	// locateMaxAge is the age up to which the engines' answers are reused.
	locateMaxAge = 3 * time.Second
)

// locator lets all requests that wait for the engines' answers share one round
// of queries.
//
// Load pattern: all nodes are lost at once and restart without any state. Within
// milliseconds clients reconnect to resume their answers, and the engines still
// have their prompts cached.
type locator struct {
	mu        sync.Mutex
	service   string        // guarded by mu
	startedAt time.Time     // guarded by mu; start of the newest round
	done      chan struct{} // guarded by mu; closed when the round has ended
}

// locatePrompt queries the engines of a service for the prompts that they have
// cached, unless the fleet already records an engine that holds the prompt with the
// given hash of its last part. It is used for requests that resume an answer. It
// returns when the round has ended, after locateTimeout, or when ctx ends.
func (g *Gateway) locatePrompt(ctx context.Context, service string, part uint64) {
	now := time.Now()
	if part == 0 || g.Fleet.IsPromptCached(now, service, part) {
		return
	}
	done := g.locating.begin(now, service, func(finished func()) {
		g.queryCachedPrompts(g.Fleet.Accepting(now, service))
		finished()
	})
	timeout := time.NewTimer(locateTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// begin starts a round, unless the newest one is for the same service and
// younger than locateMaxAge, and returns a channel that is closed when the
// round has ended.
func (l *locator) begin(now time.Time, service string, round func(finished func())) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done != nil && l.service == service && now.Sub(l.startedAt) < locateMaxAge {
		return l.done
	}
	done := make(chan struct{})
	l.service, l.startedAt, l.done = service, now, done
	go round(func() { close(done) })
	return done
}

// queryCachedPrompts queries engines for the prompts that they have cached and
// records the answers in the fleet.
func (g *Gateway) queryCachedPrompts(servers []*fleet.Server) {
	method, target := g.Codec.CachedPromptsCall()
	var wg sync.WaitGroup
	running := make(chan struct{}, maxLocateCalls)
	for _, s := range servers {
		running <- struct{}{}
		wg.Go(func() {
			defer g.recoverPanic("query of cached prompts")
			defer func() { <-running }()
			response, body, err := g.call(s, method, target)
			if err == nil && response.StatusCode == http.StatusOK {
				g.Fleet.RecordCachedPrompts(time.Now(), s, g.Codec.CachedPrompts(body))
			}
		})
	}
	wg.Wait()
}
