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

// Tick is the period of the planner.
const Tick = time.Second

// Engines reads and orders engines. Order must not be under way for longer than
// MaxOrderTime; ctx ends by then.
type Engines interface {
	State(ctx context.Context, id ident.BackendID) (backendapi.State, error)
	Order(ctx context.Context, id ident.BackendID, order backendapi.Order) error
}

// Weights asks the weight store for permission to load. When it refuses, it
// returns the time after which to ask again.
type Weights interface {
	Fetch(ctx context.Context, fetch platformapi.WeightFetch) (retryAfter time.Duration, err error)
}

// Demand returns the present demand and the engines of the fleet.
type Demand func() ([]Model, []Engine)

// Config holds what an Executor works with.
type Config struct {
	Self        ident.HostID
	Incarnation ident.Incarnation
	Table       table.Table
	Engines     Engines
	Weights     Weights
	Demand      Demand
	Policy      Policy
	Log         logrus.FieldLogger
	Metrics     tally.Scope
	// Now reads both clocks.
	Now func() Now
}

// Executor takes and renews the lease and orders placements while it holds it.
// It is used by one goroutine.
type Executor struct {
	config  Config
	lease   Lease
	planner *Planner
	// weightsFrom is when the weight store may be asked again.
	weightsFrom time.Duration
	orders      int
}

// NewExecutor returns an executor.
func NewExecutor(config Config) *Executor {
	config.Metrics = config.Metrics.SubScope("orders")
	return &Executor{
		config:  config,
		lease:   NewLease(config.Self, config.Incarnation),
		planner: NewPlanner(config.Policy),
	}
}

// Run calls Step each Tick until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	ticker := time.NewTicker(Tick)
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
	if err := e.keepLease(ctx); err != nil {
		e.config.Metrics.Counter("lease_failures").Inc(1)
		e.config.Log.WithError(err).Warn("planner lease not read or written")
	}
	models, engines := e.config.Demand()
	// Planned by every node, so that a new holder knows for how long changes
	// have been wanted.
	moves := e.planner.Plan(e.config.Now().Monotonic, models, engines)
	for _, move := range moves {
		if _, ok := e.lease.MayOrder(e.config.Now()); !ok {
			return
		}
		spec := specOf(models, move.To)
		if err := e.carryOut(ctx, move, spec); err != nil {
			e.config.Metrics.Counter("failures").Inc(1)
			e.config.Log.WithError(err).WithFields(logrus.Fields{"backend": move.Engine, "model": move.To}).Warn("order not carried out")
		}
	}
}

func specOf(models []Model, name string) backendapi.LoadedModel {
	for _, m := range models {
		if m.Spec.Model == name {
			return m.Spec
		}
	}
	return backendapi.LoadedModel{Model: name}
}

func (e *Executor) keepLease(ctx context.Context) error {
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
		// The next read shows whether the write took effect.
		if table.CodeOf(err) == table.CodeConflict {
			return nil
		}
		return newError(CodeLease).Wrapf(err, "write %s", LeaseKey)
	}
	e.lease.Committed(e.config.Now(), row, answer.Versions[LeaseKey])
	return nil
}

// carryOut reads the engine, orders the model unless the engine has it or runs
// something else than the plan assumed, and reads the engine again.
func (e *Executor) carryOut(ctx context.Context, move Move, spec backendapi.LoadedModel) error {
	state, err := e.config.Engines.State(ctx, move.Engine)
	if err != nil {
		return newError(CodeEngine).Wrapf(err, "read state of %q", move.Engine)
	}
	if shows(state, spec) || !matches(state, move.From) {
		return nil
	}
	token, ok := e.lease.MayOrder(e.config.Now())
	if !ok || state.FencingToken > int64(token) || !e.mayLoad(ctx, move, spec) {
		return nil
	}
	// Asking the weight store took time, so that the lease is checked last.
	if token, ok = e.lease.MayOrder(e.config.Now()); !ok {
		return nil
	}
	e.orders++
	order := backendapi.Order{
		OrderID:      fmt.Sprintf("order-%s-%d-%d", e.config.Self, token, e.orders),
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
	if !shows(state, spec) {
		return newError(CodeNotApplied).Errorf("engine %q does not show order %q", move.Engine, order.OrderID)
	}
	return nil
}

// mayLoad asks the weight store, which limits the rate of loads.
func (e *Executor) mayLoad(ctx context.Context, move Move, spec backendapi.LoadedModel) bool {
	now := e.config.Now().Monotonic
	if now < e.weightsFrom {
		return false
	}
	retryAfter, err := e.config.Weights.Fetch(ctx, platformapi.WeightFetch{
		BackendID: string(move.Engine), Model: spec.Model, Version: spec.Version,
	})
	if err == nil {
		return true
	}
	e.weightsFrom = now + max(retryAfter, Tick)
	e.config.Metrics.Counter("weights_refused").Inc(1)
	return false
}

// shows tells whether the engine runs or loads the model.
func shows(state backendapi.State, spec backendapi.LoadedModel) bool {
	same := func(m backendapi.LoadedModel) bool { return m.Model == spec.Model && m.Version == spec.Version }
	return slices.ContainsFunc(state.Models, same) || slices.ContainsFunc(state.Loading, same)
}

// matches tells whether the engine runs what the plan assumed and loads nothing.
func matches(state backendapi.State, model string) bool {
	if len(state.Loading) > 0 {
		return false
	}
	if model == "" {
		return len(state.Models) == 0
	}
	return slices.ContainsFunc(state.Models, func(m backendapi.LoadedModel) bool { return m.Model == model })
}
