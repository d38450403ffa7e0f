package ledger

import (
	"testing"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/service"
)

// Guards against a check that accepts outcomes which contradict the service's runs,
// or reports a problem for outcomes which agree with them.
func TestOutcomes(t *testing.T) {
	done := caller.CallResult{Outcome: caller.OutcomeDone, Status: 201, Body: "b"}
	other := caller.CallResult{Outcome: caller.OutcomeDone, Status: 201, Body: "c"}
	withOutcome := func(o callerapi.Outcome) caller.CallResult { return caller.CallResult{Outcome: string(o)} }
	notRun, attempt, unknown := withOutcome(callerapi.OutcomeNotRun), withOutcome(callerapi.OutcomeAttemptNotRun), withOutcome(callerapi.OutcomeUnknown)
	for _, tc := range []struct {
		name          string
		first, second caller.CallResult
		runs          int
		ok            bool
	}{
		{"ran once", done, done, 1, true},
		{"ran twice", done, done, 2, false},
		{"done without a run", done, done, 0, false},
		{"repeat with another answer", done, other, 1, false},
		{"repeat ran after a refusal", notRun, done, 1, true},
		{"refused after a run", done, notRun, 1, false},
		{"refused twice and ran", attempt, attempt, 1, false},
		{"refused after an unknown run", unknown, notRun, 1, false},
		{"unknown and ran", unknown, unknown, 1, true},
		{"unknown and did not run", unknown, attempt, 0, true},
	} {
		s := Check([]Booking{{Key: "k", First: tc.first, Second: tc.second}}, service.Runs{Keys: map[string]int{"k": tc.runs}})
		if (len(s.Problems) == 0) != tc.ok {
			t.Errorf("%s: problems %v", tc.name, s.Problems)
		}
	}
}
