package fleetsim

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Engine constants of the model.
const (
	// stepBase is the time of one step, which makes a token of each running
	// stream, and stepPerRun what each of them adds.
	stepBase   = 6350 * time.Microsecond
	stepPerRun = 60 * time.Microsecond
	// chunkTokens are read of the first waiting prompt in each step, at
	// readPerToken each.
	chunkTokens  = 512
	readPerToken = 125 * time.Microsecond
	// eventTokens is the number of tokens of one event of a stream.
	eventTokens = 5
)

// job is a stream on an engine.
type job struct {
	stream *stream
	unread int // prompt tokens that the engine has still to read
	made   int // output tokens of the whole stream so far
	memory int // tokens in memory, with those of the output
	admit  int // order of admission; the newest is preempted first
}

// engine models one life of a model engine.
type engine struct {
	p          *play
	id         ident.BackendID
	dataCentre int
	slow       float64 // factor on the time of a step
	waiting    []*job
	running    []*job
	copies     map[*stream]int // tokens of copies of runs on other engines
	stepping   bool
	lost       bool
	admitted   int
}

func (e *engine) used() int {
	used := 0
	for _, j := range e.running {
		used += j.memory
	}
	for _, tokens := range e.copies {
		used += tokens
	}
	return used
}

// add puts a stream at the end of the queue, or at its head if it goes on.
func (e *engine) add(s *stream, unread int) {
	e.admitted++
	j := &job{stream: s, unread: unread, made: s.made, memory: s.Tokens + s.made, admit: e.admitted}
	switch {
	case unread == 0:
		e.running = append(e.running, j)
	case s.made > 0:
		e.waiting = slices.Insert(e.waiting, 0, j)
	default:
		e.waiting = append(e.waiting, j)
	}
	e.wake()
}

// remove drops a stream.
func (e *engine) remove(s *stream) {
	same := func(j *job) bool { return j.stream == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

func (e *engine) wake() {
	if !e.stepping && !e.lost && len(e.waiting)+len(e.running) > 0 {
		e.step()
	}
}

// step runs one step: every running stream gets a token, and a piece of the first
// prompt that has room is read.
func (e *engine) step() {
	e.stepping = true
	took := stepBase + time.Duration(len(e.running))*stepPerRun
	var read *job
	if len(e.waiting) > 0 && e.used()+e.waiting[0].memory <= e.p.setup.Memory {
		read = e.waiting[0]
		chunk := min(chunkTokens, read.unread)
		read.unread -= chunk
		e.p.out.TokensRead += chunk
		if read.stream.losses > 0 {
			e.p.out.TokensReadAgain += chunk
		}
		took += time.Duration(chunk) * readPerToken
	}
	if read == nil && len(e.running) == 0 {
		e.stepping = false // the first prompt waits for room that copies take
		return
	}
	e.p.after(time.Duration(float64(took)*e.slow), func() { e.stepped(read) })
}

func (e *engine) stepped(read *job) {
	e.stepping = false
	if e.lost {
		return
	}
	if read != nil && read.unread == 0 && len(e.waiting) > 0 && e.waiting[0] == read {
		e.waiting = e.waiting[1:]
		e.running = append(e.running, read)
	}
	for _, j := range slices.Clone(e.running) {
		j.made++
		j.memory++
		j.stream.token(e, j.made)
	}
	e.preempt()
	e.wake()
}

// preempt moves the newest running stream back to the queue while memory is over
// its limit. Its prompt is read again.
func (e *engine) preempt() {
	for len(e.running) > 1 && e.used() > e.p.setup.Memory {
		newest := slices.MaxFunc(e.running, func(a, b *job) int { return a.admit - b.admit })
		e.remove(newest.stream)
		newest.unread = newest.memory
		e.waiting = slices.Insert(e.waiting, 0, newest)
		e.p.out.Preempted++
	}
}
