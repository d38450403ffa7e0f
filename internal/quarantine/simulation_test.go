package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// simulation simulates nodes, servers and requests in time steps of one tick. It
// has one Tracker per node. A crashing request crashes its server after crashAfter.
type simulation struct {
	random *rand.Rand
	now    time.Time
	delay  time.Duration // of evidence between nodes
	nodes  []*Tracker
	// lastSequences holds, for each node, the sequence number to pass to the next call
	// of its Evidence method.
	lastSequences []uint64
	undelivered   []message
	incarnations  []ident.Incarnation
	jobs          []*job
	attempts      int
	killed        int // number of server deaths
	refused       int // number of times that a harmless request was refused
	waitTicks     int // sum, over harmless requests, of the ticks without a placement
}

const (
	tick          = 100 * time.Millisecond
	crashAfter    = 200 * time.Millisecond
	firstToken    = 500 * time.Millisecond
	nodeCount     = 9
	serverCount   = 35
	harmlessCount = 300
)

type message struct {
	at time.Time
	to int
	e  Evidence
}

// job is the current request of a caller that always has one request running or
// waiting.
type job struct {
	fingerprint    Fingerprint
	crashes        bool
	node           int
	server         int // -1 while not placed
	attempt        ident.AttemptID
	startedAt      time.Time
	endsAt         time.Time
	deliveredToken bool
}

func newSimulation(seed uint64, delay time.Duration) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1e6, 0), delay: delay}
	for i := range nodeCount {
		sim.nodes = append(sim.nodes, New(ident.HostID(fmt.Sprint(i))))
	}
	sim.lastSequences = make([]uint64, nodeCount)
	sim.incarnations = make([]ident.Incarnation, serverCount)
	for i := range harmlessCount {
		sim.jobs = append(sim.jobs, &job{fingerprint: Fingerprint(fmt.Sprint("harmless-", i)), node: sim.random.IntN(nodeCount), server: -1})
	}
	// Exchange evidence for a while before anything fails.
	sim.run(20 + int(delay/tick))
	return sim
}

func (sim *simulation) addCrashingRequest(name string) {
	sim.jobs = append(sim.jobs, &job{fingerprint: Fingerprint(name), crashes: true, node: sim.random.IntN(nodeCount), server: -1})
}

func (sim *simulation) run(ticks int) {
	for range ticks {
		sim.now = sim.now.Add(tick)
		sim.deliver()
		for _, j := range sim.jobs {
			sim.advance(j)
		}
		for i, n := range sim.nodes {
			n.Expire(sim.now)
			sim.broadcast(i)
		}
	}
}

// broadcast sends a node's evidence to all other nodes. With a delay of 0 it arrives
// at once.
func (sim *simulation) broadcast(from int) {
	var e Evidence
	e, sim.lastSequences[from] = sim.nodes[from].Evidence(sim.now, sim.lastSequences[from])
	for to := range sim.nodes {
		if to == from {
			continue
		}
		if sim.delay == 0 {
			sim.nodes[to].MergeEvidence(sim.now, e)
		} else {
			sim.undelivered = append(sim.undelivered, message{sim.now.Add(sim.delay), to, e})
		}
	}
}

func (sim *simulation) deliver() {
	due := 0
	for due < len(sim.undelivered) && !sim.undelivered[due].at.After(sim.now) {
		sim.nodes[sim.undelivered[due].to].MergeEvidence(sim.now, sim.undelivered[due].e)
		due++
	}
	sim.undelivered = sim.undelivered[due:]
}

func (sim *simulation) advance(j *job) {
	switch {
	case j.server < 0:
		sim.place(j)
	case !j.crashes && !j.deliveredToken && sim.now.Sub(j.startedAt) >= firstToken:
		j.deliveredToken = true
		sim.nodes[j.node].FirstTokenDelivered(j.attempt)
	case sim.now.Before(j.endsAt):
	case j.crashes:
		sim.kill([]int{j.server})
	default:
		sim.nodes[j.node].Finished(sim.now, j.attempt, true)
		j.server, j.fingerprint = -1, Fingerprint(fmt.Sprintf("harmless-new-%d", sim.attempts))
	}
}

func (sim *simulation) place(j *job) {
	n := sim.nodes[j.node]
	if n.Verdict(j.fingerprint) == Confirmed {
		if !j.crashes {
			sim.refused++
		}
		// The caller retries through another node.
		j.node = (j.node + 1) % nodeCount
		return
	}
	for _, s := range sim.random.Perm(serverCount) {
		if !n.MayPlace(j.fingerprint, ident.BackendID(fmt.Sprint(s))) {
			continue
		}
		sim.attempts++
		j.server, j.attempt = s, ident.AttemptID(fmt.Sprint(sim.attempts))
		j.startedAt, j.deliveredToken = sim.now, false
		j.endsAt = sim.now.Add(crashAfter)
		if !j.crashes {
			j.endsAt = sim.now.Add(time.Second + time.Duration(sim.random.IntN(20_000))*time.Millisecond)
		}
		n.Started(j.attempt, j.fingerprint, ident.BackendID(fmt.Sprint(s)))
		if sim.delay == 0 {
			sim.broadcast(j.node)
		}
		return
	}
	if j.crashes {
		j.node = (j.node + 1) % nodeCount
	} else {
		sim.waitTicks++
	}
}

// kill crashes servers. Real nodes detect a death within 500 ms of one another. The
// simulated nodes detect it at once, so only the delay of evidence has an effect.
func (sim *simulation) kill(dead []int) {
	for _, s := range dead {
		sim.killed++
		for _, n := range sim.nodes {
			n.Died(sim.now, ident.BackendID(fmt.Sprint(s)), sim.incarnations[s])
		}
		sim.incarnations[s]++
		for _, j := range sim.jobs {
			if j.server == s {
				j.server = -1
				if j.crashes {
					j.node = (j.node + 1) % nodeCount
				}
			}
		}
	}
	if sim.delay == 0 {
		for i := range sim.nodes {
			sim.broadcast(i)
		}
	}
}
