package gateway

import (
	"strconv"
	"sync"
	"time"
)

// Requests with a part of a prompt that may crash servers run one at a time, on all hosts
// together; see crashcause.Tracker.Trial. All of them go through one host, the owner of the
// part. A request that is refused meanwhile has not run, and its client may come back.

const (
	// trialWait is the maximum time that a request waits for the end of the trial of another
	// one. An answer begins within a second or two, and the cause of a crash is known after one.
	trialWait = 1500 * time.Millisecond
	// trialPoll is how often it looks.
	trialPoll = 20 * time.Millisecond
	// trialRetryAfter is the value from which the Retry-After of an answer is derived while a
	// trial is in progress.
	trialRetryAfter = time.Second
)

// refusalTrial is the reason given for a request that has to wait for a trial.
const refusalTrial = "a request with the same content is being tried"

// trials are the parts with which a request runs on this host now. The zero value is ready to
// use.
type trials struct {
	mu      sync.Mutex
	running map[uint64]bool // guarded by mu
}

// begin reports whether a request with the part may run. end must be called if so.
func (t *trials) begin(part uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[part] {
		return false
	}
	if t.running == nil {
		t.running = map[uint64]bool{}
	}
	t.running[part] = true
	return true
}

func (t *trials) end(part uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, part)
}

// endTrial ends the trial of the stream, if there is one.
func (st *streamState) endTrial() {
	if st.trialOf != 0 {
		st.g.trials.end(st.trialOf)
		st.trialOf = 0
	}
}

// awaitTrial is called before each attempt of a stream that is not known to be sound. It
// returns the host through which the stream must go, if there is one, or a refusal.
func (st *streamState) awaitTrial(now time.Time) (through *RelayHost, refused *refusal) {
	until := now.Add(min(trialWait, st.timeLeft(now)))
	for {
		part, wait, onTrial := st.g.Crashes.Trial(now, st.content(), st.g.Fleet)
		if !onTrial || part != st.trialOf {
			st.endTrial()
		}
		if !onTrial || part == st.trialOf && wait <= 0 {
			return nil, nil
		}
		if st.relayed == nil && st.trialOf == 0 {
			host, self, ok := st.g.Relays.Owner(st.service.Name, strconv.FormatUint(part, 16))
			switch {
			case !ok:
				return nil, &refusal{refusalNoEngine, retryAfter(noEngineRetryAfter)}
			case !self && len(st.relayTries) < maxRelayTries:
				st.relayTries = append(st.relayTries, host.Host)
				st.addStep("through %s, which tries part %x", host.Host, part)
				return &host, nil
			case !self:
				st.g.Relays.End(host)
				return nil, &refusal{refusalTrial, retryAfter(trialRetryAfter)}
			}
		}
		if st.trialOf == 0 && st.g.trials.begin(part) {
			st.trialOf = part
			st.addStep("trial of part %x", part)
			continue // the end of another trial may have changed the evidence
		}
		if !now.Before(until) {
			return nil, &refusal{refusalTrial, retryAfter(trialRetryAfter)}
		}
		select {
		case <-time.After(trialPoll):
		case <-st.ctx.Done():
			return nil, &refusal{refusalTrial, 0}
		}
		now = time.Now()
	}
}
