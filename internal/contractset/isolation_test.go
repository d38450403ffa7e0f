package contractset

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const stalenessLimit = 5 * time.Second

// cluster simulates nodes and a table in virtual time. Links and the table fail,
// and responses arrive late.
type cluster struct {
	now       time.Time
	hosts     []ident.HostID
	sets      map[ident.HostID]*Set
	freshness map[ident.HostID]*Freshness
	linkDown  map[string]bool // links between two hosts, or between a host and "table"
	log       []Entry
	accepted  []acceptance
	inFlight  []func() // delivery of each response in flight
}

type acceptance struct {
	sequence ident.LogSequence
	at       time.Time
}

func newCluster(size int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), sets: map[ident.HostID]*Set{}, freshness: map[ident.HostID]*Freshness{}, linkDown: map[string]bool{}}
	for i := range size {
		host := ident.HostID(fmt.Sprintf("h%d", i))
		c.hosts = append(c.hosts, host)
		c.restart(host)
	}
	return c
}

// restart replaces a node by a new process that has lost all state. Responses in
// flight to the old process are lost too.
func (c *cluster) restart(host ident.HostID) {
	c.sets[host] = New()
	c.freshness[host] = NewFreshness(host, stalenessLimit, c.now)
}

func (c *cluster) connected(a, b ident.HostID) bool {
	return a == b || !c.linkDown[string(min(a, b)+max(a, b))]
}

func (c *cluster) toggleLink(a, b ident.HostID) {
	key := string(min(a, b) + max(a, b))
	c.linkDown[key] = !c.linkDown[key]
}

// change commits an entry through a node and pushes it to the reachable nodes.
// Pushes may be lost.
func (c *cluster) change(t *rapid.T, host ident.HostID) {
	if !c.connected(host, "table") {
		return
	}
	team := ident.Team(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"))
	version := ident.ContractVersion(1)
	for _, e := range c.log {
		if e.Team == team {
			version = e.Version + 1
		}
	}
	e := entry(ident.LogSequence(len(c.log)+1), team, version, "")
	c.log = append(c.log, e)
	var acknowledged []ident.HostID
	for _, peer := range c.hosts {
		if !c.connected(host, peer) || rapid.IntRange(0, 3).Draw(t, "push lost") == 0 {
			continue
		}
		c.sets[peer].Apply(e)
		if c.sets[peer].CanAcknowledge(e) {
			acknowledged = append(acknowledged, peer)
		}
	}
	if Accepted(acknowledged, c.hosts) {
		c.accepted = append(c.accepted, acceptance{e.Sequence, c.now})
	}
}

// poll reads the head of the log; the response arrives later.
func (c *cluster) poll(host ident.HostID) {
	if !c.connected(host, "table") {
		return
	}
	set, fresh := c.sets[host], c.freshness[host]
	sentAt, after, log := c.now, set.Sequence(), c.log
	c.inFlight = append(c.inFlight, func() {
		set.ApplyRange(after, ident.LogSequence(len(log)), log[after:])
		fresh.RecordHeadRead(sentAt, ident.LogSequence(len(log)), set.Sequence())
	})
}

// heartbeat requests the sequence of a peer; the response arrives later, and the
// entries are fetched only in some cases.
func (c *cluster) heartbeat(t *rapid.T, host, peer ident.HostID) {
	if host == peer || !c.connected(host, peer) {
		return
	}
	set, fresh := c.sets[host], c.freshness[host]
	sentAt := c.now
	sequence, age := c.freshness[peer].Report(c.now, c.sets[peer])
	fetch := rapid.Bool().Draw(t, "fetch")
	c.inFlight = append(c.inFlight, func() {
		fresh.RecordPeerResponse(peer, sentAt, sequence, age, set.Sequence())
		if fetch && c.connected(host, peer) {
			after := set.Sequence()
			entries, through := c.sets[peer].Entries(after)
			set.ApplyRange(after, through, entries)
			fresh.Advance(set.Sequence())
		}
	})
}

func (c *cluster) deliverAll() {
	for _, deliver := range c.inFlight {
		deliver()
	}
	c.inFlight = nil
}

func (c *cluster) checkAdmissions(t *rapid.T) {
	for _, host := range c.hosts {
		admits, _ := c.freshness[host].Admission(c.now, c.hosts)
		for _, a := range c.accepted {
			if admits && c.now.Sub(a.at) > stalenessLimit && c.sets[host].Sequence() < a.sequence {
				t.Fatalf("%s admits work at sequence %d, %s after acceptance of %d", host, c.sets[host].Sequence(), c.now.Sub(a.at), a.sequence)
			}
		}
	}
}

// TestNoStaleAdmission checks property P8: a node that admits work more than the
// staleness limit after a change was accepted has the change. Links and the table
// fail, responses arrive late and nodes restart in a random order.
func TestNoStaleAdmission(t *testing.T) {
	lateAdmissions := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 5).Draw(t, "hosts"))
		host := func(name string) ident.HostID { return rapid.SampledFrom(c.hosts).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"restart":   func(*rapid.T) { c.restart(host("host")) },
			"change":    func(t *rapid.T) { c.change(t, host("host")) },
			"poll":      func(*rapid.T) { c.poll(host("host")) },
			"heartbeat": func(t *rapid.T) { c.heartbeat(t, host("host"), host("peer")) },
			"everyone": func(t *rapid.T) {
				h := host("host")
				for _, peer := range c.hosts {
					c.heartbeat(t, h, peer)
				}
				c.deliverAll()
			},
			"answers": func(*rapid.T) { c.deliverAll() },
			"heal": func(t *rapid.T) {
				if len(c.linkDown) == 0 {
					c.poll(host("host")) // no link is down; take a step that has an effect
					return
				}
				c.linkDown = map[string]bool{}
			},
			"answer": func(t *rapid.T) {
				if len(c.inFlight) == 0 {
					c.heartbeat(t, host("host"), host("peer"))
					return
				}
				i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "which")
				deliver := c.inFlight[i]
				c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
				deliver()
			},
			"cut links": func(*rapid.T) {
				h := host("from")
				for range 2 {
					c.toggleLink(h, host("to"))
				}
			},
			"cut table": func(*rapid.T) { c.toggleLink(host("host"), "table") },
			"outage": func(*rapid.T) {
				for _, h := range c.hosts {
					c.linkDown[string(min(h, "table")+max(h, "table"))] = true
				}
			},
			"time": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				for _, f := range c.freshness {
					f.Prune(c.now)
				}
			},
			"": func(t *rapid.T) {
				c.checkAdmissions(t)
				for _, h := range c.hosts {
					if ok, _ := c.freshness[h].Admission(c.now, c.hosts); ok && len(c.accepted) > 0 && c.now.Sub(c.accepted[0].at) > stalenessLimit {
						lateAdmissions++
					}
				}
			},
		})
	})
	if lateAdmissions == 0 {
		t.Error("no node admitted work later than the staleness limit after an acceptance, so the test checks nothing")
	}
}
