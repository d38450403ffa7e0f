package orders

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// stub implements EngineClient, with one engine, and WeightStore.
type stub struct {
	state   backendapi.State
	orders  []backendapi.Order
	fetches int
	limited bool
}

func (s *stub) State(context.Context, ident.BackendID) (backendapi.State, error) { return s.state, nil }

func (s *stub) Order(_ context.Context, _ ident.BackendID, o backendapi.Order) error {
	s.orders = append(s.orders, o)
	s.state.Loading = o.Models
	return nil
}

func (s *stub) AcquirePermit(context.Context, platformapi.WeightFetch) (time.Duration, error) {
	s.fetches++
	if s.limited {
		return 5 * time.Second, errors.New("rate limited")
	}
	return 0, nil
}

// runSteps calls Step of a new executor at intervals of StepInterval. The plan
// always assigns model a to the engine.
func runSteps(t *testing.T, s *stub, steps int) {
	now := time.Duration(0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := NewExecutor(Config{
		Self: "n", Incarnation: 1, Table: tabletest.New(), Engines: s, Weights: s, Log: log, Metrics: tally.NoopScope,
		Demand: func() ([]Model, []Engine) {
			spec := backendapi.LoadedModel{Model: "a", Version: "1", Adapters: []string{}}
			return []Model{{Spec: spec, Demand: 10}}, []Engine{{ID: "e", TokensPerSecond: 100}}
		},
		Now: func() ClockReading { return ClockReading{Wall: epoch.Add(now), Monotonic: now} },
	})
	for range steps {
		now += StepInterval
		e.Step(t.Context())
	}
}

// Guards against loads beyond the limit of the weight store, orders for a model
// that the engine already loads, and orders to an engine that has received orders
// from a newer planner or runs another model than planned.
func TestExecutorChecksBeforeAnOrder(t *testing.T) {
	for _, tc := range []struct {
		name            string
		stub            stub
		orders, fetches int
	}{
		{"ordered once", stub{}, 1, 1},
		{"weight store refuses", stub{limited: true}, 0, 4},
		{"already loading", stub{state: backendapi.State{Loading: []backendapi.LoadedModel{{Model: "a", Version: "1"}}}}, 0, 0},
		{"runs another model than planned", stub{state: backendapi.State{Models: []backendapi.LoadedModel{{Model: "b"}}}}, 0, 0},
		{"newer planner", stub{state: backendapi.State{FencingToken: 9}}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// The lease is acquired at the first step; orders begin 2 s later.
			runSteps(t, &tc.stub, 20)
			if len(tc.stub.orders) != tc.orders || tc.stub.fetches != tc.fetches {
				t.Errorf("%d orders, %d fetches, want %d and %d", len(tc.stub.orders), tc.stub.fetches, tc.orders, tc.fetches)
			}
		})
	}
}
