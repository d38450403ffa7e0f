package generation

import (
	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

func (r *Run) replicate(a continuation.Replicate) {
	current, _ := r.machine.CurrentAttempt()
	if placed := r.placements[current]; placed != nil {
		placed.delivered++
	}
	if r.replica != nil {
		r.replica.Append(r.machine.Journal().Token(a.Index), a.Finish)
	}
}

func (r *Run) release(a continuation.Release) {
	r.updateCursor()
	r.batch = r.batch[:0]
	for i := a.From; i < a.To; i++ {
		text := r.machine.Journal().Token(i)
		digest := r.released.add(text)
		r.batch = append(r.batch, ReleasedToken{Index: i, Text: text, Cursor: r.encoder.Encode(i+1, digest)})
	}
	if !r.sinkFailed && r.sink.Tokens(r.batch) != nil {
		r.sinkFailed = true
	}
}

// updateCursor sets the current stream and replicas in the cursors of the
// tokens that follow.
func (r *Run) updateCursor() {
	attempt, backendID := r.machine.CurrentAttempt()
	hosts := r.cursorBase.Replicas
	if r.replica != nil {
		hosts = r.replica.Hosts()
	}
	if attempt == r.cursorBase.Attempt && sameHosts(hosts, r.cursorBase.Replicas) {
		return
	}
	r.cursorBase.Attempt = attempt
	r.cursorBase.Backend = backendID
	r.cursorBase.Replicas = hosts
	r.encoder.Update(r.cursorBase)
}

func sameHosts(a, b []ident.HostID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (r *Run) finish(a continuation.Finish) {
	attempt, _ := r.machine.CurrentAttempt()
	r.stop(attempt, OutcomeFinished)
	r.deps.Observer.Decision(r.request, "finished", a.Reason)
	if !r.sinkFailed && r.sink.Finish(a.Reason) != nil {
		r.sinkFailed = true
	}
}
