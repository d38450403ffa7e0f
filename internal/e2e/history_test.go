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

// outcome is what one attempt of a booking told its caller.
type outcome struct {
	outcome  string
	booking  string // of an answer
	replayed bool
}

// bookingModel says that a key is booked at most once: the state is its
// booking, empty before. An attempt with outcome unknown may have booked.
func bookingModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			booked, got := state.(string), output.(outcome)
			switch got.outcome {
			case caller.OutcomeDone:
				if booked == "" {
					return !got.replayed, got.booking
				}
				return got.replayed && booked == got.booking, booked
			case string(callerapi.OutcomeNotRun):
				return booked == "", booked
			}
			return true, booked
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// attempts makes concurrent attempts with one key and returns their history.
func (d *deployment) attempts(key string, seed uint64, n int) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, seed))
	operations := make([]porcupine.Operation, n)
	var wg sync.WaitGroup
	for i := range operations {
		node, delay := rng.IntN(len(d.nodes)), time.Duration(rng.IntN(1500))*time.Millisecond
		wg.Go(func() {
			pause(delay)
			called := time.Now().UnixNano()
			result := d.book(node, key, once)
			got := outcome{outcome: result.Outcome, replayed: result.Replayed}
			if got.outcome == caller.OutcomeDone {
				got.booking = bookingOf(d.t, result.Body)
			}
			operations[i] = porcupine.Operation{ClientId: i, Call: called, Output: got, Return: time.Now().UnixNano()}
		})
	}
	wg.Wait()
	return operations
}

// withRunOf completes a history: a booking that an unknown attempt made is
// shown as a first answer that may have taken effect at any later time.
func withRunOf(history []porcupine.Operation) []porcupine.Operation {
	booking, answered := "", false
	for _, op := range history {
		if got := op.Output.(outcome); got.outcome == caller.OutcomeDone {
			booking = got.booking
			answered = answered || !got.replayed
		}
	}
	if answered || booking == "" {
		return history
	}
	for i, op := range history {
		if op.Output.(outcome).outcome == string(callerapi.OutcomeUnknown) {
			history[i].Output = outcome{outcome: caller.OutcomeDone, booking: booking}
			history[i].Return = time.Now().Add(time.Hour).UnixNano()
			break
		}
	}
	return history
}

// Guards against two runs or contradicting answers among concurrent attempts
// with the same key through several nodes while one node dies and the table
// loses answers.
func TestBookingHistory(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 1, serviceArgs: []string{"--latency", "30ms", "--lost-answer-rate", "0.05"}})
	d.setFaults(map[string]any{"txn": map[string]any{"lost_answer_rate": 0.1, "latency_ms": 5}})
	const keys, attemptsPerKey = 24, 5
	histories := make([][]porcupine.Operation, keys)
	var wg sync.WaitGroup
	for k := range histories {
		wg.Go(func() { histories[k] = d.attempts(fmt.Sprintf("h%d", k), uint64(k), attemptsPerKey) })
	}
	pause(700 * time.Millisecond)
	d.nodes[0].kill(t)
	wg.Wait()
	runs := d.runs()
	told := map[string]int{}
	for k, history := range histories {
		key := fmt.Sprintf("h%d", k)
		if runs.Keys[key] > 1 {
			t.Errorf("booking %s ran %d times", key, runs.Keys[key])
		}
		for _, op := range history {
			got := op.Output.(outcome)
			told[got.outcome]++
			if got.outcome == caller.OutcomeDone && runs.Keys[key] == 0 {
				t.Errorf("booking %s was answered and did not run", key)
			}
		}
		if !porcupine.CheckOperations(bookingModel(), withRunOf(history)) {
			t.Errorf("booking %s: no order of the attempts explains %+v", key, history)
		}
	}
	t.Logf("%d keys, %d runs, outcomes of attempts %v", keys, runs.Total, told)
}
