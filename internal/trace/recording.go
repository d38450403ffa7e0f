package trace

import (
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// MaxRecordingBytes bounds one recording; it holds about 7,000 tokens.
	MaxRecordingBytes = 256 << 10
	// firstLogBytes is the first size of a log, which then doubles.
	firstLogBytes = 512
	// otherStepBytes is the assumed memory of a step that is kept as values.
	otherStepBytes = 512
)

// Budget bounds the memory of all recordings of a node. It may be used by any
// number of goroutines.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

func (b *Budget) reserve(bytes int) bool {
	if b.used.Add(int64(bytes)) <= b.limit {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

func (b *Budget) release(bytes int) { b.used.Add(-int64(bytes)) }

// Used returns the bytes that recordings hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// Recording holds one session in memory. Most steps are a token or an
// acknowledgement with the usual actions; they take about 20 bytes in the log.
// All other steps are kept as values. It belongs to one goroutine.
type Recording struct {
	header Header
	budget *Budget
	// size is what the recording holds of the budget.
	size   int
	log    []byte
	others []Step
	state  state
	began  time.Time
}

// Operations of the log. With a release the step ends with the release of all
// tokens up to the one that the operation names.
const (
	opOther byte = iota
	opToken
	opTokenReleased
	opAcknowledged
	opAcknowledgedReleased
)

// state is what a step of the log is relative to.
type state struct {
	at       time.Duration
	attempt  ident.AttemptID
	tokens   int
	released int
	acked    int
	silence  time.Duration
}

// apply brings the state up to date with a step.
func (s *state) apply(step *Step) {
	s.at = step.At
	switch e := step.Event.(type) {
	case continuation.Token:
		s.silence = e.SilenceLimit
		s.attempt = e.Attempt
	case continuation.Acknowledged:
		s.acked = e.Tokens
	}
	for _, action := range step.Actions {
		switch a := action.(type) {
		case continuation.Replicate:
			s.tokens = a.Index + 1
		case continuation.Release:
			s.released = a.To
		}
	}
}

// NewRecording returns an empty recording, or nil if the budget is used up.
func NewRecording(header Header, budget *Budget) *Recording {
	size := firstLogBytes + startBytes(header.Start)
	if size > MaxRecordingBytes || !budget.reserve(size) {
		return nil
	}
	return &Recording{
		header: header, budget: budget, size: size, log: make([]byte, 0, firstLogBytes),
		state: state{tokens: len(header.Start.Tokens), released: header.Start.Released},
	}
}

// Add adds a step. When a limit is reached, the recording is truncated and
// keeps what it has.
func (r *Recording) Add(now time.Time, event continuation.Event, actions []continuation.Action) {
	if r.header.Truncated {
		return
	}
	if r.began.IsZero() {
		r.began = now
		r.header.StartedAt = now
	}
	step := Step{At: now.Sub(r.began), Event: event, Actions: actions}
	need := binary.MaxVarintLen64 * 4
	if token, ok := event.(continuation.Token); ok {
		need += len(token.Text)
	}
	if !r.room(need) {
		r.header.Truncated = true
		return
	}
	if op := r.state.operation(&step); op != opOther {
		r.append(op, &step)
	} else if !r.addOther(step) {
		r.header.Truncated = true
		return
	}
	r.state.apply(&step)
}

// room makes the log large enough for further bytes.
func (r *Recording) room(bytes int) bool {
	if len(r.log)+bytes <= cap(r.log) {
		return true
	}
	grown := max(2*cap(r.log), len(r.log)+bytes)
	if !r.grow(grown - cap(r.log)) {
		return false
	}
	r.log = append(make([]byte, 0, grown), r.log...)
	return true
}

func (r *Recording) grow(bytes int) bool {
	if r.size+bytes > MaxRecordingBytes || !r.budget.reserve(bytes) {
		return false
	}
	r.size += bytes
	return true
}

func (r *Recording) addOther(step Step) bool {
	if !r.grow(otherStepBytes) {
		return false
	}
	r.log = append(r.log, opOther)
	r.others = append(r.others, step)
	return true
}

// operation returns the operation that describes a step completely, or opOther.
func (s *state) operation(step *Step) byte {
	released := len(step.Actions) > 0 && s.releases(step.Actions[len(step.Actions)-1])
	switch e := step.Event.(type) {
	case continuation.Token:
		if e.Attempt != s.attempt || e.Index != s.tokens || e.Finish != "" || len(step.Actions) == 0 {
			return opOther
		}
		if step.Actions[0] != (continuation.Replicate{Index: e.Index}) {
			return opOther
		}
		switch {
		case len(step.Actions) == 1:
			return opToken
		case len(step.Actions) == 2 && released:
			return opTokenReleased
		}
	case continuation.Acknowledged:
		switch {
		case len(step.Actions) == 0:
			return opAcknowledged
		case len(step.Actions) == 1 && released:
			return opAcknowledgedReleased
		}
	}
	return opOther
}

func (s *state) releases(action continuation.Action) bool {
	release, ok := action.(continuation.Release)
	return ok && release.From == s.released && release.To > release.From
}

func (r *Recording) append(op byte, step *Step) {
	log := append(r.log, op)
	log = binary.AppendUvarint(log, uint64(step.At-r.state.at))
	switch e := step.Event.(type) {
	case continuation.Token:
		log = binary.AppendUvarint(log, uint64(len(e.Text)))
		log = append(log, e.Text...)
		log = binary.AppendVarint(log, int64(e.SilenceLimit-r.state.silence))
	case continuation.Acknowledged:
		log = binary.AppendVarint(log, int64(e.Tokens-r.state.acked))
	}
	if op == opTokenReleased || op == opAcknowledgedReleased {
		release := step.Actions[len(step.Actions)-1].(continuation.Release)
		log = binary.AppendUvarint(log, uint64(release.To-release.From))
	}
	r.log = log
}

// Bytes returns the memory that the recording holds.
func (r *Recording) Bytes() int { return r.size }

// Truncated tells that the session went on after the last recorded step.
func (r *Recording) Truncated() bool { return r.header.Truncated }

// Free returns the memory to the budget. The recording must not be used after
// it.
func (r *Recording) Free() {
	r.budget.release(r.size)
	r.size, r.log, r.others = 0, nil, nil
}

// Copy returns a copy for reading that holds nothing of the budget.
func (r *Recording) Copy() *Recording {
	return &Recording{
		header: r.header,
		size:   len(r.log) + otherStepBytes*len(r.others) + startBytes(r.header.Start),
		log:    slices.Clone(r.log),
		others: slices.Clone(r.others),
	}
}

// startBytes returns the memory of a start, the slice headers included.
func startBytes(s Start) int {
	bytes := 0
	for _, token := range s.Tokens {
		bytes += len(token) + 16
	}
	return bytes
}

// Session returns what was recorded.
func (r *Recording) Session() Session {
	d := decoder{log: r.log, others: r.others}
	d.state.tokens, d.state.released = len(r.header.Start.Tokens), r.header.Start.Released
	session := Session{Header: r.header}
	session.Header.Version = Version
	for len(d.log) > 0 {
		step := d.next()
		d.state.apply(&step)
		session.Steps = append(session.Steps, step)
	}
	return session
}

// decoder reads a log of this process, which is well formed.
type decoder struct {
	log    []byte
	others []Step
	state  state
}

func (d *decoder) uvarint() int64 {
	value, n := binary.Uvarint(d.log)
	d.log = d.log[n:]
	return int64(value)
}

func (d *decoder) varint() int64 {
	value, n := binary.Varint(d.log)
	d.log = d.log[n:]
	return value
}

func (d *decoder) next() Step {
	op := d.log[0]
	d.log = d.log[1:]
	if op == opOther {
		step := d.others[0]
		d.others = d.others[1:]
		return step
	}
	step := Step{At: d.state.at + time.Duration(d.uvarint())}
	switch op {
	case opToken, opTokenReleased:
		token := continuation.Token{Attempt: d.state.attempt, Index: d.state.tokens}
		length := d.uvarint()
		token.Text = string(d.log[:length])
		d.log = d.log[length:]
		token.SilenceLimit = d.state.silence + time.Duration(d.varint())
		step.Event = token
		step.Actions = append(step.Actions, continuation.Replicate{Index: token.Index})
	default:
		step.Event = continuation.Acknowledged{Tokens: d.state.acked + int(d.varint())}
	}
	if op == opTokenReleased || op == opAcknowledgedReleased {
		from := d.state.released
		step.Actions = append(step.Actions, continuation.Release{From: from, To: from + int(d.uvarint())})
	}
	return step
}
