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
	// MaxRecordingBytes is the maximum memory of one recording, which is sufficient
	// for about 7,000 tokens of an answer. The log usually reaches only half of the
	// limit, because its capacity doubles and the unencoded steps need memory too.
	MaxRecordingBytes = 256 << 10
	// initialLogBytes is the initial capacity of a log, which doubles when it is full.
	initialLogBytes = 512
	// unencodedStepBytes is the estimated memory of a step that the log does not
	// encode. Such a step is stored as a Step value.
	unencodedStepBytes = 512
	// stringHeaderBytes is the size of a string header on 64-bit platforms.
	stringHeaderBytes = 16
)

// Budget bounds the memory of the recordings that share it. It may be used by any
// number of goroutines.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

func (b *Budget) reserve(bytes int) bool {
	if b.used.Add(int64(bytes)) <= b.limit {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

func (b *Budget) release(bytes int) { b.used.Add(-int64(bytes)) }

// Used returns the number of bytes that recordings have reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Recording holds one session in memory. Most steps are the next token, which is
// accepted, or an acknowledgement, each with at most one release. The log encodes
// these steps; a token and its acknowledgement together take about 20 bytes. All
// other steps are stored as Step values. A Recording must be used by one goroutine
// only.
type Recording struct {
	header Header
	budget *Budget
	// size is the number of bytes that the recording has reserved from the budget;
	// in a copy it is the memory that the copy holds.
	size           int
	log            []byte
	unencodedSteps []Step
	state          logState
	startedAt      time.Time
}

// Operation codes of the log. The Released variants mean that the last action of
// the step releases further tokens; the log holds their number.
const (
	opUnencoded byte = iota
	opToken
	opTokenReleased
	opAcknowledged
	opAcknowledgedReleased
)

// logState is the state after a step. The log encodes the next step as differences
// from it.
type logState struct {
	at time.Duration // time since the first event of the session
	// attempt and silenceLimit are those of the last token event.
	attempt      ident.AttemptID
	silenceLimit time.Duration
	tokens       int // length of the journal
	released     int // number of tokens released to the caller
	acked        int // number of tokens in the last acknowledgement
}

// apply updates the state with a step.
func (s *logState) apply(step *Step) {
	s.at = step.At
	switch e := step.Event.(type) {
	case continuation.Token:
		s.silenceLimit = e.SilenceLimit
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

// NewRecording returns an empty recording. It returns nil if the budget is used up
// or the start of the session is too large for a recording.
func NewRecording(header Header, budget *Budget) *Recording {
	size := initialLogBytes + startBytes(header.Start)
	if size > MaxRecordingBytes || !budget.reserve(size) {
		return nil
	}
	return &Recording{
		header: header, budget: budget, size: size, log: make([]byte, 0, initialLogBytes),
		state: logState{tokens: len(header.Start.Tokens), released: header.Start.Released},
	}
}

// Add records a step. When a limit is reached, the recording is marked as
// truncated, keeps the steps that it has and ignores further ones.
func (r *Recording) Add(now time.Time, event continuation.Event, actions []continuation.Action) {
	if r.header.Truncated {
		return
	}
	if r.startedAt.IsZero() {
		r.startedAt = now
		r.header.StartedAt = now
	}
	step := Step{At: now.Sub(r.startedAt), Event: event, Actions: actions}
	// A step takes an operation code, up to four integers of variable length, of
	// which not all have the maximum length, and the text of a token.
	need := binary.MaxVarintLen64 * 4
	if token, ok := event.(continuation.Token); ok {
		need += len(token.Text)
	}
	if !r.ensureCapacity(need) {
		r.header.Truncated = true
		return
	}
	if op := r.state.opFor(&step); op != opUnencoded {
		r.appendStep(op, &step)
	} else if !r.addUnencodedStep(step) {
		r.header.Truncated = true
		return
	}
	r.state.apply(&step)
}

// ensureCapacity grows the log if it lacks room for the given number of bytes. It
// reports whether the limits permit it.
func (r *Recording) ensureCapacity(bytes int) bool {
	if len(r.log)+bytes <= cap(r.log) {
		return true
	}
	grown := max(2*cap(r.log), len(r.log)+bytes)
	if !r.reserve(grown - cap(r.log)) {
		return false
	}
	r.log = append(make([]byte, 0, grown), r.log...)
	return true
}

// reserve reserves bytes from the budget. It reports whether the limits permit it.
func (r *Recording) reserve(bytes int) bool {
	if r.size+bytes > MaxRecordingBytes || !r.budget.reserve(bytes) {
		return false
	}
	r.size += bytes
	return true
}

func (r *Recording) addUnencodedStep(step Step) bool {
	if !r.reserve(unencodedStepBytes) {
		return false
	}
	r.log = append(r.log, opUnencoded)
	r.unencodedSteps = append(r.unencodedSteps, step)
	return true
}

// opFor returns the operation that encodes all of a step, or opUnencoded if there is
// none.
func (s *logState) opFor(step *Step) byte {
	released := len(step.Actions) > 0 && s.releasesNext(step.Actions[len(step.Actions)-1])
	switch e := step.Event.(type) {
	case continuation.Token:
		if e.Attempt != s.attempt || e.Index != s.tokens || e.Finish != "" || len(step.Actions) == 0 {
			return opUnencoded
		}
		if step.Actions[0] != (continuation.Replicate{Index: e.Index}) {
			return opUnencoded
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
	return opUnencoded
}

// releasesNext reports whether an action releases further tokens, starting with the
// first one that has not been released.
func (s *logState) releasesNext(action continuation.Action) bool {
	release, ok := action.(continuation.Release)
	return ok && release.From == s.released && release.To > release.From
}

func (r *Recording) appendStep(op byte, step *Step) {
	log := append(r.log, op)
	log = binary.AppendUvarint(log, uint64(step.At-r.state.at))
	switch e := step.Event.(type) {
	case continuation.Token:
		log = binary.AppendUvarint(log, uint64(len(e.Text)))
		log = append(log, e.Text...)
		log = binary.AppendVarint(log, int64(e.SilenceLimit-r.state.silenceLimit))
	case continuation.Acknowledged:
		log = binary.AppendVarint(log, int64(e.Tokens-r.state.acked))
	}
	if op == opTokenReleased || op == opAcknowledgedReleased {
		release := step.Actions[len(step.Actions)-1].(continuation.Release)
		log = binary.AppendUvarint(log, uint64(release.To-release.From))
	}
	r.log = log
}

// Bytes returns the number of bytes of memory that the recording holds.
func (r *Recording) Bytes() int { return r.size }

// Truncated reports whether the session continued after the last recorded step.
func (r *Recording) Truncated() bool { return r.header.Truncated }

// Free returns the memory to the budget. The recording must not be used afterwards.
func (r *Recording) Free() {
	r.budget.release(r.size)
	r.size, r.log, r.unencodedSteps = 0, nil, nil
}

// Copy returns a read-only copy, which reserves nothing from the budget. Add and Free
// must not be called on it.
func (r *Recording) Copy() *Recording {
	return &Recording{
		header:         r.header,
		size:           len(r.log) + unencodedStepBytes*len(r.unencodedSteps) + startBytes(r.header.Start),
		log:            slices.Clone(r.log),
		unencodedSteps: slices.Clone(r.unencodedSteps),
	}
}

// startBytes returns the memory of the tokens of a start, including the string headers.
func startBytes(s Start) int {
	bytes := 0
	for _, token := range s.Tokens {
		bytes += len(token) + stringHeaderBytes
	}
	return bytes
}

// Session decodes and returns the recorded session.
func (r *Recording) Session() Session {
	d := logDecoder{log: r.log, unencodedSteps: r.unencodedSteps}
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

// logDecoder decodes the log of a recording. It does not check the log, which was
// written by the same process.
type logDecoder struct {
	log            []byte
	unencodedSteps []Step
	state          logState
}

func (d *logDecoder) uvarint() int64 {
	value, n := binary.Uvarint(d.log)
	d.log = d.log[n:]
	return int64(value)
}

func (d *logDecoder) varint() int64 {
	value, n := binary.Varint(d.log)
	d.log = d.log[n:]
	return value
}

func (d *logDecoder) next() Step {
	op := d.log[0]
	d.log = d.log[1:]
	if op == opUnencoded {
		step := d.unencodedSteps[0]
		d.unencodedSteps = d.unencodedSteps[1:]
		return step
	}
	step := Step{At: d.state.at + time.Duration(d.uvarint())}
	switch op {
	case opToken, opTokenReleased:
		token := continuation.Token{Attempt: d.state.attempt, Index: d.state.tokens}
		length := d.uvarint()
		token.Text = string(d.log[:length])
		d.log = d.log[length:]
		token.SilenceLimit = d.state.silenceLimit + time.Duration(d.varint())
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
