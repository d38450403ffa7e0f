package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// locateTimeout is the longest time for which a request waits for the engines'
	// answers about their cached prompts. Reading the prompt again takes a second.
	locateTimeout = 200 * time.Millisecond
	// maxLocateCalls is the maximum number of calls for one prompt that run at once. It
	// bounds the memory for their answers.
	maxLocateCalls = 32
	// locateMaxAge is the age up to which an engine's answer is reused.
	locateMaxAge = 3 * time.Second
	// maxLocateEngines is the maximum number of engines that are asked for one prompt.
	// Placement prefers the first engines in the order of the prompt's hash, so the one
	// that read the prompt is nearly always among them.
	maxLocateEngines = 32
)

// locator remembers which engines were asked a short time ago, so that requests that
// wait for the answers of the same engines share them.
//
// Load pattern: all nodes are lost at once and restart without any state. Within
// milliseconds clients reconnect to resume their answers, and the engines still
// have their prompts cached. With hundreds of nodes and engines, a node that asked all
// engines would cost as many calls as all its streams together.
type locator struct {
	mu    sync.Mutex
	asked map[ident.BackendID]*inquiry // guarded by mu
}

// inquiry is a call for the prompts that an engine has cached. done is closed when the
// answer has been recorded or the call has failed.
type inquiry struct {
	at   time.Time
	done chan struct{}
}

// locatePrompt asks the engines of a service and version that may hold a prompt for what
// they have cached, unless the fleet already records an engine that holds the prompt with
// the given hash of its last part. It is used for requests that resume an answer. It returns
// when the engines have answered, after locateTimeout, or when ctx ends.
func (g *Gateway) locatePrompt(ctx context.Context, service, version string, part uint64) {
	now := time.Now()
	if part == 0 || g.Fleet.IsPromptCached(now, service, version, part) {
		return
	}
	likely := g.Fleet.LikelyHolders(now, service, version, part, maxLocateEngines)
	asked, unasked := g.locating.begin(now, likely)
	go g.queryCachedPrompts(unasked)
	timeout := time.NewTimer(locateTimeout)
	defer timeout.Stop()
	for _, q := range asked {
		select {
		case <-q.done:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// question is an engine that has to be asked and the inquiry for it.
type question struct {
	server  *fleet.Server
	inquiry *inquiry
}

// begin returns the inquiries for the given engines, and the engines that must be asked
// because the latest inquiry for them is older than locateMaxAge.
func (l *locator) begin(now time.Time, servers []*fleet.Server) (all []*inquiry, unasked []question) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.asked, func(_ ident.BackendID, q *inquiry) bool { return now.Sub(q.at) >= locateMaxAge })
	if l.asked == nil {
		l.asked = map[ident.BackendID]*inquiry{}
	}
	for _, s := range servers {
		q := l.asked[s.ID]
		if q == nil {
			q = &inquiry{at: now, done: make(chan struct{})}
			l.asked[s.ID] = q
			unasked = append(unasked, question{s, q})
		}
		all = append(all, q)
	}
	return all, unasked
}

// queryCachedPrompts asks engines for the prompts that they have cached and records the
// answers in the fleet.
func (g *Gateway) queryCachedPrompts(questions []question) {
	defer g.recoverPanic("query of cached prompts")
	method, target := g.Codec.CachedPromptsCall()
	running := make(chan struct{}, maxLocateCalls)
	for _, q := range questions {
		running <- struct{}{}
		go func() {
			defer g.recoverPanic("query of cached prompts")
			defer func() { <-running }()
			defer close(q.inquiry.done)
			response, body, err := g.call(q.server, method, target)
			if err == nil && response.StatusCode == http.StatusOK {
				g.Fleet.RecordCachedPrompts(time.Now(), q.server, g.Codec.CachedPrompts(body))
			}
		}()
	}
}
