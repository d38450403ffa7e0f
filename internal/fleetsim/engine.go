package fleetsim

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Parameters of the engine model.
const (
	// stepBaseTime is the fixed part of the duration of one step, in which the engine
	// generates one token for each running stream. Each running stream adds
	// stepTimePerRun.
	stepBaseTime   = 6350 * time.Microsecond
	stepTimePerRun = 60 * time.Microsecond
	// prefillChunkTokens is the number of prompt tokens of the first waiting stream
	// that are read in each step, at prefillPerToken each.
	prefillChunkTokens = 512
	prefillPerToken    = 125 * time.Microsecond
	// eventTokens is the number of tokens in one event of a stream.
	eventTokens = 5
)

// job is a stream on an engine.
type job struct {
	stream     *stream
	unread     int // prompt tokens that the engine still has to read
	generated  int // output tokens of the stream so far, on all engines
	memory     int // tokens in memory, prompt and output
	admitOrder int // increases with each stream added; the highest is preempted first
}

// engine models one incarnation of a model engine.
type engine struct {
	sim        *simulation
	id         ident.BackendID
	dataCentre int
	slowdown   float64 // factor by which steps take longer than on an engine of nominal speed
	waiting    []*job
	running    []*job
	copies     map[*stream]int // number of tokens of each copy of a run on another engine
	stepping   bool            // a step is in progress
	lost       bool
	admitted   int // number of streams added so far
}

func (e *engine) usedTokens() int {
	used := 0
	for _, j := range e.running {
		used += j.memory
	}
	for _, tokens := range e.copies {
		used += tokens
	}
	return used
}

// add adds a stream of which unread prompt tokens have to be read. The stream runs at
// once if unread is 0. Otherwise it goes to the head of the queue if it has generated
// tokens before, and to the end of the queue if not.
func (e *engine) add(s *stream, unread int) {
	e.admitted++
	j := &job{stream: s, unread: unread, generated: s.generated, memory: s.Tokens + s.generated, admitOrder: e.admitted}
	switch {
	case unread == 0:
		e.running = append(e.running, j)
	case s.generated > 0:
		e.waiting = slices.Insert(e.waiting, 0, j)
	default:
		e.waiting = append(e.waiting, j)
	}
	e.wake()
}

func (e *engine) remove(s *stream) {
	same := func(j *job) bool { return j.stream == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

func (e *engine) wake() {
	if !e.stepping && !e.lost && len(e.waiting)+len(e.running) > 0 {
		e.startStep()
	}
}

// startStep starts one step, in which a token is generated for every running stream
// and a chunk of the first waiting prompt is read if that prompt fits in memory.
func (e *engine) startStep() {
	e.stepping = true
	took := stepBaseTime + time.Duration(len(e.running))*stepTimePerRun
	var read *job
	if len(e.waiting) > 0 && e.usedTokens()+e.waiting[0].memory <= e.sim.setup.Memory {
		read = e.waiting[0]
		chunk := min(prefillChunkTokens, read.unread)
		read.unread -= chunk
		e.sim.outcome.TokensRead += chunk
		if read.stream.losses > 0 {
			e.sim.outcome.TokensReread += chunk
		}
		took += time.Duration(chunk) * prefillPerToken
	}
	if read == nil && len(e.running) == 0 {
		e.stepping = false // the copies leave too little memory for the first prompt
		return
	}
	e.sim.after(time.Duration(float64(took)*e.slowdown), func() { e.finishStep(read) })
}

func (e *engine) finishStep(read *job) {
	e.stepping = false
	if e.lost {
		return
	}
	if read != nil && read.unread == 0 && len(e.waiting) > 0 && e.waiting[0] == read {
		e.waiting = e.waiting[1:]
		e.running = append(e.running, read)
	}
	for _, j := range slices.Clone(e.running) {
		j.generated++
		j.memory++
		j.stream.onToken(e, j.generated)
	}
	e.preempt()
	e.wake()
}

// preempt moves the streams that were added last back to the queue, one after the
// other, while the memory in use exceeds the limit. Their prompts and output so far
// have to be read again.
func (e *engine) preempt() {
	for len(e.running) > 1 && e.usedTokens() > e.sim.setup.Memory {
		newest := slices.MaxFunc(e.running, func(a, b *job) int { return a.admitOrder - b.admitOrder })
		e.remove(newest.stream)
		newest.unread = newest.memory
		e.waiting = slices.Insert(e.waiting, 0, newest)
		e.sim.outcome.Preemptions++
	}
}
