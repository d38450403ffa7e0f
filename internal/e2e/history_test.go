//go:build linux

package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
)

// attemptResult is the result that the caller received for one attempt of a
// booking.
type attemptResult struct {
	outcome   string
	bookingID string // empty without an answer
	replayed  bool
}

// bookingModel returns the sequential specification of one idempotency key, which
// is booked at most once. The state is the booking id, or "" before the booking.
// An attempt with outcome unknown leaves the state unchanged; completeHistory
// handles an unknown attempt that booked.
func bookingModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			booked, got := state.(string), output.(attemptResult)
			switch got.outcome {
			case caller.OutcomeDone:
				if booked == "" {
					return !got.replayed, got.bookingID
				}
				return got.replayed && booked == got.bookingID, booked
			case string(callerapi.OutcomeNotRun):
				return booked == "", booked
			}
			return true, booked
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// runAttempts makes n concurrent attempts with one idempotency key, through nodes
// and after delays drawn from seed, and returns their history.
func (d *deployment) runAttempts(key string, seed uint64, n int) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, seed))
	operations := make([]porcupine.Operation, n)
	var wg sync.WaitGroup
	for i := range operations {
		node, delay := rng.IntN(len(d.nodes)), time.Duration(rng.IntN(1500))*time.Millisecond
		wg.Go(func() {
			sleep(delay)
			called := time.Now().UnixNano()
			result := d.book(node, key, singleAttempt)
			got := attemptResult{outcome: result.Outcome, replayed: result.Replayed}
			if got.outcome == caller.OutcomeDone {
				got.bookingID = bookingID(d.t, result.Body)
			}
			operations[i] = porcupine.Operation{ClientId: i, Call: called, Output: got, Return: time.Now().UnixNano()}
		})
	}
	wg.Wait()
	return operations
}

// completeHistory completes a history in which only replays of a booking were
// answered. The booking was then made by an attempt with outcome unknown, so the
// first such attempt is recorded as the one that booked, with a return time so
// late that the booking may have taken effect at any time after the call.
func completeHistory(history []porcupine.Operation) []porcupine.Operation {
	id, answered := "", false
	for _, op := range history {
		if got := op.Output.(attemptResult); got.outcome == caller.OutcomeDone {
			id = got.bookingID
			answered = answered || !got.replayed
		}
	}
	if answered || id == "" {
		return history
	}
	for i, op := range history {
		if op.Output.(attemptResult).outcome == string(callerapi.OutcomeUnknown) {
			history[i].Output = attemptResult{outcome: caller.OutcomeDone, bookingID: id}
			history[i].Return = time.Now().Add(time.Hour).UnixNano()
			break
		}
	}
	return history
}

// Guards against two runs or contradictory answers among concurrent attempts with
// the same key through several nodes, while one node is killed and the platform's
// table and the booking service lose responses. Checks that the history of each
// key is linearizable.
func TestBookingHistory(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, serviceArgs: []string{"--latency", "30ms", "--lost-answer-rate", "0.05"}})
	d.setFaults(map[string]any{"txn": map[string]any{"lost_answer_rate": 0.1, "latency_ms": 5}})
	const keys, attemptsPerKey = 24, 5
	histories := make([][]porcupine.Operation, keys)
	var wg sync.WaitGroup
	for k := range histories {
		wg.Go(func() { histories[k] = d.runAttempts(fmt.Sprintf("h%d", k), uint64(k), attemptsPerKey) })
	}
	sleep(700 * time.Millisecond)
	d.nodes[0].kill(t)
	wg.Wait()
	runs := d.runs()
	outcomes := map[string]int{}
	for k, history := range histories {
		key := fmt.Sprintf("h%d", k)
		if runs.Keys[key] > 1 {
			t.Errorf("booking %s ran %d times", key, runs.Keys[key])
		}
		for _, op := range history {
			got := op.Output.(attemptResult)
			outcomes[got.outcome]++
			if got.outcome == caller.OutcomeDone && runs.Keys[key] == 0 {
				t.Errorf("booking %s was answered and did not run", key)
			}
		}
		if !porcupine.CheckOperations(bookingModel(), completeHistory(history)) {
			t.Errorf("booking %s: no order of the attempts explains %+v", key, history)
		}
	}
	t.Logf("%d keys, %d runs, outcomes of attempts %v", keys, runs.Total, outcomes)
}
