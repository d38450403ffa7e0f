package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/detect"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/placement"
	"github.com/yuccahatch/yuccahatch/internal/retrybudget"
)

// resumeRetry is the delay before a resume requests a placement again, as in
// package generation.
const resumeRetry = 50 * time.Millisecond

// node is one entry host with its own view of the fleet, detector and retry
// budget.
type node struct {
	sim      *sim
	index    int
	host     ident.HostID
	fleet    *placement.Fleet
	detector *detect.Detector
	budget   *retrybudget.Budget
	rng      *rand.Rand
}

func newNode(s *sim, i int, seed uint64, list []platformapi.Backend) (*node, error) {
	config := placement.Config{DataCentre: ident.DataCentre(fmt.Sprintf("d%d", i%3))}
	fleet, err := placement.NewFleet(config)
	if err != nil {
		return nil, err
	}
	chooser := placement.DefaultChooser(config)
	if s.policy.chooser != nil {
		s.policy.chooser(&chooser)
	}
	fleet.SetChooser(chooser)
	fleet.ObserveList(list)
	budget, err := retrybudget.New(retrybudget.Config{}, s.time())
	if err != nil {
		return nil, err
	}
	return &node{
		sim: s, index: i, host: ident.HostID(fmt.Sprintf("h%d", i)), fleet: fleet,
		detector: detect.New(s.policy.limits()), budget: budget,
		rng: rand.New(rand.NewPCG(seed, uint64(100+i))),
	}, nil
}

// silence returns the silence limit between two tokens.
func (n *node) silence() time.Duration {
	if n.sim.policy.fixedLimit > 0 {
		return n.sim.policy.fixedLimit
	}
	return n.detector.SilenceLimit()
}

// place executes a Place action. A resume waits for the retry budget.
func (n *node) place(a *answer, p continuation.Place) {
	if a.machine.Done() {
		return
	}
	now := n.sim.time()
	if p.Resume {
		if ok, wait := n.budget.Take(now); !ok {
			n.sim.after(wait, func() { n.place(a, p) })
			return
		}
	}
	tokens := a.machine.Journal().Len()
	r := placement.Request{
		Model: model, PromptTokens: a.request.promptTokens + tokens, Prefixes: a.request.prefixesWithAnswer(tokens),
		Resume: p.Resume, Weight: n.sim.policy.effectivePlacementWeight(), Exclude: p.Exclude,
	}
	id, _, err := n.fleet.Choose(r, now, n.rng)
	if err != nil {
		retry := time.Duration(0)
		if p.Resume {
			retry = resumeRetry
		}
		a.step(continuation.PlacementFailed{RetryAfter: retry, Reason: err.Error()})
		return
	}
	a.opened++
	attempt := ident.AttemptID(fmt.Sprintf("%d-%d", a.request.number, a.opened))
	uncached := r.PromptTokens - n.fleet.Server(id).CachedTokens(r.Prefixes)
	n.fleet.Sent(now, id, attempt, r)
	limit := n.detector.FirstTokenLimit(time.Duration(float64(uncached) / prefillRate * float64(time.Second)))
	if n.sim.policy.restart {
		// The early probe at half the limit must not mistake the time for
		// generating the accepted tokens again for time in a queue.
		limit += time.Duration(tokens) * fullBatchGap * 4
	}
	a.step(continuation.Placed{Attempt: attempt, Backend: id, FirstTokenLimit: limit})
}

// cancelled reports the end of an attempt and its cause to placement.
func (n *node) cancelled(c continuation.Cancel) {
	now := n.sim.time()
	switch {
	case c.Dead:
		n.fleet.Died(now, c.Backend)
	case c.Lost:
		n.fleet.ConnectionFailed(now, c.Backend)
	}
	n.fleet.Finished(now, c.Backend, c.Attempt)
}
