package idempotent

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/claim"
	"github.com/yuccahatch/yuccahatch/internal/claimwriter"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// output is the answer that the caller of one call received.
type output struct {
	request  string
	outcome  callerapi.Outcome // empty if there is a result
	replayed bool
	body     string
}

// sequentialModel is the specification that histories are checked against. The
// state of a key is the request that ran, or "" if none has.
var sequentialModel = porcupine.NondeterministicModel{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		var keys []any
		for _, op := range h {
			if byKey[op.Input] == nil {
				keys = append(keys, op.Input)
			}
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var out [][]porcupine.Operation
		for _, key := range keys {
			out = append(out, byKey[key])
		}
		return out
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, out any) []any {
		ran, o := state.(string), out.(output)
		switch {
		case o.outcome == callerapi.OutcomeAttemptNotRun:
			return []any{ran}
		case o.outcome == callerapi.OutcomeNotRun && ran == "":
			return []any{""}
		case o.outcome == callerapi.OutcomeUnknown && ran == "":
			return []any{"", o.request}
		case o.outcome == callerapi.OutcomeUnknown:
			return []any{ran}
		case o.outcome == "" && o.replayed && ran == o.body:
			return []any{ran}
		case o.outcome == "" && !o.replayed && ran == "" && o.body == o.request:
			return []any{o.request}
		}
		return nil
	},
}

func outputOf(request string, r Response, err error) output {
	if f, ok := FailureOf(err); ok {
		return output{request: request, outcome: f.Outcome}
	}
	return output{request: request, replayed: r.Replayed, body: string(r.Body)}
}

// recordHistory runs random calls with four keys on three nodes and returns the
// history and the number of runs per key.
func recordHistory(t *testing.T, seed uint64) (h []porcupine.Operation, runs map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		d := &lockedRand{random: rand.New(rand.NewPCG(seed, 2))}
		rows := faultyTable{Table: tabletest.New(), rand: d, faults: 25, lateCalls: &sync.WaitGroup{}}
		rows.SetFaults(func(op string) tabletest.Fault {
			if d.intN(100) < 15 {
				return []tabletest.Fault{tabletest.FaultUnavailable, tabletest.FaultLostResponse}[d.intN(2)]
			}
			return tabletest.FaultNone
		})
		s := &service{rand: d, runs: map[string]int{}, faults: 30, delay: 50 * time.Millisecond}
		var nodes []node
		for i := range 3 {
			nodes = append(nodes, newNode(t, i, rows, s, &objects{}, nil))
		}
		start := time.Now()
		var mu sync.Mutex
		var clients sync.WaitGroup
		for client := range 12 {
			clients.Go(func() {
				for try := range 4 {
					time.Sleep(d.randomMillis(400))
					key := fmt.Sprintf("key-%d", client%4)
					request := fmt.Sprintf("%d-%d", client, try)
					call := Call{Team: "c", Key: key, RequestID: ident.RequestID(request), Method: "POST"}
					if d.intN(5) == 0 {
						call.Refusal = callerapi.CodeQuietHours
					}
					ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond+d.randomMillis(600))
					op := porcupine.Operation{ClientId: client, Input: key, Call: int64(time.Since(start))}
					r, err := nodes[d.intN(3)].Execute(ctx, call)
					cancel()
					o := outputOf(request, r, err)
					op.Output, op.Return = o, int64(time.Since(start))
					if o.outcome == callerapi.OutcomeUnknown {
						// The request may run after the caller was answered.
						op.ClientId, op.Return = 1000+client*10+try, int64(time.Hour)
					}
					mu.Lock()
					h = append(h, op)
					mu.Unlock()
				}
			})
		}
		clients.Wait()
		for _, n := range nodes {
			n.finish(t)
		}
		s.lateCalls.Wait()
		rows.lateCalls.Wait()
		runs = s.runs
	})
	return h, runs
}

// Guards against a call that runs twice and against wrong answers when calls to
// the table and the service fail, are lost or arrive late.
func TestHistoriesAreLinearizable(t *testing.T) {
	outcomes := map[callerapi.Outcome]int{}
	for seed := range uint64(60) {
		h, runs := recordHistory(t, seed)
		for key, n := range runs {
			if n > 1 {
				t.Fatalf("seed %d: %s ran %d times", seed, key, n)
			}
		}
		for _, op := range h {
			outcomes[op.Output.(output).outcome]++
		}
		model := sequentialModel.ToModel()
		if !porcupine.CheckOperations(model, h) {
			t.Fatalf("seed %d: history is not linearizable: %+v", seed, h)
		}
	}
	t.Logf("answers: %v", outcomes)
	for _, o := range []callerapi.Outcome{"", callerapi.OutcomeNotRun, callerapi.OutcomeAttemptNotRun, callerapi.OutcomeUnknown} {
		if outcomes[o] == 0 {
			t.Errorf("no answer with outcome %q: the test does not reach it", o)
		}
	}
}

// Guards against a history checker that accepts a second run, a false not_run or
// the replay of another result.
func TestHistoryCheckerRejects(t *testing.T) {
	op := func(at int64, o output) porcupine.Operation {
		return porcupine.Operation{ClientId: int(at), Input: "k", Call: at, Output: o, Return: at + 1}
	}
	first := op(0, output{request: "a", body: "a"})
	for name, second := range map[string]output{
		"second run":    {request: "b", body: "b"},
		"false not_run": {request: "b", outcome: callerapi.OutcomeNotRun},
		"other result":  {request: "b", replayed: true, body: "b"},
	} {
		if porcupine.CheckOperations(sequentialModel.ToModel(), []porcupine.Operation{first, op(5, second)}) {
			t.Errorf("%s accepted", name)
		}
	}
}

// Guards against losing a large result because the object store is unavailable at
// first, and against a replay that reports a result which it cannot load.
func TestLargeResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &lockedRand{random: rand.New(rand.NewPCG(1, 1))}
		s := &service{rand: d, runs: map[string]int{}, body: maxRowBody + 1}
		o := &objects{bodies: map[string][]byte{}, down: true}
		n := newNode(t, 0, tabletest.New(), s, o, nil)
		call := Call{Team: "c", Key: "k", RequestID: "r"}
		first, err := n.Execute(t.Context(), call)
		if err != nil || first.Replayed {
			t.Fatal(first.Status, err)
		}
		time.Sleep(2 * time.Second)
		o.setDown(false)
		if err := n.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		second, err := n.Execute(t.Context(), call)
		if err != nil || !second.Replayed || !bytes.Equal(first.Body, second.Body) {
			t.Fatal(second.Status, len(second.Body), err)
		}
		o.setDown(true)
		if _, err = n.Execute(t.Context(), call); outputOf("", Response{}, err).outcome != callerapi.OutcomeUnknown {
			t.Fatal(err)
		}
		n.finish(t)
	})
}

// pausingClaims simulates a pause of the process during the first write of a
// claim.
type pausingClaims struct {
	Claims
	pause func()
	once  sync.Once
}

func (p *pausingClaims) Write(key string, row claim.Row, version int64) claim.Event {
	e := p.Claims.Write(key, row, version)
	p.once.Do(p.pause)
	return e
}

// Guards against a request that is sent after a pause longer than the send window.
// A paused process sees the pause on both clocks, a suspended host on the wall
// clock only.
func TestNoSendAfterPause(t *testing.T) {
	for _, wallOnly := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var suspended time.Duration // guarded by mu
			now := processClock()
			d := &lockedRand{random: rand.New(rand.NewPCG(1, 1))}
			s := &service{rand: d, runs: map[string]int{}}
			n := newNode(t, 0, tabletest.New(), s, &objects{}, func() claim.ClockReading {
				mu.Lock()
				defer mu.Unlock()
				reading := now()
				reading.Wall = reading.Wall.Add(suspended)
				return reading
			})
			n.config.Claims = &pausingClaims{Claims: n.config.Claims, pause: func() {
				if !wallOnly {
					time.Sleep(6 * time.Second)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				suspended = 6 * time.Second
			}}
			_, err := n.Execute(t.Context(), Call{Team: "c", Key: "k"})
			if f, ok := FailureOf(err); !ok || f.Outcome == callerapi.OutcomeUnknown {
				t.Errorf("wall only %v: %v", wallOnly, err)
			}
			n.finish(t)
			if s.runs["k"] != 0 {
				t.Errorf("wall only %v: sent after a pause", wallOnly)
			}
		})
	}
}

// Guards against callers that are kept waiting while the table is unavailable.
func TestStoreOutageAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 0, tableWithFault(tabletest.FaultUnavailable), &service{}, &objects{}, nil)
		start := time.Now()
		_, err := n.Execute(t.Context(), Call{Team: "c", Key: "k"})
		f, _ := FailureOf(err)
		if f.Outcome != callerapi.OutcomeAttemptNotRun || f.Code != callerapi.CodeStoreUnavailable || f.RetryAfter == 0 {
			t.Errorf("failure = %+v", f)
		}
		if waited := time.Since(start); waited > 2*claimwriter.GroupDelay {
			t.Errorf("answered after %s", waited)
		}
		n.finish(t)
	})
}

// slowTable takes longer for each transaction than storeTimeout.
type slowTable struct{ table.Table }

func (s slowTable) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	time.Sleep(storeTimeout + 200*time.Millisecond)
	return s.Table.Txn(ctx, txn)
}

// Guards against an answer that arrives after the caller has stopped waiting
// because the table is slow.
func TestSlowStoreIsAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t, 0, slowTable{tabletest.New()}, &service{}, &objects{}, nil)
		start := time.Now()
		_, err := n.Execute(t.Context(), Call{Team: "c", Key: "k"})
		f, _ := FailureOf(err)
		if f.Outcome != callerapi.OutcomeAttemptNotRun || f.Code != callerapi.CodeStoreUnavailable {
			t.Errorf("failure = %+v", f)
		}
		if waited := time.Since(start); waited > storeTimeout {
			t.Errorf("answered after %s, want at most %s", waited, storeTimeout)
		}
		n.finish(t)
	})
}
