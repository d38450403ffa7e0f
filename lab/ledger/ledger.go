// Package ledger compares the results of bookings that callers received with the
// runs that the booking service counted. It keeps no state.
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

// Booking is one booking call and its repeat with the same idempotency key.
type Booking struct {
	Key string
	// Dropped reports whether the caller dropped the connection of the first call.
	Dropped bool
	First   caller.CallResult
	Second  caller.CallResult
}

// Summary is the result of Check: numbers of bookings and the problems found.
type Summary struct {
	Sent             int `json:"sent"`
	Dropped          int `json:"dropped"` // first connections that the caller dropped
	RanOnce          int `json:"ran_once"`
	RanMultipleTimes int `json:"ran_more"` // keys that ran more than once
	Replays          int `json:"replays"`  // repeats that received the stored answer
	// Unanswered is the number of bookings for which the caller never received
	// the service's answer, UnansweredRan the number of these that ran.
	Unanswered    int `json:"unanswered"`
	UnansweredRan int `json:"unanswered_ran"`
	// Problems describes each violated guarantee.
	Problems []string `json:"problems"`
}

// Check compares bookings with the number of runs of each key.
func Check(bookings []Booking, runs service.Runs) Summary {
	s := Summary{Sent: len(bookings), Problems: []string{}}
	for _, b := range bookings {
		s.add(b, runs.Keys[b.Key])
	}
	return s
}

func (s *Summary) addProblem(format string, args ...any) {
	s.Problems = append(s.Problems, fmt.Sprintf(format, args...))
}

func (s *Summary) add(b Booking, runs int) {
	switch {
	case runs == 1:
		s.RanOnce++
	case runs > 1:
		s.RanMultipleTimes++
		s.addProblem("booking %s ran %d times", b.Key, runs)
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

// checkOutcomes compares the outcomes that the caller received with the number of
// runs. A not_run of the first call allows the repeat to run; a not_run of the
// repeat states that neither call ran.
func (s *Summary) checkOutcomes(b Booking, runs int) {
	first, second := b.First, b.Second
	if runs == 0 && (reportedDone(first) || reportedDone(second)) {
		s.addProblem("booking %s was reported as done and did not run", b.Key)
	}
	if runs > 0 && (second.Outcome == string(callerapi.OutcomeNotRun) || reportedNotRun(first) && reportedNotRun(second)) {
		s.addProblem("booking %s was reported as %s, then %s, and ran", b.Key, first.Outcome, second.Outcome)
	}
	if first.Outcome == caller.OutcomeDone && second.Outcome == caller.OutcomeDone && first.Body != second.Body {
		s.addProblem("booking %s: the repeat got another answer", b.Key)
	}
}

func reportedDone(c caller.CallResult) bool {
	return c.Outcome == caller.OutcomeDone && c.Status >= 200 && c.Status < 300
}

func reportedNotRun(c caller.CallResult) bool {
	return c.Outcome == string(callerapi.OutcomeNotRun) || c.Outcome == string(callerapi.OutcomeAttemptNotRun)
}

// FetchRuns fetches the number of runs of each key from the service at a URL.
func FetchRuns(ctx context.Context, client *http.Client, url string) (service.Runs, error) {
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
