//go:build linux

package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/lab/caller"
)

const (
	// answerLimit bounds one answer with all its interruptions.
	answerLimit = time.Minute
	// callerSilence is how long callers wait for data.
	callerSilence = 2 * time.Second
	// resumeBound is the product's bound on the time without tokens.
	resumeBound = 4 * time.Second
)

// caller returns a verifying caller that knows all nodes, the i-th first. Like an
// unmodified client it does not send the received text back, so that an answer
// continues only if the system has the text.
func (d *deployment) caller(i int, change ...func(*caller.Config)) *caller.Caller {
	cfg := caller.DefaultConfig()
	cfg.Key, cfg.SilenceTimeout, cfg.RetryRefused = callerKey, callerSilence, true
	cfg.SendText = false
	for k := range d.nodes {
		cfg.Nodes = append(cfg.Nodes, d.nodes[(i+k)%len(d.nodes)].callers)
	}
	for _, c := range change {
		c(&cfg)
	}
	return caller.New(cfg)
}

// answers is a set of generations under way.
type answers struct {
	wg      sync.WaitGroup
	tokens  []atomic.Int64 // events with tokens of each answer
	results []caller.Result
}

// load starts n answers of length tokens, spread over the nodes.
func (d *deployment) startAnswers(n, length int, first ...*nodeProcess) *answers {
	if len(first) == 0 {
		first = d.nodes
	}
	a := &answers{tokens: make([]atomic.Int64, n), results: make([]caller.Result, n)}
	for i := range n {
		a.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
			defer cancel()
			a.results[i] = d.caller(i).Generate(ctx, caller.Request{
				Model: model, Prompt: fmt.Sprintf("programme %d length=%d", i, length),
				RequestID: fmt.Sprintf("answer-%d", i), First: first[i%len(first)].callers,
				Observe: func(caller.Arrival) { a.tokens[i].Add(1) },
			})
		})
	}
	return a
}

// awaitTokens waits until every answer has at least n events.
func (a *answers) awaitTokens(d *deployment, n int64) {
	d.t.Helper()
	d.await(startLimit, fmt.Sprintf("every answer has %d tokens", n), func() bool {
		for i := range a.tokens {
			if a.tokens[i].Load() < n {
				return false
			}
		}
		return true
	})
}

// whole waits for the ends and requires that every answer is complete and no
// token is missing, repeated or mixed. It returns the longest time without
// tokens within an answer.
func (a *answers) whole(t *testing.T) time.Duration {
	t.Helper()
	a.wg.Wait()
	longest := time.Duration(0)
	breaks := 0
	for _, r := range a.results {
		if !r.Complete || !r.Clean {
			t.Errorf("answer %s: complete %t, %+v, breaks %+v, error %+v", r.RequestID, r.Complete, r.Counts, r.Breaks, r.Error)
		}
		longest = max(longest, r.MaxGap)
		breaks += len(r.Breaks)
	}
	t.Logf("%d answers, %d broken connections, longest time without tokens %d ms", len(a.results), breaks, longest.Milliseconds())
	return longest
}

// requireBound checks the product's bound on resuming. It is for tests with
// few processes; a busy machine delays larger ones.
func requireBound(t *testing.T, longest time.Duration) {
	t.Helper()
	if longest > resumeBound {
		t.Errorf("an answer had no tokens for %s, the bound is %s", longest, resumeBound)
	}
}
