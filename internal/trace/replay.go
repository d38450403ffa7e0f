package trace

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Values of Outcome.End, which states how a session ended.
const (
	EndFinished   = "finished"
	EndFailed     = "failed"
	EndCallerGone = "caller_gone"
	EndTakenOver  = "taken_over"
	// EndNone: the trace ends before the session does.
	EndNone = "none"
)

// maxViolations bounds the number of violations that are reported per session.
const maxViolations = 16

// Report is the result of replaying a trace.
type Report struct {
	Sessions []Outcome `json:"sessions"`
}

// Outcome is the result of replaying one session.
type Outcome struct {
	// Line is the number of the header line.
	Line       int                `json:"line"`
	Host       ident.HostID       `json:"host"`
	Team       ident.Team         `json:"customer"`
	Request    ident.RequestID    `json:"request"`
	Generation ident.GenerationID `json:"generation"`
	Truncated  bool               `json:"truncated"`
	Events     int                `json:"events"`
	// End states how the session ended; Reason is the recorded reason.
	End    string `json:"end"`
	Reason string `json:"reason"`
	// StartTokens and StartReleased are the numbers of journal tokens and released
	// tokens at the start of the session, Tokens and Released those at its end.
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
	// Difference is the first step at which the machine of this program returns
	// actions other than the recorded ones. Later steps are not compared.
	Difference *Difference `json:"difference"`
	Violations []Violation `json:"violations"`
}

// Resume describes how the session recovered from one loss.
type Resume struct {
	Line       int             `json:"line"`
	Backend    ident.BackendID `json:"backend"`
	LatencyMS  float64         `json:"latency_ms"`
	SameStream bool            `json:"same_stream"`
}

// Difference is a step whose recorded actions differ from those of the replay.
type Difference struct {
	Line     int    `json:"line"`
	Recorded string `json:"recorded"`
	Replayed string `json:"replayed"`
}

// OK reports whether the machine returned the recorded actions in all sessions and
// no rule was violated.
func (r Report) OK() bool {
	for _, s := range r.Sessions {
		if s.Difference != nil || len(s.Violations) > 0 || s.Missing > 0 || s.Repeated > 0 {
			return false
		}
	}
	return true
}

// sessionReplay is the replay of one session.
type sessionReplay struct {
	outcome Outcome
	machine *continuation.Machine
	checker *checker
	text    releasedText
	base    time.Time
}

// replayBase is the time of the first event in a replay. Decisions depend on time
// differences only, but the machine takes the zero time to mean "never".
var replayBase = time.Unix(1_800_000_000, 0)

func newReplay(line int, header *Header) *sessionReplay {
	return &sessionReplay{
		outcome: Outcome{
			Line: line, Host: header.Host, Team: header.Team, Request: header.Request,
			Generation: header.Generation, Truncated: header.Truncated, End: EndNone,
			StartTokens: len(header.Start.Tokens), StartReleased: header.Start.Released,
			Resumes: []Resume{}, Violations: []Violation{},
		},
		machine: header.Start.newMachine(header.Config),
		checker: newChecker(header),
		text:    releasedText{tokens: header.Start.Tokens, minComparable: len(header.Start.Tokens)},
		base:    replayBase,
	}
}

// Replay feeds the events of each session to a new machine and compares its
// actions with the recorded ones byte for byte. Independently of the machine it
// checks the recorded actions against the rules that every answer must satisfy. It
// returns an error only for a trace that cannot be read; differences and violations
// are part of the report.
func Replay(source io.Reader) (Report, error) {
	r := newReader(source)
	report := Report{Sessions: []Outcome{}}
	earlier := releasedTexts{}
	var current *sessionReplay
	for {
		header, step, err := r.next()
		if (err != nil || header != nil) && current != nil {
			report.Sessions = append(report.Sessions, current.result())
			earlier.add(current.outcome.Generation, current.text)
			current = nil
		}
		switch {
		case errors.Is(err, io.EOF):
			return report, nil
		case err != nil:
			return report, err
		case header != nil:
			current = newReplay(r.number, header)
			earlier.check(current.checker, r.number, header)
		default:
			if err := current.step(r.number, step); err != nil {
				return report, r.malformed(err)
			}
		}
	}
}

func (p *sessionReplay) step(line int, step *Step) error {
	p.outcome.Events++
	p.checker.step(line, step)
	if text, ok := acceptedText(step); ok {
		p.text.tokens = append(p.text.tokens, text)
	}
	p.countActions(line, step)
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

// countActions adds the recorded actions of a step to the outcome.
func (p *sessionReplay) countActions(line int, step *Step) {
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

// result returns the outcome after the last step of the session.
func (p *sessionReplay) result() Outcome {
	p.text.released = p.checker.released
	o := p.outcome
	o.Tokens, o.Released = p.checker.tokens, p.checker.released
	o.Missing, o.Repeated = p.checker.missing, p.checker.repeated
	violations := p.checker.violations
	o.Violations = append(o.Violations, violations[:min(len(violations), maxViolations)]...)
	return o
}
