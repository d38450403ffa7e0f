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
	// crashPrompt is the text in a prompt that makes an engine crash.
	crashPrompt = "poison"
	// maxCrashedEngines is the product's limit on the number of engines that
	// one request may crash in a deployment.
	maxCrashedEngines = 2
	// crashingRequests is the number of times that the request is sent, each
	// time with a new id and through the next node.
	crashingRequests = 12
)

// Guards against a request that crashes every engine that runs it and is sent
// repeatedly: it must not crash more than maxCrashedEngines engines, and the other
// answers must not be lost or refused.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 6, noService: true, engineFlags: []string{"--crash-on", crashPrompt}})
	a := d.startAnswers(12, 400)
	a.awaitTokens(d, 20)
	refused := 0
	for i := range crashingRequests {
		if d.sendCrashingRequest(i) == callerapi.CodeRequestCrashes {
			refused++
		}
	}
	requireResumeBound(t, a.requireComplete(t))
	if crashed := d.countExitedEngines(); crashed > maxCrashedEngines {
		t.Errorf("%d engines crashed, the limit is %d", crashed, maxCrashedEngines)
	}
	if refused == 0 {
		t.Errorf("none of %d requests was refused with %s", crashingRequests, callerapi.CodeRequestCrashes)
	}
	t.Logf("%d engines crashed, %d of %d crashing requests were refused", d.countExitedEngines(), refused, crashingRequests)
}

// sendCrashingRequest sends the crashing request, first to the i-th node, and
// returns the error code of the response, or "" if there was no error.
func (d *deployment) sendCrashingRequest(i int) callerapi.Code {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	c := d.caller(i, func(cfg *caller.Config) {
		cfg.RetryRefused = false
		cfg.MaxAttempts = 1
		cfg.SilenceTimeout = 10 * time.Second
	})
	result := c.Generate(ctx, caller.Request{
		Model:     model,
		Prompt:    crashPrompt + " length=50",
		RequestID: fmt.Sprintf("poison-%d", i),
	})
	if result.Error == nil {
		return ""
	}
	d.t.Logf("attempt %d: %s %s", i, result.Error.Code, result.Error.Message)
	return result.Error.Code
}

// countExitedEngines returns the number of engines whose process has ended.
func (d *deployment) countExitedEngines() int {
	exited := 0
	for _, e := range d.engines {
		select {
		case <-e.exited:
			exited++
		default:
		}
	}
	return exited
}
