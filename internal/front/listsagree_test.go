package front

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

var (
	listSeed  = flag.Uint64("list-seed", 1, "first seed of the model of the lists of servers")
	listSeeds = flag.Int("list-seeds", 1, "number of seeds of the model of the lists of servers")
)

func newListModel(t *testing.T, ctx context.Context, seed uint64, hosts, servers int) *listModel {
	m := &listModel{
		t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 0)), loss: rand.New(rand.NewPCG(seed, 1)),
		store: &listStore{rows: map[string]Row{}, changed: map[string]time.Time{}},
	}
	for range servers {
		m.join()
	}
	for i := range hosts {
		h := &listHost{model: m, index: i, inbox: make(chan func(), 4*hosts)}
		m.hosts = append(m.hosts, h)
	}
	for _, h := range m.hosts {
		go h.receive(ctx)
		h.start()
	}
	return m
}

// join adds a server.
func (m *listModel) join() {
	m.joined++
	id := fmt.Sprintf("server-%d", m.joined)
	m.servers = append(m.servers, &listServer{
		entry:  fleet.Entry{ID: ident.BackendID(id), Incarnation: int64(m.joined), Service: "s", Address: id + ":1", Version: "v1"},
		writes: time.Now().Add(time.Duration(m.random.Int64N(int64(modelReportInterval)))),
	})
}

// report writes the reports that are due.
func (m *listModel) report() {
	now := time.Now()
	m.store.mu.Lock()
	away := m.store.away
	m.store.mu.Unlock()
	for _, s := range m.servers {
		if now.Before(s.writes) {
			continue
		}
		s.writes = now.Add(modelReportInterval)
		s.entry.Sequence++
		if !away {
			m.write(s, false)
		}
	}
}

func (m *listModel) write(s *listServer, change bool) {
	raw, err := json.Marshal(s.entry)
	if err != nil {
		panic(err)
	}
	m.store.mu.Lock()
	_, listed := m.store.rows[string(s.entry.ID)]
	m.store.mu.Unlock()
	m.store.put(Row{Key: string(s.entry.ID), Value: raw}, change || !listed)
}

// run plays for a time: servers report, join, change their state and leave.
func (m *listModel) run(d time.Duration, changes bool) {
	const step = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		m.report()
		if !changes || m.random.Float64() > 0.1 {
			continue
		}
		m.store.mu.Lock()
		away := m.store.away
		m.store.mu.Unlock()
		if away {
			continue
		}
		s := m.servers[m.random.IntN(len(m.servers))]
		switch {
		case !s.entry.Draining:
			s.entry.Draining = true
			s.entry.Sequence++
			m.write(s, true)
			m.join()
		default:
			m.servers = slices.DeleteFunc(m.servers, func(x *listServer) bool { return x == s })
			m.store.put(Row{Key: string(s.entry.ID), Removed: true}, true)
		}
	}
}

// outage takes the store away for a time. If it is longer than a lease, all entries lapse.
func (m *listModel) outage(d time.Duration, changes bool) {
	m.setAway(true)
	m.run(min(d, modelLease), changes)
	if d > modelLease {
		m.store.mu.Lock()
		keys := slices.Collect(maps.Keys(m.store.rows))
		m.store.mu.Unlock()
		for _, key := range keys {
			m.store.put(Row{Key: key, Removed: true}, true)
		}
		m.run(d-modelLease, changes)
	}
	m.store.mu.Lock()
	m.store.calls = 0
	m.store.mu.Unlock()
	m.setAway(false)
}

func (m *listModel) setAway(away bool) {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	m.store.away = away
}

// trouble begins a fault of a host, and returns the function that ends it.
func (m *listModel) trouble() (end func()) {
	h := m.hosts[m.random.IntN(len(m.hosts))]
	set := func(f func()) {
		h.mu.Lock()
		defer h.mu.Unlock()
		f()
	}
	switch m.random.IntN(4) {
	case 0:
		h.stop()
		set(func() { h.node = nil })
		return h.start
	case 1:
		set(func() { h.refused = true })
		return func() { set(func() { h.refused = false }) }
	case 2:
		set(func() { h.cut = true })
		return func() { set(func() { h.cut = false }) }
	default:
		frozen := make(chan struct{})
		set(func() { h.frozen = frozen })
		return func() {
			set(func() { h.frozen = nil })
			close(frozen)
		}
	}
}

// checkLists checks that the list of each host is that of the store, but for changes of the
// last moment.
func (m *listModel) checkLists(when string) {
	m.t.Helper()
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	recent := func(id string) bool { return time.Since(m.store.changed[id]) < modelRecentChange }
	wrong := 0
	for _, h := range m.hosts {
		listed := map[string]bool{}
		for _, e := range h.node.fleet.List(time.Now()).Listed {
			listed[string(e.ID)] = true
		}
		missing, foreign := 0, 0
		for id := range m.store.rows {
			if !listed[id] && !recent(id) {
				missing++
			}
		}
		for id := range listed {
			if _, ok := m.store.rows[id]; !ok && !recent(id) {
				foreign++
			}
		}
		if missing+foreign > 0 {
			wrong++
			if wrong == 1 {
				m.t.Errorf("%s: host %d lacks %d of %d servers and lists %d that have left", when, h.index, missing, len(m.store.rows), foreign)
			}
		}
	}
	if wrong > 0 {
		m.t.Errorf("%s: %d of %d hosts have another list", when, wrong, len(m.hosts))
	}
}

// playLists plays outages in which the entries lapse and faults of hosts, and checks after
// each that the hosts agree.
func playLists(t *testing.T, seed uint64, hosts, servers, rounds int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := newListModel(t, ctx, seed, hosts, servers)
		m.run(settledAfter+time.Second, true)
		m.checkLists("before the outages")
		for round := range rounds {
			var ends []func()
			if round > 0 { // the first outage comes alone
				for range 1 + m.random.IntN(3) {
					ends = append(ends, m.trouble())
				}
			}
			// Short outages do not let the entries lapse; of some the nodes learn in part.
			m.outage(2*time.Second+time.Duration(m.random.Int64N(int64(6*time.Second))), true)
			for _, end := range ends {
				m.run(time.Duration(m.random.Int64N(int64(2*time.Second))), true)
				end()
			}
			m.store.mu.Lock()
			m.store.calls = 0
			m.store.mu.Unlock()
			m.run(modelAgreeWithin+modelRecentChange, false)
			m.checkLists(fmt.Sprintf("round %d", round))
			m.store.mu.Lock()
			calls := m.store.calls
			m.store.mu.Unlock()
			if calls > modelCallsPerHost*hosts {
				t.Errorf("round %d: %d calls of %d hosts in three seconds", round, calls, hosts)
			}
			m.run(time.Second, true)
		}
		cancel()
		time.Sleep(time.Second) // calls in progress end
		synctest.Wait()
	})
}

// Guards against nodes that lack servers, or list servers that have left, for longer than two
// seconds after an outage of the store in which entries lapsed, and against a storm of calls
// while they read their lists anew.
func TestListsAgreeAfterOutages(t *testing.T) {
	for _, size := range []struct{ hosts, servers, rounds int }{{6, 39, 6}, {68, 228, 2}, {300, 500, 1}} {
		t.Run(fmt.Sprintf("%d hosts", size.hosts), func(t *testing.T) {
			for i := range *listSeeds {
				seed := *listSeed + uint64(i)
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					playLists(t, seed, size.hosts, size.servers, size.rounds)
				})
			}
		})
	}
}
