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
	// answerTimeout is the time limit of one answer including all interruptions.
	answerTimeout = time.Minute
	// callerSilenceTimeout is the time without data after which a caller drops
	// its connection.
	callerSilenceTimeout = 2 * time.Second
	// resumeBound is the product's limit on the time without tokens within an
	// answer.
	resumeBound = 4 * time.Second
)

// caller returns a caller that verifies its answers and is configured with the
// addresses of all nodes, starting with the i-th. Like an unmodified client, it
// does not send received text back, so an answer can be resumed only if the system
// itself still has the text.
func (d *deployment) caller(i int, change ...func(*caller.Config)) *caller.Caller {
	cfg := caller.DefaultConfig()
	cfg.Key, cfg.SilenceTimeout, cfg.RetryRefused = callerKey, callerSilenceTimeout, true
	cfg.SendText = false
	for k := range d.nodes {
		cfg.Nodes = append(cfg.Nodes, d.nodes[(i+k)%len(d.nodes)].callerAddress)
	}
	for _, c := range change {
		c(&cfg)
	}
	return caller.New(cfg)
}

// answers is a set of concurrent generations.
type answers struct {
	wg      sync.WaitGroup
	tokens  []atomic.Int64 // number of received events with tokens, by answer
	results []caller.Result
}

// startAnswers starts n answers of length tokens each. The callers contact the
// nodes in first, or all nodes if there are none, in turn.
func (d *deployment) startAnswers(n, length int, first ...*nodeProcess) *answers {
	if len(first) == 0 {
		first = d.nodes
	}
	a := &answers{tokens: make([]atomic.Int64, n), results: make([]caller.Result, n)}
	for i := range n {
		a.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
			defer cancel()
			a.results[i] = d.caller(i).Generate(ctx, caller.Request{
				Model: model, Prompt: fmt.Sprintf("programme %d length=%d", i, length),
				RequestID: fmt.Sprintf("answer-%d", i), First: first[i%len(first)].callerAddress,
				Observe: func(caller.TokenArrival) { a.tokens[i].Add(1) },
			})
		})
	}
	return a
}

// awaitTokens waits until every answer has received at least n events with tokens.
func (a *answers) awaitTokens(d *deployment, n int64) {
	d.t.Helper()
	d.await(awaitTimeout, fmt.Sprintf("every answer has %d tokens", n), func() bool {
		for i := range a.tokens {
			if a.tokens[i].Load() < n {
				return false
			}
		}
		return true
	})
}

// requireComplete waits for the end of all answers and requires that each is
// complete, with no token missing, repeated or from another text. It returns the
// longest time without tokens within an answer.
func (a *answers) requireComplete(t *testing.T) time.Duration {
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

// requireResumeBound requires that longest, the longest time without tokens, is
// within resumeBound. Only tests with few processes use it, because larger ones
// are delayed on a busy machine.
func requireResumeBound(t *testing.T, longest time.Duration) {
	t.Helper()
	if longest > resumeBound {
		t.Errorf("an answer had no tokens for %s, the limit is %s", longest, resumeBound)
	}
}
