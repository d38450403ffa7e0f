package explain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/objects"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
	"github.com/yuccahatch/yuccahatch/internal/trace"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeObjects is an in-memory object store.
type fakeObjects struct {
	mu      sync.Mutex
	objects map[string][]byte
	puts    int
	down    bool
}

func (f *fakeObjects) Put(_ context.Context, name string, content []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errors.New("connection reset")
	}
	f.objects[name] = content
	f.puts++
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.New("connection reset")
	}
	if content, ok := f.objects[name]; ok {
		return content, nil
	}
	return nil, oops.Code(objects.CodeNotFound).Errorf("no object %q", name)
}

// testHost holds the components of this package that one node runs.
type testHost struct {
	id      ident.HostID
	store   *Store
	traces  *Traces
	archive *Archive
	scope   tally.TestScope
}

func newHost(id ident.HostID, store objects.Store, hosts int) *testHost {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &testHost{id: id, store: NewStore(id), traces: NewTraces(id), scope: tally.NewTestScope("", nil)}
	h.archive = NewArchive(ArchiveConfig{
		Host: id, Objects: store, Store: h.store, Traces: h.traces,
		Hosts:  func() int { return hosts },
		Events: telemetry.NewEventLog(logrus.NewEntry(log)), Scope: h.scope,
	})
	return h
}

// serve records a session of a request and its decisions, with a discarded token
// and a loss if disturbed is set.
func (h *testHost) serve(team ident.Team, id ident.RequestID, disturbed bool) {
	request := &generation.Request{Team: team, Request: id, Generation: ident.GenerationID(id)}
	start := &generation.StartState{Journal: &continuation.Journal{}}
	config := continuation.DefaultConfig
	recorder := h.traces.Open(request, start, config)
	machine := continuation.NewMachine(config, start.Journal, 0)
	step := func(event continuation.Event) {
		now := time.Now()
		recorder.Step(now, event, machine.Step(now, event))
	}
	step(continuation.Started{})
	step(continuation.Placed{Attempt: "a1", Backend: "e1", FirstTokenLimit: time.Second})
	step(continuation.Token{Attempt: "a1", Text: "x", Finish: "stop"})
	h.store.Add(time.Now(), team, id, "placed", "backend server e1")
	if disturbed {
		step(continuation.Token{Attempt: "a0", Text: "y"})
		h.store.Add(time.Now(), team, id, "lost", "silence")
	}
	step(continuation.Acknowledged{Tokens: 1})
	recorder.Close()
}

// runArchives runs the archives of the hosts for the given time.
func runArchives(t *testing.T, d time.Duration, hosts ...*testHost) {
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	for _, h := range hosts {
		workers.Go(func() { h.archive.Run(ctx) })
	}
	time.Sleep(d)
	cancel()
	workers.Wait()
}

// Guards against an explanation or a trace that is lost with the node that served
// the request, or that is overwritten by a node that continued the request, even if
// both nodes write to the same object or another team used the same request id.
func TestExplanationsSurviveNodeLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeObjects{objects: map[string][]byte{}}
		first := newHost("h1", store, 3)
		sameSlot := ident.HostID("")
		for i := 2; sameSlot == ""; i++ {
			if id := ident.HostID(fmt.Sprintf("h%d", i)); slotOf("c", id) == slotOf("c", "h1") {
				sameSlot = id
			}
		}
		second, third := newHost(sameSlot, store, 3), newHost("other", store, 3)
		first.serve("c", "r/1", true)
		runArchives(t, 3*time.Second, first)
		second.serve("c", "r/1", true)
		third.serve("d", "r/1", true)
		third.serve("d", "quiet", false)
		runArchives(t, 3*time.Second, second, third)

		found, err := newHost("new", store, 3).archive.Load(t.Context(), "r/1")
		if err != nil || len(found.Records) != 2 {
			t.Fatalf("found %+v, %v", found, err)
		}
		for _, record := range found.Records {
			hosts := map[ident.Team][]ident.HostID{"c": {"h1", sameSlot}, "d": {"other"}}[record.Team]
			if len(record.Decisions) != 2*len(hosts) || len(record.Traces) != len(hosts) {
				t.Fatalf("customer %s: %d decisions, %d traces", record.Team, len(record.Decisions), len(record.Traces))
			}
			for i, h := range hosts {
				report, err := trace.Replay(strings.NewReader(record.Traces[i].Text))
				if err != nil || !report.OK() || report.Sessions[0].Host != h || report.Sessions[0].Discarded != 1 {
					t.Errorf("customer %s, trace %d: %+v, %v", record.Team, i, report, err)
				}
			}
		}
		if quiet, err := first.archive.Load(t.Context(), "quiet"); err != nil || len(quiet.Records) != 0 {
			t.Errorf("an undisturbed request was stored: %+v, %v", quiet, err)
		}
	})
}

// Guards against writes beyond the node's share of the write rate, and against a
// queue that grows without bound or drops requests without counting them.
func TestWritesAreBounded(t *testing.T) {
	for _, test := range []struct {
		hosts int
		limit int // objects in 60 s, the burst included
	}{{3, 305}, {1100, 8}} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeObjects{objects: map[string][]byte{}}
			h := newHost("h1", store, test.hosts)
			const requests = maxPending + 10
			for i := range requests {
				h.store.Add(time.Now(), "c", ident.RequestID(fmt.Sprint(i)), "lost", "")
			}
			ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
			defer cancel()
			go h.archive.Run(ctx)
			time.Sleep(59*time.Second + 500*time.Millisecond)
			store.mu.Lock()
			n := store.puts
			store.mu.Unlock()
			if n > test.limit || n < test.limit/2 {
				t.Errorf("%d hosts: %d objects were written, limit %d", test.hosts, n, test.limit)
			}
			<-ctx.Done()
			synctest.Wait()
			dropped := int64(0)
			for _, c := range h.scope.Snapshot().Counters() {
				if strings.Contains(c.Name(), "dropped") {
					dropped += c.Value()
				}
			}
			if dropped != requests-maxPending {
				t.Errorf("%d hosts: %d drops were counted", test.hosts, dropped)
			}
		})
	}
}

// Guards against an explanation that is discarded because the object store has an
// outage, and against a Load that reports no records instead of the outage.
func TestOutageDelaysWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeObjects{objects: map[string][]byte{}, down: true}
		h := newHost("h1", store, 3)
		h.serve("c", "r1", true)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { h.archive.Run(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		if _, err := h.archive.Load(t.Context(), "r1"); CodeOf(err) != CodeUnavailable {
			t.Errorf("load during the outage: %v", err)
		}
		store.mu.Lock()
		store.down = false
		store.mu.Unlock()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if found, err := h.archive.Load(t.Context(), "r1"); err != nil || len(found.Records) != 1 {
			t.Errorf("after the outage: %+v, %v", found, err)
		}
	})
}

// Guards against traces that grow without bound, and against budget memory that is
// not returned when a session is dropped.
func TestTracesAreBounded(t *testing.T) {
	h := newHost("h1", &fakeObjects{objects: map[string][]byte{}}, 3)
	for i := range 2 * maxTraces {
		h.serve("c", ident.RequestID(fmt.Sprint(i)), i%2 == 0)
	}
	for i := range 2 * maxTraces {
		h.serve("c", ident.RequestID(fmt.Sprint("late", i)), true)
	}
	if len(h.traces.Get("late0")) != 0 || len(h.traces.Get(ident.RequestID(fmt.Sprint("late", 2*maxTraces-1)))) != 1 {
		t.Error("the newest traces are not those that were kept")
	}
	if h.traces.kept.Len() != maxTraces || h.traces.bytes > maxTraceBytes || h.traces.budget.Used() != 0 {
		t.Errorf("%d traces of %d bytes, %d bytes in recordings", h.traces.kept.Len(), h.traces.bytes, h.traces.budget.Used())
	}
}

// Guards against an overload whose refused requests evict the traces of actual
// interruptions and use up the write rate of the object store.
func TestRefusedGenerationsAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeObjects{objects: map[string][]byte{}}
		h := newHost("h1", store, 3)
		request := &generation.Request{Team: "c", Request: "r"}
		recorder := h.traces.Open(request, &generation.StartState{Journal: &continuation.Journal{}}, continuation.DefaultConfig)
		recorder.Step(time.Now(), continuation.PlacementFailed{}, []continuation.Action{continuation.Fail{Reason: "overloaded"}})
		recorder.Close()
		h.store.Add(time.Now(), "c", "r", "failed", "overloaded")
		runArchives(t, 3*time.Second, h)
		if len(h.traces.Get("r")) != 0 || store.puts != 0 {
			t.Errorf("%d traces kept, %d objects written", len(h.traces.Get("r")), store.puts)
		}
	})
}

// Guards against explanations that are lost in a graceful stop, and against a stop
// that writes without bound.
func TestStopFlushesPendingWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeObjects{objects: map[string][]byte{}}
		h := newHost("h1", store, 3)
		for i := range 2 * maxFlushObjects {
			h.serve("c", ident.RequestID(fmt.Sprint(i)), true)
		}
		runArchives(t, 0, h)
		if store.puts != maxFlushObjects {
			t.Errorf("%d objects were written, want %d", store.puts, maxFlushObjects)
		}
	})
}
