package trace

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Ends of a session.
const (
	EndFinished   = "finished"
	EndFailed     = "failed"
	EndCallerGone = "caller_gone"
	EndTakenOver  = "taken_over"
	// EndNone: the trace ends before the session does.
	EndNone = "none"
)

// maxViolations bounds the violations that are reported for a session.
const maxViolations = 16

// Report is the result of a replay.
type Report struct {
	Sessions []Outcome `json:"sessions"`
}

// Outcome is the result of one session.
type Outcome struct {
	// Line is the line of the header.
	Line       int                `json:"line"`
	Host       ident.HostID       `json:"host"`
	Team       ident.Team         `json:"customer"`
	Request    ident.RequestID    `json:"request"`
	Generation ident.GenerationID `json:"generation"`
	Truncated  bool               `json:"truncated"`
	Events     int                `json:"events"`
	// End is how the session ended, Reason the recorded reason.
	End    string `json:"end"`
	Reason string `json:"reason"`
	// StartTokens and StartReleased are what the session began with, Tokens and
	// Released what it ended with.
	StartTokens   int `json:"start_tokens"`
	StartReleased int `json:"start_released"`
	Tokens        int `json:"tokens"`
	Released      int `json:"released"`
	// Missing and Repeated count released tokens by index.
	Missing   int      `json:"missing"`
	Repeated  int      `json:"repeated"`
	Discarded int      `json:"discarded"`
	Attempts  int      `json:"attempts"`
	Losses    int      `json:"losses"`
	Resumes   []Resume `json:"resumes"`
	// Difference is the first step at which the machine of this program acts
	// otherwise than recorded. Later steps are not compared.
	Difference *Difference `json:"difference"`
	Violations []Violation `json:"violations"`
}

// Resume is one repaired loss.
type Resume struct {
	Line       int             `json:"line"`
	Backend    ident.BackendID `json:"backend"`
	LatencyMS  float64         `json:"latency_ms"`
	SameStream bool            `json:"same_stream"`
}

// Difference is a step whose recorded actions are not those of the machine.
type Difference struct {
	Line     int    `json:"line"`
	Recorded string `json:"recorded"`
	Replayed string `json:"replayed"`
}

// OK tells that the machine acts as recorded and that no rule was broken.
func (r Report) OK() bool {
	for _, s := range r.Sessions {
		if s.Difference != nil || len(s.Violations) > 0 || s.Missing > 0 || s.Repeated > 0 {
			return false
		}
	}
	return true
}

// replay is the replay of one session.
type replay struct {
	outcome Outcome
	machine *continuation.Machine
	checker *checker
	text    releasedText
	base    time.Time
}

// replayBase is the time of the first event. Only differences of times reach
// the decisions, but the zero time means "never" to the machine.
var replayBase = time.Unix(1_800_000_000, 0)

func newReplay(line int, header *Header) *replay {
	return &replay{
		outcome: Outcome{
			Line: line, Host: header.Host, Team: header.Team, Request: header.Request,
			Generation: header.Generation, Truncated: header.Truncated, End: EndNone,
			StartTokens: len(header.Start.Tokens), StartReleased: header.Start.Released,
			Resumes: []Resume{}, Violations: []Violation{},
		},
		machine: header.Start.newMachine(header.Config),
		checker: newChecker(header),
		text:    releasedText{tokens: header.Start.Tokens, known: len(header.Start.Tokens)},
		base:    replayBase,
	}
}

// Replay feeds each session's events to a fresh machine and compares its
// actions with the recorded ones byte for byte. Independently of the machine it
// checks the recorded actions against the rules of an answer. The error is
// about a trace that cannot be read; a difference is no error.
func Replay(source io.Reader) (Report, error) {
	r := newReader(source)
	report := Report{Sessions: []Outcome{}}
	seen := texts{}
	var current *replay
	for {
		header, step, err := r.next()
		if (err != nil || header != nil) && current != nil {
			report.Sessions = append(report.Sessions, current.end())
			seen.add(current.outcome.Generation, current.text)
			current = nil
		}
		switch {
		case errors.Is(err, io.EOF):
			return report, nil
		case err != nil:
			return report, err
		case header != nil:
			current = newReplay(r.number, header)
			seen.check(current.checker, r.number, header)
		default:
			if err := current.step(r.number, step); err != nil {
				return report, r.malformed(err)
			}
		}
	}
}

func (p *replay) step(line int, step *Step) error {
	p.outcome.Events++
	p.checker.step(line, step)
	if text, ok := acceptedText(step); ok {
		p.text.tokens = append(p.text.tokens, text)
	}
	p.count(line, step)
	if p.outcome.Difference != nil {
		return nil
	}
	recorded, err := actionText(step.Actions)
	if err != nil {
		return err
	}
	replayed, err := actionText(p.machine.Step(p.base.Add(step.At), step.Event))
	if err != nil {
		return err
	}
	if recorded != replayed {
		p.outcome.Difference = &Difference{Line: line, Recorded: recorded, Replayed: replayed}
	}
	return nil
}

func actionText(actions []continuation.Action) (string, error) {
	items, err := encodeActions(actions)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(items)
	return string(text), err
}

// count adds a step to the stated outcome.
func (p *replay) count(line int, step *Step) {
	o := &p.outcome
	for _, action := range step.Actions {
		switch a := action.(type) {
		case continuation.Open:
			o.Attempts++
		case continuation.Discarded:
			o.Discarded++
		case continuation.Lost:
			o.Losses++
		case continuation.Resumed:
			o.Resumes = append(o.Resumes, Resume{
				Line: line, Backend: a.Backend, SameStream: a.SameStream,
				LatencyMS: float64(a.Latency) / float64(time.Millisecond),
			})
		case continuation.Finish:
			o.End, o.Reason = EndFinished, a.Reason
		case continuation.Fail:
			o.End, o.Reason = EndFailed, a.Reason
		case continuation.End:
			o.End = EndCallerGone
			if _, ok := step.Event.(continuation.TakenOver); ok {
				o.End = EndTakenOver
			}
		}
	}
}

func (p *replay) end() Outcome {
	p.text.released = p.checker.released
	o := p.outcome
	o.Tokens, o.Released = p.checker.tokens, p.checker.released
	o.Missing, o.Repeated = p.checker.missing, p.checker.repeated
	violations := p.checker.violations
	o.Violations = append(o.Violations, violations[:min(len(violations), maxViolations)]...)
	return o
}
