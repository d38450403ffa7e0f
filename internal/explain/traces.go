package explain

import (
	"bytes"
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/trace"
)

const (
	// maxTraces and maxTraceBytes bound the number and the memory of kept traces.
	maxTraces     = 64
	maxTraceBytes = 8 << 20
	// maxRecordingBytes bounds the memory of all sessions in progress.
	maxRecordingBytes = 32 << 20
)

// Traces records the sessions of a node and keeps those of the newest disturbed
// generations: those with a loss, a resume, a takeover, a discarded token, or a
// failure after a stream was opened. The recordings of other generations are
// dropped when the generation ends. It may be used by any number of goroutines.
type Traces struct {
	host   ident.HostID
	budget *trace.Budget
	// onChange is called, without mu, after a trace was kept.
	onChange func(ident.Team, ident.RequestID)

	mu sync.Mutex
	// kept and bytes are guarded by mu. kept holds *keptTrace, oldest first.
	kept  *list.List
	bytes int
}

var _ generation.Tracer = (*Traces)(nil)

// keptTrace holds a copy of a recording, which no longer changes.
type keptTrace struct {
	team      ident.Team
	request   ident.RequestID
	recording *trace.Recording
	// recorder identifies the session; a newer copy of a session replaces the
	// older one.
	recorder *sessionRecorder
}

// NewTraces returns a Traces without any kept traces for the node on the given host.
func NewTraces(host ident.HostID) *Traces {
	return &Traces{
		host:     host,
		budget:   trace.NewBudget(maxRecordingBytes),
		onChange: func(ident.Team, ident.RequestID) {},
		kept:     list.New(),
	}
}

// OnChange sets the function that is called after a trace was kept. It must be
// called before the first session is opened.
func (t *Traces) OnChange(changed func(ident.Team, ident.RequestID)) { t.onChange = changed }

// Open implements generation.Tracer. It returns nil if the memory for sessions in
// progress is used up.
func (t *Traces) Open(request *generation.Request, start *generation.StartState, config continuation.Config) generation.Recorder {
	recording := trace.NewRecording(trace.Header{
		Host:       t.host,
		Team:       request.Team,
		Request:    request.Request,
		Generation: request.Generation,
		Config:     config,
		Start: trace.Start{
			Tokens:   start.Journal.Tokens(0, start.Journal.Len()),
			Released: start.Released,
			Finished: start.FinishReason,
			Attempt:  start.Attempt,
			Backend:  start.Backend,
		},
	}, t.budget)
	if recording == nil {
		return nil
	}
	return &sessionRecorder{
		traces: t, team: request.Team, request: request.Request, recording: recording,
		disturbed: start.Journal.Len() > 0 || start.Attempt != "",
	}
}

// sessionRecorder records one session. Only the goroutine of its generation may use
// it.
type sessionRecorder struct {
	traces    *Traces
	team      ident.Team
	request   ident.RequestID
	recording *trace.Recording
	opened    bool
	disturbed bool
}

// Step implements generation.Recorder. The trace is kept as soon as the generation
// has resumed after a loss, so that it is stored even if this node fails later.
func (s *sessionRecorder) Step(now time.Time, event continuation.Event, actions []continuation.Action) {
	s.recording.Add(now, event, actions)
	if _, ok := event.(continuation.TakenOver); ok {
		s.disturbed = true
	}
	for _, action := range actions {
		switch action.(type) {
		case continuation.Resumed:
			s.disturbed = true
			s.traces.keep(s)
		case continuation.Lost, continuation.Discarded:
			s.disturbed = true
		case continuation.Open:
			s.opened = true
		case continuation.Fail:
			s.disturbed = s.disturbed || s.opened
		}
	}
}

// Close implements generation.Recorder.
func (s *sessionRecorder) Close() {
	if s.disturbed {
		s.traces.keep(s)
	}
	s.recording.Free()
}

// keep stores a copy of the recording and drops the oldest copies beyond the
// limits.
func (t *Traces) keep(s *sessionRecorder) {
	kept := &keptTrace{team: s.team, request: s.request, recording: s.recording.Copy(), recorder: s}
	t.mu.Lock()
	for e := t.kept.Back(); e != nil; e = e.Prev() {
		if e.Value.(*keptTrace).recorder == s {
			t.drop(e)
			break
		}
	}
	t.kept.PushBack(kept)
	t.bytes += kept.recording.Bytes()
	for t.kept.Len() > maxTraces || t.bytes > maxTraceBytes {
		t.drop(t.kept.Front())
	}
	t.mu.Unlock()
	t.onChange(s.team, s.request)
}

// drop removes one kept trace. The caller must hold mu.
func (t *Traces) drop(e *list.Element) {
	t.bytes -= t.kept.Remove(e).(*keptTrace).recording.Bytes()
}

// Trace is one session of a request in the text format of package trace.
type Trace struct {
	Host       ident.HostID       `json:"host"`
	Team       ident.Team         `json:"customer"`
	Generation ident.GenerationID `json:"generation"`
	StartedAt  time.Time          `json:"started_at"`
	Events     int                `json:"events"`
	Text       string             `json:"text"`
}

// Get returns the kept sessions of a request id, oldest first.
func (t *Traces) Get(request ident.RequestID) []Trace {
	var recordings []*trace.Recording
	t.mu.Lock()
	for e := t.kept.Front(); e != nil; e = e.Next() {
		if kept := e.Value.(*keptTrace); kept.request == request {
			recordings = append(recordings, kept.recording)
		}
	}
	t.mu.Unlock()
	var traces []Trace
	for _, recording := range recordings {
		if found, err := traceOf(recording.Session()); err == nil {
			traces = append(traces, found)
		}
	}
	sortTraces(traces)
	return traces
}

func traceOf(session trace.Session) (Trace, error) {
	var b bytes.Buffer
	if err := trace.Write(&b, session); err != nil {
		return Trace{}, err
	}
	h := session.Header
	return Trace{
		Host: h.Host, Team: h.Team, Generation: h.Generation,
		StartedAt: h.StartedAt.UTC().Round(0), Events: len(session.Steps), Text: b.String(),
	}, nil
}

func sortTraces(traces []Trace) {
	slices.SortStableFunc(traces, func(a, b Trace) int { return a.StartedAt.Compare(b.StartedAt) })
}

// ParseTraces returns the sessions in a text in the format of package trace.
func ParseTraces(text string) ([]Trace, error) {
	sessions, err := trace.Read(bytes.NewReader([]byte(text)))
	if err != nil {
		return nil, err
	}
	var traces []Trace
	for _, session := range sessions {
		found, err := traceOf(session)
		if err != nil {
			return nil, err
		}
		traces = append(traces, found)
	}
	return traces, nil
}

// MergeTraces returns the sessions of all sources without duplicates, oldest first.
// Of several copies of one session it takes the one with the most events.
func MergeTraces(sources ...[]Trace) []Trace {
	type session struct {
		host       ident.HostID
		generation ident.GenerationID
		started    int64
	}
	at := map[session]int{}
	var merged []Trace
	for _, source := range sources {
		for _, found := range source {
			key := session{found.Host, found.Generation, found.StartedAt.UnixNano()}
			i, ok := at[key]
			switch {
			case !ok:
				at[key] = len(merged)
				merged = append(merged, found)
			case found.Events > merged[i].Events:
				merged[i] = found
			}
		}
	}
	sortTraces(merged)
	return merged
}
