package trace

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// expectedTrace is the expected outcome of a file in testdata/sessions, as stated
// in expected.json.
type expectedTrace struct {
	About    string            `json:"about"`
	Sessions []expectedSession `json:"sessions"`
	// Rule, Line and Difference are set for a session that must be refused: the rule
	// that is violated first, the line of that violation, and the line at which the
	// replayed actions differ (0: no difference).
	Rule       string `json:"rule"`
	Line       int    `json:"line"`
	Difference int    `json:"difference"`
}

type expectedSession struct {
	End        string `json:"end"`
	From       int    `json:"from"`
	To         int    `json:"to"`
	Attempts   int    `json:"attempts"`
	Losses     int    `json:"losses"`
	SameStream []bool `json:"same_stream"`
}

// maxResumeLatency is the maximum time from a loss to the next token of an answer.
const maxResumeLatency = 4 * time.Second

// Guards against decisions that differ from those of recorded real sessions, and
// against a replay that accepts a wrong session. The wrong sessions must be refused
// by the rules alone, even if the state machine returns the recorded actions.
func TestRecordedTraces(t *testing.T) {
	expectations := map[string]expectedTrace{}
	content, err := os.ReadFile("testdata/sessions/expected.json")
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&expectations); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("testdata/sessions/*.jsonl")
	if err != nil || len(files) != len(expectations) {
		t.Fatalf("%d files, %d expected outcomes, %v", len(files), len(expectations), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			source, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer source.Close()
			report, err := Replay(source)
			if err != nil {
				t.Fatal(err)
			}
			want, ok := expectations[filepath.Base(file)]
			switch {
			case !ok:
				t.Fatal("no outcome in expected.json")
			case want.Rule != "":
				checkRefused(t, report, want)
			default:
				checkOutcome(t, report, want)
			}
		})
	}
}

func checkRefused(t *testing.T, report Report, want expectedTrace) {
	t.Helper()
	last := report.Sessions[len(report.Sessions)-1]
	if report.OK() || len(last.Violations) == 0 || last.Violations[0].Rule != want.Rule || last.Violations[0].Line != want.Line {
		t.Errorf("violations %+v, want rule %q at line %d", last.Violations, want.Rule, want.Line)
	}
	difference := 0
	if last.Difference != nil {
		difference = last.Difference.Line
	}
	if difference != want.Difference {
		t.Errorf("the actions differ at line %d, want %d: %+v", difference, want.Difference, last.Difference)
	}
}

func checkOutcome(t *testing.T, report Report, want expectedTrace) {
	t.Helper()
	if !report.OK() || len(report.Sessions) != len(want.Sessions) {
		t.Fatalf("report %+v", report)
	}
	for i, got := range report.Sessions {
		same := []bool{}
		for _, r := range got.Resumes {
			same = append(same, r.SameStream)
			if limit := float64(maxResumeLatency / time.Millisecond); r.LatencyMS > limit {
				t.Errorf("resume took %.1f ms, limit %.1f", r.LatencyMS, limit)
			}
		}
		outcome := expectedSession{End: got.End, From: got.StartReleased, To: got.Released, Attempts: got.Attempts, Losses: got.Losses, SameStream: same}
		w := want.Sessions[i]
		if !slices.Equal(outcome.SameStream, w.SameStream) {
			t.Errorf("session %d: resumes on the same stream %v, want %v", i, outcome.SameStream, w.SameStream)
		}
		outcome.SameStream, w.SameStream = nil, nil
		if !equalOutcome(outcome, w) {
			t.Errorf("session %d: %+v, want %+v", i, outcome, w)
		}
	}
}

func equalOutcome(a, b expectedSession) bool {
	return a.End == b.End && a.From == b.From && a.To == b.To && a.Attempts == b.Attempts && a.Losses == b.Losses
}
