// Package load runs experiments: it sends verified answers and bookings at a
// stated rate, injects faults at stated times and reports latencies, extra
// resources and broken promises.
package load

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time span written as "500ms".
type Duration time.Duration

// UnmarshalText reads a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes a duration with a unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// File describes an experiment.
type File struct {
	// Seed makes arrivals, lengths and prompts repeatable.
	Seed uint64 `toml:"seed"`
	// Duration is how long requests are sent.
	Duration Duration `toml:"duration"`
	// Drain is how long answers may go on after that.
	Drain Duration `toml:"drain"`
	// Compare is "direct" to alternate between a direct engine connection and
	// the nodes, "" to use the nodes only.
	Compare string `toml:"compare"`
	// Interruption is the gap between tokens that counts as an interruption.
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

// Arrivals tells when requests are sent.
type Arrivals struct {
	// Process is poisson, constant or closed.
	Process string `toml:"process"`
	// Rate is the number of requests a second, for poisson and constant.
	Rate float64 `toml:"rate"`
	// Streams is the number of concurrent streams, for closed.
	Streams int `toml:"streams"`
	// Ramp spreads the first requests of a closed process.
	Ramp Duration `toml:"ramp"`
	// MaxInFlight bounds the answers under way of an open process; requests
	// beyond it are not sent, and counted.
	MaxInFlight int `toml:"max_in_flight"`
	// Phases change the rate, or the number of streams, in the order of At.
	Phases []Phase `toml:"phases"`
}

// Phase multiplies the rate from a time on.
type Phase struct {
	At     Duration `toml:"at"`
	Factor float64  `toml:"factor"`
}

// Requests describes the prompts and answers.
type Requests struct {
	Models       []string `toml:"models"`
	Chat         bool     `toml:"chat"`
	PromptTokens Length   `toml:"prompt_tokens"`
	AnswerTokens Length   `toml:"answer_tokens"`
	Prefix       Prefix   `toml:"prefix"`
	// MaxTokens is the limit that requests state; 0: none. Nodes reckon with it
	// when they admit a request.
	MaxTokens int `toml:"max_tokens"`
	// RetryRefused repeats a refused request when the refusal says so.
	RetryRefused bool `toml:"retry_refused"`
}

// Length is a distribution of token counts.
type Length struct {
	// Distribution is fixed (Mean), uniform (Min to Max), exponential (Mean) or
	// lognormal (median Mean, Sigma). Min and Max bound all but fixed.
	Distribution string  `toml:"distribution"`
	Mean         float64 `toml:"mean"`
	Sigma        float64 `toml:"sigma"`
	Min          int     `toml:"min"`
	Max          int     `toml:"max"`
}

// Prefix describes prompt beginnings that several requests share.
type Prefix struct {
	Count  int     `toml:"count"`  // different prefixes
	Tokens int     `toml:"tokens"` // length of each, beside prompt_tokens
	Share  float64 `toml:"share"`  // part of the prompts that begin with one
}

// Team is one team and its part of the requests.
type Team struct {
	Name   string  `toml:"name"`
	Key    string  `toml:"key"`
	Weight float64 `toml:"weight"`
}

// Nodes tells how to reach the nodes.
type Nodes struct {
	Callers []string `toml:"callers"` // addresses for callers
	Metrics []string `toml:"metrics"` // operators' addresses whose pages are read
	// Choose is given (first connections go round the callers' addresses) or
	// listed (they follow the nodes' address lists).
	Choose  string   `toml:"choose"`
	Silence Duration `toml:"silence"` // a connection without data for this long is broken
	// MaxAttempts bounds the connections for one request.
	MaxAttempts int `toml:"max_attempts"`
	// SendText sends the received text when a node asks for it. An unmodified
	// client does not.
	SendText bool `toml:"send_text"`
}

// Direct names the engines of the baseline.
type Direct struct {
	Engines []string `toml:"engines"`
}

// Bookings describes calls of the booking service.
type Bookings struct {
	Rate       float64 `toml:"rate"` // a second; 0: none
	Service    string  `toml:"service"`
	ServiceURL string  `toml:"service_url"` // reports the runs
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
	// PIDFile holds the process id; relative paths are below the directory of
	// pid files.
	PIDFile string `toml:"pid_file"`
}

// Watch names a process whose CPU time and memory are sampled.
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

// Parse reads and checks an experiment file. Errors name line and key.
func Parse(text []byte) (File, error) {
	f := defaults()
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&f)
	if err != nil {
		return f, decodeError(err)
	}
	at := findLines(text)
	var problems []error
	f.check(func(key, format string, args ...any) {
		problems = append(problems, fmt.Errorf("line %d: %s: %s", at.of(key), key, fmt.Sprintf(format, args...)))
	})
	return f, errors.Join(problems...)
}

// decodeError adds line and key to an error of the decoder.
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
