package contractlog

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// slowTable delays calls before and after they take effect, so that the calls of
// different operators interleave.
type slowTable struct {
	*tabletest.Table
	random *rand.Rand // used by one goroutine
}

func (s slowTable) delay() { time.Sleep(time.Duration(s.random.Int64N(int64(30 * time.Millisecond)))) }

func (s slowTable) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	s.delay()
	defer s.delay()
	return s.Table.Txn(ctx, txn)
}

func (s slowTable) Read(ctx context.Context, keys ...string) ([]platformapi.Row, error) {
	s.delay()
	defer s.delay()
	return s.Table.Read(ctx, keys...)
}

// putInput and putOutput describe one call of Put in a history.
type putInput struct {
	team, id string
	base     int
}

type putOutput struct {
	code    Code
	version int // the version of the entry, or the newest version on a conflict
}

// contractModel is the sequential specification of one contract with atomic
// changes. Its state is the list of the committed change ids, one for each version.
func contractModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[string][]porcupine.Operation{}
			for _, op := range history {
				team := op.Input.(putInput).team
				parts[team] = append(parts[team], op)
			}
			return slices.Collect(maps.Values(parts))
		},
		Init: func() []any { return []any{[]string(nil)} },
		Step: func(state, input, output any) []any {
			return stepContract(state.([]string), input.(putInput), output.(putOutput))
		},
		Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
	}
	return model.ToModel()
}

func stepContract(committed []string, in putInput, out putOutput) []any {
	version := slices.Index(committed, in.id) + 1
	changed := append(slices.Clone(committed), in.id)
	mayChange := version == 0 && in.base == len(committed)
	switch out.code {
	case "":
		if version > 0 && out.version == version {
			return []any{committed}
		}
		if mayChange && out.version == len(changed) {
			return []any{changed}
		}
	case CodeConflict:
		if version == 0 && in.base != len(committed) && out.version == len(committed) {
			return []any{committed}
		}
	case CodeStoreUnavailable, CodeBusy:
		return []any{committed}
	case CodeOutcomeUnknown:
		if mayChange {
			return []any{committed, changed}
		}
		return []any{committed}
	}
	return nil
}

// runOperators runs four concurrent operators that change two contracts, and
// records their history. An operator repeats half of the changes with an unknown
// outcome.
func runOperators(t *testing.T, seed uint64, shared *tabletest.Table, history *[]porcupine.Operation) {
	var mu sync.Mutex // guards history
	var group sync.WaitGroup
	for client := range 4 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			l := New(slowTable{shared, random}, &fakeRecorder{}, "h1", time.Now)
			known, in, repeat := map[string]int{}, putInput{}, false
			for n := range 10 {
				if !repeat {
					team := []string{"a", "b"}[random.IntN(2)]
					in = putInput{team: team, id: fmt.Sprintf("c%d-%d", client, n), base: known[team]}
				}
				call := time.Now().UnixNano()
				entry, err := l.Put(t.Context(), document(in.team, client+1), ident.ContractVersion(in.base), in.id, "op")
				out := putOutput{code: CodeOf(err), version: int(entry.Version)}
				if current, ok := CurrentOf(err); ok {
					out.version = int(current.Version)
				}
				returned := time.Now().UnixNano()
				if out.code == CodeOutcomeUnknown {
					returned = math.MaxInt64 // it may still take effect
				} else {
					known[in.team] = max(known[in.team], out.version)
				}
				if out.code == CodeStoreUnavailable {
					time.Sleep(time.Second)
				}
				repeat = out.code == CodeOutcomeUnknown && random.IntN(2) == 0
				mu.Lock()
				*history = append(*history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: returned})
				mu.Unlock()
			}
		})
	}
	group.Wait()
}

// checkRows checks the rows of the table: log positions have no gaps, versions of
// a contract increase by one, each change id occurs once, each change has an audit
// record, and each contract row has the newest version. It returns the number of
// changes.
func checkRows(t *testing.T, table *tabletest.Table) int {
	t.Helper()
	l := New(table, &fakeRecorder{}, "h1", time.Now)
	entries, head, err := l.After(t.Context(), 0)
	if err != nil || int(head) != len(entries) {
		t.Fatalf("%d entries, head %d, %v", len(entries), head, err)
	}
	ids, versions := map[string]bool{}, map[ident.Team]ident.ContractVersion{}
	for i, entry := range entries {
		versions[entry.Team]++
		if entry.Version != versions[entry.Team] || ids[entry.ChangeID] {
			t.Errorf("entry %d has version %d and change id %s", i+1, entry.Version, entry.ChangeID)
		}
		ids[entry.ChangeID] = true
	}
	audited, _, err := table.Scan(t.Context(), "audit/", "", 1000)
	if err != nil || len(audited) != len(entries) {
		t.Errorf("%d audit records for %d changes, %v", len(audited), len(entries), err)
	}
	newest, _, err := l.Load(t.Context())
	for _, entry := range newest {
		if entry.Version != versions[entry.Team] {
			t.Errorf("row of contract %s has version %d, the log %d", entry.Team, entry.Version, versions[entry.Team])
		}
	}
	if err != nil || len(newest) != len(versions) {
		t.Errorf("%d contracts, %d in the log, %v", len(newest), len(versions), err)
	}
	return len(entries)
}

// TestConcurrentOperators checks that concurrent changes are linearizable when
// calls and responses are lost and the table has outages. Otherwise Put could
// report the wrong outcome of a change to an operator. YUCCAHATCH_SEED overrides
// the first of the 60 seeds.
func TestConcurrentOperators(t *testing.T) {
	first := uint64(1)
	if text := os.Getenv("YUCCAHATCH_SEED"); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
	}
	outcomes, changes := map[Code]int{}, 0
	for seed := first; seed < first+60; seed++ {
		var history []porcupine.Operation
		shared := tabletest.New()
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 99)) // used under the table's lock
			start := time.Now()
			shared.SetFaults(func(string) tabletest.Fault {
				// With even seeds, outages of 4 s outlast retryTimeout.
				if seed%2 == 0 && time.Since(start)%(4200*time.Millisecond) > 200*time.Millisecond {
					return tabletest.FaultUnavailable
				}
				return tabletest.Fault(max(0, random.IntN(12)-8)) // a fault in 3 of 12 calls
			})
			runOperators(t, seed, shared, &history)
		})
		shared.SetFaults(func(string) tabletest.Fault { return tabletest.FaultNone })
		changes += checkRows(t, shared)
		for _, op := range history {
			outcomes[op.Output.(putOutput).code]++
		}
		if !porcupine.CheckOperations(contractModel(), history) {
			t.Fatalf("seed %d: the history is not linearizable: %+v", seed, history)
		}
	}
	t.Logf("seeds %d to %d: %d changes, outcomes %v", first, first+59, changes, outcomes)
	for _, code := range []Code{"", CodeConflict, CodeStoreUnavailable, CodeOutcomeUnknown} {
		if outcomes[code] == 0 {
			t.Errorf("no call ended with code %q, so the test does not cover it", code)
		}
	}
}
