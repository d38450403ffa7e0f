package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// fleet simulates nodes, servers and requests in steps of tick.
type fleet struct {
	random *rand.Rand
	now    time.Time
	delay  time.Duration // of evidence
	nodes  []*Tracker
	// sent is the sequence that each node last passed to its evidence.
	sent     []uint64
	mail     []message
	lives    []ident.Incarnation
	jobs     []*job
	attempts int
	killed   int
	refused  int // innocent requests
	waiting  int // ticks that innocent requests could not be placed
}

const (
	tick       = 100 * time.Millisecond
	crashAfter = 200 * time.Millisecond
	firstToken = 500 * time.Millisecond
	fleetNodes = 9
	servers    = 35
	innocents  = 300
)

type message struct {
	at time.Time
	to int
	e  Evidence
}

type job struct {
	f       Fingerprint
	crashes bool
	node    int
	server  int // -1 while not placed
	attempt ident.AttemptID
	begun   time.Time
	ends    time.Time
	// answered tells that it has delivered a token.
	answered bool
}

func newFleet(seed uint64, delay time.Duration) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1e6, 0), delay: delay}
	for i := range fleetNodes {
		f.nodes = append(f.nodes, New(ident.HostID(fmt.Sprint(i))))
	}
	f.sent = make([]uint64, fleetNodes)
	f.lives = make([]ident.Incarnation, servers)
	for i := range innocents {
		f.jobs = append(f.jobs, &job{f: Fingerprint(fmt.Sprint("innocent-", i)), node: f.random.IntN(fleetNodes), server: -1})
	}
	// Evidence has flowed for a while before anything fails.
	f.run(20 + int(delay/tick))
	return f
}

func (f *fleet) addCrasher(name string) {
	f.jobs = append(f.jobs, &job{f: Fingerprint(name), crashes: true, node: f.random.IntN(fleetNodes), server: -1})
}

func (f *fleet) run(ticks int) {
	for range ticks {
		f.now = f.now.Add(tick)
		f.deliver()
		for _, j := range f.jobs {
			f.advance(j)
		}
		for i, n := range f.nodes {
			n.Expire(f.now)
			f.broadcast(i)
		}
	}
}

// broadcast sends a node's evidence. Without delay it arrives at once, as the
// model of perfect news.
func (f *fleet) broadcast(from int) {
	var e Evidence
	e, f.sent[from] = f.nodes[from].Evidence(f.now, f.sent[from])
	for to := range f.nodes {
		if to == from {
			continue
		}
		if f.delay == 0 {
			f.nodes[to].Learn(f.now, e)
		} else {
			f.mail = append(f.mail, message{f.now.Add(f.delay), to, e})
		}
	}
}

func (f *fleet) deliver() {
	due := 0
	for due < len(f.mail) && !f.mail[due].at.After(f.now) {
		f.nodes[f.mail[due].to].Learn(f.now, f.mail[due].e)
		due++
	}
	f.mail = f.mail[due:]
}

func (f *fleet) advance(j *job) {
	switch {
	case j.server < 0:
		f.place(j)
	case !j.crashes && !j.answered && f.now.Sub(j.begun) >= firstToken:
		j.answered = true
		f.nodes[j.node].Answered(j.attempt)
	case f.now.Before(j.ends):
	case j.crashes:
		f.kill([]int{j.server})
	default:
		f.nodes[j.node].Finished(f.now, j.attempt, true)
		j.server, j.f = -1, Fingerprint(fmt.Sprintf("innocent-new-%d", f.attempts))
	}
}

func (f *fleet) place(j *job) {
	n := f.nodes[j.node]
	if n.Verdict(j.f) == Confirmed {
		if !j.crashes {
			f.refused++
		}
		// The caller goes on to another node.
		j.node = (j.node + 1) % fleetNodes
		return
	}
	for _, s := range f.random.Perm(servers) {
		if !n.MayPlace(j.f, ident.BackendID(fmt.Sprint(s))) {
			continue
		}
		f.attempts++
		j.server, j.attempt = s, ident.AttemptID(fmt.Sprint(f.attempts))
		j.begun, j.answered = f.now, false
		j.ends = f.now.Add(crashAfter)
		if !j.crashes {
			j.ends = f.now.Add(time.Second + time.Duration(f.random.IntN(20_000))*time.Millisecond)
		}
		n.Started(j.attempt, j.f, ident.BackendID(fmt.Sprint(s)))
		if f.delay == 0 {
			f.broadcast(j.node)
		}
		return
	}
	if j.crashes {
		j.node = (j.node + 1) % fleetNodes
	} else {
		f.waiting++
	}
}

// kill ends the lives of servers. Every node notices within 500 ms of one
// another in reality; here at once, so that the delay of evidence is what counts.
func (f *fleet) kill(dead []int) {
	for _, s := range dead {
		f.killed++
		for _, n := range f.nodes {
			n.Died(f.now, ident.BackendID(fmt.Sprint(s)), f.lives[s])
		}
		f.lives[s]++
		for _, j := range f.jobs {
			if j.server == s {
				j.server = -1
				if j.crashes {
					j.node = (j.node + 1) % fleetNodes
				}
			}
		}
	}
	if f.delay == 0 {
		for i := range f.nodes {
			f.broadcast(i)
		}
	}
}
