package load

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/ledger"
)

// File names in the directory of a report.
const (
	FileJSON     = "report.json"
	fileMarkdown = "report.md"
)

// Report is the result of a run.
type Report struct {
	Experiment string    `json:"experiment"` // name of the experiment file
	Started    time.Time `json:"started"`
	// Elapsed is the time from the start of the run to the end of its last
	// request or booking, in seconds.
	Elapsed float64 `json:"elapsed_seconds"`
	Seed    uint64  `json:"seed"`
	// Nodes holds the results through nodes, Direct those of the baseline.
	Nodes  TargetReport  `json:"nodes"`
	Direct *TargetReport `json:"direct,omitempty"`
	// Overhead is Nodes minus Direct at equal percentiles.
	Overhead  *Overhead       `json:"overhead,omitempty"`
	Extra     ExtraResources  `json:"extra"`
	Bookings  *ledger.Summary `json:"bookings,omitempty"`
	Faults    []FaultRecord   `json:"faults"`
	Processes []Process       `json:"processes"`
	Machine   Machine         `json:"machine"`
	// Problems lists violated guarantees and faults that could not be injected.
	Problems []string `json:"problems"`
}

// TargetReport summarizes the requests to one target: the nodes or the engines.
type TargetReport struct {
	Sent     int `json:"sent"`
	Verified int `json:"verified"` // complete, with every token correct
	// Incomplete is the number of answers that started but ended early or have
	// wrong tokens.
	Incomplete int `json:"incomplete"`
	Refused    int `json:"refused"` // failed before the first token
	CutOff     int `json:"cut_off"` // unfinished at the end of the run
	NotSent    int `json:"not_sent"`

	Tokens     int64 `json:"tokens"`
	Missing    int   `json:"tokens_missing"`
	Repeated   int   `json:"tokens_repeated"`
	Mixed      int   `json:"tokens_mixed"`
	Reconnects int   `json:"reconnects"`

	Refusals map[string]int `json:"refusals"`
	// Goodput is the number of tokens of verified answers per second.
	Goodput    float64 `json:"goodput_tokens_per_second"`
	FirstToken Latency `json:"first_token"`
	Gap        Latency `json:"gap"`
	Total      Latency `json:"total"`
	// Resume covers all interruptions, Reconnect those with a new connection.
	Resume    Latency `json:"resume"`
	Reconnect Latency `json:"reconnect"`
	// Wrong describes the first maxWrong wrong answers.
	Wrong []string `json:"wrong"`

	FirstTokenSeries []LatencyPoint `json:"first_token_series"`
	GapSeries        []LatencyPoint `json:"gap_series"`
	Resumes          []Resume       `json:"resumes"`

	inFlight       int
	verifiedTokens int64
}

// Overhead is the latency that the nodes add to a direct connection, in
// milliseconds.
type Overhead struct {
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	GapP50        float64 `json:"gap_p50_ms"`
	GapP95        float64 `json:"gap_p95_ms"`
	GapP99        float64 `json:"gap_p99_ms"`
}

func overhead(nodes, direct TargetReport) *Overhead {
	return &Overhead{
		FirstTokenP50: nodes.FirstToken.P50 - direct.FirstToken.P50,
		FirstTokenP95: nodes.FirstToken.P95 - direct.FirstToken.P95,
		GapP50:        nodes.Gap.P50 - direct.Gap.P50,
		GapP95:        nodes.Gap.P95 - direct.Gap.P95,
		GapP99:        nodes.Gap.P99 - direct.Gap.P99,
	}
}

// describe returns one line about a wrong answer.
func describe(r caller.Result) string {
	text := fmt.Sprintf("%s: complete %t, %d missing, %d repeated, %d mixed of %d tokens, %d connections",
		r.RequestID, r.Complete, r.Counts.Missing, r.Counts.Repeated, r.Counts.Mixed, r.Counts.Tokens, r.Attempts)
	if r.Error != nil {
		text += fmt.Sprintf(", %s: %s", failureCode(r.Error), r.Error.Message)
	}
	return text
}

// findProblems sets Problems from the other fields.
func (r *Report) findProblems() {
	r.Problems = []string{}
	if s := r.Nodes; s.Incomplete+s.Missing+s.Repeated+s.Mixed > 0 {
		r.Problems = append(r.Problems, fmt.Sprintf("%d answers incomplete or wrong; tokens: %d missing, %d repeated, %d mixed",
			s.Incomplete, s.Missing, s.Repeated, s.Mixed))
	}
	if r.Bookings != nil {
		r.Problems = append(r.Problems, r.Bookings.Problems...)
	}
	for _, f := range r.Faults {
		if f.Error != "" {
			r.Problems = append(r.Problems, fmt.Sprintf("fault %s was not injected: %s", f.Fault, f.Error))
		}
	}
}

// Write writes report.json, report.md and the plots to dir, which it creates if
// necessary.
func (r Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, FileJSON), append(data, '\n'), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, fileMarkdown), []byte(r.Markdown()), 0o644); err != nil {
		return err
	}
	return r.plots(dir)
}
