package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
)

// Limits on the size of a trace that is read.
const (
	// maxLineBytes is sufficient for a header with the journal of a long answer.
	maxLineBytes  = 4 << 20
	maxTraceBytes = 64 << 20
	// maxSessions is well above the number of nodes that serve one request in turn.
	maxSessions = 64
)

// headerPrefix is the beginning of every header line and of no other line.
var headerPrefix = []byte(`{"trace_version":`)

// reader reads a trace line by line and decodes it.
type reader struct {
	lines *bufio.Scanner
	// number is the number of the current line, counted from 1.
	number     int
	bytes      int
	sessions   int
	previousAt time.Duration
}

func newReader(r io.Reader) *reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	lines.Split(splitLine)
	return &reader{lines: lines}
}

// splitLine is bufio.ScanLines without the removal of a trailing carriage return,
// which the format does not allow.
func splitLine(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}

// next returns the header or the step on the next line, or io.EOF.
func (r *reader) next() (*Header, *Step, error) {
	if !r.lines.Scan() {
		return nil, nil, r.endError()
	}
	r.number++
	text := r.lines.Bytes()
	if r.bytes += len(text) + 1; r.bytes > maxTraceBytes {
		return nil, nil, newError(CodeTooLarge).Errorf("line %d: the trace has more than %d bytes", r.number, maxTraceBytes)
	}
	if bytes.HasPrefix(text, headerPrefix) {
		header, err := r.header(text)
		return header, nil, err
	}
	if r.sessions == 0 {
		return nil, nil, r.malformed(errors.New("an event precedes the first header"))
	}
	step, err := r.step(text)
	return nil, step, err
}

// endError returns the reason why there is no further line. It is io.EOF if the
// whole trace was read.
func (r *reader) endError() error {
	err := r.lines.Err()
	switch {
	case err == nil && r.sessions == 0:
		return newError(CodeMalformed).Errorf("the trace is empty")
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return newError(CodeTooLarge).Errorf("line %d has more than %d bytes", r.number+1, maxLineBytes)
	}
	return newError(CodeUnreadable).Wrapf(err, "read line %d", r.number+1)
}

func (r *reader) malformed(err error) error {
	return newError(CodeMalformed).Wrapf(err, "line %d", r.number)
}

func (r *reader) header(text []byte) (*Header, error) {
	var version struct {
		Version int `json:"trace_version"`
	}
	if err := json.Unmarshal(text, &version); err != nil {
		return nil, r.malformed(err)
	}
	if version.Version != Version {
		return nil, newError(CodeVersion).Errorf("line %d: trace version %d is not supported; supported: %d", r.number, version.Version, Version)
	}
	if r.sessions++; r.sessions > maxSessions {
		return nil, newError(CodeTooLarge).Errorf("line %d: the trace has more than %d sessions", r.number, maxSessions)
	}
	r.previousAt = 0
	var header Header
	if err := decodeStrictly(text, &header); err != nil {
		return nil, r.malformed(err)
	}
	if header.Start.Released < 0 || header.Start.Released > len(header.Start.Tokens) {
		return nil, r.malformed(fmt.Errorf("%d tokens are released of a journal of %d", header.Start.Released, len(header.Start.Tokens)))
	}
	canonical, err := json.Marshal(header)
	return &header, r.checkCanonical(text, canonical, err)
}

func (r *reader) step(text []byte) (*Step, error) {
	var l stepLine
	if err := decodeStrictly(text, &l); err != nil {
		return nil, r.malformed(err)
	}
	step := Step{At: time.Duration(l.AtNS), Actions: make([]continuation.Action, 0, len(l.Actions))}
	if step.At < r.previousAt {
		return nil, r.malformed(fmt.Errorf("time %d ns is before the time of the previous event", l.AtNS))
	}
	r.previousAt = step.At
	var err error
	if step.Event, err = eventKinds.decode(l.Event); err != nil {
		return nil, r.malformed(fmt.Errorf("event: %w", err))
	}
	for i, a := range l.Actions {
		action, err := actionKinds.decode(a)
		if err != nil {
			return nil, r.malformed(fmt.Errorf("action %d: %w", i, err))
		}
		step.Actions = append(step.Actions, action)
	}
	canonical, err := encodeStep(step)
	return &step, r.checkCanonical(text, canonical, err)
}

// checkCanonical rejects a line whose bytes differ from the encoding of its
// decoded value. This detects missing and repeated fields, which encoding/json
// accepts.
func (r *reader) checkCanonical(text, canonical []byte, err error) error {
	if err == nil && bytes.Equal(text, canonical) {
		return nil
	}
	if err == nil {
		at := 0
		for at < len(text) && at < len(canonical) && text[at] == canonical[at] {
			at++
		}
		err = fmt.Errorf("column %d: a field is missing, repeated or not in canonical form", at+1)
	}
	return r.malformed(err)
}

// Read returns all sessions of a trace.
func Read(source io.Reader) ([]Session, error) {
	r := newReader(source)
	var sessions []Session
	for {
		header, step, err := r.next()
		switch {
		case errors.Is(err, io.EOF):
			return sessions, nil
		case err != nil:
			return nil, err
		case header != nil:
			sessions = append(sessions, Session{Header: *header})
		default:
			last := &sessions[len(sessions)-1]
			last.Steps = append(last.Steps, *step)
		}
	}
}
