// Package ledger compares what callers were told about bookings with what the
// service ran.
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/service"
)

// Booking is one booking and its repeat with the same key.
type Booking struct {
	Key string
	// Dropped reports that the connection of the first call was dropped.
	Dropped bool
	First   caller.CallResult
	Second  caller.CallResult
}

// Summary counts bookings.
type Summary struct {
	Sent    int `json:"sent"`
	Dropped int `json:"dropped"` // first connections that the caller dropped
	RanOnce int `json:"ran_once"`
	RanMore int `json:"ran_more"` // keys that ran more than once
	Replays int `json:"replays"`  // repeats that got the stored answer
	// Unanswered counts bookings whose service's answer the caller never got,
	// UnansweredRan those of them that ran.
	Unanswered    int `json:"unanswered"`
	UnansweredRan int `json:"unanswered_ran"`
	// Problems lists broken promises.
	Problems []string `json:"problems"`
}

// Check compares bookings with the runs of each key.
func Check(bookings []Booking, runs service.Runs) Summary {
	s := Summary{Sent: len(bookings), Problems: []string{}}
	for _, b := range bookings {
		s.add(b, runs.Keys[b.Key])
	}
	return s
}

func (s *Summary) problem(format string, args ...any) {
	s.Problems = append(s.Problems, fmt.Sprintf(format, args...))
}

func (s *Summary) add(b Booking, runs int) {
	switch {
	case runs == 1:
		s.RanOnce++
	case runs > 1:
		s.RanMore++
		s.problem("booking %s ran %d times", b.Key, runs)
	}
	if b.Dropped {
		s.Dropped++
	}
	if b.Second.Replayed {
		s.Replays++
	}
	if b.First.Outcome != caller.OutcomeDone && b.Second.Outcome != caller.OutcomeDone {
		s.Unanswered++
		if runs > 0 {
			s.UnansweredRan++
		}
	}
	s.checkOutcomes(b, runs)
}

// checkOutcomes compares what the caller was told with the runs. The first
// call's not_run allows the repeat to run; that of the repeat covers both.
func (s *Summary) checkOutcomes(b Booking, runs int) {
	first, second := b.First, b.Second
	if runs == 0 && (booked(first) || booked(second)) {
		s.problem("booking %s was reported as done and did not run", b.Key)
	}
	if runs > 0 && (second.Outcome == string(callerapi.OutcomeNotRun) || refused(first) && refused(second)) {
		s.problem("booking %s was reported as %s, then %s, and ran", b.Key, first.Outcome, second.Outcome)
	}
	if first.Outcome == caller.OutcomeDone && second.Outcome == caller.OutcomeDone && first.Body != second.Body {
		s.problem("booking %s: the repeat got another answer", b.Key)
	}
}

func booked(c caller.CallResult) bool {
	return c.Outcome == caller.OutcomeDone && c.Status >= 200 && c.Status < 300
}

func refused(c caller.CallResult) bool {
	return c.Outcome == string(callerapi.OutcomeNotRun) || c.Outcome == string(callerapi.OutcomeAttemptNotRun)
}

// Runs asks the service at a URL how often each key ran.
func Runs(ctx context.Context, client *http.Client, url string) (service.Runs, error) {
	var runs service.Runs
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+service.RouteAdminRuns, nil)
	if err != nil {
		return runs, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return runs, fmt.Errorf("runs of the service: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return runs, fmt.Errorf("runs of the service: status %d", resp.StatusCode)
	}
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}
