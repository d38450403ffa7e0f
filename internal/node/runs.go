package node

import (
	"sync"

	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// runs holds the generations that run on this node and counts its calls to
// plain services.
type runs struct {
	mu sync.Mutex
	// byGeneration and calls are guarded by mu. calls is the number of calls to
	// plain services in flight.
	byGeneration map[ident.GenerationID]*generation.Run
	calls        int
}

func newRuns() *runs {
	return &runs{byGeneration: map[ident.GenerationID]*generation.Run{}}
}

func (r *runs) add(id ident.GenerationID, run *generation.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byGeneration[id] = run
}

// remove removes a run. It keeps a newer run of the same generation.
func (r *runs) remove(id ident.GenerationID, run *generation.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byGeneration[id] == run {
		delete(r.byGeneration, id)
	}
}

func (r *runs) get(id ident.GenerationID) *generation.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byGeneration[id]
}

func (r *runs) callStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
}

func (r *runs) callEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls--
}

// inFlight returns the number of requests that a graceful shutdown waits for.
func (r *runs) inFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byGeneration) + r.calls
}
