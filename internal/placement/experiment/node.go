package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// batchUtilization is the fraction of all batch slots of the engines that the nodes
// use. With all of them in use, any imbalance makes requests wait on an engine.
const batchUtilization = 0.85

// newAdmission returns the admission controller of a node. Its capacity is the
// node's part of the used batch slots, converted to estimated tokens by the mean
// request of the load. Teams have no limits of their own.
func newAdmission(now time.Time, load []request, nodes int, seed uint64) (*admission.Controller, error) {
	c, err := admission.New(admission.Config{}, nil, rand.New(rand.NewPCG(seed, 3)))
	if err != nil {
		return nil, err
	}
	estimate, output := 0, 0
	for _, r := range load {
		estimate += r.place.PromptTokens + maxOutput
		output += r.output
	}
	n := float64(len(load))
	slots := batchUtilization * engines * maxRunning * float64(estimate) / n / float64(nodes)
	duration := float64(output) / n / fullBatchRate
	c.SetCapacity(admission.Capacity{Slots: int64(slots), Rate: slots / duration})
	for i := range teams {
		limits := admission.Limits{Priority: admission.Normal, Weight: 1, Rate: math.Inf(1)}
		if err := c.SetTeam(now, teamName(i), limits); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func teamName(i int) ident.Team { return ident.Team(fmt.Sprintf("c%02d", i)) }

// handle handles a new request. Its caller disconnects if no token arrives within
// abandonAfter.
func (n *node) handle(r *request) {
	n.attempts++
	c := &call{request: r, node: n, offeredAt: n.sim.now, item: admission.Item{
		ID: uint64(n.attempts), Team: teamName(r.team), Tokens: r.place.PromptTokens + maxOutput}}
	n.sim.at(n.sim.now+abandonAfter, c.abandon)
	if n.admission == nil {
		n.place(c)
		return
	}
	refusal, err := n.admission.Offer(n.sim.time(n.sim.now), c.item)
	if err != nil {
		panic(err) // cannot happen: the set of teams is fixed
	}
	if refusal != nil {
		c.refuse()
		return
	}
	n.queued[c.item.ID] = c
	c.onAbandon = func() {
		n.admission.Cancel(c.item.Team, c.item.ID)
		delete(n.queued, c.item.ID)
	}
	n.dispatch()
}

func (n *node) dispatch() {
	for _, o := range n.admission.Dispatch(n.sim.time(n.sim.now)) {
		c := n.queued[o.Item.ID]
		delete(n.queued, o.Item.ID)
		if o.Refusal != nil {
			c.refuse()
		} else {
			n.place(c)
		}
	}
}

func (c *call) refuse() {
	c.dropped = true
	if c.measured() {
		c.node.sim.result.refused++
	}
}

func (c *call) abandon() {
	if c.answered || c.dropped {
		return
	}
	c.dropped = true
	if c.measured() {
		c.node.sim.result.abandoned++
	}
	c.onAbandon()
}

func (c *call) measured() bool { return c.offeredAt >= warmUp }

// place chooses an engine and starts the stream there.
func (n *node) place(c *call) {
	now := n.sim.time(n.sim.now)
	id, _, err := n.fleet.Choose(c.request.place, now, n.rng)
	if err != nil {
		// Before the first load reports no engine is known to have the model.
		n.finished(c, 0)
		c.dropped = true
		return
	}
	attempt := ident.AttemptID(fmt.Sprint(c.item.ID))
	n.fleet.Sent(now, id, attempt, c.request.place)
	e := n.engine(id)
	st := &stream{call: c, engine: e}
	end := func(used int) {
		n.fleet.Finished(n.sim.time(n.sim.now), id, attempt)
		n.finished(c, used)
	}
	st.firstToken = func() { n.firstToken(st, id, attempt) }
	st.done = func() {
		if c.measured() {
			n.sim.result.completed++
		}
		end(c.request.place.PromptTokens + c.request.output)
	}
	c.onAbandon = func() {
		e.cancel(st)
		end(0)
	}
	n.sim.at(n.sim.now+n.distance(e)/2, func() {
		if !c.dropped {
			e.start(st)
		}
	})
}

func (n *node) engine(id ident.BackendID) *engine {
	for _, e := range n.sim.engines {
		if e.id == string(id) {
			return e
		}
	}
	return nil
}

// distance returns the round-trip time to an engine.
func (n *node) distance(e *engine) time.Duration {
	if string(n.fleet.Server(ident.BackendID(e.id)).DataCentre) == "d"+fmt.Sprint(n.index()%3) {
		return 0
	}
	return 2 * oneWayDelay
}

func (n *node) index() int {
	for i, o := range n.sim.nodes {
		if o == n {
			return i
		}
	}
	return -1
}

func (n *node) firstToken(st *stream, id ident.BackendID, attempt ident.AttemptID) {
	n.fleet.Answered(id, attempt)
	st.answered = true
	if !st.measured() {
		return
	}
	r := &n.sim.result
	r.prompt += st.request.place.PromptTokens
	r.cached += st.cached
	took := n.sim.now + n.distance(st.engine)/2 - st.offeredAt
	_ = r.firstToken.RecordValue(max(took.Microseconds(), 1)) // in range: abandoned after 4 s
}

func (n *node) finished(c *call, used int) {
	if n.admission != nil {
		n.admission.Finished(n.sim.time(n.sim.now), c.item, used)
		n.dispatch()
	}
}
