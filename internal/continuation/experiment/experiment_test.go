package main

import (
	"flag"
	"reflect"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
)

var seedFlag = flag.Uint64("seed", 1, "seed of the simulation")

// testLength is long enough for the loss of the rack and a few other faults. A
// full run takes 20 s without -race, so the other policies run only in the
// program, which makes the same checks.
const testLength = 10 * time.Second

// Guards against policies under which a fault leads to a missing or repeated
// token, a token of another text or an answer that does not end. simulate
// returns an error in these cases.
func TestAnswersStayIntact(t *testing.T) {
	t.Logf("seed %d", *seedFlag)
	for _, p := range []policy{
		{name: "weight 0"},
		{name: "weight 1", weight: 1},
		{name: "restart", weight: defaultWeight, restart: true},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			r, err := simulate(p, *seedFlag, testLength)
			if err != nil {
				t.Fatal(err)
			}
			if k := r.kinds[rackKilled]; r.faults[rackKilled] != 1 || k.interrupted < 20 {
				t.Errorf("the loss of the rack interrupted %d answers, want at least 20", k.interrupted)
			}
		})
	}
}

// Guards against a check that accepts a wrong answer.
func TestIntactDetectsWrongAnswers(t *testing.T) {
	first := nextToken("e01", 0)
	second := nextToken("e02", extendDigest(0, first))
	for _, test := range []struct {
		name   string
		tokens []string
		want   bool
	}{
		{"complete", []string{first, second}, true},
		{"missing token", []string{second}, false},
		{"repeated token", []string{first, first}, false},
		{"short answer", []string{first}, false},
	} {
		s := &sim{policy: policy{}, report: newReport()}
		a := newAnswer(s, &node{sim: s}, &request{output: 2})
		a.machine.MarkComplete("stop")
		a.machine.Step(s.time(), continuation.Started{})
		a.received, a.finished = test.tokens, true
		if got := a.intact(); got != test.want {
			t.Errorf("%s: intact is %t, want %t", test.name, got, test.want)
		}
	}
}

// Guards against nondeterminism, such as the iteration order of a map.
func TestEqualSeedsGiveEqualReports(t *testing.T) {
	t.Parallel()
	p := policy{name: "weight 0.85", weight: defaultWeight}
	var reports [2]*report
	for i := range reports {
		var err error
		if reports[i], err = simulate(p, *seedFlag, testLength/2); err != nil {
			t.Fatal(err)
		}
	}
	if k := reports[0].kinds[rackKilled]; k.interrupted == 0 || k.cost.total() == 0 {
		t.Errorf("the loss of the rack interrupted %d answers and cost %d tokens", k.interrupted, k.cost.total())
	}
	if !reflect.DeepEqual(reports[0], reports[1]) {
		t.Errorf("two runs of seed %d differ: %v and %v", *seedFlag, row("first", reports[0]), row("second", reports[1]))
	}
}
