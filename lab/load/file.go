// Package load runs load experiments: it sends generation requests and bookings
// at a configured rate, verifies the answers, injects faults at configured times
// and reports latencies, extra resource usage and violated guarantees. A run
// keeps its state in memory and starts its own goroutines; Run, Parse and Compare
// may be called from any goroutine.
package load

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration that is encoded as text such as "500ms".
type Duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText formats the duration with a unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// File describes an experiment.
type File struct {
	// Seed is the seed of the random arrival times, lengths and prompts. Runs
	// with the same seed draw the same values.
	Seed uint64 `toml:"seed"`
	// Duration is the time during which requests are sent.
	Duration Duration `toml:"duration"`
	// Drain is the time after Duration during which answers may finish.
	Drain Duration `toml:"drain"`
	// Compare is "direct" to alternate between the nodes and a direct
	// connection to an engine as the baseline, or "" to use the nodes only.
	Compare string `toml:"compare"`
	// Interruption is the longest gap between tokens that does not count as an
	// interruption.
	Interruption Duration `toml:"interruption"`

	Arrivals Arrivals `toml:"arrivals"`
	Requests Requests `toml:"requests"`
	Teams    []Team   `toml:"customers"`
	Nodes    Nodes    `toml:"nodes"`
	Direct   Direct   `toml:"direct"`
	Bookings Bookings `toml:"bookings"`
	Faults   []Fault  `toml:"faults"`
	Watch    []Watch  `toml:"watch"`
}

// Arrivals is the arrival process of the requests.
type Arrivals struct {
	// Process is poisson or constant (open loop), or closed (closed loop).
	Process string `toml:"process"`
	// Rate is the number of requests per second, for poisson and constant.
	Rate float64 `toml:"rate"`
	// Streams is the number of concurrent streams, for closed.
	Streams int `toml:"streams"`
	// Ramp is the time over which a closed process starts its streams.
	Ramp Duration `toml:"ramp"`
	// MaxInFlight is the maximum number of requests in flight of an open-loop
	// process. Requests beyond it are skipped and counted as not sent.
	MaxInFlight int `toml:"max_in_flight"`
	// Phases change the rate or the number of streams. They are sorted by At.
	Phases []Phase `toml:"phases"`
}

// Phase multiplies the rate, or the number of streams, by Factor from At until the
// next phase.
type Phase struct {
	At     Duration `toml:"at"`
	Factor float64  `toml:"factor"`
}

// Requests describes the prompts and the answers.
type Requests struct {
	Models       []string `toml:"models"`
	Chat         bool     `toml:"chat"`
	PromptTokens Length   `toml:"prompt_tokens"`
	AnswerTokens Length   `toml:"answer_tokens"`
	Prefix       Prefix   `toml:"prefix"`
	// MaxTokens is the token limit that requests state, 0 for none. Nodes take
	// it into account when they admit a request.
	MaxTokens int `toml:"max_tokens"`
	// RetryRefused retries a refused request if the refusal states a retry delay.
	RetryRefused bool `toml:"retry_refused"`
}

// Length is a distribution of token counts.
type Length struct {
	// Distribution is fixed (Mean), uniform (Min to Max), exponential (Mean) or
	// lognormal (Mean, which is the median, and Sigma). Min and Max bound all
	// but fixed.
	Distribution string  `toml:"distribution"`
	Mean         float64 `toml:"mean"`
	Sigma        float64 `toml:"sigma"`
	Min          int     `toml:"min"`
	Max          int     `toml:"max"`
}

// Prefix describes prompt prefixes that several requests share.
type Prefix struct {
	Count  int     `toml:"count"`  // number of different prefixes
	Tokens int     `toml:"tokens"` // length of each, in addition to prompt_tokens
	Share  float64 `toml:"share"`  // fraction of the prompts that begin with one, 0 to 1
}

// Team is one team; its share of the requests is proportional to Weight.
type Team struct {
	Name   string  `toml:"name"`
	Key    string  `toml:"key"`
	Weight float64 `toml:"weight"`
}

// Nodes describes how callers connect to the nodes.
type Nodes struct {
	Callers []string `toml:"callers"` // addresses for callers
	Metrics []string `toml:"metrics"` // operator addresses whose metrics pages are read
	// Choose is given (first connections use the addresses in Callers in
	// rotation) or listed (they use the address lists that the nodes return).
	Choose  string   `toml:"choose"`
	Silence Duration `toml:"silence"` // a connection without data for this long counts as broken
	// MaxAttempts is the maximum number of connections for one request.
	MaxAttempts int `toml:"max_attempts"`
	// SendText makes callers send the received text when a node requires it to
	// resume an answer. An unmodified client does not do this.
	SendText bool `toml:"send_text"`
}

// Direct lists the engines of the baseline.
type Direct struct {
	Engines []string `toml:"engines"`
}

// Bookings describes the calls to the booking service.
type Bookings struct {
	Rate       float64 `toml:"rate"` // calls per second, 0 for none
	Service    string  `toml:"service"`
	ServiceURL string  `toml:"service_url"` // where the service reports the calls that it ran
	Path       string  `toml:"path"`
}

// Fault is one fault injection: an HTTP call or a signal.
type Fault struct {
	At     Duration `toml:"at"`
	Method string   `toml:"method"`
	URL    string   `toml:"url"`
	Body   string   `toml:"body"`
	// Signal is kill, stop, continue or terminate.
	Signal string `toml:"signal"`
	// PIDFile is the file that contains the process ID. Relative paths are
	// relative to Options.PIDDir.
	PIDFile string `toml:"pid_file"`
}

// Watch is a process whose CPU time and memory are sampled.
type Watch struct {
	Name    string `toml:"name"`
	PIDFile string `toml:"pid_file"`
}

func defaults() File {
	return File{
		Seed: 1, Drain: Duration(30 * time.Second), Interruption: Duration(100 * time.Millisecond),
		Arrivals: Arrivals{MaxInFlight: 5000},
		Nodes:    Nodes{Choose: "given", Silence: Duration(5 * time.Second), MaxAttempts: 20, SendText: true},
		Bookings: Bookings{Service: "booking", Path: "/bookings"},
	}
}

// Parse decodes and validates an experiment file. Its errors contain the line and
// the key.
func Parse(text []byte) (File, error) {
	f := defaults()
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&f)
	if err != nil {
		return f, decodeError(err)
	}
	at := findKeyLines(text)
	var problems []error
	f.check(func(key, format string, args ...any) {
		problems = append(problems, fmt.Errorf("line %d: %s: %s", at.lineOf(key), key, fmt.Sprintf(format, args...)))
	})
	return f, errors.Join(problems...)
}

// decodeError adds the line and the key to an error of the TOML decoder.
func decodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var all []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			all = append(all, fmt.Errorf("line %d: %s: unknown key", line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return fmt.Errorf("line %d: %s: %w", line, strings.Join(wrong.Key(), "."), err)
	}
	return err
}
