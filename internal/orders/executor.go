package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

// StepInterval is the interval between two steps of the executor.
const StepInterval = time.Second

// EngineClient reads the state of engines and sends them orders. An order must
// not be in progress for longer than MaxOrderTime; its ctx ends by then.
type EngineClient interface {
	State(ctx context.Context, id ident.BackendID) (backendapi.State, error)
	Order(ctx context.Context, id ident.BackendID, order backendapi.Order) error
}

// WeightStore requests permission from the weight store to load a model. If the
// store refuses, Fetch returns an error and the time to wait before the next
// request.
type WeightStore interface {
	AcquirePermit(ctx context.Context, fetch platformapi.WeightFetch) (retryAfter time.Duration, err error)
}

// DemandFunc returns the models with their current demand, and the engines of the
// fleet.
type DemandFunc func() ([]Model, []Engine)

// Config holds the dependencies and settings of an Executor.
type Config struct {
	Self        ident.HostID
	Incarnation ident.Incarnation
	Table       table.Table
	Engines     EngineClient
	Weights     WeightStore
	Demand      DemandFunc
	Policy      Policy
	Log         logrus.FieldLogger
	Metrics     tally.Scope
	// Now reads both clocks.
	Now func() ClockReading
}

// Executor acquires and renews the lease and sends placement orders while it
// holds the lease. It is not safe for concurrent use.
type Executor struct {
	config  Config
	lease   Lease
	planner *Planner
	// nextWeightRequest is the monotonic time before which no request is sent to
	// the weight store.
	nextWeightRequest time.Duration
	// orderCount is the number of orders sent; it makes order IDs unique.
	orderCount int
}

// NewExecutor returns an Executor that does not hold the lease.
func NewExecutor(config Config) *Executor {
	config.Metrics = config.Metrics.SubScope("orders")
	return &Executor{
		config:  config,
		lease:   NewLease(config.Self, config.Incarnation),
		planner: NewPlanner(config.Policy),
	}
}

// Run calls Step every StepInterval until ctx is done.
func (e *Executor) Run(ctx context.Context) {
	ticker := time.NewTicker(StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.Step(ctx)
		}
	}
}

// Step renews or takes the lease and, if it is held, plans and orders.
func (e *Executor) Step(ctx context.Context) {
	if err := e.maintainLease(ctx); err != nil {
		e.config.Metrics.Counter("lease_failures").Inc(1)
		e.config.Log.WithError(err).Warn("cannot read or write planner lease")
	}
	models, engines := e.config.Demand()
	// Every executor plans, not only the holder of the lease, so that a new holder
	// has already tracked how long each change has been needed.
	moves := e.planner.Plan(e.config.Now().Monotonic, models, engines)
	for _, move := range moves {
		if _, ok := e.lease.MayOrder(e.config.Now()); !ok {
			return
		}
		spec := modelSpec(models, move.To)
		if err := e.executeMove(ctx, move, spec); err != nil {
			e.config.Metrics.Counter("failures").Inc(1)
			e.config.Log.WithError(err).WithFields(logrus.Fields{"backend": move.Engine, "model": move.To}).Warn("placement order failed")
		}
	}
}

func modelSpec(models []Model, name string) backendapi.LoadedModel {
	for _, m := range models {
		if m.Spec.Model == name {
			return m.Spec
		}
	}
	return backendapi.LoadedModel{Model: name}
}

func (e *Executor) maintainLease(ctx context.Context) error {
	rows, err := e.config.Table.Read(ctx, LeaseKey)
	if err != nil {
		return newError(CodeLease).Wrapf(err, "read %s", LeaseKey)
	}
	var row LeaseRow
	if len(rows[0].Value) > 0 {
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			return newError(CodeLease).Wrapf(err, "decode %s", LeaseKey)
		}
	}
	e.lease.Observe(e.config.Now(), row, rows[0].Version)
	row, version, ok := e.lease.Write(e.config.Now())
	if !ok {
		return nil
	}
	value, err := json.Marshal(row)
	if err != nil {
		return newError(CodeLease).Wrapf(err, "encode %s", LeaseKey)
	}
	answer, err := e.config.Table.Txn(ctx, platformapi.TxnRequest{
		ID:         fmt.Sprintf("lease-%s-%d", e.config.Self, row.Token),
		Conditions: []platformapi.Condition{{Key: LeaseKey, Version: version}},
		Writes:     []platformapi.Write{{Key: LeaseKey, Value: value}},
	})
	if err != nil {
		// Whether the write took effect is seen at the next read.
		if table.CodeOf(err) == table.CodeConflict {
			return nil
		}
		return newError(CodeLease).Wrapf(err, "write %s", LeaseKey)
	}
	e.lease.Committed(e.config.Now(), row, answer.Versions[LeaseKey])
	return nil
}

// executeMove reads the state of the engine, orders it to run the model and reads
// its state again. It sends no order if the engine already runs or loads the
// model or does not run the model that the plan assumed.
func (e *Executor) executeMove(ctx context.Context, move Move, spec backendapi.LoadedModel) error {
	state, err := e.config.Engines.State(ctx, move.Engine)
	if err != nil {
		return newError(CodeEngine).Wrapf(err, "read state of %q", move.Engine)
	}
	if hasModel(state, spec) || !matchesPlan(state, move.From) {
		return nil
	}
	token, ok := e.lease.MayOrder(e.config.Now())
	if !ok || state.FencingToken > int64(token) || !e.requestLoad(ctx, move, spec) {
		return nil
	}
	// The lease is checked again because the request to the weight store took
	// time.
	if token, ok = e.lease.MayOrder(e.config.Now()); !ok {
		return nil
	}
	e.orderCount++
	order := backendapi.Order{
		OrderID:      fmt.Sprintf("order-%s-%d-%d", e.config.Self, token, e.orderCount),
		FencingToken: int64(token),
		Role:         state.Role,
		Models:       []backendapi.LoadedModel{spec},
	}
	orderCtx, cancel := context.WithTimeout(ctx, MaxOrderTime)
	defer cancel()
	e.config.Metrics.Counter("sent").Inc(1)
	if err := e.config.Engines.Order(orderCtx, move.Engine, order); err != nil {
		return newError(CodeEngine).Wrapf(err, "order %q", move.Engine)
	}
	if state, err = e.config.Engines.State(ctx, move.Engine); err != nil {
		return newError(CodeEngine).Wrapf(err, "read back state of %q", move.Engine)
	}
	if !hasModel(state, spec) {
		return newError(CodeNotApplied).Errorf("engine %q accepted order %q but neither runs nor loads the model", move.Engine, order.OrderID)
	}
	return nil
}

// requestLoad requests permission to load the model from the weight store, which
// limits the rate of loads, and reports whether it was granted. It sends no
// request before nextWeightRequest.
func (e *Executor) requestLoad(ctx context.Context, move Move, spec backendapi.LoadedModel) bool {
	now := e.config.Now().Monotonic
	if now < e.nextWeightRequest {
		return false
	}
	retryAfter, err := e.config.Weights.AcquirePermit(ctx, platformapi.WeightFetch{
		BackendID: string(move.Engine), Model: spec.Model, Version: spec.Version,
	})
	if err == nil {
		return true
	}
	e.nextWeightRequest = now + max(retryAfter, StepInterval)
	e.config.Metrics.Counter("weights_refused").Inc(1)
	return false
}

// hasModel reports whether the engine runs or loads the model.
func hasModel(state backendapi.State, spec backendapi.LoadedModel) bool {
	same := func(m backendapi.LoadedModel) bool { return m.Model == spec.Model && m.Version == spec.Version }
	return slices.ContainsFunc(state.Models, same) || slices.ContainsFunc(state.Loading, same)
}

// matchesPlan reports whether the engine runs the model that the plan assumed, or
// none if model is empty, and loads nothing.
func matchesPlan(state backendapi.State, model string) bool {
	if len(state.Loading) > 0 {
		return false
	}
	if model == "" {
		return len(state.Models) == 0
	}
	return slices.ContainsFunc(state.Models, func(m backendapi.LoadedModel) bool { return m.Model == model })
}
