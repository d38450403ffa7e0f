package orders

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

func model(name string, demand float64, load time.Duration) Model {
	return Model{Spec: backendapi.LoadedModel{Model: name}, Demand: demand, LoadTime: load}
}

func engines(models ...string) []Engine {
	var out []Engine
	for i, m := range models {
		out = append(out, Engine{ID: ident.BackendID(fmt.Sprintf("e%02d", i)), Model: m, TokensPerSecond: 100})
	}
	return out
}

// Checks each rule of the hysteresis separately.
func TestPlan(t *testing.T) {
	for _, tc := range []struct {
		name    string
		models  []Model
		engines []Engine
		want    []Move
	}{
		{"spare engine moves", []Model{model("a", 160, time.Minute), model("b", 80, time.Minute)},
			engines("a", "b", "b"), []Move{{"e01", "b", "a"}}},
		{"free engine first", []Model{model("a", 160, time.Minute), model("b", 80, time.Minute)},
			engines("a", "b", "b", ""), []Move{{"e03", "", "a"}}},
		{"gain below the cost of the load", []Model{model("a", 84, time.Minute), model("b", 80, time.Minute)},
			engines("a", "b", "b"), nil},
		{"last engine stays", []Model{model("a", 400, time.Minute), model("b", 1, time.Minute)},
			engines("a", "b"), nil},
		{"model without an engine", []Model{model("a", 1, time.Hour), model("b", 80, time.Minute)},
			engines("b", "b"), []Move{{"e00", "b", "a"}}},
		{"donor would lack as much", []Model{model("a", 160, time.Minute), model("b", 160, time.Minute)},
			engines("a", "b", "b"), nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPlanner(DefaultPolicy)
			if early := p.Plan(0, tc.models, tc.engines); early != nil {
				t.Errorf("moves at once: %v", early)
			}
			if early := p.Plan(30*time.Second-1, tc.models, tc.engines); early != nil {
				t.Errorf("moves before 30 s: %v", early)
			}
			if got := p.Plan(30*time.Second, tc.models, tc.engines); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("moves = %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a change that is ordered although it was not needed without
// interruption for Policy.WantedFor: the demand drops and rises again in between.
func TestInterruptedDemandRestartsHysteresis(t *testing.T) {
	p, e := NewPlanner(DefaultPolicy), engines("a", "b", "b")
	high := []Model{model("a", 160, time.Minute), model("b", 80, time.Minute)}
	low := []Model{model("a", 80, time.Minute), model("b", 80, time.Minute)}
	p.Plan(0, high, e)
	p.Plan(20*time.Second, low, e)
	p.Plan(21*time.Second, high, e)
	if got := p.Plan(50*time.Second, high, e); got != nil {
		t.Errorf("moves = %v", got)
	}
}

// simulateDemand runs four models on 35 engines for four hours. The demand changes
// permanently every 5 to 20 minutes and varies by 15% every 5 s. It returns the
// number of permanent changes, the number of loads and the fraction of the demand
// that was not served.
func simulateDemand(policy Policy) (changes, loads int, unserved float64) {
	const load = time.Minute
	random := rand.New(rand.NewPCG(4, 4))
	p := NewPlanner(policy)
	names := []string{"a", "b", "c", "d"}
	base := []float64{600, 600, 600, 600}
	models := make([]Model, len(names))
	var fleet []Engine
	for i := range 35 {
		fleet = append(fleet, Engine{ID: ident.BackendID(fmt.Sprintf("e%02d", i)), Model: names[i%4], TokensPerSecond: 100})
	}
	ready := make([]time.Duration, len(fleet))
	nextChange, requested, unservedTokens := time.Duration(0), 0.0, 0.0
	for now := time.Duration(0); now < 4*time.Hour; now += time.Second {
		if now >= nextChange {
			nextChange = now + 5*time.Minute + time.Duration(random.IntN(900))*time.Second
			changes++
			from, to := random.IntN(4), random.IntN(4)
			d := math.Min(base[from]-100, 100+random.Float64()*300)
			base[from], base[to] = base[from]-d, base[to]+d
		}
		if now%(5*time.Second) == 0 {
			for i, name := range names {
				models[i] = model(name, base[i]*(0.85+0.3*random.Float64()), load)
			}
		}
		capacity := map[string]float64{}
		for i := range fleet {
			fleet[i].Busy = now < ready[i]
			if !fleet[i].Busy {
				capacity[fleet[i].Model] += fleet[i].TokensPerSecond
			}
		}
		for _, m := range models {
			requested += m.Demand
			unservedTokens += math.Max(0, m.Demand-capacity[m.Spec.Model])
		}
		for _, move := range p.Plan(now, models, fleet) {
			for i := range fleet {
				if fleet[i].ID == move.Engine {
					fleet[i].Model, ready[i] = move.To, now+load
					loads++
				}
			}
		}
	}
	return changes, loads, unservedTokens / requested
}

// Guards against a hysteresis that does not reduce the number of loads by at least
// half, and prints the figures.
func TestLoadsPerChangeOfDemand(t *testing.T) {
	var loads [2]int
	for i, policy := range []Policy{{}, DefaultPolicy} {
		changes, n, unserved := simulateDemand(policy)
		loads[i] = n
		t.Logf("%+v: %d changes of demand, %d loads, %.2f loads per change, %.2f%% of tokens unserved",
			policy, changes, n, float64(n)/float64(changes), 100*unserved)
	}
	if 2*loads[1] > loads[0] {
		t.Errorf("%d loads with hysteresis, %d without", loads[1], loads[0])
	}
}
