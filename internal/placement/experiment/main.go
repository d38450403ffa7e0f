// Command experiment compares placement policies, and shedding on and off, on
// a discrete-event model of 35 engines with batching, prefix caches, lagged
// load reports and late cache events with gaps. Equal seeds give equal output.
//
//	go run ./internal/placement/experiment -seed 1
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/placement"
)

// policy is one way to choose an engine.
type policy struct {
	name string
	make func(placement.Config) placement.Chooser
}

type randomPick struct{}

// Pick implements placement.Picker.
func (randomPick) Pick(c []placement.Candidate, rng *rand.Rand) int { return rng.IntN(len(c)) }

type roundRobin struct{ next int }

// Pick implements placement.Picker. Without scorers the candidates are sorted by
// server ID.
func (r *roundRobin) Pick(c []placement.Candidate, _ *rand.Rand) int {
	r.next++
	return r.next % len(c)
}

// reportedLoad scores only by the reported number of requests.
type reportedLoad struct{}

// Name implements placement.Scorer.
func (reportedLoad) Name() placement.Cause { return "reported_load" }

// Score implements placement.Scorer.
func (reportedLoad) Score(_ *placement.Request, s *placement.Server, _ time.Time) float64 {
	return float64(s.Load.Running + s.Load.Waiting)
}

func policies() []policy {
	with := func(change func(*placement.Chooser)) func(placement.Config) placement.Chooser {
		return func(c placement.Config) placement.Chooser {
			chooser := placement.DefaultChooser(c)
			change(&chooser)
			return chooser
		}
	}
	return []policy{
		{"default", placement.DefaultChooser},
		{"default, no slack limit", with(func(c *placement.Chooser) { c.Picker = placement.TwoChoices{Slack: -1} })},
		{"no cache awareness", with(func(c *placement.Chooser) {
			c.Scorers = []placement.Scorer{c.Scorers[0], c.Scorers[2]}
		})},
		{"least reported load", with(func(c *placement.Chooser) {
			c.Scorers, c.Picker = []placement.Scorer{reportedLoad{}}, placement.TwoChoices{Slack: 0}
		})},
		{"round robin", with(func(c *placement.Chooser) { c.Scorers, c.Picker = nil, &roundRobin{} })},
		{"random", with(func(c *placement.Chooser) { c.Scorers, c.Picker = nil, randomPick{} })},
	}
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the load and the model")
	only := flag.String("only", "", "policies or overload; empty runs both")
	flag.Parse()
	if err := run(*seed, *only); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seed uint64, only string) error {
	if only != "overload" {
		if err := comparePolicies(seed); err != nil {
			return err
		}
		fmt.Println()
	}
	if only != "policies" {
		return compareShedding(seed)
	}
	return nil
}

func comparePolicies(seed uint64) error {
	fmt.Println("| nodes | policy | cached prompt tokens | first token p50 | p95 | max/mean requests on an engine | not answered |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	load := generateLoad(seed, 1, runLength)
	for _, nodes := range []int{3, 9} {
		for _, p := range policies() {
			r, err := runSim(load, nodes, p.make, false, seed)
			if err != nil {
				return err
			}
			fmt.Printf("| %d | %s | %.1f%% | %.0f ms | %.0f ms | %.2f | %d of %d |\n", nodes, p.name,
				100*float64(r.cached)/float64(r.prompt), r.firstTokenMS(50), r.firstTokenMS(95), r.imbalance/float64(r.samples),
				r.abandoned, r.abandoned+r.completed)
		}
	}
	return nil
}

func compareShedding(seed uint64) error {
	fmt.Println("| offered/s | shedding | answered/s | relative to peak | refused at once/s | gave up after 4 s/s | first token p95 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, shed := range []bool{true, false} {
		var results []*result
		factors := []float64{1, 1.5, 2, 3, 4.5, 6.5}
		peak := 0
		for _, f := range factors {
			r, err := runSim(generateLoad(seed, f, overloadLength), 9, placement.DefaultChooser, shed, seed)
			if err != nil {
				return err
			}
			peak = max(peak, r.completed)
			results = append(results, r)
		}
		for _, r := range results {
			fmt.Printf("| %.1f | %v | %.1f | %.0f%% | %.1f | %.1f | %.0f ms |\n", r.perSecond(r.completed+r.refused+r.abandoned), shed,
				r.perSecond(r.completed), 100*float64(r.completed)/float64(peak), r.perSecond(r.refused),
				r.perSecond(r.abandoned), r.firstTokenMS(95))
		}
	}
	return nil
}

func (r *result) firstTokenMS(quantile float64) float64 {
	return float64(r.firstToken.ValueAtQuantile(quantile)) / 1000
}

func (r *result) perSecond(n int) float64 { return float64(n) / r.length.Seconds() }
