package continuation

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

var seedFlag = flag.Uint64("seed", 0, "run only this seed of the simulation")

// simulation runs one machine against simulated engines in virtual time.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	machine *Machine
	engines []*engine
	nextID  int

	received  []string
	finished  bool
	failed    string
	resumes   []time.Duration
	discarded int
	opened    int
	acked     int
	trace     []string
}

type engine struct {
	id      ident.BackendID
	dead    bool
	frozen  bool
	streams map[ident.AttemptID]*stream
}

// stream is the engine's side of an attempt: all tokens of the answer from index
// start.
type stream struct {
	start  int
	tokens []string
	// firstTokenAt is when the first token is ready; the others follow at
	// intervals of tokenGap.
	firstTokenAt time.Time
	conn         int // number of the most recent connection
	silenced     map[int]bool
}

const (
	answerTokens = 60
	tokenGap     = 59 * time.Millisecond
	prefill      = 200 * time.Millisecond
	networkDelay = time.Millisecond
	silenceLimit = 300 * time.Millisecond
)

type timedEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue struct {
	items []timedEvent
	count int
}

func (q *eventQueue) Len() int { return len(q.items) }
func (q *eventQueue) Less(i, j int) bool {
	if q.items[i].at.Equal(q.items[j].at) {
		return q.items[i].order < q.items[j].order
	}
	return q.items[i].at.Before(q.items[j].at)
}
func (q *eventQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *eventQueue) Push(x any)    { q.items = append(q.items, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.queue.count++
	heap.Push(&s.queue, timedEvent{at: s.now.Add(d), order: s.queue.count, run: run})
}

// nextToken returns the token that an engine generates after a text. It contains
// a digest of the text, which reveals missing and repeated tokens and those of
// another text.
func nextToken(id ident.BackendID, text string) string {
	return fmt.Sprintf(" %s:%08x", id, uint32(xxh3.HashString(text)))
}

func newSimulation(t *testing.T, seed uint64, config Config) *simulation {
	s := &simulation{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		now:     time.Unix(1_800_000_000, 0),
		machine: NewMachine(config, &Journal{}, 0),
	}
	for i := range 4 {
		s.engines = append(s.engines, &engine{
			id:      ident.BackendID(fmt.Sprintf("e%d", i)),
			streams: map[ident.AttemptID]*stream{},
		})
	}
	return s
}

// run processes events until the generation ends.
func (s *simulation) run() {
	s.step(Started{})
	for steps := 0; !s.machine.Done() && s.queue.Len() > 0; steps++ {
		if steps > 200_000 {
			s.t.Fatalf("simulation does not end; last events:\n%s", strings.Join(s.trace[len(s.trace)-20:], "\n"))
		}
		next := heap.Pop(&s.queue).(timedEvent)
		s.now = next.at
		next.run()
	}
}

func (s *simulation) step(event Event) {
	s.trace = append(s.trace, fmt.Sprintf("%s %T%+v", s.now.Format("05.000"), event, event))
	for _, action := range s.machine.Step(s.now, event) {
		s.trace = append(s.trace, fmt.Sprintf("%s   -> %T%+v", s.now.Format("05.000"), action, action))
		s.execute(action)
	}
	if deadline := s.machine.Deadline(); !deadline.IsZero() {
		s.after(deadline.Sub(s.now), func() {
			if d := s.machine.Deadline(); !d.IsZero() && !s.now.Before(d) {
				s.step(Tick{})
			}
		})
	}
}

func (s *simulation) execute(action Action) {
	switch a := action.(type) {
	case Place:
		s.after(s.delay(), func() { s.place(a) })
	case Open:
		s.opened++
		s.after(networkDelay, func() { s.openStream(a) })
	case Reconnect:
		s.after(networkDelay, func() { s.reconnect(a) })
	case Probe:
		s.after(2*networkDelay, func() { s.probe(a) })
	case Replicate:
		s.after(s.delay(), func() {
			s.acked = max(s.acked, a.Index+1)
			s.step(Acknowledged{Tokens: s.acked})
		})
	case Release:
		if a.From != len(s.received) {
			s.t.Errorf("released from token %d, caller has %d", a.From, len(s.received))
		}
		s.received = append(s.received, s.machine.Journal().Tokens(a.From, a.To)...)
	case Resumed:
		s.resumes = append(s.resumes, a.Latency)
	case Discarded:
		s.discarded++
	case Finish:
		s.finished = true
	case Fail:
		s.failed = a.Reason
	}
}

// delay returns one round trip time plus up to 3 ms of jitter.
func (s *simulation) delay() time.Duration {
	return 2*networkDelay + time.Duration(s.rng.IntN(int(3*time.Millisecond)))
}

// place chooses a random engine that is not excluded.
func (s *simulation) place(a Place) {
	var choices []*engine
	for _, e := range s.engines {
		excluded := false
		for _, id := range a.Exclude {
			excluded = excluded || id == e.id
		}
		if !excluded {
			choices = append(choices, e)
		}
	}
	if len(choices) == 0 {
		s.step(PlacementFailed{RetryAfter: 50 * time.Millisecond, Reason: "no backend server"})
		return
	}
	chosen := choices[s.rng.IntN(len(choices))]
	s.nextID++
	s.step(Placed{Attempt: ident.AttemptID(fmt.Sprintf("a%d", s.nextID)), Backend: chosen.id, FirstTokenLimit: time.Second})
}

func (s *simulation) engine(id ident.BackendID) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (s *simulation) openStream(a Open) {
	e := s.engine(a.Backend)
	if e.dead {
		s.step(Broken{Attempt: a.Attempt, Rejected: true, Reason: "connection refused"})
		return
	}
	text := s.machine.Journal().TextPrefix(a.Tokens)
	st := &stream{start: a.Tokens, firstTokenAt: s.now.Add(prefill), silenced: map[int]bool{}}
	for i := a.Tokens; i < answerTokens; i++ {
		token := nextToken(e.id, text)
		st.tokens = append(st.tokens, token)
		text += token
	}
	e.streams[a.Attempt] = st
	s.connect(e, a.Attempt, st, a.Tokens)
}

func (s *simulation) reconnect(a Reconnect) {
	e := s.engine(a.Backend)
	st := e.streams[a.Attempt]
	if e.dead || st == nil {
		s.step(Broken{Attempt: a.Attempt, Rejected: true, Reason: "connection refused"})
		return
	}
	s.connect(e, a.Attempt, st, a.From)
}

func (s *simulation) connect(e *engine, id ident.AttemptID, st *stream, from int) {
	st.conn++
	s.deliver(e, id, st, st.conn, from)
}

// deliver sends one token when it is ready and schedules the next.
func (s *simulation) deliver(e *engine, id ident.AttemptID, st *stream, conn, index int) {
	ready := st.firstTokenAt.Add(time.Duration(index-st.start) * tokenGap)
	s.after(max(0, ready.Sub(s.now))+networkDelay, func() {
		switch {
		case e.dead || st.silenced[conn]:
			return
		case e.frozen:
			s.after(20*time.Millisecond, func() { s.deliver(e, id, st, conn, index) })
			return
		}
		s.step(tokenEvent(id, st, index))
		if index+1 < answerTokens {
			s.deliver(e, id, st, conn, index+1)
		}
	})
}

func tokenEvent(id ident.AttemptID, st *stream, index int) Token {
	token := Token{Attempt: id, Index: index, Text: st.tokens[index-st.start], SilenceLimit: silenceLimit}
	if index == answerTokens-1 {
		token.Finish = "stop"
	}
	return token
}

func (s *simulation) probe(a Probe) {
	e := s.engine(a.Backend)
	st := e.streams[a.Attempt]
	switch {
	case e.dead || st == nil:
		s.step(Probed{Attempt: a.Attempt})
	case e.frozen:
		s.after(1200*time.Millisecond, func() { s.step(Probed{Attempt: a.Attempt}) })
	default:
		produced := max(0, min(len(st.tokens), int(s.now.Sub(st.firstTokenAt)/tokenGap)+1))
		s.step(Probed{Attempt: a.Attempt, Alive: true, Tokens: st.start + produced, SilenceLimit: silenceLimit})
	}
}

// kill stops an engine permanently; its open connections are reset.
func (s *simulation) kill(e *engine) {
	if e.dead {
		return
	}
	e.dead = true
	for _, id := range sortedStreams(e) {
		s.after(networkDelay, func() { s.step(Broken{Attempt: id, Reason: "connection reset"}) })
	}
}

func sortedStreams(e *engine) []ident.AttemptID {
	var ids []ident.AttemptID
	for i := 1; i < 100; i++ {
		id := ident.AttemptID(fmt.Sprintf("a%d", i))
		if e.streams[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// silenceConnections stops delivery on all current connections of an engine
// permanently.
func (s *simulation) silenceConnections(e *engine) {
	for _, st := range e.streams {
		for conn := 1; conn <= st.conn; conn++ {
			st.silenced[conn] = true
		}
	}
}

// checkAnswer verifies that each token continues exactly the text before it.
func (s *simulation) checkAnswer() {
	s.t.Helper()
	text := ""
	for i, token := range s.received {
		id, _, _ := strings.Cut(strings.TrimSpace(token), ":")
		if want := nextToken(ident.BackendID(id), text); token != want {
			s.t.Fatalf("token %d is %q, want %q: a token is missing, repeated or of another text", i, token, want)
		}
		text += token
	}
	if s.finished && len(s.received) != answerTokens {
		s.t.Errorf("finished answer has %d tokens, want %d", len(s.received), answerTokens)
	}
}
