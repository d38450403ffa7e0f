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
	// prefillChunkTokens is the maximum number of prompt tokens of the first waiting
	// stream that are read in one step. Each takes prefillPerToken.
	prefillChunkTokens = 512
	prefillPerToken    = 125 * time.Microsecond
	// eventTokens is the number of tokens in one event of a stream.
	eventTokens = 5
)

// job is a stream on an engine.
type job struct {
	stream       *stream
	unread       int // prompt tokens that the engine still has to read
	generated    int // output tokens of the stream so far, on all engines
	memoryTokens int // tokens in memory, prompt and output
	addOrder     int // increases with each stream added; the job with the highest is preempted first
}

// engine models one incarnation of a model engine.
type engine struct {
	sim        *simulation
	id         ident.BackendID
	dataCentre int
	slowdown   float64 // duration of a step relative to that on an engine of nominal speed
	waiting    []*job
	running    []*job
	copies     map[*stream]int // size in tokens of each stored copy of a stream that runs on another engine
	stepping   bool            // a step is in progress
	lost       bool
	added      int // number of streams added so far
}

func (e *engine) usedTokens() int {
	used := 0
	for _, j := range e.running {
		used += j.memoryTokens
	}
	for _, tokens := range e.copies {
		used += tokens
	}
	return used
}

// add adds a stream for which the engine has to read unread tokens first. The stream
// runs at once if unread is 0. Otherwise it is queued: at the head if it has generated
// tokens before, at the end if not.
func (e *engine) add(s *stream, unread int) {
	e.added++
	j := &job{stream: s, unread: unread, generated: s.generated, memoryTokens: s.PromptTokens + s.generated, addOrder: e.added}
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
	if len(e.waiting) > 0 && e.usedTokens()+e.waiting[0].memoryTokens <= e.sim.setup.MemoryTokens {
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
		j.memoryTokens++
		j.stream.onToken(e, j.generated)
	}
	e.preempt()
	e.wake()
}

// preempt moves running streams back to the head of the queue, the last added first,
// while the memory in use exceeds the limit and more than one stream runs. Their prompts
// and output so far have to be read again.
func (e *engine) preempt() {
	for len(e.running) > 1 && e.usedTokens() > e.sim.setup.MemoryTokens {
		newest := slices.MaxFunc(e.running, func(a, b *job) int { return a.addOrder - b.addOrder })
		e.remove(newest.stream)
		newest.unread = newest.memoryTokens
		e.waiting = slices.Insert(e.waiting, 0, newest)
		e.sim.outcome.Preemptions++
	}
}
