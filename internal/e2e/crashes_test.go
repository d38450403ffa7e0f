//go:build linux

package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
)

const (
	poison = "poison"
	// maxCrashed is the stated bound on engines that one crashing request kills
	// in one deployment.
	maxCrashed = 2
	// poisonTries is how often the caller sends the request, each time under a
	// new id through another node.
	poisonTries = 12
)

// Guards the engines against a request that crashes each one that runs it and
// is sent again, and the answers beside it against being lost or refused.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 6, noService: true, engineFlags: []string{"--crash-on", poison}})
	a := d.startAnswers(12, 400)
	a.awaitTokens(d, 20)
	refused := 0
	for i := range poisonTries {
		if d.sendPoison(i) == callerapi.CodeRequestCrashes {
			refused++
		}
	}
	requireBound(t, a.whole(t))
	if dead := d.deadEngines(); dead > maxCrashed {
		t.Errorf("%d engines died, the bound is %d", dead, maxCrashed)
	}
	if refused == 0 {
		t.Errorf("none of %d requests was refused with %s", poisonTries, callerapi.CodeRequestCrashes)
	}
	t.Logf("%d engines died, %d of %d requests were refused as crashing", d.deadEngines(), refused, poisonTries)
}

// sendPoison sends the crashing request and returns the code of its refusal.
func (d *deployment) sendPoison(i int) callerapi.Code {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	c := d.caller(i, func(cfg *caller.Config) {
		cfg.RetryRefused = false
		cfg.MaxAttempts = 1
		cfg.SilenceTimeout = 10 * time.Second
	})
	result := c.Generate(ctx, caller.Request{
		Model:     model,
		Prompt:    poison + " length=50",
		RequestID: fmt.Sprintf("poison-%d", i),
	})
	if result.Error == nil {
		return ""
	}
	d.t.Logf("try %d: %s %s", i, result.Error.Code, result.Error.Message)
	return result.Error.Code
}

func (d *deployment) deadEngines() int {
	dead := 0
	for _, e := range d.engines {
		select {
		case <-e.exited:
			dead++
		default:
		}
	}
	return dead
}
