package orders

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// TestMain sets a fixed seed and limits for rapid unless the command line gives
// them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// fleet simulates engines and several planner nodes in virtual time.
type fleet struct {
	t           *rapid.T
	now         time.Duration
	table       *tabletest.Table
	delayedTxns []platformapi.TxnRequest
	engines     []*engine
	nodes       []*plannerNode
	newestToken int64
	sent        int
	// paused is set while a planner is paused in a call. While it is set, no other
	// planner is paused.
	paused bool
}

// engine is a simulated engine that runs the models of the last order. If
// checksToken is false, it ignores the fencing token.
type engine struct {
	id          ident.BackendID
	checksToken bool
	state       backendapi.State
	pending     []arrival
}

// arrival is an order that was sent to an engine and takes effect at the time at.
type arrival struct {
	at    time.Duration
	order backendapi.Order
}

// plannerNode is one node that runs a planner. Its monotonic clock lags by the total
// time that the node was suspended.
type plannerNode struct {
	*Executor
	fleet     *fleet
	suspended time.Duration
}

var epoch = time.Unix(1e9, 0)

func (p *plannerNode) clock() ClockReading {
	return ClockReading{Wall: epoch.Add(p.fleet.now), Monotonic: p.fleet.now - p.suspended}
}

// pause sometimes advances the time during a call, to simulate a slow call or a
// paused process. The other planners continue meanwhile.
func (p *plannerNode) pause() {
	f := p.fleet
	if f.paused || rapid.IntRange(0, 14).Draw(f.t, "pauses") > 0 {
		return
	}
	f.paused = true
	defer func() { f.paused = false }()
	seconds := rapid.SampledFrom([]int{1, 4, 8, 9, 10, 16, 25}).Draw(f.t, "pause")
	if rapid.IntRange(0, 2).Draw(f.t, "suspend") == 0 {
		p.suspended += time.Duration(seconds) * time.Second
	}
	for range seconds {
		p.stepOthers(time.Second)
	}
}

// stepOthers advances the time by d and then steps the other planners.
func (p *plannerNode) stepOthers(d time.Duration) {
	p.fleet.advance(d)
	for _, other := range p.fleet.nodes {
		if other != p {
			other.Step(context.Background())
		}
	}
}

func (f *fleet) advance(d time.Duration) {
	f.now += d
	for _, e := range f.engines {
		slices.SortStableFunc(e.pending, func(a, b arrival) int { return int(a.at - b.at) })
		for len(e.pending) > 0 && e.pending[0].at <= f.now {
			f.apply(e, e.pending[0].order)
			e.pending = e.pending[1:]
		}
	}
}

func (f *fleet) apply(e *engine, o backendapi.Order) {
	if e.checksToken && o.FencingToken < e.state.FencingToken {
		return
	}
	if o.FencingToken < f.newestToken {
		f.t.Fatalf("order %s of token %d took effect at %s after one of token %d", o.OrderID, o.FencingToken, e.id, f.newestToken)
	}
	f.newestToken = max(f.newestToken, o.FencingToken)
	e.state.Models, e.state.LastOrderID = o.Models, o.OrderID
	if e.checksToken {
		e.state.FencingToken = o.FencingToken
	}
}

func (p *plannerNode) find(id ident.BackendID) *engine {
	for _, e := range p.fleet.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (p *plannerNode) State(_ context.Context, id ident.BackendID) (backendapi.State, error) {
	p.pause()
	return p.find(id).state, nil
}

// Order records an order that takes effect within MaxOrderTime. Its answer may be
// lost.
func (p *plannerNode) Order(_ context.Context, id ident.BackendID, o backendapi.Order) error {
	d := time.Duration(rapid.Int64Range(0, int64(MaxOrderTime)-1).Draw(p.fleet.t, "order time"))
	e := p.find(id)
	e.pending = append(e.pending, arrival{p.fleet.now + d, o})
	p.fleet.sent++
	if !p.fleet.paused && rapid.Bool().Draw(p.fleet.t, "answer lost") {
		p.fleet.paused = true
		defer func() { p.fleet.paused = false }()
		for range 8 {
			p.stepOthers(MaxOrderTime / 8)
		}
		return errors.New("no answer")
	}
	p.fleet.advance(d)
	return nil
}

func (p *plannerNode) AcquirePermit(context.Context, platformapi.WeightFetch) (time.Duration, error) {
	p.pause()
	if rapid.IntRange(0, 4).Draw(p.fleet.t, "limited") == 0 {
		return 3 * time.Second, errors.New("rate limited")
	}
	return 0, nil
}

func (p *plannerNode) Read(ctx context.Context, keys ...string) ([]platformapi.Row, error) {
	p.pause()
	rows, err := p.fleet.table.Read(ctx, keys...)
	p.pause()
	return rows, err
}

func (p *plannerNode) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, bool, error) {
	return p.fleet.table.Scan(ctx, prefix, after, limit)
}

// Txn sometimes returns an error without executing the transaction, which the action
// "late write" may execute later. The faults of the table can also lose the answer to
// an executed transaction.
func (p *plannerNode) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	p.pause()
	if rapid.IntRange(0, 5).Draw(p.fleet.t, "lost call") == 0 {
		p.fleet.delayedTxns = append(p.fleet.delayedTxns, txn)
		return platformapi.TxnResponse{}, errors.New("no answer")
	}
	answer, err := p.fleet.table.Txn(ctx, txn)
	p.pause()
	return answer, err
}

// demand draws a new demand on each call, so that the planners keep finding changes
// to order.
func (p *plannerNode) demand() ([]Model, []Engine) {
	var engines []Engine
	for _, e := range p.fleet.engines {
		model := ""
		if len(e.state.Models) > 0 {
			model = e.state.Models[0].Model
		}
		engines = append(engines, Engine{ID: e.id, Model: model, TokensPerSecond: 100})
	}
	a := rapid.Float64Range(0, 300).Draw(p.fleet.t, "demand")
	return []Model{
		{Spec: backendapi.LoadedModel{Model: "a"}, Demand: a},
		{Spec: backendapi.LoadedModel{Model: "b"}, Demand: 300 - a},
	}, engines
}

func newFleet(t *rapid.T, planners int) *fleet {
	f := &fleet{t: t, table: tabletest.New(), now: time.Second}
	f.table.SetFaults(func(string) tabletest.Fault {
		return rapid.SampledFrom([]tabletest.Fault{0, 0, 0, 0, 0, tabletest.FaultUnavailable, tabletest.FaultLostResponse}).Draw(t, "fault")
	})
	for i, id := range []ident.BackendID{"e1", "e2", "e3", "e4"} {
		f.engines = append(f.engines, &engine{id: id, checksToken: i%2 == 0})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range planners {
		p := &plannerNode{fleet: f}
		var _ table.Table = p
		p.Executor = NewExecutor(Config{
			Self: ident.HostID(rune('a' + i)), Incarnation: 1, Table: p, Engines: p, Weights: p,
			Demand: p.demand, Log: log, Metrics: tally.NoopScope, Now: p.clock,
		})
		f.nodes = append(f.nodes, p)
	}
	return f
}

// Guards against an order of a previous lease holder that overrides an order of a
// newer one, on engines that check the fencing token and on engines that ignore
// it. Two planners run at once, leases expire while their holder is paused or
// suspended, and writes of the lease are lost or arrive late.
func TestNoOldOrderUndoesANewerOne(t *testing.T) {
	sent, tokens := 0, int64(0)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 2)
		t.Repeat(map[string]func(*rapid.T){
			"step a": func(*rapid.T) { f.nodes[0].Step(context.Background()) },
			"step b": func(*rapid.T) { f.nodes[1].Step(context.Background()) },
			"time": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"late write": func(t *rapid.T) {
				if len(f.delayedTxns) > 0 {
					_, _ = f.table.Txn(context.Background(), f.delayedTxns[0])
					f.delayedTxns = f.delayedTxns[1:]
				}
			},
		})
		sent, tokens = sent+f.sent, max(tokens, f.newestToken)
	})
	t.Logf("%d orders, up to token %d", sent, tokens)
	if sent < 500 || tokens < 3 {
		t.Errorf("%d orders, up to token %d: want at least 500 orders and token 3", sent, tokens)
	}
}

// Guards against measuring the lease from the start of a write that did not take
// effect, which extends it. A renewal whose answer was lost takes effect late; the next
// renewal, which began 3 s later, then fails on the changed version. The lease must
// count from the last write that is known to have taken effect.
func TestLateWriteDoesNotExtendTheLease(t *testing.T) {
	at := func(s int) ClockReading {
		d := time.Duration(s) * time.Second
		return ClockReading{Wall: epoch.Add(d), Monotonic: d}
	}
	l := NewLease("a", 1)
	l.Observe(at(0), LeaseRow{}, 0)
	row, _, _ := l.Write(at(0))
	l.Committed(at(0), row, 1)
	lost, _, ok := l.Write(at(3))
	if !ok {
		t.Fatal("no renewal after 3 s")
	}
	if _, _, ok = l.Write(at(6)); !ok {
		t.Fatal("no second renewal after 6 s")
	}
	l.Observe(at(6), lost, 2)
	if _, ok := l.MayOrder(at(7)); !ok {
		t.Error("order refused 7 s after the start of the last write known to have taken effect")
	}
	if _, ok := l.MayOrder(at(8)); ok {
		t.Error("order allowed 8 s after the start of the last write known to have taken effect: the lease counts from a later write")
	}
}

// Guards against a new lease holder that sends orders while the last order of the
// previous holder may still be in progress.
func TestNewHolderWaitsForLastOrder(t *testing.T) {
	at := func(ms int) ClockReading {
		d := time.Duration(ms) * time.Millisecond
		return ClockReading{Wall: epoch.Add(d), Monotonic: d}
	}
	l := NewLease("b", 1)
	old := LeaseRow{Holder: "a", Incarnation: 1, Token: 7, DurationMS: LeaseDuration.Milliseconds()}
	l.Observe(at(0), old, 3)
	if _, _, ok := l.Write(at(9999)); ok {
		t.Error("lease acquired although the row has not been unchanged for the duration of the lease")
	}
	row, version, ok := l.Write(at(10_000))
	if !ok || row.Token != 8 || version != 3 {
		t.Fatalf("write of the new holder = %+v, version %d, due %v; want token 8, version 3, due true", row, version, ok)
	}
	l.Committed(at(10_100), row, 4)
	if _, ok := l.MayOrder(at(12_099)); ok {
		t.Error("order allowed while the previous holder's last order may be in progress")
	}
	if token, ok := l.MayOrder(at(12_100)); !ok || token != 8 {
		t.Errorf("MayOrder = %d, %v after the previous holder's last order has ended, want 8, true", token, ok)
	}
}
